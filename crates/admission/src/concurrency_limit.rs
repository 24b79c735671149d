//! Limit of calls that run at once, found from the gradient of the service time.

use std::time;

/// Service time, as a multiple of the baseline, up to which the limit does not fall. Random variation of the service
/// time of an idle server stays below it in windows of [`MIN_SAMPLES`].
const TOLERANCE: f64 = 1.35;
/// Service time, as a multiple of the baseline, up to which the limit grows. Calls beyond the slots wait inside of the
/// backend server, out of the order of the queue, and already show as a longer service time.
const GROWTH_RATIO: f64 = 1.15;
/// Least factor by which one window changes the limit.
const LEAST_GRADIENT: f64 = 0.7;
/// Samples that a window needs.
const MIN_SAMPLES: u32 = 25;
/// Samples that a window which lasts [`LONG_WINDOW`] needs; a backend server with a low limit gives few.
const FEW_SAMPLES: u32 = 5;
/// Length from which a window needs only [`FEW_SAMPLES`].
const LONG_WINDOW: time::Duration = time::Duration::from_millis(500);
/// A lower limit has helped if the service time fell at least to this part of what it was.
const HELP_RATIO: f64 = 0.85;
/// Time for which the limit is held after a lower one did not help.
const HOLD_TIME: time::Duration = time::Duration::from_secs(5);
/// A held limit falls again if the service time rises by this factor.
const WORSE_RATIO: f64 = 1.5;
/// Least length of a window.
const WINDOW: time::Duration = time::Duration::from_millis(100);
/// Factor by which the limit falls when the backend server refuses a call.
const SHED_FACTOR: f64 = 0.9;
/// Several refusals within this time are one event.
const SHED_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Time in which a baseline rises to a lasting service time.
const BASELINE_RISE: time::Duration = time::Duration::from_secs(20);
/// Time in which a baseline falls to a lasting service time. A fall is taken sooner than a rise, but not at once: a
/// baseline that follows each short window downwards ends well below the mean, and the limit then falls without cause.
const BASELINE_FALL: time::Duration = time::Duration::from_secs(4);

/// Concurrency limit of one backend server.
///
/// Each fall is a trial: if the service time of calls started afterwards has not fallen as well, the cause is not the
/// number of calls, and the limit from before the trial is restored and held. A backend server that is slow for another
/// reason would otherwise end at a limit of 1 and complete a fraction of what it could.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Within 1 and `greatest`.
    limit: f64,
    greatest: f64,
    /// Calls started earlier ran under another limit and do not count.
    window_start: Option<time::Instant>,
    samples: u32,
    ratio_sum: f64,
    /// Whether the limit was reached in this window; an unused limit does not grow.
    saturated: bool,
    /// Limit and service time before the last fall.
    trial: Option<(f64, f64)>,
    /// Service time at which lower limits did not help, and until when this is taken to hold.
    held: Option<(f64, time::Instant)>,
    last_shed: Option<time::Instant>,
}

/// Slow baseline of the own service time of one class.
#[derive(Clone, Debug, Default)]
pub struct ServiceBaseline {
    /// Seconds; 0 until the first window has ended.
    baseline: f64,
    window_start: Option<time::Instant>,
    window_sum: f64,
    window_count: u32,
}

impl ServiceBaseline {
    /// Adds a sample and returns it as a multiple of the baseline.
    pub fn add(&mut self, sample: time::Duration, now: time::Instant) -> f64 {
        let start = *self.window_start.get_or_insert(now);
        self.window_sum += sample.as_secs_f64().max(1e-6);
        self.window_count += 1;
        if self.window_count >= MIN_SAMPLES {
            let mean = self.window_sum / f64::from(self.window_count);
            let time = if mean > self.baseline {
                BASELINE_RISE
            } else {
                BASELINE_FALL
            };
            let weight = now.saturating_duration_since(start).as_secs_f64() / time.as_secs_f64();
            let weight = if self.baseline == 0.0 { 1.0 } else { weight.min(1.0) };
            self.baseline += (mean - self.baseline) * weight;
            self.window_start = Some(now);
            self.window_sum = 0.0;
            self.window_count = 0;
        }
        self.ratio(sample)
    }
}

impl ServiceBaseline {
    /// Returns a sample as a multiple of the baseline, without adding it.
    #[must_use]
    pub fn ratio(&self, sample: time::Duration) -> f64 {
        if self.baseline == 0.0 {
            1.0
        } else {
            sample.as_secs_f64() / self.baseline
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the limit of a backend server that declares `slots` slots.
    #[must_use]
    pub fn new(slots: u32, limit_factor: f64) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            greatest: (slots * limit_factor).max(1.0),
            window_start: None,
            samples: 0,
            ratio_sum: 0.0,
            saturated: false,
            trial: None,
            held: None,
            last_shed: None,
        }
    }

    /// Starts anew from another number of declared slots.
    pub fn set_slots(&mut self, slots: u32, limit_factor: f64) {
        *self = Self {
            last_shed: self.last_shed,
            ..Self::new(slots, limit_factor)
        };
    }

    /// Notes that a call had to wait or to be refused because the limit was reached.
    pub fn note_saturated(&mut self) {
        self.saturated = true;
    }

    /// Adds the service time of a call started at `started`, as a multiple of its class's baseline.
    pub fn add(&mut self, ratio: f64, started: time::Instant, now: time::Instant) {
        let start = *self.window_start.get_or_insert(started);
        if started < start {
            return;
        }
        self.samples += 1;
        self.ratio_sum += ratio;
        let age = now.saturating_duration_since(start);
        let needed = if age >= LONG_WINDOW { FEW_SAMPLES } else { MIN_SAMPLES };
        if self.samples < needed || age < WINDOW {
            return;
        }
        let ratio = self.ratio_sum / f64::from(self.samples);
        if ratio > TOLERANCE {
            self.fall(ratio, now);
        } else {
            self.trial = None;
            self.held = None;
            if self.saturated {
                self.limit += self.limit.sqrt() * (GROWTH_RATIO - ratio).clamp(0.0, 1.0);
            }
        }
        self.limit = self.limit.clamp(1.0, self.greatest);
        self.window_start = Some(now);
        self.samples = 0;
        self.ratio_sum = 0.0;
        self.saturated = false;
    }

    fn fall(&mut self, ratio: f64, now: time::Instant) {
        if self
            .held
            .is_some_and(|(held, until)| ratio < held * WORSE_RATIO && now < until)
        {
            return;
        }
        if let Some((limit, before)) = self.trial.take()
            && ratio > before * HELP_RATIO
        {
            self.limit = limit;
            self.held = Some((ratio, now + HOLD_TIME));
            return;
        }
        self.trial = Some((self.limit, ratio));
        self.held = None;
        self.limit *= (TOLERANCE / ratio).max(LEAST_GRADIENT);
    }

    /// Lowers the limit at once because the backend server refused a call while `running` calls ran.
    pub fn shed(&mut self, running: u32, now: time::Instant) {
        let recent = |at: time::Instant| now.saturating_duration_since(at) < SHED_PAUSE;
        if self.last_shed.is_some_and(recent) {
            return;
        }
        self.last_shed = Some(now);
        self.trial = None;
        self.limit = (self.limit.min(f64::from(running)) * SHED_FACTOR).max(1.0);
    }
}

impl ConcurrencyLimit {
    /// Returns the number of calls that may run at once; at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between 1 and a multiple of the declared slots"
        )]
        let limit = self.limit as u32;
        limit.max(1)
    }
}
