//! Estimate of the service time at one backend server.

use std::time;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Quantile that approximates the shortest time in which a call can complete.
const LOW_QUANTILE: f64 = 0.1;
/// Relative step of the quantile estimate per sample.
const QUANTILE_STEP: f64 = 0.05;
/// Half-life of an estimate without samples. The decay starts after one such period. Without it, an estimate made while
/// the backend server was slow could cause every call to be refused, and would never be corrected.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Running estimate of the mean and of a low quantile of the service time of a class or lane.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimate {
    /// Mean in seconds; 0 until the first sample.
    mean: f64,
    /// Low quantile in seconds; 0 until the first sample.
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
    /// Returns the mean service time; zero without samples.
    #[must_use]
    pub fn mean(&self, now: time::Instant) -> time::Duration {
        time::Duration::from_secs_f64(self.mean * self.decay_factor(now))
    }

    /// Returns the low quantile of the service time; zero without samples.
    #[must_use]
    pub fn low(&self, now: time::Instant) -> time::Duration {
        time::Duration::from_secs_f64(self.low * self.decay_factor(now))
    }

    /// Returns the factor by which the estimates have decayed since the last sample.
    fn decay_factor(&self, now: time::Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let half_lives = now.saturating_duration_since(updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        if half_lives <= 1.0 {
            1.0
        } else {
            0.5_f64.powf(half_lives - 1.0)
        }
    }
}
