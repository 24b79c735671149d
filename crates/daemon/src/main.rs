//! The damasktrackd program. It reads the settings file, runs the daemon and maps the end of the daemon to an exit code:
//! 0 for a complete stop, 1 if the daemon cannot start, 2 for unusable settings and 3 for a planned stop that timed out.

use std::fs;
use std::io;
use std::io::Write;
use std::process;

use damasktrack_node::graceful_shutdown;
use damasktrack_node::node_run;
use damasktrack_settings::settings_reader;

fn main() -> process::ExitCode {
    let command = clap::Command::new("damasktrackd")
        .about("Overload control daemon beside a backend server")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            clap::Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings file in JSON"),
        );
    let matches = command.get_matches();
    let file = matches.get_one::<String>("settings").map_or("", String::as_str);
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return process::ExitCode::from(2);
        }
    };
    let settings = match settings_reader::read(&text, file) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return process::ExitCode::from(2);
        }
    };
    match node_run::run_with(settings, print_addresses) {
        Ok(graceful_shutdown::ShutdownResult::Complete) => process::ExitCode::SUCCESS,
        Ok(graceful_shutdown::ShutdownResult::TimedOut) => process::ExitCode::from(3),
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Prints the addresses in use on one line, so that a parent process can read the ports that the system chose where the
/// settings give port 0. The daemon keeps running if standard output is closed.
fn print_addresses(addresses: node_run::ListenAddresses) {
    let mut output = io::stdout().lock();
    let line = format!(
        "entry={} peer={} api={}",
        addresses.entry, addresses.peer, addresses.api
    );
    let _written = writeln!(output, "{line}").and_then(|()| output.flush());
}
