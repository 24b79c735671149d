//! Expected time to completion of a call, from what the daemon beside a server reports about it.
//!
//! An entry daemon sees a small share of a server's calls, so its own counts do not show a queue there. The daemon
//! beside the server knows its queue, its free slots and its service times, and reports them with each reply.

use std::time;

/// Age beyond which a report counts as unknown. Queues in front of the servers last 80 to 250 ms, so an older report
/// says nothing about the present one.
pub const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(500);
/// Least gain in time for which a call leaves the nearer servers, since service times and reports vary by this much.
const MARGIN: time::Duration = time::Duration::from_millis(10);
/// Gain, beyond the margin, for which all calls would leave if the reports had no age.
const FULL_GAIN: time::Duration = time::Duration::from_millis(30);
/// Factor of the age of the reports that is added to [`FULL_GAIN`]. All daemons react to the same queue, and a reaction
/// that is fast compared with the age of what it reacts to makes the queue oscillate.
const AGE_WEIGHT: u32 = 1;
/// Largest share of the calls that leave. The others keep the reports of the nearer servers fresh.
const MAX_SHARE: f64 = 0.9;
/// Load of a server as reported by the daemon beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Expected wait for a slot of a call that arrives now.
    pub wait: time::Duration,
    /// Free slots.
    pub free: u32,
}

/// What is expected of a call to a server whose report is fresh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletionEstimate {
    /// Last report of the server.
    pub load: ServerLoad,
    /// Time since the report was made.
    pub age: time::Duration,
    /// Round-trip network delay to the server.
    pub delay: time::Duration,
    /// Declared slots of the server.
    pub slots: u32,
    /// Calls that this daemon sent since the report.
    pub sent: u32,
}

/// Queries.
impl CompletionEstimate {
    /// Returns the time that a call is expected to need beyond the service time.
    #[must_use]
    pub fn overhead(&self) -> time::Duration {
        self.load.wait + self.delay
    }

    /// Returns the free slots that the calls sent since the report have left.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.load.free.min(self.slots).saturating_sub(self.sent)
    }
}

/// Returns whether [`leave_share`] is above zero for any other servers; saves the search for them without a queue.
#[must_use]
pub fn may_leave(nearer: &CompletionEstimate) -> bool {
    nearer.overhead() > MARGIN
}

/// Returns the share of the calls that leave the nearer servers for farther ones, given the best of each.
///
/// Load pattern: the servers of one region get 1.3 times what they can run, while other regions have free slots. The
/// share grows with the gain in time, so that only the excess leaves and the nearer servers stay in use: a daemon that
/// sent all calls to the better server would empty one queue and fill the other, since all daemons do the same. It is
/// zero as soon as the nearer servers answer sooner, and small if the reports are old.
#[must_use]
pub fn leave_share(nearer: &CompletionEstimate, farther: &CompletionEstimate) -> f64 {
    let gain = nearer.overhead().saturating_sub(farther.overhead() + MARGIN);
    let full_gain = FULL_GAIN + nearer.age * AGE_WEIGHT;
    (gain.as_secs_f64() / full_gain.as_secs_f64()).min(MAX_SHARE)
}
