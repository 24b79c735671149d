//! When a second copy of a slow idempotent call is sent.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Time after which samples are set aside and those before them dropped.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Least length of the windows that find the end of a slow time. After 30 s at a fifth of the speed, windows of 10 s
/// alone kept the hedge delay of the slow time for 10 to 20 s, and the p99 stayed 8% above that of a calm run for as
/// long.
const SHORT_WINDOW: time::Duration = time::Duration::from_secs(1);
/// A short window sets the delay if its 95th percentile is below this part of it, and so do lower ones right after it,
/// since the first still holds some latencies of the slow time. Short windows alone hedge more calls
/// under overload, where latencies vary, and cost up to 3 points of goodput.
const FALL_RATIO: f64 = 0.5;
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
    short_started: time::Instant,
    /// Samples of the short window; at most [`MAX_SAMPLES`].
    short: Vec<time::Duration>,
    /// Whether the last short window set the delay.
    falling: bool,
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
            short_started: now,
            short: Vec::new(),
            falling: false,
            delay: None,
        });
        if samples.current.len() < MAX_SAMPLES {
            samples.current.push(latency);
        } else {
            let position = samples.recorded % MAX_SAMPLES;
            samples.current[position] = latency;
        }
        samples.recorded += 1;
        let first = samples.delay.is_none() && samples.current.len() >= MIN_SAMPLES;
        if first || now.saturating_duration_since(samples.started) >= WINDOW {
            samples.turn_over(now);
        }
        samples.note_fall(latency, now);
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
            self.delay = Some(high_percentile(&mut self.current).max(MIN_DELAY));
        }
        self.restart(now);
    }

    /// Takes the delay from a short window if that shows the end of a slow time.
    fn note_fall(&mut self, latency: time::Duration, now: time::Instant) {
        if self.short.len() < MAX_SAMPLES {
            self.short.push(latency);
        }
        let age = now.saturating_duration_since(self.short_started);
        if self.short.len() < MIN_SAMPLES || age < SHORT_WINDOW {
            return;
        }
        let found = high_percentile(&mut self.short).max(MIN_DELAY);
        self.short.clear();
        self.short_started = now;
        let part = if self.falling { 1.0 } else { FALL_RATIO };
        self.falling = self.delay.is_some_and(|delay| found < delay.mul_f64(part));
        if self.falling {
            self.delay = Some(found);
            self.restart(now);
        }
    }

    fn restart(&mut self, now: time::Instant) {
        self.current.clear();
        self.recorded = 0;
        self.started = now;
    }
}

/// Sorts the samples, of which there is at least one, and returns their 95th percentile.
fn high_percentile(samples: &mut [time::Duration]) -> time::Duration {
    samples.sort_unstable();
    samples[(samples.len() * 95 / 100).min(samples.len() - 1)]
}
