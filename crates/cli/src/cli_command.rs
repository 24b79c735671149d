//! Declaration of the command line.

use std::net;

use crate::kind_names;

const AFTER_HELP: &str = "\
Commands that talk to a daemon need the address of its resource API (`api_listen` in its settings), by --api or in the
environment variable DAMASKTRACK_API, and an operator's key, by --key-file or in DAMASKTRACK_KEY. Any daemon will do: a
change that one daemon accepts is in force at all of them within seconds.

First steps:
  damasktrack explain-settings                     what a daemon's settings file may hold
  damasktrack check-settings daemon.json           find faults in a settings file
  damasktrack --api 10.0.0.1:7003 status           is the daemon ready, which others does it know
  damasktrack --api 10.0.0.1:7003 apply --dry-run resources.json
  damasktrack --api 10.0.0.1:7003 apply resources.json

Exit codes: 0 done; 1 failed, nothing was changed; 2 wrong usage; 3 it is not known whether a change was accepted;
4 done, but the output could not be written.";

/// Returns the declaration of the program with all subcommands and global options.
pub fn command() -> clap::Command {
    clap::Command::new("damasktrack")
        .about("Operate damasktrack, the overload control layer for service call graphs")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            clap::Arg::new("api")
                .long("api")
                .value_name("ADDRESS")
                .global(true)
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Resource API of a daemon, an IP address with a port [env: DAMASKTRACK_API]"),
        )
        .arg(
            clap::Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .global(true)
                .help("File with the operator's bearer key [env: DAMASKTRACK_KEY holds the key itself]"),
        )
        .subcommands(settings_commands())
        .subcommands(change_commands())
        .subcommands(read_commands())
        .subcommands(log_commands())
}

fn settings_commands() -> [clap::Command; 4] {
    [
        clap::Command::new("run")
            .about("Run a daemon until SIGTERM or SIGINT, which start a graceful shutdown; same as damasktrackd")
            .arg(
                clap::Arg::new("file")
                    .value_name("FILE")
                    .required(true)
                    .help("Settings file"),
            ),
        clap::Command::new("version").about("Print the version"),
        clap::Command::new("explain-settings")
            .about("Print all settings of a daemon: name, type, unit, default and meaning"),
        clap::Command::new("check-settings")
            .about("Check settings files of daemons and print every finding with its place")
            .arg(files("Settings files")),
    ]
}

fn change_commands() -> [clap::Command; 2] {
    [
        clap::Command::new("apply")
            .about("Create or change resources; all changes take effect together or none does")
            .long_about(
                "Create or change resources; all changes take effect together or none does.\n\nA file holds one \
                     resource, an array of resources, or an object with the array `resources` (or `items`, as `get` prints it). A resource is an object \
                     with `kind`, `name`, `spec` and, if the change must not overwrite that of another operator, \
                     `version` as `get` prints it.",
            )
            .arg(files("JSON files with resources; - reads the standard input"))
            .arg(
                clap::Arg::new("dry-run")
                    .long("dry-run")
                    .action(clap::ArgAction::SetTrue)
                    .help("Only check, and print what would change"),
            )
            .arg(change_id()),
        clap::Command::new("delete")
            .about("Delete a resource")
            .arg(kind().required(true))
            .arg(
                clap::Arg::new("name")
                    .value_name("NAME")
                    .value_parser(kind_names::check_name)
                    .required(true)
                    .help("Name of the resource"),
            )
            .arg(
                clap::Arg::new("version")
                    .long("version")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64))
                    .help("Delete only if the resource still has this version"),
            )
            .arg(change_id()),
    ]
}

fn read_commands() -> [clap::Command; 4] {
    [
        clap::Command::new("get")
            .about("Print the resources of a kind, or one of them, as JSON")
            .arg(kind().required(true))
            .arg(
                clap::Arg::new("name")
                    .value_name("NAME")
                    .value_parser(kind_names::check_name)
                    .help("Name of the resource"),
            ),
        clap::Command::new("status").about("Print whether the daemon is ready and which daemons it knows"),
        clap::Command::new("watch")
            .about("Print changes as they come into force at the daemon, one JSON line each")
            .arg(kind().help("Only changes of this kind"))
            .arg(
                clap::Arg::new("after")
                    .long("after")
                    .value_name("REVISION")
                    .value_parser(clap::value_parser!(u64))
                    .help("Start after this revision instead of the present one"),
            )
            .arg(
                clap::Arg::new("count")
                    .long("count")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64))
                    .help("End after this many changes"),
            ),
        clap::Command::new("changes")
            .about("Print the change with an id, to learn whether it was accepted")
            .arg(
                clap::Arg::new("id")
                    .value_name("ID")
                    .value_parser(kind_names::check_change_id)
                    .required(true)
                    .help("Change id, as `apply` and `delete` print it"),
            ),
    ]
}

fn log_commands() -> [clap::Command; 2] {
    [
        clap::Command::new("explain-request")
            .about("Print what daemons logged about a request and its inner calls, in order of time")
            .arg(
                clap::Arg::new("id")
                    .value_name("ID")
                    .required(true)
                    .help("Id of the caller's attempt"),
            )
            .arg(files("Log files of daemons, one JSON object a line")),
        clap::Command::new("refusals")
            .about("Count logged failures and refusals by cause and second, with a plot")
            .arg(files("Log files of daemons, one JSON object a line")),
    ]
}

fn kind() -> clap::Arg {
    clap::Arg::new("kind")
        .value_name("KIND")
        .value_parser(kind_names::find)
        .help("services, classes, chains, tenants or daemons")
}

fn files(help: &'static str) -> clap::Arg {
    clap::Arg::new("files")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .help(help)
}

fn change_id() -> clap::Arg {
    clap::Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .value_parser(kind_names::check_change_id)
        .help("Id of the change; repeat a command with the same id to be sure that it takes effect once")
}
