//! One daemon's share of the repeats that all daemons together may send.

use std::time;

use damasktrack_routing::retry_budget;

/// Part of the allowed ratio that one level of a call chain uses. A repeated request repeats the calls below it, so four
/// levels at a ratio r add up to (1 + r)^4 - 1.
const LEVEL_SHARE: f64 = 0.2;
/// Part of the extra repeats that the daemons hand out; the rest covers repeats that a change of the member count
/// grants twice.
const EXTRA_SHARE: f64 = 0.3;

/// Bounds of repeated requests to one service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats per request in a window.
    pub ratio: f64,
    /// Repeats in a window besides those.
    pub extra: f64,
    /// Length of the window.
    pub window: time::Duration,
}

impl RetryBounds {
    /// Returns the policy of one of `daemons` daemons.
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
