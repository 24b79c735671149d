//! Bounds that the admission decisions keep.

use std::time;

/// Bounds of one gate.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Slots that the backend server declares.
    pub slots: u32,
    /// Greatest concurrency limit, as a multiple of `slots`.
    pub limit_factor: f64,
    /// Whether the limit follows the service time. Otherwise it stays at `slots`, for backend servers whose calls to
    /// other services can't be told from their own work.
    pub adaptive: bool,
    /// Share of the limit that calls of the long lane may hold.
    pub long_share: f64,
    /// Longest wait of a non-critical call while a queue has been standing for `standing_after`.
    pub queue_target: time::Duration,
    /// Longest wait of a non-critical call otherwise.
    pub queue_burst: time::Duration,
    /// A queue that has not been empty for this long is a standing queue.
    pub standing_after: time::Duration,
    /// Greatest number of queued calls in a lane.
    pub queue_capacity: usize,
    /// Longest window of the level controller.
    pub level_window: time::Duration,
    /// Calls that end a window of the level controller early.
    pub level_calls: u32,
}

impl AdmissionPolicy {
    /// Returns the default bounds for a backend server with `slots` slots.
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
