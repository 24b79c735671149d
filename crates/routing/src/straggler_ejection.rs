//! Which servers get no calls because they are far slower than their peers or can't be reached.

use std::time;

use crate::latency_estimate;

/// A server is a straggler beyond this multiple of the median of its service.
pub const EJECTION_RATIO: f64 = 3.0;
/// A probe within this multiple of the median returns the server; lower than [`EJECTION_RATIO`] against flapping.
pub const RETURN_RATIO: f64 = 2.0;
/// At most one in this many servers of a service is ejected as a straggler; the rest could not carry more load.
pub const EJECTED_ONE_IN: usize = 3;
/// Weight of the assumption that a server is as fast as the median, in calls. Without it a single slow call among few
/// would eject: with exponential latencies a lone call exceeds twice this many medians once in 3,000 calls.
const PRIOR_CALLS: f64 = 4.0;
/// Weight of the long-term mean in a server's mean, in calls. Means over the few calls of the last second vary too much
/// to be compared.
const TYPICAL_CALLS: f64 = 8.0;
/// Differences below this come from the network and the scheduler, not from the server.
const MIN_MEDIAN_SECONDS: f64 = 0.001;
/// Share of the network delay by which it may vary.
const DELAY_VARIATION: f64 = 0.1;
/// Servers of one class needed for a median; with fewer the class's own past is the measure.
pub const MIN_PEERS: usize = 3;
/// Good probes in a row that return a straggler. A server ten times slower passes a single one in one case of five.
const GOOD_PROBES: u32 = 2;
/// Time until the first probe, doubled after each failed one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Longest time between two probes. With 8 s a recovered server at 100 calls/s stayed away for more than 20 s at times;
/// the load of probes is bounded by `CALLS_PER_PROBE`.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// After this many probe intervals any call may be the probe, so that a server without suitable calls returns too.
const PATIENCE: u32 = 3;
/// Calls of the service per probe. Slow probes then stay well under 1% of calls and out of the 99th percentile.
const CALLS_PER_PROBE: u64 = 250;
/// Time after which a probe is sent however few calls there were.
const IDLE_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its latency is over [`EJECTION_RATIO`] times the median of its service.
    Straggler,
    /// It refused a connection, was silent, or failed several calls in a row.
    Unreachable,
}

/// Latency of one server and class, less the network delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StragglerSample {
    /// Recent totals with the network delay included.
    pub totals: latency_estimate::RecentTotals,
    /// Long-term mean in seconds, with the network delay included.
    pub typical: Option<f64>,
    /// Network delay in seconds, both ways.
    pub network_delay: f64,
}

impl StragglerSample {
    /// Returns the mean latency of the server itself in seconds; `None` without observations.
    #[must_use]
    pub fn server_mean(&self) -> Option<f64> {
        let mean = self
            .typical
            .map(|typical| (self.totals.spent + typical * TYPICAL_CALLS) / (self.totals.finished + TYPICAL_CALLS));
        mean.map(|mean| (mean - self.network_delay).max(0.0))
    }

    /// Returns how many times slower than `median` the server is, given its recent calls and those in progress.
    #[must_use]
    pub fn ratio(&self, median: f64) -> f64 {
        let expected = median.max(MIN_MEDIAN_SECONDS) + self.network_delay * DELAY_VARIATION;
        let calls = self.totals.finished + f64::from(self.totals.in_flight);
        let spent = (self.totals.spent - self.network_delay * calls).max(0.0);
        (spent / expected + PRIOR_CALLS) / (self.totals.finished + PRIOR_CALLS)
    }

    /// Returns whether one latency is near enough to `median` for the server to return.
    #[must_use]
    pub fn is_good(&self, latency: time::Duration, median: f64) -> bool {
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
    // The lower middle: a straggler must not raise the measure that it is held against.
    Some(means[(means.len() - 1) / 2])
}

/// Returns how many servers of a service may be ejected as stragglers.
#[must_use]
pub fn ejection_limit(servers: usize) -> usize {
    servers / EJECTED_ONE_IN
}

/// Whether an ejected server may get a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeDecision {
    /// Not yet.
    Wait,
    /// The next call that may be a probe.
    Suitable,
    /// The next call of any kind.
    Any,
}

/// Ejection of one server. A probe is sent only while none is in flight.
#[derive(Clone, Copy, Debug)]
pub struct EjectionState {
    cause: EjectionCause,
    probed: time::Instant,
    backoff: time::Duration,
    /// Calls begun during the ejection; more than one only while no other server can take a call.
    in_flight: u32,
    /// Calls of the service when the last probe was sent.
    calls: u64,
    /// Good probes since the last bad one.
    good: u32,
}

impl EjectionState {
    /// Ejects a server; `calls` counts the calls of the service so far.
    #[must_use]
    pub fn new(cause: EjectionCause, calls: u64, now: time::Instant) -> Self {
        Self {
            cause,
            probed: now,
            backoff: FIRST_BACKOFF,
            in_flight: 0,
            calls,
            good: 0,
        }
    }

    /// Notes that a probe was sent.
    pub fn probe_sent(&mut self, calls: u64, now: time::Instant) {
        self.in_flight += 1;
        self.probed = now;
        self.calls = calls;
    }

    /// Notes that the probe found the server well; returns whether the ejection ends. Otherwise a further probe is due.
    pub fn probe_passed(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.good += 1;
        self.cause == EjectionCause::Unreachable || self.good >= GOOD_PROBES
    }

    /// Notes that the probe found the server still slow or unreachable.
    pub fn probe_failed(&mut self, now: time::Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.probed = now;
        self.good = 0;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Notes that the probe ended without telling anything, for example because its caller went away.
    pub fn probe_void(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl EjectionState {
    /// Returns why the server is ejected.
    #[must_use]
    pub fn cause(&self) -> EjectionCause {
        self.cause
    }

    /// Decides whether a probe is due; `calls` counts the calls of the service so far.
    #[must_use]
    pub fn probe_due(&self, calls: u64, now: time::Instant) -> ProbeDecision {
        let waited = now.saturating_duration_since(self.probed);
        if self.good > 0 && self.in_flight == 0 && waited < IDLE_PROBE_INTERVAL {
            return ProbeDecision::Suitable;
        }
        if self.in_flight > 0 || waited < self.backoff {
            return ProbeDecision::Wait;
        }
        if calls.saturating_sub(self.calls) < CALLS_PER_PROBE && waited < IDLE_PROBE_INTERVAL {
            return ProbeDecision::Wait;
        }
        if waited >= IDLE_PROBE_INTERVAL.max(self.backoff * PATIENCE) {
            return ProbeDecision::Any;
        }
        ProbeDecision::Suitable
    }
}
