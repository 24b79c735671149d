//! Token bucket that limits the request rate of the store stand-in.

use std::time;

/// Capacity of a bucket, as the time that it takes to fill at the configured rate.
const BURST_DURATION: time::Duration = time::Duration::from_millis(200);

/// Token bucket. The balance may become negative, so that a request larger than the capacity can still be admitted.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    updated: time::Instant,
}

impl TokenBucket {
    /// Returns a full bucket that refills at `rate` tokens per second; 0 or less means no limit.
    #[must_use]
    pub fn new(rate: f64, now: time::Instant) -> Self {
        Self {
            rate,
            tokens: rate * BURST_DURATION.as_secs_f64(),
            updated: now,
        }
    }

    /// Takes `count` tokens if the balance is positive; otherwise returns false and takes none.
    pub fn take(&mut self, count: f64, now: time::Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_DURATION.as_secs_f64());
        self.updated = now;
        if self.tokens <= 0.0 {
            return false;
        }
        self.tokens -= count;
        true
    }
}
