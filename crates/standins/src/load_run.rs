//! The load generator: open loop, bounded concurrency, several daemons.

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
/// Bytes of a body that are read at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// What to run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry addresses, used in turn.
    pub addresses: Vec<net::SocketAddr>,
    /// The requests.
    pub mix: load_mix::LoadMix,
    /// When they are due.
    pub arrivals: Vec<load_mix::Arrival>,
    /// Most requests at the same time; further ones are sent late, and their latency counts from when they were due.
    pub concurrency: usize,
    /// First part of the caller's request ids; must differ from run to run.
    pub run_id: String,
    /// Length of the summary's windows.
    pub window: time::Duration,
}

/// How one attempt ended.
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

/// Runs the load and returns its summary; `observe` gets each request.
pub fn run(options: &LoadOptions, observe: impl Fn(&load_summary::RequestRecord) + Sync) -> load_summary::LoadSummary {
    let start = time::Instant::now();
    let next = atomic::AtomicUsize::new(0);
    let summary = sync::Mutex::new(load_summary::LoadSummary::new(options.window));
    thread::scope(|scope| {
        for _ in 0..options.concurrency.clamp(1, options.arrivals.len().max(1)) {
            scope.spawn(|| {
                let agent = agent();
                loop {
                    let index = next.fetch_add(1, atomic::Ordering::Relaxed);
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

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .build();
    ureq::Agent::new_with_config(config)
}

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
            issue(agent, address, entry).map(|issued| key = issued)
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

/// A caller retries what may succeed next time; the daemon keeps actions from running twice.
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

fn issue(agent: &ureq::Agent, address: net::SocketAddr, entry: &load_mix::MixEntry) -> Result<String, String> {
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
        Ok(response) => read_answer(response, entry, key),
        Err(error) => AttemptResult::no_answer(error.to_string()),
    }
}

fn read_answer(response: ureq::http::Response<ureq::Body>, entry: &load_mix::MixEntry, key: &str) -> AttemptResult {
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
    let check = whole && entry.check == load_mix::BodyCheck::Pattern;
    read_body(response, entry, check, &mut result);
    result
}

fn read_body(
    response: ureq::http::Response<ureq::Body>,
    entry: &load_mix::MixEntry,
    check: bool,
    result: &mut AttemptResult,
) {
    let (path, query) = http_query::split(&entry.path);
    let seed = answer_body::seed(&result.request_id, path_at_service(path));
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
        if check && !answer_body::matches(seed, result.bytes, &block[..count]) {
            result.end = load_summary::RequestEnd::Wrong;
            result.error = format!("answer differs in the {count} bytes from byte {}", result.bytes);
        }
        result.bytes += count as u64;
    }
    let expected = http_query::value(query, "bytes").and_then(|bytes| bytes.parse().ok());
    if check && expected.is_some_and(|expected: u64| expected != result.bytes) {
        result.end = load_summary::RequestEnd::Wrong;
        result.error = format!("answer has {} bytes", result.bytes);
    }
}

/// Returns the path that the backend server sees: without the first segment, which names the service.
fn path_at_service(path: &str) -> &str {
    let rest = path.trim_start_matches('/');
    rest.find('/').map_or("/", |at| &rest[at..])
}

fn microseconds(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
