//! Commands that read the logs of daemons.

use std::collections;
use std::fs;
use std::io;
use std::io::BufRead;

use crate::cli_error;
use crate::command_output;

/// Length of the longest bar of a plot, in characters.
const BAR_WIDTH: usize = 50;

/// Log line about a request.
#[derive(Debug)]
struct RequestEvent {
    timestamp: String,
    /// Name of the VM, if a log collector put it before the JSON; otherwise the path of the log file.
    source: String,
    message: String,
    request: String,
    outcome: String,
    /// All other fields of the line, as `name value` separated by commas.
    other_fields: String,
}

/// `explain-request ID FILE...`: prints the log lines about a request and its inner calls, ordered by timestamp.
pub fn explain(matches: &clap::ArgMatches) -> Result<(), cli_error::CliError> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    // The id of an inner call is the id of the request that caused it, a dot and a suffix.
    let inner_prefix = format!("{id}.");
    let mut events = read_events(matches)?;
    events.retain(|event| event.request == id || event.request.starts_with(&inner_prefix));
    if events.is_empty() {
        let message = format!("no line about request {id} in the logs; lines may have been dropped under load");
        return Err(cli_error::CliError::Failed(message));
    }
    for event in events {
        let call = event
            .request
            .strip_prefix(&inner_prefix)
            .map_or(String::new(), |call| format!(" inner call {call}"));
        command_output::print_line(format!(
            "{} {}:{call} {}: {} ({})",
            event.timestamp, event.source, event.message, event.outcome, event.other_fields
        ))?;
    }
    Ok(())
}

/// `refusals FILE...`: prints the number of failures and refusals per cause and second, with a bar for each number.
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
        let max_count = seconds.values().copied().max().unwrap_or(1);
        command_output::print_line(format!("{cause} ({})", seconds.values().sum::<usize>()))?;
        for (second, count) in seconds {
            let bar = "#".repeat((count * BAR_WIDTH).div_ceil(max_count));
            command_output::print_line(format!("  {second} {count:>6} {bar}"))?;
        }
    }
    Ok(())
}

/// Reads the lines about requests from all files and returns them ordered by timestamp. Other lines are skipped.
fn read_events(matches: &clap::ArgMatches) -> Result<Vec<RequestEvent>, cli_error::CliError> {
    let mut events = Vec::new();
    let mut findings = Vec::new();
    for path in matches.get_many::<String>("files").unwrap_or_default() {
        let result = fs::File::open(path).and_then(|file| {
            for line in io::BufReader::new(file).lines() {
                events.extend(parse_event(path, &line?));
            }
            Ok(())
        });
        if let Err(error) = result {
            findings.push(format!("{path}: {error}"));
        }
    }
    if !findings.is_empty() {
        return Err(cli_error::CliError::Findings(
            "some log files can't be read".to_owned(),
            findings,
        ));
    }
    events.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    Ok(events)
}

/// Parses a line; returns nothing for a line that is not JSON or has no request and outcome. Text before the JSON is
/// allowed.
fn parse_event(path: &str, line: &str) -> Option<RequestEvent> {
    let (prefix, _json) = line.split_once('{')?;
    let value: serde_json::Value = serde_json::from_str(line.get(prefix.len()..)?).ok()?;
    let fields = value.get("kvs")?.as_object()?;
    let text = |name: &str| fields.get(name).and_then(serde_json::Value::as_str).map(str::to_owned);
    let other_fields = fields
        .iter()
        .filter(|(name, _value)| !matches!(name.as_str(), "request" | "outcome"));
    let other_fields: Vec<String> = other_fields
        .map(|(name, value)| format!("{name} {}", plain_text(value)))
        .collect();
    // A log collector may put a timestamp and the name of the VM before the JSON. The name is the last word.
    let source = prefix.split_whitespace().last().map_or(path, |vm| vm);
    Some(RequestEvent {
        timestamp: value.get("timestamp")?.as_str()?.to_owned(),
        source: source.to_owned(),
        message: value.get("message")?.as_str()?.to_owned(),
        request: text("request")?,
        outcome: text("outcome")?,
        other_fields: other_fields.join(", "),
    })
}

fn plain_text(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
