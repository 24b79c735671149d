//! Commands about daemon settings.

use std::fs;

use damasktrack_settings::{settings_reader, settings_table};

use crate::cli_error;

/// `check-settings FILE...`.
pub fn check(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let mut findings = Vec::new();
    for path in matches.get_many::<String>("files").unwrap_or_default() {
        match fs::read_to_string(path) {
            Ok(text) => match settings_reader::read(&text, path) {
                Ok(_) => println!("{path}: valid"),
                Err(found) => findings.extend(found.iter().map(ToString::to_string)),
            },
            Err(error) => findings.push(format!("{path}: {error}")),
        }
    }
    if findings.is_empty() {
        return Ok(());
    }
    let message = match findings.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    };
    Err(cli_error::CliError::Findings(message, findings))
}

/// `explain-settings`.
#[expect(clippy::unnecessary_wraps, reason = "all commands have one form")]
pub fn explain() -> Result<(), cli_error::CliError> {
    print!("{}", settings_table::render());
    Ok(())
}
