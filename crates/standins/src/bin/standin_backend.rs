//! Stand-in for a backend server.

use std::collections;
use std::net;
use std::process;
use std::time;

use damasktrack_standins::{backend_server, backend_state, next_call};

fn command() -> clap::Command {
    clap::Command::new("standin-backend")
        .about("Stand-in for a backend server: slots, service times, faults and calls to the next services")
        .arg(
            option(
                "listen",
                "ADDRESS",
                "Address to listen on; port 0 picks a free port, which is printed",
            )
            .default_value("127.0.0.1:0"),
        )
        .arg(option("name", "NAME", "Name in the header Standin-Server").default_value("backend"))
        .arg(option("slots", "COUNT", "Calls that run at the same time").default_value("10"))
        .arg(
            clap::Arg::new("refuse-when-full")
                .long("refuse-when-full")
                .action(clap::ArgAction::SetTrue)
                .help("Refuse with 503 and Damasktrack-Not-Run when all slots are taken, instead of queueing"),
        )
        .arg(option("service-ms", "MS", "Shortest service time").default_value("5"))
        .arg(option("jitter-ms", "MS", "Longest time added to the service time").default_value("0"))
        .arg(option("class-ms", "CLASS=MS", "Service time of a class; repeatable").action(clap::ArgAction::Append))
        .arg(option("seed", "SEED", "Seed of the jitter").default_value("1"))
        .arg(
            option(
                "cold-ms",
                "MS",
                "Time from the start until the cold factor no longer applies",
            )
            .default_value("0"),
        )
        .arg(option("cold-factor", "FACTOR", "Factor on the service time at the start").default_value("1"))
        .arg(option("report-lag-ms", "MS", "Age of the state that /health and /load report").default_value("0"))
        .arg(option("bytes", "COUNT", "Size of responses without ?bytes=").default_value("200"))
        .arg(option(
            "daemon",
            "ADDRESS",
            "Entry address of the daemon through which next calls go",
        ))
        .arg(
            option(
                "next",
                "[/PREFIX=][METHOD@]SERVICE:/PATH",
                "Call to make for requests below the prefix; repeatable",
            )
            .action(clap::ArgAction::Append),
        )
        .arg(
            option(
                "drain-ms",
                "MS",
                "Longest wait for running and queued calls at SIGTERM or SIGINT",
            )
            .default_value("10000"),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-backend: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<(), String> {
    let options = options(matches)?;
    let listen: net::SocketAddr = read(matches, "listen")?;
    let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    let mut signals = signal_hook::iterator::Signals::new(signals).map_err(|error| error.to_string())?;
    let server = backend_server::BackendServer::start(listen, options).map_err(|error| format!("{listen}: {error}"))?;
    println!("listening {}", server.address());
    signals.forever().next();
    match server.drain() {
        0 => Ok(()),
        left => Err(format!(
            "{left} calls were still running or queued after the drain timeout"
        )),
    }
}

fn options(matches: &clap::ArgMatches) -> Result<backend_state::BackendOptions, String> {
    let mut class_times = collections::HashMap::new();
    for text in matches.get_many::<String>("class-ms").unwrap_or_default() {
        let pair = text
            .split_once('=')
            .ok_or_else(|| format!("--class-ms {text}: not CLASS=MS"))?;
        class_times.insert(pair.0.to_owned(), milliseconds("class-ms", pair.1)?);
    }
    let mut next = Vec::new();
    for text in matches.get_many::<String>("next").unwrap_or_default() {
        next.push(next_call::parse_rule(text)?);
    }
    let daemon = matches.get_one::<String>("daemon");
    Ok(backend_state::BackendOptions {
        name: read(matches, "name")?,
        slots: read(matches, "slots")?,
        refuse_when_full: matches.get_flag("refuse-when-full"),
        service_time: duration(matches, "service-ms")?,
        jitter: duration(matches, "jitter-ms")?,
        class_times,
        seed: read(matches, "seed")?,
        cold_ramp: duration(matches, "cold-ms")?,
        cold_factor: read(matches, "cold-factor")?,
        report_lag: duration(matches, "report-lag-ms")?,
        answer_bytes: read(matches, "bytes")?,
        daemon: daemon.map(|daemon| parse("daemon", daemon)).transpose()?,
        next,
        drain_timeout: duration(matches, "drain-ms")?,
    })
}

fn read<T: std::str::FromStr>(matches: &clap::ArgMatches, name: &str) -> Result<T, String> {
    let text = matches
        .get_one::<String>(name)
        .ok_or_else(|| format!("--{name} is missing"))?;
    parse(name, text)
}

fn parse<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse()
        .ok()
        .ok_or_else(|| format!("--{name} {text}: not a valid value"))
}

fn duration(matches: &clap::ArgMatches, name: &str) -> Result<time::Duration, String> {
    let text: String = read(matches, name)?;
    milliseconds(name, &text)
}

fn milliseconds(name: &str, text: &str) -> Result<time::Duration, String> {
    let value: f64 = parse(name, text)?;
    let time = time::Duration::try_from_secs_f64(value / 1_000.0);
    time.ok().ok_or_else(|| format!("--{name} {text}: not a valid time"))
}
