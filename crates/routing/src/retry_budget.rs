//! Retry budget: limits the retries of one daemon to a share of its first attempts.

use std::time;

/// Retries per first attempt; keeps the average number of attempts per call at or below 1.1.
pub const RETRY_SHARE: f64 = 0.1;
/// Capacity of the bucket in tokens, so that first attempts of the past cannot pay for a retry storm.
pub const MAX_TOKENS: f64 = 20.0;
/// Tokens up to which the bucket refills without first attempts, so that the rare calls of an idle daemon may be
/// retried.
pub const IDLE_RESERVE: f64 = 3.0;
/// Time in which an idle daemon regains one token, up to [`IDLE_RESERVE`].
pub const RESERVE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Whether a retry or hedge may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// One token was taken.
    Allowed,
    /// Less than one token was left; nothing was taken.
    Denied,
}

/// Refill rates and capacity of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries per first attempt.
    pub retry_share: f64,
    /// Capacity of the bucket in tokens.
    pub max_tokens: f64,
    /// Tokens up to which the bucket refills without first attempts.
    pub idle_reserve: f64,
    /// Time in which an idle daemon regains one token, up to `idle_reserve`.
    pub reserve_interval: time::Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            retry_share: RETRY_SHARE,
            max_tokens: MAX_TOKENS,
            idle_reserve: IDLE_RESERVE,
            reserve_interval: RESERVE_INTERVAL,
        }
    }
}

/// Token bucket filled by first attempts. It limits the daemon's average number of retries; the retries of each single
/// request are limited by its owner.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    /// In 0..=`policy.max_tokens`.
    tokens: f64,
    refilled: time::Instant,
}

impl RetryBudget {
    /// Creates a budget that holds the idle reserve.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self::with_policy(RetryPolicy::default(), now)
    }

    /// Creates a budget with this policy that holds its idle reserve.
    #[must_use]
    pub fn with_policy(policy: RetryPolicy, now: time::Instant) -> Self {
        Self {
            policy,
            tokens: policy.idle_reserve,
            refilled: now,
        }
    }

    /// Replaces the policy; tokens beyond its maximum are discarded.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.tokens = self.tokens.min(policy.max_tokens);
    }

    /// Counts a first attempt, which adds [`RetryPolicy::retry_share`] tokens.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.policy.retry_share).min(self.policy.max_tokens);
    }

    /// Takes a token for a retry or a hedge.
    pub fn try_retry(&mut self, now: time::Instant) -> RetryDecision {
        self.refill(now);
        // Ten additions of 0.1 give slightly less than 1 in floating point.
        if self.tokens < 1.0 - 1e-9 {
            return RetryDecision::Denied;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        RetryDecision::Allowed
    }

    /// Puts back a token whose retry was not sent, for example because the owner denied the grant.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.policy.max_tokens);
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        if self.tokens < self.policy.idle_reserve {
            let regained = elapsed / self.policy.reserve_interval.as_secs_f64();
            self.tokens = (self.tokens + regained).min(self.policy.idle_reserve);
        }
    }
}

impl RetryBudget {
    /// Returns the tokens as of the last call that changed them; the idle reserve refills only in [`Self::try_retry`].
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
