//! When a second copy of a slow idempotent call is sent.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Least length of a window of samples. After 30 s at a fifth of the speed, windows of 10 s kept the hedge delay of the
/// slow time for 10 to 20 s, and the p99 stayed 8% above that of a calm run for as long.
const WINDOW: time::Duration = time::Duration::from_secs(1);
/// Longest window; one that has too few samples by then is dropped.
const LONG_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Fewer samples give no usable 95th percentile.
const MIN_SAMPLES: usize = 40;
/// Samples kept per class and window; further ones replace older ones in turn.
const MAX_SAMPLES: usize = 512;
/// Hedges sooner than this would mostly duplicate calls whose response is already under way.
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
    /// Copies sent already, without the first.
    pub hedges: u32,
}

/// What to do about a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Never hedge this call.
    Never,
    /// Ask again after this time if the call is still running.
    Wait(time::Duration),
    /// Send a copy to another server, after charging the retry budget and the request's owner.
    Send,
}

/// Latencies by service and class, for the 95th percentile.
///
/// Only completed first attempts are to be recorded: cancelled, refused and failed calls would look like fast ones.
#[derive(Debug, Default)]
pub struct HedgePolicy {
    classes: collections::HashMap<(ids::ServiceName, ids::ClassName), ClassSamples>,
}

#[derive(Debug)]
struct ClassSamples {
    started: time::Instant,
    /// At most [`MAX_SAMPLES`].
    current: Vec<time::Duration>,
    recorded: usize,
    /// 95th percentile of the last window with [`MIN_SAMPLES`], `None` before the first one.
    delay: Option<time::Duration>,
}

impl HedgePolicy {
    /// Creates a policy without samples; it hedges nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of a completed call.
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
            delay: None,
        });
        if samples.current.len() < MAX_SAMPLES {
            samples.current.push(latency);
        } else {
            let position = samples.recorded % MAX_SAMPLES;
            samples.current[position] = latency;
        }
        samples.recorded += 1;
        let age = now.saturating_duration_since(samples.started);
        let enough = samples.current.len() >= MIN_SAMPLES;
        if (enough && (samples.delay.is_none() || age >= WINDOW)) || age >= LONG_WINDOW {
            samples.turn_over(now);
        }
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
        // A copy that can't finish within the deadline is wasted work.
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
    fn turn_over(&mut self, now: time::Instant) {
        if self.current.len() >= MIN_SAMPLES {
            self.current.sort_unstable();
            let position = (self.current.len() * 95 / 100).min(self.current.len() - 1);
            self.delay = Some(self.current[position].max(MIN_DELAY));
        }
        self.current.clear();
        self.recorded = 0;
        self.started = now;
    }
}
