//! Failures of commands.

use std::fmt;
use std::io;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// One message.
    Failed(String),
    /// A message, and findings with their place.
    Findings(String, Vec<String>),
    /// A change may or may not have been accepted.
    OutcomeUnknown {
        /// Id of the change.
        change_id: String,
        /// What happened.
        reason: String,
    },
    /// The command did its work, but standard output can't be written.
    Output(io::Error),
}

impl CliError {
    /// Returns the exit code; 2 is reserved for wrong usage, which clap reports.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::Findings(..) => 1,
            Self::OutcomeUnknown { .. } => 3,
            // A closed pipe means that its reader needs no further output, as with `head`.
            Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe => 0,
            Self::Output(_) => 4,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(message) => write!(f, "damasktrack: {message}"),
            Self::Findings(message, findings) => {
                for finding in findings {
                    writeln!(f, "{finding}")?;
                }
                write!(f, "damasktrack: {message}")
            }
            Self::Output(error) => write!(f, "damasktrack: the output can't be written: {error}"),
            Self::OutcomeUnknown { change_id, reason } => write!(
                f,
                "damasktrack: it is not known whether the change was accepted: {reason}\n\
                 Ask with `damasktrack changes {change_id}`, or repeat the command with `--change-id {change_id}`: the \
                 change takes effect at most once."
            ),
        }
    }
}
