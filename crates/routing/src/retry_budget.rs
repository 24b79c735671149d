//! Retries granted by one request owner as a share of the requests that it saw begin.

use std::time;

/// Retries per first attempt; keeps the average of attempts at or under 1.1.
pub const RETRY_SHARE: f64 = 0.1;
/// Most tokens kept, so that a quiet hour doesn't pay for a retry storm.
pub const MAX_TOKENS: f64 = 20.0;
/// Tokens that an idle daemon regains, so that its rare calls may be retried.
pub const IDLE_RESERVE: f64 = 3.0;
/// Time in which an idle daemon regains one token of its reserve.
pub const RESERVE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Whether a retry or hedge may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// One token was taken.
    Allowed,
    /// The budget is spent.
    Denied,
}

/// Token bucket filled by first attempts. It limits the daemon's average; the request's owner limits each request.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In 0..=[`MAX_TOKENS`].
    tokens: f64,
    refilled: time::Instant,
}

impl RetryBudget {
    /// Creates a budget that holds the idle reserve.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            tokens: IDLE_RESERVE,
            refilled: now,
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(MAX_TOKENS);
    }

    /// Takes a token for a retry or a hedge.
    pub fn try_retry(&mut self, now: time::Instant) -> RetryDecision {
        self.refill(now);
        // The sum of ten shares of 0.1 is slightly under 1 in binary.
        if self.tokens < 1.0 - 1e-9 {
            return RetryDecision::Denied;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        RetryDecision::Allowed
    }

    /// Returns a token whose retry was not sent, for example because the owner denied the grant.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        if self.tokens < IDLE_RESERVE {
            let gained = elapsed / RESERVE_INTERVAL.as_secs_f64();
            self.tokens = (self.tokens + gained).min(IDLE_RESERVE);
        }
    }
}

impl RetryBudget {
    /// Returns the tokens left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
