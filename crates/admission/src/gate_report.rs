//! Events and decisions of the admission gate.

use std::time;

use damasktrack_entity::{admission_level, call_outcome, ids};

/// Which limit a call runs under.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum CallLane {
    /// Ordinary work.
    #[default]
    Short,
    /// Work that runs many times longer, such as downloads. It holds at most a share of the slots.
    Long,
}

/// A call that reached the callee.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Unique among the calls that the gate holds.
    pub call: ids::CallId,
    /// Class of the root request.
    pub class: ids::ClassName,
    /// Declared tenant, or the default one.
    pub tenant: ids::TenantName,
    /// At most the greatest importance.
    pub importance: u8,
    /// Shed only when critical calls alone exceed the limit.
    pub critical: bool,
    /// Lane of the class.
    pub lane: CallLane,
    /// Level of the request.
    pub level: admission_level::AdmissionLevel,
    /// Until when the call has to complete.
    pub deadline: time::Instant,
}

/// What to do with an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Send it to the backend server now; it counts as running.
    Start,
    /// Keep it; `poll` or `cancel` ends its wait.
    Queued,
    /// Refuse it; it did not run.
    Refuse(call_outcome::RefusalReason),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStart {
    /// Send this queued call to the backend server; it counts as running.
    Start(ids::CallId),
    /// Refuse this queued call; it did not run.
    Refuse(ids::CallId, call_outcome::RefusalReason),
    /// Nothing until the next event or `next_wake`.
    Idle,
}

/// How a running call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// With a complete response.
    Completed,
    /// The backend server reported that it did not run.
    ShedByBackendServer,
    /// Without a complete response.
    Failed,
    /// Its caller went away.
    Cancelled,
}

/// What became of a call whose caller went away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// It was queued and is dropped; it did not run.
    Dropped,
    /// It runs; cancel it at the backend server, then `finish`.
    Running,
    /// The gate does not hold it.
    Absent,
}

/// Counts of a gate since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Calls offered.
    pub offered: u64,
    /// Calls started.
    pub started: u64,
    /// Calls refused.
    pub refused: u64,
    /// Queued calls dropped because their caller went away.
    pub dropped: u64,
    /// Calls running now.
    pub running: u32,
    /// Of these, calls of the long lane.
    pub running_long: u32,
    /// Calls queued now.
    pub queued: usize,
}
