//! Limit on the rate at which calls start, which the backend server sets.
//!
//! Load pattern: a backend server in trouble takes fewer requests per second than before and says how many, while its
//! slots are free and its callers send as much as ever.

use std::time;

/// Calls per second.
pub type CallRate = f64;

/// Lowest rate, in calls per second. Only a response tells that a limit was lifted, so a few calls always start.
pub const MIN_RATE: CallRate = 0.5;
/// Time whose calls may start at once after a pause.
const BURST: time::Duration = time::Duration::from_millis(250);
/// Tolerance of the count of tokens against rounding errors, which otherwise delay a call that is due now.
const ROUNDING: f64 = 1e-6;

/// Token bucket with one token for each call.
#[derive(Clone, Debug)]
pub struct StartRate {
    /// At least [`MIN_RATE`].
    rate: CallRate,
    /// At least 0 and at most [`Self::capacity`].
    tokens: f64,
    refilled: time::Instant,
}

/// Commands.
impl StartRate {
    /// Creates an empty bucket, since calls may have started just before.
    #[must_use]
    pub fn new(rate: CallRate, now: time::Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Changes the rate and keeps the tokens, up to the new capacity.
    pub fn set_rate(&mut self, rate: CallRate, now: time::Instant) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the tokens since the last call of this function.
    pub fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.capacity());
    }

    /// Takes the token of a call that starts.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}

/// Queries, as of the last [`StartRate::refill`].
impl StartRate {
    /// Returns whether a call may start.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0 - ROUNDING
    }

    /// Returns the time until a call may start, if `ahead` other calls start before it.
    #[must_use]
    pub fn wait(&self, ahead: usize) -> time::Duration {
        let missing = (ahead as f64 + 1.0 - self.tokens).max(0.0);
        time::Duration::from_secs_f64(missing / self.rate)
    }

    /// Returns when a call may start, if no other call starts before it.
    #[must_use]
    pub fn next_token(&self) -> time::Instant {
        self.refilled + self.wait(0)
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(1.0)
    }
}
