//! Latency of one server for one class, as observed by this daemon.

use std::time;

/// Time constant with which the peak decays; as short as the slow periods after which the peak has to fall again.
const PEAK_DECAY: time::Duration = time::Duration::from_secs(2);
/// Time constant of the recent totals. With a longer one, past fast calls hide a slowdown for more than a second.
const RECENT_DECAY: time::Duration = time::Duration::from_millis(500);
/// Factor applied to the recent totals at each ended call, a memory of about seven calls. The power of two choices
/// directs calls away from a slow server after a few slow ones, which a longer memory of fast calls would outweigh.
const RECENT_CALL_DECAY: f64 = 0.85;
/// Time constant of the long-term mean, which is used where there are no recent calls.
const LONG_TERM_DECAY: time::Duration = time::Duration::from_secs(30);

/// Completed calls needed before the long-term mean is used. The median of means over one or two calls each was a fifth
/// of the true mean, and servers of equal speed were ejected.
const LONG_TERM_MIN_CALLS: u64 = 8;

/// Peak EWMA and recent totals of one server and one class.
///
/// A call that ends without a complete response adds its duration but does not count as completed, so a cancelled or
/// failed call never lowers the estimate. Calls in progress count with their age. Together these give the mean of
/// censored observations: total time divided by completed calls.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    epoch: time::Instant,
    updated: time::Instant,
    /// Seconds; rises to each higher latency at once and decays towards lower ones.
    peak: f64,
    /// Seconds; long-term mean of completed calls.
    long_term_mean: f64,
    /// Completed calls since the estimate was created; never reset.
    completed: u64,
    /// Seconds spent in ended calls, decayed.
    recent_seconds: f64,
    /// Completed calls, decayed.
    recent_completed: f64,
    /// Calls in progress.
    in_flight: u32,
    /// Sum over the calls in progress of the seconds from `epoch` to their start.
    start_sum: f64,
}

/// Recent totals, with calls in progress included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentTotals {
    /// Seconds spent in ended calls, decayed, plus the ages of the calls in progress.
    pub seconds: f64,
    /// Completed calls, decayed.
    pub completed: f64,
    /// Calls in progress.
    pub in_flight: u32,
}

impl LatencyEstimate {
    /// Creates an estimate without observations.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            epoch: now,
            updated: now,
            peak: 0.0,
            long_term_mean: 0.0,
            completed: 0,
            recent_seconds: 0.0,
            recent_completed: 0.0,
            in_flight: 0,
            start_sum: 0.0,
        }
    }

    /// Counts the start of a call.
    pub fn begin(&mut self, now: time::Instant) {
        self.in_flight += 1;
        self.start_sum += self.seconds_since_epoch(now);
    }

    /// Counts a complete response to a call that began at `started`.
    pub fn complete(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        let latency = now.saturating_duration_since(started).as_secs_f64();
        self.recent_seconds = self.recent_seconds * RECENT_CALL_DECAY + latency;
        self.recent_completed = self.recent_completed * RECENT_CALL_DECAY + 1.0;
        self.raise_or_decay(latency, elapsed);
        if self.completed == 0 {
            self.long_term_mean = latency;
        } else {
            // A cumulative mean over the first calls, later an exponentially weighted one.
            let by_count = 1.0 / (self.completed as f64 + 1.0);
            let by_time = 1.0 - decay(elapsed, LONG_TERM_DECAY);
            self.long_term_mean += (latency - self.long_term_mean) * by_count.max(by_time);
        }
        self.completed += 1;
    }

    /// Counts a call that ended without a complete response; its age is a lower bound of its latency.
    pub fn record_incomplete(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        let age = now.saturating_duration_since(started).as_secs_f64();
        self.recent_seconds = self.recent_seconds * RECENT_CALL_DECAY + age;
        self.recent_completed *= RECENT_CALL_DECAY;
        self.peak = self.decayed_peak(elapsed).max(age);
    }

    /// Removes a call that did not run, which is no observation of the latency.
    pub fn discard(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        self.peak = self.decayed_peak(elapsed);
    }

    /// Drops the recent observations of a server that returns from ejection. The peak becomes `latency`, or the
    /// long-term mean if the class was not probed.
    pub fn reset(&mut self, latency: Option<time::Duration>, now: time::Instant) {
        self.updated = self.updated.max(now);
        self.peak = latency.map_or(self.long_term_mean, |latency| latency.as_secs_f64());
        self.recent_seconds = 0.0;
        self.recent_completed = 0.0;
    }

    fn end(&mut self, started: time::Instant, now: time::Instant) -> time::Duration {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.start_sum -= self.seconds_since_epoch(started);
        if self.in_flight == 0 {
            self.start_sum = 0.0;
        }
        let elapsed = now.saturating_duration_since(self.updated);
        let factor = decay(elapsed, RECENT_DECAY);
        self.recent_seconds *= factor;
        self.recent_completed *= factor;
        self.updated = self.updated.max(now);
        elapsed
    }

    fn raise_or_decay(&mut self, latency: f64, elapsed: time::Duration) {
        if latency >= self.peak {
            self.peak = latency;
        } else {
            let factor = decay(elapsed, PEAK_DECAY);
            self.peak = self.peak * factor + latency * (1.0 - factor);
        }
    }
}

impl LatencyEstimate {
    /// Returns the peak EWMA in seconds, or the mean age of the calls in progress if that is higher; `None` without
    /// observations.
    ///
    /// Without calls the peak decays to the long-term mean, so that a server that was slow once gets calls again.
    #[must_use]
    pub fn peak(&self, now: time::Instant) -> Option<f64> {
        let age = self.age_sum(now) / f64::from(self.in_flight.max(1));
        let peak = self.decayed_peak(now.saturating_duration_since(self.updated));
        (self.completed > 0 || self.peak > 0.0).then(|| peak.max(age))
    }

    /// Returns the recent totals, decayed to `now`.
    #[must_use]
    pub fn recent(&self, now: time::Instant) -> RecentTotals {
        let factor = decay(now.saturating_duration_since(self.updated), RECENT_DECAY);
        RecentTotals {
            seconds: self.recent_seconds * factor + self.age_sum(now),
            completed: self.recent_completed * factor,
            in_flight: self.in_flight,
        }
    }

    /// Returns the long-term mean of completed calls in seconds; `None` with too few calls.
    #[must_use]
    pub fn long_term_mean(&self) -> Option<f64> {
        (self.completed >= LONG_TERM_MIN_CALLS).then_some(self.long_term_mean)
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn decayed_peak(&self, elapsed: time::Duration) -> f64 {
        if self.completed == 0 || self.peak <= self.long_term_mean {
            return self.peak;
        }
        self.long_term_mean + (self.peak - self.long_term_mean) * decay(elapsed, PEAK_DECAY)
    }

    fn age_sum(&self, now: time::Instant) -> f64 {
        (f64::from(self.in_flight) * self.seconds_since_epoch(now) - self.start_sum).max(0.0)
    }

    fn seconds_since_epoch(&self, at: time::Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}

fn decay(elapsed: time::Duration, constant: time::Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
