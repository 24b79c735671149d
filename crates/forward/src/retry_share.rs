//! Share of one daemon in the retry budget of all daemons.

use std::time;

use damasktrack_routing::retry_budget;

/// Fraction of the configured ratio that one level of a call chain may use. A repeated request repeats its nested
/// calls, so the repeats of four levels with a ratio r add up to (1 + r)^4 - 1.
const LEVEL_SHARE: f64 = 0.2;
/// Fraction of the extra repeats that is divided among the daemons. The rest is a reserve for repeats that are granted
/// twice when the number of members changes.
const EXTRA_SHARE: f64 = 0.3;

/// Bounds of repeated requests to one service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Maximum repeats per request in a window.
    pub ratio: f64,
    /// Repeats allowed in a window in addition to `ratio`.
    pub extra: f64,
    /// Length of the window over which repeats are counted.
    pub window: time::Duration,
}

impl RetryBounds {
    /// Returns the retry policy of one daemon out of `daemons`.
    #[must_use]
    pub fn policy(&self, daemons: usize) -> retry_budget::RetryPolicy {
        let share = self.extra * EXTRA_SHARE / daemons.max(1) as f64;
        let reserve = share.max(1.0);
        retry_budget::RetryPolicy {
            retry_share: self.ratio * LEVEL_SHARE,
            max_tokens: reserve,
            idle_reserve: reserve,
            reserve_interval: self.window.div_f64(share.max(f64::EPSILON)),
        }
    }
}
