//! Results of a load run.

use std::collections;
use std::time;

use serde_json::json;

/// How a request ended for its caller, after its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// A complete and correct answer with a status below 400.
    Whole,
    /// A complete answer of the backend server with a status of 400 or more.
    ErrorStatus,
    /// `Damasktrack-Outcome: refused`.
    Refused,
    /// `Damasktrack-Outcome: failed`.
    Failed,
    /// `Damasktrack-Outcome: unknown`.
    Unknown,
    /// The answer ended before its end.
    Cut,
    /// The answer was complete, but not the one to this request.
    Wrong,
    /// No answer: not connected, or silent until the timeout.
    NoAnswer,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestRecord {
    /// Name of the mix entry.
    pub entry: String,
    /// Request id that the daemon reported, or the key that was sent.
    pub request_id: String,
    /// When the request was due, in microseconds since the start of the run.
    pub due_us: u64,
    /// How much later it was sent because all workers were busy.
    pub late_us: u64,
    /// From when it was due until its end.
    pub latency_us: u64,
    /// Attempts sent.
    pub attempts: u32,
    /// Status of the last attempt, 0 for none.
    pub status: u16,
    /// `Damasktrack-Outcome` of the last attempt, `-` if absent.
    pub outcome: String,
    /// How the request ended.
    pub end: RequestEnd,
    /// Bytes of the last answer's body.
    pub bytes: u64,
    /// What went wrong, if anything.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub error: String,
}

#[derive(Debug)]
struct EntrySummary {
    requests: u64,
    attempts: u64,
    bytes: u64,
    ends: collections::BTreeMap<RequestEnd, u64>,
    /// By outcome header and status.
    answers: collections::BTreeMap<(String, u16), u64>,
    /// Latency of whole requests, in microseconds.
    whole: hdrhistogram::Histogram<u64>,
}

#[derive(Debug)]
struct WindowSummary {
    requests: u64,
    whole: u64,
    latency: hdrhistogram::Histogram<u64>,
}

/// Summary of a run.
#[derive(Debug)]
pub struct LoadSummary {
    entries: collections::BTreeMap<String, EntrySummary>,
    /// By number of the window in which the request was due.
    windows: collections::BTreeMap<u64, WindowSummary>,
    window: time::Duration,
    late: u64,
    /// Some errors, for diagnosis.
    errors: Vec<String>,
}

/// Most errors that a summary quotes.
const MAX_ERRORS: usize = 5;
/// A request that was sent later than this counts as late.
const LATE_US: u64 = 10_000;

/// Longest latency that is told apart from longer ones: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Returns a histogram of fixed range. One that resizes itself would not do so for `saturating_record`.
fn histogram(digits: u8) -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, digits).expect("the bounds are constant and valid")
}

/// Commands.
impl LoadSummary {
    /// Returns an empty summary with windows of a length.
    #[must_use]
    pub fn new(window: time::Duration) -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            windows: collections::BTreeMap::new(),
            window: window.max(time::Duration::from_millis(1)),
            late: 0,
            errors: Vec::new(),
        }
    }

    /// Adds a request.
    pub fn add(&mut self, record: &RequestRecord) {
        let entry = self.entries.entry(record.entry.clone());
        let entry = entry.or_insert_with(|| EntrySummary {
            requests: 0,
            attempts: 0,
            bytes: 0,
            ends: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            whole: histogram(3),
        });
        entry.requests += 1;
        entry.attempts += u64::from(record.attempts);
        entry.bytes += record.bytes;
        *entry.ends.entry(record.end).or_default() += 1;
        let answer = (record.outcome.clone(), record.status);
        *entry.answers.entry(answer).or_default() += 1;
        let number = u128::from(record.due_us) / self.window.as_micros();
        let window = self.windows.entry(u64::try_from(number).unwrap_or(u64::MAX));
        let window = window.or_insert_with(|| WindowSummary {
            requests: 0,
            whole: 0,
            latency: histogram(2),
        });
        window.requests += 1;
        if record.end == RequestEnd::Whole {
            entry.whole.saturating_record(record.latency_us);
            window.whole += 1;
            window.latency.saturating_record(record.latency_us);
        }
        self.late += u64::from(record.late_us > LATE_US);
        if !record.error.is_empty() && self.errors.len() < MAX_ERRORS {
            self.errors.push(format!("{}: {}", record.entry, record.error));
        }
    }
}

/// Queries.
impl LoadSummary {
    /// Returns how many requests ended in a way, of one entry or of all.
    #[must_use]
    pub fn count(&self, entry: Option<&str>, end: RequestEnd) -> u64 {
        let entries = self
            .entries
            .iter()
            .filter(|pair| entry.is_none_or(|name| name == pair.0));
        entries.filter_map(|pair| pair.1.ends.get(&end)).sum()
    }

    /// Returns the number of requests of one entry or of all.
    #[must_use]
    pub fn requests(&self, entry: Option<&str>) -> u64 {
        let entries = self
            .entries
            .iter()
            .filter(|pair| entry.is_none_or(|name| name == pair.0));
        entries.map(|pair| pair.1.requests).sum()
    }

    /// Returns the summary as JSON.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        let requests = self.requests(None);
        let attempts: u64 = self.entries.values().map(|entry| entry.attempts).sum();
        let entries: serde_json::Map<String, serde_json::Value> = self
            .entries
            .iter()
            .map(|(name, entry)| (name.clone(), entry.to_json()))
            .collect();
        let windows: Vec<serde_json::Value> = self
            .windows
            .iter()
            .map(|(number, window)| {
                json!({
                    "start_s": *number as f64 * self.window.as_secs_f64(),
                    "requests": window.requests,
                    "whole": window.whole,
                    "p99_ms": milliseconds(&window.latency, 0.99),
                })
            })
            .collect();
        json!({
            "requests": requests,
            "whole": self.count(None, RequestEnd::Whole),
            "wrong": self.count(None, RequestEnd::Wrong),
            "no_answer": self.count(None, RequestEnd::NoAnswer),
            "attempts_per_request": attempts as f64 / requests.max(1) as f64,
            "sent_late": self.late,
            "entries": entries,
            "windows": windows,
            "errors": self.errors,
        })
    }
}

impl EntrySummary {
    fn to_json(&self) -> serde_json::Value {
        let answers: serde_json::Map<String, serde_json::Value> = self
            .answers
            .iter()
            .map(|((outcome, status), count)| (format!("{outcome} {status}"), json!(count)))
            .collect();
        json!({
            "requests": self.requests,
            "attempts": self.attempts,
            "bytes": self.bytes,
            "ends": self.ends,
            "answers": answers,
            "p50_ms": milliseconds(&self.whole, 0.5),
            "p99_ms": milliseconds(&self.whole, 0.99),
            "max_ms": milliseconds(&self.whole, 1.0),
        })
    }
}

fn milliseconds(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
