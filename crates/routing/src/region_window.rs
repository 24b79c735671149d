//! How many calls of one class may be at other regions at once, by what those regions accept.
//!
//! Bytes between regions are dear, and a region that is as loaded as the own one has nothing to give. The window opens
//! while calls are accepted and closes by half when one is refused, as a congestion window does.

use std::time;

use damasktrack_entity::call_outcome;

use crate::route_candidate;

/// Calls that may cross before anything was learned. The value was not varied in a run.
const FIRST_WINDOW: f64 = 4.0;
/// Far above what one daemon has in flight, so that a long calm can't let the window grow without bound.
const MAX_WINDOW: f64 = 1000.0;
/// Pause after a refusal. Refusals of one moment tell one thing and halve the window once. On trinfast-mesh a mean worth
/// of 0.694 was seen with twice these pauses and of 0.699 with these.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(30);
/// Pause after a refusal of the only call that may cross.
const CLOSED_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Which servers are asked before those of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegionPolicy {
    /// Near servers that have room.
    #[default]
    Room,
    /// Two near servers even if they refused lately; then other regions within a [`RegionWindow`].
    Sparing,
}

/// Bound of the calls of one service and class at other regions.
#[derive(Debug)]
pub struct RegionWindow {
    /// At least 1, so that some call learns when the other regions have room again.
    window: f64,
    in_flight: u32,
    closed_until: Option<time::Instant>,
    /// Set by the first refusal; the window grows faster before it.
    limit_known: bool,
}

/// Commands.
impl RegionWindow {
    /// Counts a call that begins.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a call and learns from it.
    pub fn end(&mut self, result: route_candidate::RouteResult, now: time::Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            route_candidate::RouteResult::Completed => {
                let growth = if self.limit_known { 1.0 / self.window } else { 1.0 };
                self.window = (self.window + growth).min(MAX_WINDOW);
            }
            route_candidate::RouteResult::Refused(reason) if tells_of_load(reason) && !self.is_paused(now) => {
                self.limit_known = true;
                self.window = (self.window / 2.0).max(1.0);
                let pause = if self.window > 1.0 { REFUSED_PAUSE } else { CLOSED_PAUSE };
                self.closed_until = Some(now + pause);
            }
            _ => {}
        }
    }
}

/// Queries.
impl RegionWindow {
    /// Returns whether another call may cross.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        f64::from(self.in_flight) < self.window && !self.is_paused(now)
    }

    fn is_paused(&self, now: time::Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }
}

impl Default for RegionWindow {
    fn default() -> Self {
        Self {
            window: FIRST_WINDOW,
            in_flight: 0,
            closed_until: None,
            limit_known: false,
        }
    }
}

fn tells_of_load(reason: call_outcome::RefusalReason) -> bool {
    matches!(
        reason,
        call_outcome::RefusalReason::Overloaded
            | call_outcome::RefusalReason::QueueFull
            | call_outcome::RefusalReason::ShedByBackendServer
            | call_outcome::RefusalReason::CallsBelowFail
    )
}
