//! Configuration of the admission gate.

use std::time;

/// Limits, wait bounds and window lengths of one gate.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Slots that the backend server declares; the initial concurrency limit.
    pub slots: u32,
    /// Maximum concurrency limit, as a multiple of `slots`.
    pub limit_factor: f64,
    /// Whether the limit follows the service time. If not, it stays at `slots`; this is for backend servers whose
    /// calls to other services can't be separated from their own service time.
    pub adaptive: bool,
    /// Share of `slots` that calls of the long lane may hold. At least one call may always run.
    pub long_share: f64,
    /// Maximum wait of a non-critical call in a standing queue. The mean service time of the lane raises it, up to
    /// `queue_burst`.
    pub queue_target: time::Duration,
    /// Maximum wait of a non-critical call in a queue that is not standing.
    pub queue_burst: time::Duration,
    /// Time without an empty queue after which the queue counts as standing.
    pub standing_after: time::Duration,
    /// Maximum number of queued calls in a lane.
    pub queue_capacity: usize,
    /// Maximum length of a window of the level controller.
    pub level_window: time::Duration,
    /// Number of arrivals that ends a window of the level controller early.
    pub level_calls: u32,
}

impl AdmissionPolicy {
    /// Returns the default policy for a backend server with `slots` slots; 0 counts as 1.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit_factor: 1.5,
            adaptive: true,
            long_share: 0.3,
            queue_target: time::Duration::from_millis(20),
            queue_burst: time::Duration::from_millis(100),
            standing_after: time::Duration::from_millis(100),
            queue_capacity: 1024,
            level_window: time::Duration::from_millis(100),
            level_calls: 200,
        }
    }
}
