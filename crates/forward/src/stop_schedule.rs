//! Planned stop of a daemon: its times, and the end of the requests that outlast it.

use std::cell;
use std::time;

use tokio::sync::Notify;

/// Time after SIGTERM during which new requests of callers are still accepted. The platform checks readiness once a
/// second and stops routing after two failed checks.
const DRAIN_NOTICE: time::Duration = time::Duration::from_millis(2900);
/// Time after SIGTERM until which requests are forwarded. One that is forwarded later might still run when the process
/// is killed. A connection is read for 100 ms after the listener is closed.
const FORWARD_TIME: time::Duration = time::Duration::from_secs(3);
/// Time before the kill at which a graceful stop ends, even if requests are still running.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Times of a planned stop, which the platform ends with a kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the listener for callers closes.
    pub closes_at: time::Instant,
    /// Latest time at which a request is forwarded. Later ones are refused, and the refusal is true.
    pub forwards_until: time::Instant,
    /// When the process ends. Requests that still run then get a response that guarantees nothing.
    pub ends_at: time::Instant,
}

impl StopSchedule {
    /// Plans a stop. The process handles SIGTERM `now`. It didn't run for the time `paused` before, in which SIGTERM
    /// may have been sent. `grace` is the time from SIGTERM to the kill.
    #[must_use]
    pub fn new(now: time::Instant, paused: time::Duration, grace: time::Duration) -> Self {
        let earliest = now.checked_sub(paused).unwrap_or(now);
        let ends_at = now + grace.saturating_sub(KILL_MARGIN);
        Self {
            closes_at: (now + DRAIN_NOTICE).min(ends_at),
            forwards_until: earliest + FORWARD_TIME,
            ends_at,
        }
    }
}

/// Planned stop, as the requests of callers see it.
#[derive(Debug, Default)]
pub struct PlannedStop {
    schedule: cell::Cell<Option<StopSchedule>>,
    ended: Notify,
}

/// Commands.
impl PlannedStop {
    /// Begins the stop.
    pub fn begin(&self, schedule: StopSchedule) {
        self.schedule.set(Some(schedule));
    }

    /// Ends the wait of all requests that still run.
    pub fn end_requests(&self) {
        self.ended.notify_waiters();
    }
}

/// Queries.
impl PlannedStop {
    /// Returns whether it is too late in the stop to forward a request.
    #[must_use]
    pub fn is_late(&self, now: time::Instant) -> bool {
        self.schedule
            .get()
            .is_some_and(|schedule| now >= schedule.forwards_until)
    }

    /// Waits until the requests that still run have to be answered.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}
