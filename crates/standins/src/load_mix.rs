//! Requests that the load generator sends, and their schedule.

use std::collections;
use std::time;

use rand::{RngExt, SeedableRng};

/// Maximum number of requests in one run.
const MAX_REQUESTS: usize = 20_000_000;

/// Source of the request ids of a mix entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyMode {
    /// No `Idempotency-Key`; the daemon issues an id for each attempt.
    #[default]
    None,
    /// An id that the caller generates, the same for all attempts of a request.
    Unique,
    /// An id that a daemon issues, the same for all attempts of a request.
    Issued,
}

/// How a response body is checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyCheck {
    /// Each byte, against the body that the stand-in generates from the request id and the path, and the length against
    /// `?bytes=`, if present.
    #[default]
    Pattern,
    /// Only that the body is not truncated.
    Length,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// Name of the entry in the summary, and in `--require` of `standin-load`.
    pub name: String,
    /// HTTP method; GET by default.
    #[serde(default = "default_method")]
    pub method: String,
    /// URL path with query; the first segment names the service. `?bytes=` sets the size of the response.
    pub path: String,
    /// Additional request headers.
    #[serde(default)]
    pub headers: collections::BTreeMap<String, String>,
    /// Share of the requests, relative to the weights of the other entries; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Request body.
    #[serde(default)]
    pub body: String,
    /// Source of the request id.
    #[serde(default)]
    pub key: KeyMode,
    /// Maximum number of attempts after the first; 0 by default.
    #[serde(default)]
    pub retries: u32,
    /// Delay before each retry, in milliseconds; 50 by default.
    #[serde(default = "default_retry_delay")]
    pub retry_delay_ms: u64,
    /// Timeout of each HTTP request, including the one for an issued id, in milliseconds; 10,000 by default.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// How the response body is checked.
    #[serde(default)]
    pub check: BodyCheck,
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_weight() -> f64 {
    1.0
}

fn default_retry_delay() -> u64 {
    50
}

fn default_timeout() -> u64 {
    10_000
}

/// Kinds of requests with their shares: the file that `standin-load --mix` reads.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// Kinds of requests. The sum of their weights must be positive.
    pub entries: Vec<MixEntry>,
}

/// Constant request rate over a period of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStep {
    /// Requests per second; 0 for a pause.
    pub rate: f64,
    /// Length of the period.
    pub length: time::Duration,
}

/// Scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Due time, relative to the start of the run.
    pub at: time::Duration,
    /// Index of the mix entry in [`LoadMix::entries`].
    pub entry: usize,
}

/// Parses `RATE:SECONDS,RATE:SECONDS,…`.
///
/// # Errors
/// Returns a message that quotes the first malformed step.
pub fn parse_steps(text: &str) -> Result<Vec<RateStep>, String> {
    text.split(',').map(parse_step).collect()
}

fn parse_step(text: &str) -> Result<RateStep, String> {
    let pair = text.split_once(':');
    let numbers = pair.and_then(|(rate, seconds)| Some((rate.parse().ok()?, seconds.parse().ok()?)));
    let step = numbers.and_then(|(rate, seconds): (f64, f64)| {
        let length = time::Duration::try_from_secs_f64(seconds).ok()?;
        (rate >= 0.0 && rate.is_finite()).then_some(RateStep { rate, length })
    });
    step.ok_or_else(|| format!("'{text}' is not RATE:SECONDS"))
}

/// Returns the requests of a run, evenly spaced within each step. The entry of each request is drawn by weight from a
/// random number generator with this seed.
///
/// # Errors
/// Returns an error if the weights are invalid or the run has too many requests.
pub fn schedule(mix: &LoadMix, steps: &[RateStep], seed: u64) -> Result<Vec<Arrival>, String> {
    let total: f64 = mix.entries.iter().map(|entry| entry.weight).sum();
    let negative = mix.entries.iter().any(|entry| entry.weight < 0.0);
    if negative || total <= 0.0 || !total.is_finite() {
        return Err("the weights of the mix must be 0 or more with a sum over 0".to_owned());
    }
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut start = time::Duration::ZERO;
    for step in steps {
        let mut index = 0_u32;
        loop {
            let offset = f64::from(index) / step.rate;
            // A rate of 0 is a pause, for which the offset is NaN.
            if step.rate <= 0.0 || offset >= step.length.as_secs_f64() {
                break;
            }
            if arrivals.len() == MAX_REQUESTS {
                return Err(format!("the run has more than {MAX_REQUESTS} requests"));
            }
            arrivals.push(Arrival {
                at: start + time::Duration::from_secs_f64(offset),
                entry: pick_entry(mix, rng.random_range(0.0..total)),
            });
            index += 1;
        }
        start += step.length;
    }
    Ok(arrivals)
}

/// Returns the index of the entry for a draw between 0 and the sum of the weights.
fn pick_entry(mix: &LoadMix, mut draw: f64) -> usize {
    for (index, entry) in mix.entries.iter().enumerate() {
        if draw < entry.weight {
            return index;
        }
        draw -= entry.weight;
    }
    mix.entries.len() - 1
}
