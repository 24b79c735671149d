//! Open-loop load generator with bounded concurrency, which spreads its requests over several daemons.

use std::io::Read;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::answer_body;
use crate::http_query;
use crate::load_mix;
use crate::load_summary;

/// Path at which a daemon issues request ids.
const ISSUE_PATH: &str = "/damasktrack/v1/request-ids";
/// Size of the buffer for reading a response body.
const BLOCK_BYTES: usize = 64 * 1024;

/// Requests of a run, and how they are sent.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry addresses of the daemons, used in rotation by requests and their retries. Must not be empty.
    pub addresses: Vec<net::SocketAddr>,
    /// Requests that `arrivals` refers to by index.
    pub mix: load_mix::LoadMix,
    /// Due time and mix entry of each request, in the order in which the requests are sent.
    pub arrivals: Vec<load_mix::Arrival>,
    /// Maximum number of concurrent requests; 0 counts as 1. Requests above the limit are sent late; their latency is
    /// measured from the time at which they were due.
    pub concurrency: usize,
    /// Prefix of the request ids that the caller generates. Must differ between runs.
    pub run_id: String,
    /// Length of the time windows of the summary.
    pub window: time::Duration,
}

/// Result of one attempt of a request.
#[derive(Clone, Debug)]
struct AttemptResult {
    status: u16,
    outcome: String,
    request_id: String,
    end: load_summary::RequestEnd,
    bytes: u64,
    error: String,
}

impl AttemptResult {
    fn no_answer(error: String) -> Self {
        Self {
            status: 0,
            outcome: "-".to_owned(),
            request_id: String::new(),
            end: load_summary::RequestEnd::NoAnswer,
            bytes: 0,
            error,
        }
    }
}

/// Sends all requests and returns their summary. The worker threads call `observe` for each request when it has ended.
pub fn run(options: &LoadOptions, observe: impl Fn(&load_summary::RequestRecord) + Sync) -> load_summary::LoadSummary {
    let start = time::Instant::now();
    let next_index = atomic::AtomicUsize::new(0);
    let summary = sync::Mutex::new(load_summary::LoadSummary::new(options.window));
    thread::scope(|scope| {
        for _ in 0..options.concurrency.clamp(1, options.arrivals.len().max(1)) {
            scope.spawn(|| {
                let agent = build_agent();
                loop {
                    let index = next_index.fetch_add(1, atomic::Ordering::Relaxed);
                    let Some(arrival) = options.arrivals.get(index) else {
                        return;
                    };
                    let due = start + arrival.at;
                    thread::sleep(due.saturating_duration_since(time::Instant::now()));
                    let record = send(options, &agent, index, arrival, due);
                    observe(&record);
                    let mut summary = summary.lock().unwrap_or_else(sync::PoisonError::into_inner);
                    summary.add(&record);
                }
            });
        }
    });
    summary.into_inner().unwrap_or_else(sync::PoisonError::into_inner)
}

fn build_agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .build();
    ureq::Agent::new_with_config(config)
}

/// Sends a request, retries included.
fn send(
    options: &LoadOptions,
    agent: &ureq::Agent,
    index: usize,
    arrival: &load_mix::Arrival,
    due: time::Instant,
) -> load_summary::RequestRecord {
    let entry = &options.mix.entries[arrival.entry];
    let late = due.elapsed();
    let mut attempts = 0;
    let mut key = match entry.key {
        load_mix::KeyMode::Unique => format!("{}-{index}", options.run_id),
        load_mix::KeyMode::None | load_mix::KeyMode::Issued => String::new(),
    };
    let last = loop {
        let address = options.addresses[(index + attempts as usize) % options.addresses.len()];
        attempts += 1;
        let result = if entry.key == load_mix::KeyMode::Issued && key.is_empty() {
            fetch_id(agent, address, entry).map(|issued| key = issued)
        } else {
            Ok(())
        };
        let result = match result {
            Ok(()) => attempt(agent, address, entry, &key),
            Err(error) => AttemptResult::no_answer(error),
        };
        if !may_retry(result.end) || attempts > entry.retries {
            break result;
        }
        thread::sleep(time::Duration::from_millis(entry.retry_delay_ms));
    };
    load_summary::RequestRecord {
        entry: entry.name.clone(),
        request_id: if last.request_id.is_empty() {
            key
        } else {
            last.request_id
        },
        due_us: microseconds(arrival.at),
        late_us: microseconds(late),
        latency_us: microseconds(due.elapsed()),
        attempts,
        status: last.status,
        outcome: last.outcome,
        end: last.end,
        bytes: last.bytes,
        error: last.error,
    }
}

/// Returns whether the caller retries after this result, which it does if another attempt may succeed. Retries with the
/// same request id are safe for actions too, since the daemon prevents an action from running twice.
fn may_retry(end: load_summary::RequestEnd) -> bool {
    match end {
        load_summary::RequestEnd::Whole | load_summary::RequestEnd::Wrong => false,
        load_summary::RequestEnd::ErrorStatus
        | load_summary::RequestEnd::Refused
        | load_summary::RequestEnd::Failed
        | load_summary::RequestEnd::Unknown
        | load_summary::RequestEnd::Cut
        | load_summary::RequestEnd::NoAnswer => true,
    }
}

/// Obtains an issued request id from a daemon.
fn fetch_id(agent: &ureq::Agent, address: net::SocketAddr, entry: &load_mix::MixEntry) -> Result<String, String> {
    let request = agent
        .post(format!("http://{address}{ISSUE_PATH}"))
        .config()
        .timeout_global(Some(time::Duration::from_millis(entry.timeout_ms)))
        .build();
    let mut response = request.send_empty().map_err(|error| format!("request id: {error}"))?;
    let status = response.status();
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|error| format!("request id: {error}"))?;
    let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let id = body["request_id"].as_str();
    id.map(str::to_owned)
        .ok_or_else(|| format!("request id: status {status} without 'request_id'"))
}

fn attempt(agent: &ureq::Agent, address: net::SocketAddr, entry: &load_mix::MixEntry, key: &str) -> AttemptResult {
    let mut request = ureq::http::Request::builder()
        .method(entry.method.as_str())
        .uri(format!("http://{address}{}", entry.path));
    for (name, value) in &entry.headers {
        request = request.header(name, value);
    }
    if !key.is_empty() {
        request = request.header("Idempotency-Key", key);
    }
    let request = match request.body(entry.body.as_str()) {
        Ok(request) => request,
        Err(error) => return AttemptResult::no_answer(error.to_string()),
    };
    let request = agent
        .configure_request(request)
        .timeout_global(Some(time::Duration::from_millis(entry.timeout_ms)))
        .http_status_as_error(false)
        .build();
    match agent.run(request) {
        Ok(response) => read_response(response, entry, key),
        Err(error) => AttemptResult::no_answer(error.to_string()),
    }
}

fn read_response(response: ureq::http::Response<ureq::Body>, entry: &load_mix::MixEntry, key: &str) -> AttemptResult {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let mut result = AttemptResult {
        status: response.status().as_u16(),
        outcome: header("Damasktrack-Outcome").unwrap_or_else(|| "-".to_owned()),
        request_id: header("Damasktrack-Request-Id").unwrap_or_default(),
        end: load_summary::RequestEnd::Whole,
        bytes: 0,
        error: String::new(),
    };
    result.end = match (result.outcome.as_str(), result.status) {
        ("refused", _) => load_summary::RequestEnd::Refused,
        ("failed", _) => load_summary::RequestEnd::Failed,
        ("unknown", _) => load_summary::RequestEnd::Unknown,
        (_, 400..) => load_summary::RequestEnd::ErrorStatus,
        _ => load_summary::RequestEnd::Whole,
    };
    let whole = result.end == load_summary::RequestEnd::Whole;
    if whole && !key.is_empty() && result.request_id != key {
        result.end = load_summary::RequestEnd::Wrong;
        result.error = format!("answer to request id '{}' instead of '{key}'", result.request_id);
    }
    let check_pattern = whole && entry.check == load_mix::BodyCheck::Pattern;
    read_body(response, entry, check_pattern, &mut result);
    result
}

fn read_body(
    response: ureq::http::Response<ureq::Body>,
    entry: &load_mix::MixEntry,
    check_pattern: bool,
    result: &mut AttemptResult,
) {
    let (path, query) = http_query::split(&entry.path);
    let seed = answer_body::seed(&result.request_id, backend_path(path));
    let mut reader = response.into_body().into_reader();
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let count = match reader.read(&mut block) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) => {
                result.end = load_summary::RequestEnd::Cut;
                result.error = format!("answer ended after {} bytes: {error}", result.bytes);
                return;
            }
        };
        if check_pattern && !answer_body::matches(seed, result.bytes, &block[..count]) {
            result.end = load_summary::RequestEnd::Wrong;
            result.error = format!("answer differs in the {count} bytes from byte {}", result.bytes);
        }
        result.bytes += count as u64;
    }
    let expected = http_query::value(query, "bytes").and_then(|bytes| bytes.parse().ok());
    if check_pattern && expected.is_some_and(|expected: u64| expected != result.bytes) {
        result.end = load_summary::RequestEnd::Wrong;
        result.error = format!("answer has {} bytes", result.bytes);
    }
}

/// Returns the path that the backend server receives: without the first segment, which names the service.
fn backend_path(path: &str) -> &str {
    let rest = path.trim_start_matches('/');
    rest.find('/').map_or("/", |at| &rest[at..])
}

fn microseconds(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
