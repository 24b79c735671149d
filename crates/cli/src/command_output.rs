//! Output of commands.

use std::fmt;
use std::io;
use std::io::Write;

use crate::cli_error;

/// Prints a line to standard output and flushes it.
///
/// A closed pipe, for example to `head`, is returned as an error so that the command can end without a message.
pub fn print_line(text: impl fmt::Display) -> Result<(), cli_error::CliError> {
    let mut output = io::stdout().lock();
    let written = writeln!(output, "{text}").and_then(|()| output.flush());
    written.map_err(cli_error::CliError::Output)
}
