//! Outlier ejection: servers that are much slower than their peers or unreachable get only probes.

use std::time;

use crate::latency_estimate;

/// Multiple of the median latency of its service beyond which a server is a straggler.
pub const EJECTION_RATIO: f64 = 3.0;
/// Multiple of the median latency within which a probe passes; lower than [`EJECTION_RATIO`] to prevent flapping.
pub const RETURN_RATIO: f64 = 2.0;
/// At most one in this many servers of a service is ejected as a straggler, since the others could not handle the load
/// of further ones.
pub const SERVERS_PER_EJECTION: usize = 3;
/// Weight of the prior that a server is as fast as the median, in calls. Without it a single slow call among few would
/// eject the server: with exponential latencies a single call exceeds twice this many medians once in 3,000 calls.
const PRIOR_CALLS: f64 = 4.0;
/// Weight of the long-term mean in the mean of a server, in calls. Means over the few calls of the last second alone
/// vary too much to be compared.
const LONG_TERM_CALLS: f64 = 8.0;
/// Lower bound of the median in a comparison, since smaller differences come from the network and the scheduler.
const MIN_MEDIAN_SECONDS: f64 = 0.001;
/// Share of the network delay that counts as its normal variation.
const DELAY_VARIATION: f64 = 0.1;
/// Least servers with a mean for the class from which a median is computed; with fewer, servers are compared with the
/// past latency of the class.
pub const MIN_PEERS: usize = 3;
/// Consecutive passed probes that end the ejection of a straggler. A server that is ten times slower passes one of five
/// probes.
const REQUIRED_PASSES: u32 = 2;
/// Least time until the first probe, doubled after each failed one.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Upper bound of the backoff. With 8 s a recovered server at 100 calls/s sometimes stayed ejected for more than 20 s.
/// The load of probes is limited by `CALLS_PER_PROBE`.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// Backoff intervals after which any call may be the probe, so that a server of a service without suitable calls can
/// return too.
const ANY_CALL_INTERVALS: u32 = 3;
/// Least calls of the service per probe. Slow probes are then well below 1% of the calls and do not raise the 99th
/// percentile.
const CALLS_PER_PROBE: u64 = 250;
/// Time after which a probe is sent with fewer calls than `CALLS_PER_PROBE`.
const IDLE_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its latency is over [`EJECTION_RATIO`] times the median of its service.
    Straggler,
    /// A connection was refused or silent for too long, or several calls in a row failed.
    Unreachable,
}

/// Latency observations of one server and class, and the network delay that they include.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StragglerSample {
    /// Recent totals with the network delay included.
    pub totals: latency_estimate::RecentTotals,
    /// Long-term mean in seconds, with the network delay included.
    pub long_term_mean: Option<f64>,
    /// Round-trip network delay in seconds.
    pub network_delay: f64,
}

impl StragglerSample {
    /// Returns the mean latency in seconds without the network delay; `None` without a long-term mean.
    #[must_use]
    pub fn server_mean(&self) -> Option<f64> {
        let mean = self
            .long_term_mean
            .map(|mean| (self.totals.seconds + mean * LONG_TERM_CALLS) / (self.totals.completed + LONG_TERM_CALLS));
        mean.map(|mean| (mean - self.network_delay).max(0.0))
    }

    /// Returns the ratio of the server's latency to `median` (in seconds) over its recent calls and those in progress.
    #[must_use]
    pub fn ratio(&self, median: f64) -> f64 {
        let expected = median.max(MIN_MEDIAN_SECONDS) + self.network_delay * DELAY_VARIATION;
        let calls = self.totals.completed + f64::from(self.totals.in_flight);
        let seconds = (self.totals.seconds - self.network_delay * calls).max(0.0);
        (seconds / expected + PRIOR_CALLS) / (self.totals.completed + PRIOR_CALLS)
    }

    /// Returns whether the latency of a probe is within [`RETURN_RATIO`] of `median` (in seconds).
    #[must_use]
    pub fn passes_probe(&self, latency: time::Duration, median: f64) -> bool {
        let expected = median.max(MIN_MEDIAN_SECONDS) + self.network_delay * DELAY_VARIATION;
        latency.as_secs_f64() - self.network_delay <= expected * RETURN_RATIO
    }
}

/// Returns the median of the samples' server means; `None` with fewer than [`MIN_PEERS`].
pub fn median(samples: impl Iterator<Item = StragglerSample>) -> Option<f64> {
    let mut means: Vec<f64> = samples.filter_map(|sample| sample.server_mean()).collect();
    if means.len() < MIN_PEERS {
        return None;
    }
    means.sort_unstable_by(f64::total_cmp);
    // The lower median, since a straggler must not raise the value that it is compared with.
    Some(means[(means.len() - 1) / 2])
}

/// Returns how many servers of a service may be ejected as stragglers.
#[must_use]
pub fn ejection_limit(servers: usize) -> usize {
    servers / SERVERS_PER_EJECTION
}

/// Whether an ejected server may get a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeDecision {
    /// No probe is due.
    Wait,
    /// The next call with [`RouteRequest::may_probe`](crate::route_candidate::RouteRequest::may_probe) is a probe.
    Suitable,
    /// The next call of any kind is a probe.
    Any,
}

/// Ejection of one server. A probe is sent only while none is in flight.
#[derive(Clone, Copy, Debug)]
pub struct EjectionState {
    cause: EjectionCause,
    backoff_started: time::Instant,
    backoff: time::Duration,
    /// Calls in progress that were begun during the ejection; more than one only while no other server can get a call.
    in_flight: u32,
    /// Calls of the service when the server was ejected or the last probe was sent.
    calls: u64,
    /// Passed probes since the last failed one.
    passes: u32,
}

impl EjectionState {
    /// Creates the state of a server ejected at `now`; `calls` is the number of calls of the service so far.
    #[must_use]
    pub fn new(cause: EjectionCause, calls: u64, now: time::Instant) -> Self {
        Self {
            cause,
            backoff_started: now,
            backoff: INITIAL_BACKOFF,
            in_flight: 0,
            calls,
            passes: 0,
        }
    }

    /// Counts a probe that is sent; `calls` is the number of calls of the service so far.
    pub fn probe_sent(&mut self, calls: u64, now: time::Instant) {
        self.in_flight += 1;
        self.backoff_started = now;
        self.calls = calls;
    }

    /// Counts a passed probe; returns whether the ejection ends. If it does not, a further probe is due at once.
    pub fn probe_passed(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.passes += 1;
        self.cause == EjectionCause::Unreachable || self.passes >= REQUIRED_PASSES
    }

    /// Counts a probe that was slow or failed, and doubles the backoff up to its limit.
    pub fn probe_failed(&mut self, now: time::Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.backoff_started = now;
        self.passes = 0;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Counts a probe that ended without a result, for example because its caller disconnected.
    pub fn probe_inconclusive(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl EjectionState {
    /// Returns why the server is ejected.
    #[must_use]
    pub fn cause(&self) -> EjectionCause {
        self.cause
    }

    /// Decides whether a probe is due; `calls` is the number of calls of the service so far.
    #[must_use]
    pub fn probe_due(&self, calls: u64, now: time::Instant) -> ProbeDecision {
        let waited = now.saturating_duration_since(self.backoff_started);
        if self.passes > 0 && self.in_flight == 0 && waited < IDLE_PROBE_INTERVAL {
            return ProbeDecision::Suitable;
        }
        if self.in_flight > 0 || waited < self.backoff {
            return ProbeDecision::Wait;
        }
        if calls.saturating_sub(self.calls) < CALLS_PER_PROBE && waited < IDLE_PROBE_INTERVAL {
            return ProbeDecision::Wait;
        }
        if waited >= IDLE_PROBE_INTERVAL.max(self.backoff * ANY_CALL_INTERVALS) {
            return ProbeDecision::Any;
        }
        ProbeDecision::Suitable
    }
}
