//! Bytes between regions, counted by class and limited by a token bucket.

use std::collections;
use std::time;

use damasktrack_entity::ids;

/// Capacity of the bucket in seconds of its rate, so that a burst stays small compared with the capacity of the link.
const BURST_SECONDS: f64 = 2.0;

/// Whether a call may cross regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionDecision {
    /// The call may cross; nothing is charged yet.
    Allowed,
    /// The balance is 0 or negative.
    Denied,
}

/// Token bucket for bytes that cross regions.
///
/// Response sizes are only known once the calls end, so calls in flight may make the balance negative. No further call
/// may cross until it is positive again.
#[derive(Debug)]
pub struct RegionBudget {
    bytes_per_second: f64,
    balance: f64,
    refilled: time::Instant,
    bytes_by_class: collections::HashMap<ids::ClassName, u64>,
}

impl RegionBudget {
    /// Creates a full bucket; with a rate of 0 no call may cross.
    #[must_use]
    pub fn new(bytes_per_second: u64, now: time::Instant) -> Self {
        let rate = bytes_per_second as f64;
        Self {
            bytes_per_second: rate,
            balance: rate * BURST_SECONDS,
            refilled: now,
            bytes_by_class: collections::HashMap::new(),
        }
    }

    /// Changes the rate and limits the balance to the new capacity of the bucket.
    pub fn set_rate(&mut self, bytes_per_second: u64, now: time::Instant) {
        self.refill(now);
        self.bytes_per_second = bytes_per_second as f64;
        self.balance = self.balance.min(self.bytes_per_second * BURST_SECONDS);
    }

    /// Decides whether a further call may cross regions.
    pub fn check(&mut self, now: time::Instant) -> RegionDecision {
        self.refill(now);
        if self.balance > 0.0 {
            RegionDecision::Allowed
        } else {
            RegionDecision::Denied
        }
    }

    /// Charges bytes that crossed in either direction.
    pub fn charge(&mut self, class: &ids::ClassName, bytes: u64, now: time::Instant) {
        self.refill(now);
        self.balance -= bytes as f64;
        *self.bytes_by_class.entry(class.clone()).or_default() += bytes;
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.balance = (self.balance + elapsed * self.bytes_per_second).min(self.bytes_per_second * BURST_SECONDS);
    }
}

impl RegionBudget {
    /// Returns the bytes charged since the budget was created, by class.
    pub fn bytes_by_class(&self) -> impl Iterator<Item = (&ids::ClassName, u64)> {
        self.bytes_by_class.iter().map(|(class, bytes)| (class, *bytes))
    }
}
