//! The damasktrack command line for operators.

mod api_client;
mod change_commands;
mod cli_command;
mod cli_error;
mod command_output;
mod kind_names;
mod log_commands;
mod quota_commands;
mod read_commands;
mod settings_commands;

use std::process;

fn main() -> process::ExitCode {
    let matches = cli_command::command().get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            if code != 0 {
                eprintln!("{error}");
            }
            process::ExitCode::from(code)
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "version" => command_output::print_line(format!("damasktrack {}", env!("CARGO_PKG_VERSION"))),
        "run" => settings_commands::run(matches),
        "check-settings" => settings_commands::check(matches),
        "explain-settings" => settings_commands::explain(),
        "get" => read_commands::get(matches),
        "watch" => read_commands::watch(matches),
        "status" => read_commands::status(matches),
        "quotas" => quota_commands::quotas(matches),
        "changes" => read_commands::change(matches),
        "explain-request" => log_commands::explain(matches),
        "refusals" => log_commands::refusals(matches),
        "apply" => change_commands::apply(matches),
        "delete" => change_commands::delete(matches),
        _ => Err(cli_error::CliError::Failed(format!("unknown command '{name}'"))),
    }
}
