//! Rate limit of the store.

use std::time;

/// Longest time for which unused rate accumulates.
const BURST: time::Duration = time::Duration::from_millis(200);

/// Token bucket. A request may take the bucket below zero, so that one larger than the burst still passes.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    updated: time::Instant,
}

impl TokenBucket {
    /// Returns a full bucket for a rate per second; 0 means no limit.
    #[must_use]
    pub fn new(rate: f64, now: time::Instant) -> Self {
        Self {
            rate,
            tokens: rate * BURST.as_secs_f64(),
            updated: now,
        }
    }

    /// Takes tokens, or returns false and takes none.
    pub fn take(&mut self, count: f64, now: time::Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * BURST.as_secs_f64());
        self.updated = now;
        if self.tokens <= 0.0 {
            return false;
        }
        self.tokens -= count;
        true
    }
}
