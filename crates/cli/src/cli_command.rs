//! Declaration of the subcommands, options and help texts.

use std::net;

use crate::kind_names;

const AFTER_HELP: &str = "\
Commands that send requests to a daemon need the address of its resource API (`api_listen` in its settings), given by
--api or the environment variable DAMASKTRACK_API, and an operator's bearer key, given by --key-file or DAMASKTRACK_KEY.
Any daemon of the deployment can be used; `apply`, `delete` and `changes` need one with `store_address` in its settings.
A change that one daemon accepts takes effect at all of them within seconds.

Examples:
  damasktrack explain-settings                     list the settings of a daemon
  damasktrack check-settings daemon.json           validate a settings file
  damasktrack --api 10.0.0.1:7003 status           print the readiness of a daemon and its list of daemons
  damasktrack --api 10.0.0.1:7003 apply --dry-run resources.json
  damasktrack --api 10.0.0.1:7003 apply resources.json

Exit codes: 0 success; 1 failure, nothing was changed; 2 invalid arguments; 3 unknown whether a change was accepted;
4 success, but the output could not be written.";

/// Returns the parser for all subcommands and global options.
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
                .help("Address of a daemon's resource API, as an IP address with a port [env: DAMASKTRACK_API]"),
        )
        .arg(
            clap::Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .global(true)
                .help("File that contains the operator's bearer key [env: DAMASKTRACK_KEY, the key itself]"),
        )
        .subcommands(settings_commands())
        .subcommands(change_commands())
        .subcommands(read_commands())
        .subcommands(log_commands())
        .subcommand(quota_command())
}

fn settings_commands() -> [clap::Command; 4] {
    [
        clap::Command::new("run")
            .about("Run a daemon in the foreground, as damasktrackd does; SIGTERM and SIGINT start a graceful shutdown")
            .arg(
                clap::Arg::new("file")
                    .value_name("FILE")
                    .required(true)
                    .help("Settings file in JSON"),
            ),
        clap::Command::new("version").about("Print the version"),
        clap::Command::new("explain-settings")
            .about("Print all settings of a daemon with type, unit, default and meaning"),
        clap::Command::new("check-settings")
            .about("Validate settings files of daemons and print every finding with its place")
            .arg(files("Settings files in JSON")),
    ]
}

fn change_commands() -> [clap::Command; 2] {
    [
        clap::Command::new("apply")
            .about("Create or update resources; all changes take effect together, or none does")
            .long_about(
                "Create or update resources; all changes take effect together, or none does.\n\nA file contains a \
                 resource, an array of resources, or an object with the array `resources` or, as in the output of \
                 `get`, `items`. A resource is an object with `kind`, `name` and `spec`. With the optional `version` \
                 from the output of `get`, the command fails if the resource has changed since.",
            )
            .arg(files("JSON files with resources; - reads standard input"))
            .arg(
                clap::Arg::new("dry-run")
                    .long("dry-run")
                    .action(clap::ArgAction::SetTrue)
                    .help("Validate the change and print its results without making it"),
            )
            .arg(change_id()),
        clap::Command::new("delete")
            .about("Delete a resource")
            .arg(kind().required(true))
            .arg(
                clap::Arg::new("name")
                    .value_name("NAME")
                    .value_parser(kind_names::parse_name)
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
            .about("Print all resources of a kind, or a single one, as JSON")
            .arg(kind().required(true))
            .arg(
                clap::Arg::new("name")
                    .value_name("NAME")
                    .value_parser(kind_names::parse_name)
                    .help("Name of the resource"),
            ),
        clap::Command::new("status")
            .about("Print the readiness of the daemon and its list of daemons; fails if the daemon is not ready"),
        clap::Command::new("watch")
            .about("Print changes as they take effect at the daemon, as one JSON line for each changed resource")
            .arg(kind().help("Print only changes of this kind: services, classes, chains or tenants"))
            .arg(
                clap::Arg::new("after")
                    .long("after")
                    .value_name("REVISION")
                    .value_parser(clap::value_parser!(u64))
                    .help("Print the changes after this revision [default: the revision in force]"),
            )
            .arg(
                clap::Arg::new("count")
                    .long("count")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64))
                    .help("Exit after this many lines"),
            ),
        clap::Command::new("changes")
            .about("Print the accepted change with an id; fails if no such change has been accepted")
            .arg(
                clap::Arg::new("id")
                    .value_name("ID")
                    .value_parser(kind_names::parse_change_id)
                    .required(true)
                    .help("Change id, as printed by `apply` and `delete`"),
            ),
    ]
}

fn log_commands() -> [clap::Command; 2] {
    [
        clap::Command::new("explain-request")
            .about("Print the log lines of daemons about a request and its inner calls, ordered by timestamp")
            .arg(
                clap::Arg::new("id")
                    .value_name("ID")
                    .required(true)
                    .help("Id of the caller's attempt, as in the log field `request`"),
            )
            .arg(files("Log files of daemons, one JSON object per line")),
        clap::Command::new("refusals")
            .about("Count logged failures and refusals per cause and second, and plot the counts as bars")
            .arg(files("Log files of daemons, one JSON object per line")),
    ]
}

fn quota_command() -> clap::Command {
    clap::Command::new("quotas")
        .about("Print the limits of the tenants with a rate, the credits held and granted, and the refusals at daemons")
        .arg(
            clap::Arg::new("metrics")
                .long("metrics")
                .value_name("ADDRESS")
                .required(true)
                .action(clap::ArgAction::Append)
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Address of a daemon's metrics endpoint, as an IP address with a port; may be repeated"),
        )
        .arg(
            clap::Arg::new("name")
                .value_name("TENANT")
                .help("Name of the only tenant to print"),
        )
}

fn kind() -> clap::Arg {
    clap::Arg::new("kind")
        .value_name("KIND")
        .value_parser(kind_names::parse_kind)
        .help("Kind of resource: services, classes, chains, tenants or daemons")
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
        .value_parser(kind_names::parse_change_id)
        .help("Id of the change, random by default; repeated commands with the same id take effect at most once")
}
