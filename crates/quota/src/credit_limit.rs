//! Limit of one tenant, and the capacity of its bucket.

use std::time;

/// Part of the allowed excess that buckets use. The rest covers differences between clocks and the time for which a new
/// daemon is unknown to others.
const EXCESS_SHARE: f64 = 0.8;

/// Bounds of the quotas of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which requests are counted.
    pub window: time::Duration,
    /// Allowed excess as a fraction of the limit.
    pub over: f64,
    /// Allowed excess in requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the maximum number of requests in a window.
    #[must_use]
    pub fn max_requests(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * (1.0 + self.over) + self.slack
    }
}

/// Limit of one tenant over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditLimit {
    /// Requests per second; positive and finite.
    pub rate: f64,
    /// Requests beyond the rate; not negative, finite.
    pub burst: f64,
    /// Capacity of the coordinator's bucket. `rate * window + capacity` stays below [`QuotaBounds::max_requests`].
    pub capacity: f64,
}

impl CreditLimit {
    /// Returns the limit of a tenant; `None` if its rate is 0, which means no limit.
    #[must_use]
    pub fn new(rate: f64, burst: f64, bounds: &QuotaBounds) -> Option<Self> {
        if !(rate > 0.0 && rate.is_finite()) {
            return None;
        }
        let burst = if burst.is_finite() { burst.max(0.0) } else { 0.0 };
        let counted = rate * bounds.window.as_secs_f64() + burst;
        let excess = EXCESS_SHARE * (bounds.over * counted + bounds.slack);
        Some(Self {
            rate,
            burst,
            capacity: burst + excess,
        })
    }
}
