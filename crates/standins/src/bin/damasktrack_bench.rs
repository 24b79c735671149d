//! Measures real processes on loopback and prints JSON lines.

use std::fs;
use std::path;
use std::process;
use std::time;

use damasktrack_standins::{bench_capacity, bench_control, bench_fleet, bench_latency};

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damasktrack-bench: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn command() -> clap::Command {
    clap::Command::new("damasktrack-bench")
        .about(
            "Measures real processes on loopback and prints JSON lines; other load on the system affects the results",
        )
        .subcommand_required(true)
        .arg(
            option("programs", "DIRECTORY", "Directory with the built programs")
                .required(true)
                .global(false),
        )
        .arg(
            option(
                "seed",
                "N",
                "Seed printed with the results; it has no effect, since requests are evenly spaced",
            )
            .default_value("1")
            .global(true),
        )
        .subcommand(
            clap::Command::new("latency")
                .about("Latency that one and two daemons add to a call")
                .arg(option("seconds", "S", "Seconds of each time slice of one arm").default_value("2"))
                .arg(option("repeats", "N", "Number of time slices of each arm").default_value("5")),
        )
        .subcommand(
            clap::Command::new("control")
                .about("Processor time, memory and traffic for control of an idle and a busy daemon")
                .arg(option("seconds", "S", "Seconds of the idle and of the busy phase each").default_value("60")),
        )
        .subcommand(
            clap::Command::new("capacity")
                .about("Slopes of processor time, memory, control traffic and store accesses")
                .arg(option("seconds", "S", "Seconds of each observation").default_value("10"))
                .arg(
                    option("daemons", "LIST", "Numbers of daemons to measure, separated by commas")
                        .default_value("4,8,16,32,64"),
                )
                .arg(
                    option(
                        "part",
                        "PART",
                        "Slopes over the number of daemons (daemons), of one pair of daemons (pair), or both (all)",
                    )
                    .value_parser(["all", "daemons", "pair"])
                    .default_value("all"),
                )
                .arg(option(
                    "table",
                    "FILE",
                    "File to write the slopes to as a Markdown table",
                )),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn run(matches: &clap::ArgMatches) -> Result<(), String> {
    let (name, arguments) = matches.subcommand().ok_or("no subcommand given")?;
    let programs: String = read(matches, "programs")?;
    let seed: u64 = read(arguments, "seed")?;
    let seconds: f64 = read(arguments, "seconds")?;
    let length = time::Duration::try_from_secs_f64(seconds)
        .ok()
        .ok_or("--seconds: not a valid duration")?;
    let options = bench_fleet::FleetOptions {
        programs: path::PathBuf::from(programs),
        daemons: 2,
        count_control_bytes: false,
        log_level: "error",
    };
    match name {
        "latency" => bench_latency::run(&options, seed, length, read(arguments, "repeats")?),
        "control" => bench_control::run(&options, seed, length),
        _ => {
            let list: String = read(arguments, "daemons")?;
            let sizes: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
            let sizes = sizes.map_err(|error| format!("--daemons {list}: {error}"))?;
            let part: String = read(arguments, "part")?;
            let part = match part.as_str() {
                "daemons" => bench_capacity::CapacityPart::Daemons,
                "pair" => bench_capacity::CapacityPart::Pair,
                _ => bench_capacity::CapacityPart::All,
            };
            let table = bench_capacity::run(&options, seed, length, &sizes, part)?;
            match arguments.get_one::<String>("table") {
                Some(file) => fs::write(file, table).map_err(|error| format!("{file}: {error}")),
                None => Ok(()),
            }
        }
    }
}

fn read<T: std::str::FromStr>(matches: &clap::ArgMatches, name: &str) -> Result<T, String> {
    let text = matches
        .get_one::<String>(name)
        .ok_or_else(|| format!("--{name} is missing"))?;
    text.parse()
        .ok()
        .ok_or_else(|| format!("--{name} {text}: not a valid value"))
}
