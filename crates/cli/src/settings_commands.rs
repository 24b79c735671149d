//! Commands for daemon settings: `check-settings`, `run` and `explain-settings`.

use std::fs;

use damasktrack_node::{graceful_shutdown, node_run};
use damasktrack_settings::{daemon_settings, settings_reader, settings_table};

use crate::cli_error;
use crate::command_output;

/// `check-settings FILE...`: prints each valid file, and fails with the findings of all others.
pub fn check(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let mut findings = Vec::new();
    for path in matches.get_many::<String>("files").unwrap_or_default() {
        match read(path) {
            Ok(_) => command_output::print_line(format!("{path}: valid"))?,
            Err(found) => findings.extend(found),
        }
    }
    if findings.is_empty() {
        return Ok(());
    }
    Err(findings_error(findings))
}

/// `run FILE`: runs a daemon until SIGTERM or SIGINT.
pub fn run(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let settings = read(path).map_err(findings_error)?;
    match node_run::run(settings) {
        Ok(graceful_shutdown::ShutdownResult::Complete) => Ok(()),
        Ok(graceful_shutdown::ShutdownResult::TimedOut) => {
            let message = "shutdown timed out: requests were still in flight after `drain_timeout_ms` and were aborted";
            Err(cli_error::CliError::Failed(message.to_owned()))
        }
        Err(error) => Err(cli_error::CliError::Failed(error.to_string())),
    }
}

fn read(path: &str) -> Result<daemon_settings::DaemonSettings, Vec<String>> {
    let text = fs::read_to_string(path).map_err(|error| vec![format!("{path}: {error}")])?;
    let settings = settings_reader::read(&text, path);
    settings.map_err(|findings| findings.iter().map(ToString::to_string).collect())
}

fn findings_error(findings: Vec<String>) -> cli_error::CliError {
    let message = match findings.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    };
    cli_error::CliError::Findings(message, findings)
}

/// `explain-settings`: prints the settings table.
pub fn explain() -> Result<(), cli_error::CliError> {
    command_output::print_line(settings_table::render().trim_end())
}
