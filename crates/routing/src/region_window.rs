//! Congestion window for the calls of one class that are in flight to other regions.
//!
//! Traffic between regions is expensive, and another region that is as loaded as the local one has no spare capacity.
//! The window grows with each completed call and is halved when a call is refused for load.

use std::time;

use damasktrack_entity::call_outcome;

use crate::route_candidate;

/// Calls that may be in flight before the first result.
const INITIAL_WINDOW: f64 = 4.0;
/// Upper bound of the window, far above the calls that one daemon has in flight; without it the window would grow
/// without limit while no call is refused.
const MAX_WINDOW: f64 = 1000.0;
/// Pause after a refusal. Refusals within the pause count as the same overload and do not halve the window again. On
/// trinfast-mesh the mean worth was 0.694 with twice this pause and twice [`MIN_WINDOW_PAUSE`], and 0.699 with these.
const REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(30);
/// Pause after a refusal that leaves the window at its minimum of one call.
const MIN_WINDOW_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Which servers of the caller's region are preferred to those of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegionPolicy {
    /// Those with capacity. Calls cross as soon as no such server is left.
    #[default]
    Unbounded,
    /// All of them, even without capacity; once two servers were tried for a call, only those with capacity. Calls
    /// cross within a [`RegionWindow`].
    Windowed,
}

/// Limit of the calls of one service and class that are in flight to other regions.
#[derive(Debug)]
pub struct RegionWindow {
    /// In calls; at least 1, so that a call can still detect when other regions have capacity again.
    window: f64,
    in_flight: u32,
    closed_until: Option<time::Instant>,
    /// Set by the first refusal for load. Before it the window grows by 1 per completed call (slow start), afterwards
    /// by 1 per window of completed calls.
    limit_known: bool,
}

/// Commands.
impl RegionWindow {
    /// Counts the start of a call.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a call and adjusts the window to its result.
    pub fn end(&mut self, result: route_candidate::RouteResult, now: time::Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            route_candidate::RouteResult::Completed => {
                let growth = if self.limit_known { 1.0 / self.window } else { 1.0 };
                self.window = (self.window + growth).min(MAX_WINDOW);
            }
            route_candidate::RouteResult::Refused(reason) if indicates_overload(reason) && !self.is_paused(now) => {
                self.limit_known = true;
                self.window = (self.window / 2.0).max(1.0);
                let pause = if self.window > 1.0 {
                    REFUSAL_PAUSE
                } else {
                    MIN_WINDOW_PAUSE
                };
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
            window: INITIAL_WINDOW,
            in_flight: 0,
            closed_until: None,
            limit_known: false,
        }
    }
}

fn indicates_overload(reason: call_outcome::RefusalReason) -> bool {
    matches!(
        reason,
        call_outcome::RefusalReason::Overloaded
            | call_outcome::RefusalReason::QueueFull
            | call_outcome::RefusalReason::ShedByBackendServer
            | call_outcome::RefusalReason::CallsBelowFail
    )
}
