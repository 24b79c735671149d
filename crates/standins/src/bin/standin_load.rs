//! Command line of the HTTP load generator.

use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::process;
use std::sync;
use std::time;

use damasktrack_standins::{load_mix, load_run, load_summary};

fn command() -> clap::Command {
    clap::Command::new("standin-load")
        .about("Load generator: sends a mix of requests at a rate and prints one JSON summary")
        .after_help(
            "Exits with 1 if a response was wrong or a request of a required entry did not end as whole, with 2 if the \
             run could not start or --json-lines could not be flushed.",
        )
        .arg(
            option("address", "ADDRESS", "Entry address of a daemon; repeatable")
                .required(true)
                .action(clap::ArgAction::Append),
        )
        .arg(option("mix", "FILE", "JSON file with the mix of requests").required(true))
        .arg(option("rate", "PER_S", "Requests per second").default_value("100"))
        .arg(option("duration-s", "S", "Duration of the run").default_value("5"))
        .arg(option(
            "steps",
            "RATE:S,…",
            "Rates and their durations, instead of --rate and --duration-s",
        ))
        .arg(option("concurrency", "COUNT", "Maximum number of concurrent requests").default_value("64"))
        .arg(option("seed", "SEED", "Seed for the choice of mix entries").default_value("1"))
        .arg(option(
            "run-id",
            "TEXT",
            "Prefix of the callers' request ids; derived from the clock by default",
        ))
        .arg(option("window-ms", "MS", "Length of the time windows of the summary").default_value("1000"))
        .arg(option("json-lines", "FILE", "File for one JSON line per request"))
        .arg(
            option(
                "require",
                "ENTRY",
                "All requests of this entry must end as whole; repeatable",
            )
            .action(clap::ArgAction::Append),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::from(1),
        Err(error) => {
            eprintln!("standin-load: {error}");
            process::ExitCode::from(2)
        }
    }
}

/// Returns whether no response was wrong and all requests of the required entries ended as whole.
fn run(matches: &clap::ArgMatches) -> Result<bool, String> {
    let options = options(matches)?;
    let required: Vec<&String> = matches.get_many("require").unwrap_or_default().collect();
    for name in &required {
        if !options.mix.entries.iter().any(|entry| entry.name == **name) {
            return Err(format!("--require {name}: no such entry in the mix"));
        }
    }
    let lines = matches.get_one::<String>("json-lines");
    let lines = lines.map(|path| fs::File::create(path).map_err(|error| format!("{path}: {error}")));
    let lines = lines
        .transpose()?
        .map(|file| sync::Mutex::new(io::BufWriter::new(file)));
    let summary = load_run::run(&options, |record| {
        if let Some(lines) = &lines {
            write_line(lines, record);
        }
    });
    if let Some(lines) = lines {
        let mut lines = lines.into_inner().unwrap_or_else(sync::PoisonError::into_inner);
        lines.flush().map_err(|error| format!("--json-lines: {error}"))?;
    }
    println!("{}", summary.to_json());
    let mut passed = summary.count(None, load_summary::RequestEnd::Wrong) == 0;
    for name in required {
        let whole = summary.count(Some(name), load_summary::RequestEnd::Whole);
        let requests = summary.requests(Some(name));
        if whole != requests {
            eprintln!("standin-load: only {whole} of {requests} requests of '{name}' ended as whole");
            passed = false;
        }
    }
    Ok(passed)
}

fn write_line(lines: &sync::Mutex<io::BufWriter<fs::File>>, record: &load_summary::RequestRecord) {
    let mut lines = lines.lock().unwrap_or_else(sync::PoisonError::into_inner);
    if let Err(error) = writeln!(lines, "{}", serde_json::json!(record)) {
        eprintln!("standin-load: --json-lines: {error}");
    }
}

fn options(matches: &clap::ArgMatches) -> Result<load_run::LoadOptions, String> {
    let path: String = read(matches, "mix")?;
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let mix: load_mix::LoadMix = serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
    let steps = match matches.get_one::<String>("steps") {
        Some(steps) => steps.clone(),
        None => format!(
            "{}:{}",
            read::<f64>(matches, "rate")?,
            read::<f64>(matches, "duration-s")?
        ),
    };
    let steps = load_mix::parse_steps(&steps)?;
    let arrivals = load_mix::schedule(&mix, &steps, read(matches, "seed")?)?;
    let mut addresses = Vec::new();
    for text in matches.get_many::<String>("address").unwrap_or_default() {
        let address: Option<net::SocketAddr> = text.parse().ok();
        addresses.push(address.ok_or_else(|| format!("--address {text}: not an IP address with a port"))?);
    }
    let clock = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let run_id = matches.get_one::<String>("run-id").cloned();
    Ok(load_run::LoadOptions {
        addresses,
        mix,
        arrivals,
        concurrency: read(matches, "concurrency")?,
        run_id: run_id.unwrap_or_else(|| format!("run{:x}", clock.unwrap_or_default().as_micros())),
        window: time::Duration::from_millis(read(matches, "window-ms")?),
    })
}

fn read<T: std::str::FromStr>(matches: &clap::ArgMatches, name: &str) -> Result<T, String> {
    let text = matches
        .get_one::<String>(name)
        .ok_or_else(|| format!("--{name} is missing"))?;
    text.parse()
        .ok()
        .ok_or_else(|| format!("--{name} {text}: not a valid value"))
}
