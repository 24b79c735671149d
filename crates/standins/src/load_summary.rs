//! Results of the requests of a load run, and their summary.

use std::collections;
use std::time;

use serde_json::json;

/// How a request ended for its caller, after its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// A complete and correct response with a status below 400.
    Whole,
    /// A complete response with a status of 400 or more whose outcome is not refused, failed or unknown.
    ErrorStatus,
    /// A response with `Damasktrack-Outcome: refused`.
    Refused,
    /// A response with `Damasktrack-Outcome: failed`.
    Failed,
    /// A response with `Damasktrack-Outcome: unknown`.
    Unknown,
    /// The response body was truncated, or reading it failed.
    Cut,
    /// The response was complete, but its request id or its body is not that of this request.
    Wrong,
    /// No response, for example since the connection failed or the timeout expired.
    NoAnswer,
}

/// Result of one request: a line of the file that `standin-load --json-lines` writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestRecord {
    /// Name of the mix entry.
    pub entry: String,
    /// Request id that the daemon returned with the last attempt, otherwise the `Idempotency-Key` sent, if any.
    pub request_id: String,
    /// Due time, in microseconds since the start of the run.
    pub due_us: u64,
    /// Delay from the due time until a worker was free to send the request, in microseconds.
    pub late_us: u64,
    /// Time from the due time until the end of the last attempt, in microseconds.
    pub latency_us: u64,
    /// Number of attempts, at least 1.
    pub attempts: u32,
    /// HTTP status of the last attempt; 0 if it got no response.
    pub status: u16,
    /// `Damasktrack-Outcome` of the last attempt; `-` if absent.
    pub outcome: String,
    /// Classification of the last attempt.
    pub end: RequestEnd,
    /// Bytes of the response body that were read in the last attempt.
    pub bytes: u64,
    /// Error of the last attempt; empty if the response was read to its end and passed the checks.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub error: String,
}

/// Totals of the requests of one mix entry.
#[derive(Debug)]
struct EntrySummary {
    requests: u64,
    attempts: u64,
    bytes: u64,
    ends: collections::BTreeMap<RequestEnd, u64>,
    /// Number of requests by outcome header and status of the last attempt.
    responses: collections::BTreeMap<(String, u16), u64>,
    /// Latencies of the requests that ended as [`RequestEnd::Whole`], in microseconds.
    latency: hdrhistogram::Histogram<u64>,
}

/// Totals of the requests that were due in one time window.
#[derive(Debug)]
struct WindowSummary {
    requests: u64,
    whole: u64,
    /// Latencies of the requests that ended as [`RequestEnd::Whole`], in microseconds.
    latency: hdrhistogram::Histogram<u64>,
}

/// Totals of the requests of a run, by mix entry and by time window.
#[derive(Debug)]
pub struct LoadSummary {
    entries: collections::BTreeMap<String, EntrySummary>,
    /// By index of the window in which the requests were due.
    windows: collections::BTreeMap<u64, WindowSummary>,
    window: time::Duration,
    /// Number of requests that were sent more than [`LATE_THRESHOLD_US`] after their due time.
    sent_late: u64,
    /// First errors of the run, at most [`MAX_ERRORS`].
    errors: Vec<String>,
}

/// Maximum number of errors that a summary lists.
const MAX_ERRORS: usize = 5;
/// Delay past the due time above which a request counts as sent late.
const LATE_THRESHOLD_US: u64 = 10_000;

/// Upper bound of the latency histograms: one hour. Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Returns a histogram with a fixed range. An auto-resizing one would clamp values to its current range, since
/// `saturating_record` does not resize it.
fn histogram(significant_digits: u8) -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, significant_digits)
        .expect("the bounds are constant and valid")
}

/// Commands.
impl LoadSummary {
    /// Returns an empty summary with time windows of the given length, at least 1 ms.
    #[must_use]
    pub fn new(window: time::Duration) -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            windows: collections::BTreeMap::new(),
            window: window.max(time::Duration::from_millis(1)),
            sent_late: 0,
            errors: Vec::new(),
        }
    }

    /// Adds the result of a request.
    pub fn add(&mut self, record: &RequestRecord) {
        let entry = self.entries.entry(record.entry.clone());
        let entry = entry.or_insert_with(|| EntrySummary {
            requests: 0,
            attempts: 0,
            bytes: 0,
            ends: collections::BTreeMap::new(),
            responses: collections::BTreeMap::new(),
            latency: histogram(3),
        });
        entry.requests += 1;
        entry.attempts += u64::from(record.attempts);
        entry.bytes += record.bytes;
        *entry.ends.entry(record.end).or_default() += 1;
        let response = (record.outcome.clone(), record.status);
        *entry.responses.entry(response).or_default() += 1;
        let number = u128::from(record.due_us) / self.window.as_micros();
        let window = self.windows.entry(u64::try_from(number).unwrap_or(u64::MAX));
        let window = window.or_insert_with(|| WindowSummary {
            requests: 0,
            whole: 0,
            latency: histogram(2),
        });
        window.requests += 1;
        if record.end == RequestEnd::Whole {
            entry.latency.saturating_record(record.latency_us);
            window.whole += 1;
            window.latency.saturating_record(record.latency_us);
        }
        self.sent_late += u64::from(record.late_us > LATE_THRESHOLD_US);
        if !record.error.is_empty() && self.errors.len() < MAX_ERRORS {
            self.errors.push(format!("{}: {}", record.entry, record.error));
        }
    }
}

/// Queries.
impl LoadSummary {
    /// Returns the number of requests that ended as `end`, of one mix entry or of all.
    #[must_use]
    pub fn count(&self, entry: Option<&str>, end: RequestEnd) -> u64 {
        let entries = self
            .entries
            .iter()
            .filter(|pair| entry.is_none_or(|name| name == pair.0));
        entries.filter_map(|pair| pair.1.ends.get(&end)).sum()
    }

    /// Returns the number of requests of one mix entry or of all.
    #[must_use]
    pub fn requests(&self, entry: Option<&str>) -> u64 {
        let entries = self
            .entries
            .iter()
            .filter(|pair| entry.is_none_or(|name| name == pair.0));
        entries.map(|pair| pair.1.requests).sum()
    }

    /// Returns the summary as the JSON object that `standin-load` prints.
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
                    "p99_ms": quantile_ms(&window.latency, 0.99),
                })
            })
            .collect();
        json!({
            "requests": requests,
            "whole": self.count(None, RequestEnd::Whole),
            "wrong": self.count(None, RequestEnd::Wrong),
            "no_answer": self.count(None, RequestEnd::NoAnswer),
            "attempts_per_request": attempts as f64 / requests.max(1) as f64,
            "sent_late": self.sent_late,
            "entries": entries,
            "windows": windows,
            "errors": self.errors,
        })
    }
}

impl EntrySummary {
    fn to_json(&self) -> serde_json::Value {
        let responses: serde_json::Map<String, serde_json::Value> = self
            .responses
            .iter()
            .map(|((outcome, status), count)| (format!("{outcome} {status}"), json!(count)))
            .collect();
        json!({
            "requests": self.requests,
            "attempts": self.attempts,
            "bytes": self.bytes,
            "ends": self.ends,
            "answers": responses,
            "p50_ms": quantile_ms(&self.latency, 0.5),
            "p99_ms": quantile_ms(&self.latency, 0.99),
            "max_ms": quantile_ms(&self.latency, 1.0),
        })
    }
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
fn quantile_ms(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
