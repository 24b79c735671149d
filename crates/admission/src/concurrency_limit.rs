//! Adaptive limit of the calls that run concurrently, from the gradient of the service time.

use std::time;

/// Mean service time, as a multiple of the baseline, above which the limit falls. In windows of [`MIN_SAMPLES`], the
/// random variation of the service time of an idle server stays below it.
const TOLERANCE: f64 = 1.35;
/// Mean service time, as a multiple of the baseline, below which the limit grows. Calls in excess of the slots wait
/// inside the backend server, where the order of the queue does not apply, and already increase the service time.
const GROWTH_RATIO: f64 = 1.15;
/// Minimum factor by which one window lowers the limit.
const MIN_GRADIENT: f64 = 0.7;
/// Minimum number of samples in a window shorter than [`LONG_WINDOW`], and in a window of a baseline.
const MIN_SAMPLES: u32 = 25;
/// Minimum number of samples in a window of at least [`LONG_WINDOW`]; a backend server with a low limit gives few.
const LONG_WINDOW_MIN_SAMPLES: u32 = 5;
/// Length of a window from which [`LONG_WINDOW_MIN_SAMPLES`] suffice.
const LONG_WINDOW: time::Duration = time::Duration::from_millis(500);
/// A lower limit is effective if the service time falls at least to this fraction of the previous one.
const IMPROVEMENT_RATIO: f64 = 0.85;
/// Time for which the limit is held after a lower limit was not effective.
const HOLD_TIME: time::Duration = time::Duration::from_secs(5);
/// Factor by which the service time has to rise for a held limit to fall before [`HOLD_TIME`] ends.
const DEGRADATION_RATIO: f64 = 1.5;
/// Minimum length of a window.
const MIN_WINDOW: time::Duration = time::Duration::from_millis(100);
/// Factor by which the limit falls when the backend server sheds a call.
const SHED_FACTOR: f64 = 0.9;
/// Minimum time between two reductions for shed calls; calls shed within it count as one event.
const SHED_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time constant with which a baseline rises to a higher service time.
const BASELINE_RISE_TIME: time::Duration = time::Duration::from_secs(20);
/// Time constant with which a baseline falls to a lower service time. It is shorter than that of a rise, but a baseline
/// that followed each short window downwards would end well below the mean, and the limit would fall without cause.
const BASELINE_FALL_TIME: time::Duration = time::Duration::from_secs(4);

/// Concurrency limit of one backend server.
///
/// Each reduction for a high service time is a trial: if the service time of calls started afterwards does not fall as
/// well, the number of calls is not the cause, and the limit from before the trial is restored and held. Otherwise, the
/// limit of a backend server that is slow for another reason would fall to 1, and the backend server would complete a
/// fraction of the calls that it could.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// From 1 to `max_limit`.
    limit: f64,
    max_limit: f64,
    /// Calls that started before the window ran under another limit and are not counted.
    window_start: Option<time::Instant>,
    samples: u32,
    /// Sum of the samples of the window, each as a multiple of its baseline.
    ratio_sum: f64,
    /// Whether the limit was reached in this window; a limit that is not reached does not grow.
    saturated: bool,
    /// Limit and service time, as a multiple of the baseline, before the last reduction, while it is a trial.
    trial: Option<(f64, f64)>,
    /// Service time, as a multiple of the baseline, at which a lower limit was not effective, and the end of the hold.
    held: Option<(f64, time::Instant)>,
    last_shed: Option<time::Instant>,
}

/// Slowly adapting baseline of the service time of one class, without the time spent in nested calls.
#[derive(Clone, Debug, Default)]
pub struct ServiceBaseline {
    /// Seconds; 0 until the first window has ended.
    baseline: f64,
    window_start: Option<time::Instant>,
    window_sum: f64,
    window_count: u32,
}

impl ServiceBaseline {
    /// Adds a sample and returns it as a multiple of the baseline; 1 until the first window has ended.
    pub fn add(&mut self, sample: time::Duration, now: time::Instant) -> f64 {
        let start = *self.window_start.get_or_insert(now);
        self.window_sum += sample.as_secs_f64().max(1e-6);
        self.window_count += 1;
        if self.window_count >= MIN_SAMPLES {
            let mean = self.window_sum / f64::from(self.window_count);
            let time = if mean > self.baseline {
                BASELINE_RISE_TIME
            } else {
                BASELINE_FALL_TIME
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
    /// Returns a sample as a multiple of the baseline, without adding it; 1 until the first window has ended.
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
    /// Returns the limit for a backend server that declares `slots` slots. It starts at `slots` and is at most
    /// `slots * limit_factor`.
    #[must_use]
    pub fn new(slots: u32, limit_factor: f64) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            max_limit: (slots * limit_factor).max(1.0),
            window_start: None,
            samples: 0,
            ratio_sum: 0.0,
            saturated: false,
            trial: None,
            held: None,
            last_shed: None,
        }
    }

    /// Resets the limit for another number of declared slots. The time of the last reduction for shed calls is kept.
    pub fn set_slots(&mut self, slots: u32, limit_factor: f64) {
        *self = Self {
            last_shed: self.last_shed,
            ..Self::new(slots, limit_factor)
        };
    }

    /// Notes that a call could not start at once because the limit was reached.
    pub fn note_saturated(&mut self) {
        self.saturated = true;
    }

    /// Adds the service time of a call that started at `started`, as a multiple of the baseline of its class, and
    /// adapts the limit if the window is complete.
    pub fn add(&mut self, ratio: f64, started: time::Instant, now: time::Instant) {
        let start = *self.window_start.get_or_insert(started);
        if started < start {
            return;
        }
        self.samples += 1;
        self.ratio_sum += ratio;
        let age = now.saturating_duration_since(start);
        let min_samples = if age >= LONG_WINDOW {
            LONG_WINDOW_MIN_SAMPLES
        } else {
            MIN_SAMPLES
        };
        if self.samples < min_samples || age < MIN_WINDOW {
            return;
        }
        let ratio = self.ratio_sum / f64::from(self.samples);
        if ratio > TOLERANCE {
            self.lower(ratio, now);
        } else {
            self.trial = None;
            self.held = None;
            if self.saturated {
                self.limit += self.limit.sqrt() * (GROWTH_RATIO - ratio).clamp(0.0, 1.0);
            }
        }
        self.limit = self.limit.clamp(1.0, self.max_limit);
        self.window_start = Some(now);
        self.samples = 0;
        self.ratio_sum = 0.0;
        self.saturated = false;
    }

    /// Lowers the limit as a trial, or ends the last trial if it was not effective.
    fn lower(&mut self, ratio: f64, now: time::Instant) {
        if self
            .held
            .is_some_and(|(held, until)| ratio < held * DEGRADATION_RATIO && now < until)
        {
            return;
        }
        if let Some((limit, before)) = self.trial.take()
            && ratio > before * IMPROVEMENT_RATIO
        {
            self.limit = limit;
            self.held = Some((ratio, now + HOLD_TIME));
            return;
        }
        self.trial = Some((self.limit, ratio));
        self.held = None;
        self.limit *= (TOLERANCE / ratio).max(MIN_GRADIENT);
    }

    /// Lowers the limit at once because the backend server shed a call while `running` calls were running.
    pub fn shed(&mut self, running: u32, now: time::Instant) {
        let recent = |at: time::Instant| now.saturating_duration_since(at) < SHED_INTERVAL;
        if self.last_shed.is_some_and(recent) {
            return;
        }
        self.last_shed = Some(now);
        self.trial = None;
        self.limit = (self.limit.min(f64::from(running)) * SHED_FACTOR).max(1.0);
    }
}

impl ConcurrencyLimit {
    /// Returns the maximum number of calls that may run concurrently; at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit is between 1 and a multiple of the declared slots"
        )]
        let limit = self.limit as u32;
        limit.max(1)
    }
}
