//! Latency of one server for one class, as this daemon observes it.

use std::time;

/// Decay of the peak estimate; as short as the slow periods that it has to follow down again.
const PEAK_DECAY: time::Duration = time::Duration::from_secs(2);
/// Decay of the recent totals. A longer one lets past fast calls hide a slowdown for more than a second.
const RECENT_DECAY: time::Duration = time::Duration::from_millis(500);
/// Decay of the recent totals per ended call, about seven calls. The choice of two turns calls away from a slow server
/// after a handful of them; a longer memory of fast calls would outweigh these.
const RECENT_CALL_WEIGHT: f64 = 0.85;
/// Decay of the typical latency that stands in where there are no recent calls.
const TYPICAL_DECAY: time::Duration = time::Duration::from_secs(30);

/// Completed calls from which the long-term mean is used. The median of means over one or two calls each was a fifth of
/// the true mean, and servers of equal speed were ejected for it.
const TYPICAL_MIN_CALLS: u64 = 8;

/// Peak EWMA and recent totals of one server and one class.
///
/// A call that ends without a complete response adds the time it took but doesn't count as finished, so a cancelled or
/// failed call never makes the server look fast. Calls in progress count with their age. Together these give the mean
/// of censored observations: total time over finished calls.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    epoch: time::Instant,
    updated: time::Instant,
    /// Seconds; jumps to each higher latency and decays towards lower ones.
    peak: f64,
    /// Seconds; long-term mean of completed calls.
    typical: f64,
    /// Completed calls since the start.
    completed: u64,
    /// Seconds spent in ended calls, decayed.
    spent: f64,
    /// Completed calls, decayed.
    finished: f64,
    /// Calls in progress.
    in_flight: u32,
    /// Sum over the calls in progress of the seconds from `epoch` to their start.
    start_sum: f64,
}

/// Recent totals, with calls in progress included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentTotals {
    /// Seconds spent in calls.
    pub spent: f64,
    /// Completed calls.
    pub finished: f64,
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
            typical: 0.0,
            completed: 0,
            spent: 0.0,
            finished: 0.0,
            in_flight: 0,
            start_sum: 0.0,
        }
    }

    /// Counts the start of a call.
    pub fn begin(&mut self, now: time::Instant) {
        self.in_flight += 1;
        self.start_sum += self.offset(now);
    }

    /// Counts a complete response to a call that began at `started`.
    pub fn complete(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        let latency = now.saturating_duration_since(started).as_secs_f64();
        self.spent = self.spent * RECENT_CALL_WEIGHT + latency;
        self.finished = self.finished * RECENT_CALL_WEIGHT + 1.0;
        self.raise_or_decay(latency, elapsed);
        if self.completed == 0 {
            self.typical = latency;
        } else {
            // The mean over the first calls, later a moving one.
            let by_count = 1.0 / (self.completed as f64 + 1.0);
            let by_time = 1.0 - decay(elapsed, TYPICAL_DECAY);
            self.typical += (latency - self.typical) * by_count.max(by_time);
        }
        self.completed += 1;
    }

    /// Counts a call that ended without a complete response; its latency is at least its age.
    pub fn give_up(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        let age = now.saturating_duration_since(started).as_secs_f64();
        self.spent = self.spent * RECENT_CALL_WEIGHT + age;
        self.finished *= RECENT_CALL_WEIGHT;
        self.peak = self.decayed_peak(elapsed).max(age);
    }

    /// Forgets a call that did not run; it says nothing about latency.
    pub fn withdraw(&mut self, started: time::Instant, now: time::Instant) {
        let elapsed = self.end(started, now);
        self.peak = self.decayed_peak(elapsed);
    }

    /// Drops the recent observations of a server that returns from ejection. The peak becomes `latency`, or the
    /// long-term mean if the class was not probed.
    pub fn reset(&mut self, latency: Option<time::Duration>, now: time::Instant) {
        self.updated = self.updated.max(now);
        self.peak = latency.map_or(self.typical, |latency| latency.as_secs_f64());
        self.spent = 0.0;
        self.finished = 0.0;
    }

    fn end(&mut self, started: time::Instant, now: time::Instant) -> time::Duration {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.start_sum -= self.offset(started);
        if self.in_flight == 0 {
            self.start_sum = 0.0;
        }
        let elapsed = now.saturating_duration_since(self.updated);
        let factor = decay(elapsed, RECENT_DECAY);
        self.spent *= factor;
        self.finished *= factor;
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
    /// Returns the peak EWMA in seconds, raised to the mean age of the calls in progress; `None` without observations.
    ///
    /// Without calls the peak falls back to the long-term mean, so that a server that was slow once is tried again.
    #[must_use]
    pub fn peak(&self, now: time::Instant) -> Option<f64> {
        let age = self.age_sum(now) / f64::from(self.in_flight.max(1));
        let peak = self.decayed_peak(now.saturating_duration_since(self.updated));
        (self.completed > 0 || self.peak > 0.0).then(|| peak.max(age))
    }

    /// Returns the recent totals.
    #[must_use]
    pub fn recent(&self, now: time::Instant) -> RecentTotals {
        let factor = decay(now.saturating_duration_since(self.updated), RECENT_DECAY);
        RecentTotals {
            spent: self.spent * factor + self.age_sum(now),
            finished: self.finished * factor,
            in_flight: self.in_flight,
        }
    }

    /// Returns the long-term mean of completed calls in seconds; `None` if too few completed.
    #[must_use]
    pub fn typical(&self) -> Option<f64> {
        (self.completed >= TYPICAL_MIN_CALLS).then_some(self.typical)
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn decayed_peak(&self, elapsed: time::Duration) -> f64 {
        if self.completed == 0 || self.peak <= self.typical {
            return self.peak;
        }
        self.typical + (self.peak - self.typical) * decay(elapsed, PEAK_DECAY)
    }

    fn age_sum(&self, now: time::Instant) -> f64 {
        (f64::from(self.in_flight) * self.offset(now) - self.start_sum).max(0.0)
    }

    fn offset(&self, at: time::Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}

fn decay(elapsed: time::Duration, constant: time::Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
