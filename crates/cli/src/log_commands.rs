//! Commands that read the logs of daemons.

use std::collections;
use std::fs;
use std::io;
use std::io::BufRead;

use crate::cli_error;
use crate::command_output;

/// Width of the longest bar of a plot, in characters.
const BAR_WIDTH: usize = 50;

/// A log line about a request.
#[derive(Debug)]
struct RequestEvent {
    timestamp: String,
    /// Name of the VM that a log collector put before the JSON; the path of the log file if there is none.
    source: String,
    message: String,
    request: String,
    outcome: String,
    /// All other fields as `name value`, separated by commas.
    rest: String,
}

/// `explain-request ID FILE...`: prints what daemons logged about a request and its inner calls, in order of time.
pub fn explain(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    // Ids of inner calls continue the id of the request that caused them after a dot.
    let inner = format!("{id}.");
    let mut events = read_events(matches)?;
    events.retain(|event| event.request == id || event.request.starts_with(&inner));
    if events.is_empty() {
        let message = format!("no line about request {id}; lines may have been left out under load");
        return Err(cli_error::CliError::Failed(message));
    }
    for event in events {
        let call = event
            .request
            .strip_prefix(&inner)
            .map_or(String::new(), |call| format!(" inner call {call}"));
        command_output::line(format!(
            "{} {}:{call} {}: {} ({})",
            event.timestamp, event.source, event.message, event.outcome, event.rest
        ))?;
    }
    Ok(())
}

/// `refusals FILE...`: counts failures and refusals by cause and second, and plots them.
pub fn refusals(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let mut causes: collections::BTreeMap<String, collections::BTreeMap<String, usize>> = collections::BTreeMap::new();
    for event in read_events(matches)? {
        if event.outcome.starts_with('2') {
            continue;
        }
        let second = event.timestamp.get(..19).unwrap_or(&event.timestamp).to_owned();
        let cause = format!("{}: {}", event.message, event.outcome);
        *causes.entry(cause).or_default().entry(second).or_default() += 1;
    }
    for (cause, seconds) in causes {
        let most = seconds.values().copied().max().unwrap_or(1);
        command_output::line(format!("{cause} ({})", seconds.values().sum::<usize>()))?;
        for (second, count) in seconds {
            let bar = "#".repeat((count * BAR_WIDTH).div_ceil(most));
            command_output::line(format!("  {second} {count:>6} {bar}"))?;
        }
    }
    Ok(())
}

/// Reads the lines about requests of all files, in order of time. Other lines, and text before the JSON, are skipped.
fn read_events(matches: &clap::ArgMatches) -> Result<Vec<RequestEvent>, cli_error::CliError> {
    let mut events = Vec::new();
    let mut findings = Vec::new();
    for path in matches.get_many::<String>("files").unwrap_or_default() {
        let read = fs::File::open(path).and_then(|file| {
            for line in io::BufReader::new(file).lines() {
                events.extend(event_of(path, &line?));
            }
            Ok(())
        });
        if let Err(error) = read {
            findings.push(format!("{path}: {error}"));
        }
    }
    if !findings.is_empty() {
        return Err(cli_error::CliError::Findings("logs can't be read".to_owned(), findings));
    }
    events.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    Ok(events)
}

fn event_of(path: &str, line: &str) -> Option<RequestEvent> {
    let (prefix, _json) = line.split_once('{')?;
    let value: serde_json::Value = serde_json::from_str(line.get(prefix.len()..)?).ok()?;
    let fields = value.get("kvs")?.as_object()?;
    let text = |name: &str| fields.get(name).and_then(serde_json::Value::as_str).map(str::to_owned);
    let rest = fields
        .iter()
        .filter(|(name, _value)| !matches!(name.as_str(), "request" | "outcome"));
    let rest: Vec<String> = rest.map(|(name, value)| format!("{name} {}", plain(value))).collect();
    // A log collector may put a timestamp and the name of the VM before the JSON; the name is the last word.
    let source = prefix.split_whitespace().last().map_or(path, |vm| vm);
    Some(RequestEvent {
        timestamp: value.get("timestamp")?.as_str()?.to_owned(),
        source: source.to_owned(),
        message: value.get("message")?.as_str()?.to_owned(),
        request: text("request")?,
        outcome: text("outcome")?,
        rest: rest.join(", "),
    })
}

fn plain(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
