//! Service time of one class at one backend server.

use std::time;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Quantile that stands for the shortest time in which a call may complete.
const LOW_QUANTILE: f64 = 0.1;
/// Relative step of the quantile estimate for each sample.
const QUANTILE_STEP: f64 = 0.05;
/// An estimate without samples for this long halves for each further such period. Without this, an estimate learned
/// while the backend server was slow could refuse every call and never be corrected.
const DECAY_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Running estimate of the mean and of a low percentile of the total service time.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimate {
    /// Seconds; 0 until the first sample.
    mean: f64,
    /// Seconds; at most about the mean.
    low: f64,
    updated: Option<time::Instant>,
}

impl ServiceEstimate {
    /// Adds the service time of a completed call.
    pub fn add(&mut self, sample: time::Duration, now: time::Instant) {
        let sample = sample.as_secs_f64();
        if self.updated.is_none() {
            self.mean = sample;
            self.low = sample * 0.5;
        } else {
            self.mean += (sample - self.mean) * MEAN_WEIGHT;
            let weight = if sample < self.low {
                LOW_QUANTILE - 1.0
            } else {
                LOW_QUANTILE
            };
            self.low = (self.low * (1.0 + QUANTILE_STEP * weight)).max(1e-6);
        }
        self.updated = Some(now);
    }
}

impl ServiceEstimate {
    /// Returns the mean service time; zero if nothing is known.
    #[must_use]
    pub fn mean(&self, now: time::Instant) -> time::Duration {
        time::Duration::from_secs_f64(self.mean * self.confidence(now))
    }

    /// Returns the low percentile of the service time; zero if nothing is known.
    #[must_use]
    pub fn low(&self, now: time::Instant) -> time::Duration {
        time::Duration::from_secs_f64(self.low * self.confidence(now))
    }

    fn confidence(&self, now: time::Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let age = now.saturating_duration_since(updated).as_secs_f64() / DECAY_PERIOD.as_secs_f64();
        if age <= 1.0 { 1.0 } else { 0.5_f64.powf(age - 1.0) }
    }
}
