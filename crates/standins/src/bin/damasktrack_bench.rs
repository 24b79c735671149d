//! Measurements of real processes on loopback, as JSON lines.

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
        .about("Measures real processes on loopback and prints JSON lines; load of the machine shows in the figures")
        .subcommand_required(true)
        .arg(
            option("programs", "DIRECTORY", "Directory with the built programs")
                .required(true)
                .global(false),
        )
        .arg(
            option("seed", "N", "Number in the output; the requests are evenly spaced")
                .default_value("1")
                .global(true),
        )
        .subcommand(
            clap::Command::new("latency")
                .about("Latency that one and two daemons add to a call")
                .arg(option("seconds", "S", "Length of each slice of one arm").default_value("2"))
                .arg(option("repeats", "N", "Slices of each arm").default_value("5")),
        )
        .subcommand(
            clap::Command::new("control")
                .about("What an idle and a busy daemon spend on control")
                .arg(option("seconds", "S", "Length of each of the two").default_value("60")),
        )
        .subcommand(
            clap::Command::new("capacity")
                .about("Slopes of processor time, memory, messages and store calls")
                .arg(option("seconds", "S", "Length of each observation").default_value("10"))
                .arg(option("daemons", "LIST", "Numbers of daemons").default_value("4,8,16,32,64"))
                .arg(
                    option("part", "PART", "daemons: over their number; pair: of one pair; all")
                        .value_parser(["all", "daemons", "pair"])
                        .default_value("all"),
                )
                .arg(option("table", "FILE", "File for the slopes as a Markdown table")),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn run(matches: &clap::ArgMatches) -> Result<(), String> {
    let (name, arguments) = matches.subcommand().ok_or("no measurement is named")?;
    let programs: String = read(matches, "programs")?;
    let seed: u64 = read(arguments, "seed")?;
    let seconds: f64 = read(arguments, "seconds")?;
    let length = time::Duration::try_from_secs_f64(seconds)
        .ok()
        .ok_or("--seconds: not a length")?;
    let options = bench_fleet::FleetOptions {
        programs: path::PathBuf::from(programs),
        daemons: 2,
        counted: false,
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
