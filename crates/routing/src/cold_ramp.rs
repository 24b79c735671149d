//! Share of its full load that a cold server may get.

use std::time;

/// Time in which a cold server reaches its full share.
pub const RAMP_DURATION: time::Duration = time::Duration::from_secs(10);
/// Time in which a server that returns from ejection reaches its full share; its caches are warm.
pub const RETURN_DURATION: time::Duration = time::Duration::from_secs(2);
/// Share at the start of a ramp; without any calls a server would never warm up.
pub const FIRST_SHARE: f64 = 0.1;

/// Linear ramp from [`FIRST_SHARE`] to the full share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRamp {
    since: time::Instant,
    duration: time::Duration,
}

impl ColdRamp {
    /// Starts a ramp.
    #[must_use]
    pub fn new(since: time::Instant, duration: time::Duration) -> Self {
        Self { since, duration }
    }

    /// Returns the share at `now`, in [`FIRST_SHARE`]..=1.
    #[must_use]
    pub fn share(&self, now: time::Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= self.duration {
            return 1.0;
        }
        FIRST_SHARE + (1.0 - FIRST_SHARE) * elapsed.as_secs_f64() / self.duration.as_secs_f64()
    }
}
