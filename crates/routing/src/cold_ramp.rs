//! Slow start: the share of its full load that a cold server may get.

use std::time;

/// Time after which a cold server gets its full share.
pub const RAMP_DURATION: time::Duration = time::Duration::from_secs(10);
/// Time after which a server that returns from ejection gets its full share. It is shorter than [`RAMP_DURATION`] since
/// the caches of such a server are warm.
pub const RETURN_RAMP_DURATION: time::Duration = time::Duration::from_secs(2);
/// Share at the start of a ramp. It is above 0 since a server without calls would never warm up.
pub const INITIAL_SHARE: f64 = 0.1;

/// Linear ramp from [`INITIAL_SHARE`] to the full share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRamp {
    since: time::Instant,
    duration: time::Duration,
}

impl ColdRamp {
    /// Creates a ramp that starts at `since` and reaches the full share after `duration`.
    #[must_use]
    pub fn new(since: time::Instant, duration: time::Duration) -> Self {
        Self { since, duration }
    }

    /// Returns the share at `now`, in [`INITIAL_SHARE`]..=1.
    #[must_use]
    pub fn share(&self, now: time::Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= self.duration {
            return 1.0;
        }
        INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed.as_secs_f64() / self.duration.as_secs_f64()
    }
}
