//! Token bucket whose space may change, and which takes tokens back.

use std::time;

use crate::room_record;

/// Longest time after a take in which its tokens can be put back.
pub const REFUND_AGE: time::Duration = room_record::RECORD_AGE;

/// Token bucket.
#[derive(Clone, Debug)]
pub struct CreditBucket {
    /// Tokens; not negative.
    level: f64,
    /// Fill time up to which the bucket is filled, see [`Self::fill`].
    filled: f64,
    /// Free space at each fill. Between two fills it is at least that of the later one.
    rooms: room_record::RoomRecord,
    created: time::Duration,
}

/// Commands.
impl CreditBucket {
    /// Creates an empty bucket at this fill time.
    #[must_use]
    pub fn new(filled: f64, now: time::Duration) -> Self {
        Self {
            level: 0.0,
            filled,
            rooms: room_record::RoomRecord::default(),
            created: now,
        }
    }

    /// Fills the bucket with `rate` tokens per second up to the fill time `until`, which counts seconds weighted with
    /// the part of the limit that the bucket has. Tokens beyond `space` are lost.
    pub fn fill(&mut self, rate: f64, until: f64, space: f64, now: time::Duration) {
        let space = space.max(0.0);
        self.level = (self.level + rate * (until - self.filled).max(0.0)).min(space);
        self.filled = until;
        self.rooms.note(space - self.level, now);
    }

    /// Takes tokens; at most as many as [`Self::level`] returns.
    pub fn take(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(0.0);
    }

    /// Puts back tokens that weren't used. Tokens beyond `space` are lost.
    pub fn put_back(&mut self, tokens: f64, space: f64) {
        self.level = (self.level + tokens).min(space.max(self.level));
    }

    /// Puts back tokens that were taken at `taken` or later, and returns how many. If the bucket would have been full
    /// in the meantime without the take, the tokens would have been lost, so they aren't put back. Neither are those
    /// taken more than [`REFUND_AGE`] ago, nor those of an earlier bucket. The bucket must be filled up to a moment
    /// after the take.
    pub fn refund(&mut self, tokens: f64, taken: time::Duration, now: time::Duration) -> f64 {
        if taken < self.created || now.saturating_sub(taken) > REFUND_AGE {
            return 0.0;
        }
        let tokens = self.rooms.use_since(tokens, taken);
        self.level += tokens;
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
