//! Arrivals, decisions and counts of the admission gate.

use std::time;

use damasktrack_entity::{admission_level, call_outcome, ids};

/// Queue and limit that apply to a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum CallLane {
    /// Calls of ordinary duration.
    #[default]
    Short,
    /// Calls that run many times longer, such as downloads. They hold at most a share of the slots.
    Long,
}

/// A call that reached the callee, as the gate needs it for its decision.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Unique among the calls that the gate holds.
    pub call: ids::CallId,
    /// Name by which the gate separates service times, importance and lane, such as the class of the root request.
    pub class: ids::ClassName,
    /// Declared tenant, or the default tenant.
    pub tenant: ids::TenantName,
    /// Importance of the request; values above [`admission_level::MAX_IMPORTANCE`] count as that.
    pub importance: u8,
    /// A critical call is shed only when critical calls alone exceed the limit.
    pub critical: bool,
    /// Lane of the class.
    pub lane: CallLane,
    /// Level of the request, compared with the lowest admitted level of the tenant.
    pub level: admission_level::AdmissionLevel,
    /// Time by which the call has to complete.
    pub deadline: time::Instant,
}

/// Decision on an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Send it to the backend server now; it counts as running.
    Start,
    /// Hold it; a result of `poll`, or `cancel`, ends its wait.
    Queued,
    /// Refuse it; it did not run.
    Refuse(call_outcome::RefusalReason),
}

/// Next action on the queued calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStart {
    /// Send this queued call to the backend server; it counts as running.
    Start(ids::CallId),
    /// Refuse this queued call; it did not run.
    Refuse(ids::CallId, call_outcome::RefusalReason),
    /// No action is due until the next event or `next_wake`.
    Idle,
}

/// How a running call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// The backend server sent a complete response.
    Completed,
    /// The backend server reported that it did not run the call.
    ShedByBackendServer,
    /// It ended without a complete response.
    Failed,
    /// It was cancelled because its caller no longer waits for it.
    Cancelled,
}

/// State of a call when `cancel` was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// It was queued and is now removed; it did not run.
    Dropped,
    /// It is running; cancel it at the backend server, then call `finish`.
    Running,
    /// The gate does not hold it.
    Absent,
}

/// Call counts of a gate: totals since its creation, and the current numbers of running and queued calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls offered, whatever the decision.
    pub offered: u64,
    /// Calls started, on arrival or from the queue.
    pub started: u64,
    /// Calls refused, on arrival or from the queue.
    pub refused: u64,
    /// Queued calls removed by `cancel`.
    pub dropped: u64,
    /// Calls running now, in both lanes.
    pub running: u32,
    /// Calls of the long lane running now.
    pub running_long: u32,
    /// Calls queued now, in both lanes.
    pub queued: usize,
}

/// Load of a backend server for a call that arrives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLoad {
    /// Expected wait for a slot.
    pub wait: time::Duration,
    /// Free slots.
    pub free: u32,
}
