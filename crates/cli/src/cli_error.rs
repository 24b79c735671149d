//! Errors of commands, with their exit codes and messages.

use std::fmt;
use std::io;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The command failed; the text is the message.
    Failed(String),
    /// The command failed with a message and findings, each of which starts with its place.
    Findings(String, Vec<String>),
    /// A change may or may not have been accepted, and the change log did not show its outcome.
    OutcomeUnknown {
        /// Id of the change.
        change_id: String,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// Standard output can't be written; a change that the command made is in effect.
    Output(io::Error),
}

impl CliError {
    /// Returns the exit code. Code 2 is for invalid arguments, which clap reports.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::Findings(..) => 1,
            Self::OutcomeUnknown { .. } => 3,
            // The reader of a closed pipe, such as `head`, needs no further output, so this is no failure.
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
            Self::Output(error) => write!(f, "damasktrack: can't write to standard output: {error}"),
            Self::OutcomeUnknown { change_id, reason } => write!(
                f,
                "damasktrack: unknown whether the change was accepted: {reason}\n\
                 Query the change with `damasktrack changes {change_id}`, or repeat the command with `--change-id \
                 {change_id}`: the change takes effect at most once."
            ),
        }
    }
}
