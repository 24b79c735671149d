//! The damasktrack command line for operators.

mod api_client;
mod change_commands;
mod cli_command;
mod cli_error;
mod kind_names;
mod read_commands;
mod settings_commands;

use std::process;

fn main() -> process::ExitCode {
    let matches = cli_command::command().get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "version" => {
            println!("damasktrack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        "run" => settings_commands::run(matches),
        "check-settings" => settings_commands::check(matches),
        "explain-settings" => settings_commands::explain(),
        "get" => read_commands::get(matches),
        "watch" => read_commands::watch(matches),
        "status" => read_commands::status(matches),
        "changes" => read_commands::change(matches),
        "apply" => change_commands::apply(matches),
        "delete" => change_commands::delete(matches),
        _ => Err(cli_error::CliError::Failed(format!("unknown command '{name}'"))),
    }
}
