//! Hedging: when a second copy of a slow idempotent call is sent.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Least length of a window of samples. At its end the delay is set from the samples, which are then dropped. The first
/// window ends as soon as it has [`MIN_SAMPLES`].
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Least length of the short windows that detect the end of a slow period. After 30 s at a fifth of the speed, windows
/// of 10 s alone kept the hedge delay of the slow period for a further 10 to 20 s, and during that time the p99 stayed
/// 8% above that of a run without a slow period.
const SHORT_WINDOW: time::Duration = time::Duration::from_secs(1);
/// A short window sets the delay if its 95th percentile is below this fraction of the delay. After such a window any
/// lower percentile does so, since the first one still holds some latencies of the slow period. Short windows alone
/// hedge more calls under overload, where latencies vary, and cost up to 3 percentage points of goodput.
const DROP_RATIO: f64 = 0.5;
/// Samples that a window needs; fewer give no usable 95th percentile.
const MIN_SAMPLES: usize = 40;
/// Samples kept per service, class and window. Further ones replace the oldest in the long window and are dropped in
/// the short one.
const MAX_SAMPLES: usize = 512;
/// Lower bound of the delay. Earlier hedges would mostly duplicate calls whose response is already in transit.
const MIN_DELAY: time::Duration = time::Duration::from_millis(2);

/// A running call that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRequest<'a> {
    /// Service that is called; calls of one class to different services differ in latency.
    pub service: &'a ids::ServiceName,
    /// Class of the call.
    pub class: &'a ids::ClassName,
    /// Whether the class is declared idempotent; others are never hedged.
    pub idempotent: bool,
    /// Time since the call was sent.
    pub elapsed: time::Duration,
    /// Time left until the deadline.
    pub remaining: time::Duration,
    /// Hedges already sent for this call; the first copy does not count.
    pub hedges: u32,
}

/// Decision about hedging a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// The call is not to be hedged and needs no further decision.
    Never,
    /// Decide again after this time if the call is still running.
    Wait(time::Duration),
    /// Send a copy to another server, after charging the retry budget and the request's owner.
    Send,
}

/// Latencies by service and class, for the 95th percentile.
///
/// Only completed first attempts may be recorded: cancelled, refused and failed calls would count as fast ones.
#[derive(Debug, Default)]
pub struct HedgePolicy {
    classes: collections::HashMap<(ids::ServiceName, ids::ClassName), ClassSamples>,
}

#[derive(Debug)]
struct ClassSamples {
    started: time::Instant,
    /// Samples of the current window; at most [`MAX_SAMPLES`].
    current: Vec<time::Duration>,
    recorded: usize,
    short_started: time::Instant,
    /// Samples of the short window; at most [`MAX_SAMPLES`].
    short: Vec<time::Duration>,
    /// Whether the last short window set the delay; a further decrease then needs no [`DROP_RATIO`].
    dropping: bool,
    /// 95th percentile, at least [`MIN_DELAY`], of the last window with [`MIN_SAMPLES`], `None` before the first one.
    delay: Option<time::Duration>,
}

impl HedgePolicy {
    /// Creates a policy without samples; no call is hedged until [`Self::delay`] is known for its class.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of a first attempt that completed at `now`.
    pub fn record(
        &mut self,
        service: &ids::ServiceName,
        class: &ids::ClassName,
        latency: time::Duration,
        now: time::Instant,
    ) {
        let key = (service.clone(), class.clone());
        let samples = self.classes.entry(key).or_insert_with(|| ClassSamples {
            started: now,
            current: Vec::new(),
            recorded: 0,
            short_started: now,
            short: Vec::new(),
            dropping: false,
            delay: None,
        });
        if samples.current.len() < MAX_SAMPLES {
            samples.current.push(latency);
        } else {
            let position = samples.recorded % MAX_SAMPLES;
            samples.current[position] = latency;
        }
        samples.recorded += 1;
        let first_window = samples.delay.is_none() && samples.current.len() >= MIN_SAMPLES;
        if first_window || now.saturating_duration_since(samples.started) >= WINDOW {
            samples.rotate_window(now);
        }
        samples.detect_drop(latency, now);
    }
}

impl HedgePolicy {
    /// Decides about a running call.
    #[must_use]
    pub fn decide(&self, request: HedgeRequest<'_>) -> HedgeDecision {
        if !request.idempotent || request.hedges > 0 {
            return HedgeDecision::Never;
        }
        let Some(delay) = self.delay(request.service, request.class) else {
            return HedgeDecision::Never;
        };
        if request.elapsed < delay {
            return HedgeDecision::Wait(delay.saturating_sub(request.elapsed));
        }
        // A hedge that can't complete within the deadline is wasted work.
        if request.remaining < delay {
            return HedgeDecision::Never;
        }
        HedgeDecision::Send
    }

    /// Returns the time after which calls of a class are hedged; `None` while too few calls were recorded.
    #[must_use]
    pub fn delay(&self, service: &ids::ServiceName, class: &ids::ClassName) -> Option<time::Duration> {
        let key = (service.clone(), class.clone());
        self.classes.get(&key).and_then(|samples| samples.delay)
    }
}

impl ClassSamples {
    fn rotate_window(&mut self, now: time::Instant) {
        if self.current.len() >= MIN_SAMPLES {
            self.delay = Some(percentile_95(&mut self.current).max(MIN_DELAY));
        }
        self.restart_window(now);
    }

    /// Sets the delay from a full short window if that shows the end of a slow period.
    fn detect_drop(&mut self, latency: time::Duration, now: time::Instant) {
        if self.short.len() < MAX_SAMPLES {
            self.short.push(latency);
        }
        let age = now.saturating_duration_since(self.short_started);
        if self.short.len() < MIN_SAMPLES || age < SHORT_WINDOW {
            return;
        }
        let percentile = percentile_95(&mut self.short).max(MIN_DELAY);
        self.short.clear();
        self.short_started = now;
        let ratio = if self.dropping { 1.0 } else { DROP_RATIO };
        self.dropping = self.delay.is_some_and(|delay| percentile < delay.mul_f64(ratio));
        if self.dropping {
            self.delay = Some(percentile);
            self.restart_window(now);
        }
    }

    fn restart_window(&mut self, now: time::Instant) {
        self.current.clear();
        self.recorded = 0;
        self.started = now;
    }
}

/// Sorts the samples, of which there is at least one, and returns their 95th percentile.
fn percentile_95(samples: &mut [time::Duration]) -> time::Duration {
    samples.sort_unstable();
    samples[(samples.len() * 95 / 100).min(samples.len() - 1)]
}
