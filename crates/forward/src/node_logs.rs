//! Structured logging to standard output, one JSON object per line.

use std::io;
use std::str::FromStr;

use crate::log_output;

/// Sets up logging for the process. An unknown level means `info`. A second call has no effect, since a process has one
/// logger.
///
/// # Errors
/// Returns an error if the thread that writes the log can't be started.
pub fn start(level: &str) -> io::Result<()> {
    let level = log::LevelFilter::from_str(level).unwrap_or(log::LevelFilter::Info);
    let output = log_output::LogOutput::start(io::stdout())?;
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
    Ok(())
}
