//! Token bucket whose space may change, and which takes tokens back.

use std::time;

/// Period of the record of free space. Tokens of a take older than this can't be put back.
pub const REFUND_AGE: time::Duration = time::Duration::from_secs(5);

/// Token bucket.
#[derive(Clone, Debug)]
pub struct CreditBucket {
    /// Tokens; not negative.
    level: f64,
    /// Fill time up to which the bucket is filled, see [`Self::fill`].
    filled: f64,
    /// Least free space in the current and in the previous period of [`REFUND_AGE`].
    least_room: [f64; 2],
    period_start: time::Duration,
}

/// Commands.
impl CreditBucket {
    /// Creates an empty bucket at this fill time.
    #[must_use]
    pub fn new(filled: f64, now: time::Duration) -> Self {
        Self {
            level: 0.0,
            filled,
            least_room: [f64::INFINITY; 2],
            period_start: now,
        }
    }

    /// Fills the bucket with `rate` tokens per second up to the fill time `until`, which counts seconds weighted with
    /// the part of the limit that the bucket has. Tokens beyond `space` are lost.
    pub fn fill(&mut self, rate: f64, until: f64, space: f64, now: time::Duration) {
        let space = space.max(0.0);
        self.level = (self.level + rate * (until - self.filled).max(0.0)).min(space);
        self.filled = until;
        if now.saturating_sub(self.period_start) >= REFUND_AGE {
            self.least_room = [f64::INFINITY, self.least_room[0]];
            self.period_start = now;
        }
        self.least_room[0] = self.least_room[0].min(space - self.level);
    }

    /// Takes tokens; at most as many as [`Self::level`] returns.
    pub fn take(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(0.0);
    }

    /// Puts back tokens that weren't used. Tokens beyond `space` are lost.
    pub fn put_back(&mut self, tokens: f64, space: f64) {
        self.level = (self.level + tokens).min(space.max(self.level));
    }

    /// Puts back tokens that were taken at most [`REFUND_AGE`] ago, and returns how many. If the bucket would have been
    /// full in the meantime without the take, the tokens would have been lost, so they aren't put back.
    pub fn refund(&mut self, tokens: f64) -> f64 {
        let room = self.least_room[0].min(self.least_room[1]).max(0.0);
        let tokens = tokens.min(room);
        self.level += tokens;
        for room in &mut self.least_room {
            *room -= tokens;
        }
        tokens
    }
}

/// Queries.
impl CreditBucket {
    /// Returns the number of tokens.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the fill time up to which the bucket is filled.
    #[must_use]
    pub fn filled(&self) -> f64 {
        self.filled
    }
}
