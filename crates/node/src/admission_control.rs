//! Decision point: admission at the callee. To be replaced by `admission::admission_gate::AdmissionGate`, whose
//! functions have these names.

use std::collections;
use std::time;

use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;

use crate::call_class;

/// Calls that may wait for each slot before further ones are refused.
const QUEUE_PER_SLOT: usize = 4;

/// Call that asks to be admitted.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Id of the call at this daemon.
    pub call: ids::CallId,
    /// Class as declared.
    pub class: call_class::CallClass,
    /// Priority by which the call is shed.
    pub level: admission_level::AdmissionLevel,
    /// End of the call's remaining time.
    pub deadline: time::Instant,
}

/// What to do with an arrival.
#[derive(Clone, Copy, Debug)]
pub enum ArrivalDecision {
    /// Dispatch it now.
    Start,
    /// Keep it until [`AdmissionControl::poll`] names it.
    Queued,
    /// Answer that it did not run.
    Refuse(call_outcome::RefusalReason),
}

/// What to do next with queued calls.
#[derive(Clone, Copy, Debug)]
pub enum NextStart {
    /// Dispatch this call.
    Start(ids::CallId),
    /// Answer that this call did not run.
    Refuse(ids::CallId, call_outcome::RefusalReason),
    /// Nothing until the next event.
    Idle,
}

/// How admitted work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// The backend server answered completely.
    Completed,
    /// The backend server reported that the call did not run.
    ShedByBackendServer,
    /// The call did not complete.
    Failed,
    /// The call was cancelled.
    Cancelled,
}

/// What a cancellation met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// The call was queued and is dropped.
    Dropped,
    /// The call runs; the backend server must be told.
    Running,
    /// The call is not known.
    Absent,
}

/// Fixed limit with a bounded queue.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: usize,
    running: collections::HashSet<ids::CallId>,
    queue: collections::VecDeque<(ids::CallId, time::Instant)>,
    draining: bool,
    backend_server_up: bool,
}

/// Commands.
impl AdmissionControl {
    /// Creates the control for a backend server with so many slots; 0 if there is no backend server.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            limit: slots as usize,
            running: collections::HashSet::new(),
            queue: collections::VecDeque::new(),
            draining: false,
            backend_server_up: true,
        }
    }

    /// Offers a call.
    pub fn offer(&mut self, arrival: &CallArrival, now: time::Instant) -> ArrivalDecision {
        if self.draining {
            return ArrivalDecision::Refuse(call_outcome::RefusalReason::Leaving);
        }
        if self.limit == 0 || !self.backend_server_up {
            return ArrivalDecision::Refuse(call_outcome::RefusalReason::BackendServerDown);
        }
        if arrival.deadline <= now {
            return ArrivalDecision::Refuse(call_outcome::RefusalReason::DeadlineTooShort);
        }
        if self.running.len() < self.limit {
            self.running.insert(arrival.call);
            return ArrivalDecision::Start;
        }
        if self.queue.len() >= self.limit * QUEUE_PER_SLOT {
            return ArrivalDecision::Refuse(call_outcome::RefusalReason::QueueFull);
        }
        self.queue.push_back((arrival.call, arrival.deadline));
        ArrivalDecision::Queued
    }

    /// Returns the next queued call to start or refuse; called until idle after each event and timer.
    pub fn poll(&mut self, now: time::Instant) -> NextStart {
        let Some((call, deadline)) = self.queue.front().copied() else {
            return NextStart::Idle;
        };
        if deadline <= now {
            self.queue.pop_front();
            return NextStart::Refuse(call, call_outcome::RefusalReason::DeadlineTooShort);
        }
        if self.running.len() >= self.limit {
            return NextStart::Idle;
        }
        self.queue.pop_front();
        self.running.insert(call);
        NextStart::Start(call)
    }

    /// Ends admitted work.
    pub fn finish(&mut self, call: ids::CallId, _result: FinishResult, _now: time::Instant) {
        self.running.remove(&call);
    }

    /// Drops a queued call, or tells that it runs.
    pub fn cancel(&mut self, call: ids::CallId, _now: time::Instant) -> CancelDecision {
        if self.running.contains(&call) {
            return CancelDecision::Running;
        }
        let before = self.queue.len();
        self.queue.retain(|queued| queued.0 != call);
        if self.queue.len() < before {
            return CancelDecision::Dropped;
        }
        CancelDecision::Absent
    }

    /// Adapts to the passing of time.
    pub fn tick(&mut self, _now: time::Instant) {}

    /// Refuses new work from now on; queued and running work goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes the result of a health check.
    pub fn set_backend_server_up(&mut self, up: bool) {
        self.backend_server_up = up;
    }
}

/// Queries.
impl AdmissionControl {
    /// Returns the level that the path admits for a class.
    #[must_use]
    pub fn report(&self, _class: &ids::ClassName, _now: time::Instant) -> Option<call_outcome::LevelReport> {
        None
    }

    /// Returns the number of queued and running calls.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns whether the backend server answers its health checks.
    #[must_use]
    pub fn backend_server_up(&self) -> bool {
        self.backend_server_up
    }

    /// Returns when [`Self::poll`] should be called next without an event.
    #[must_use]
    pub fn next_wake(&self, _now: time::Instant) -> Option<time::Instant> {
        self.queue.front().map(|queued| queued.1)
    }
}
