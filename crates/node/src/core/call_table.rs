//! Calls in progress at this daemon.

use std::collections;
use std::time;

use damasktrack_entity::call_context;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_routing::route_candidate;

use crate::call::call_class;
use crate::call::call_watch;
use crate::core::core_command;
use crate::core::core_hedges;
use crate::core::core_routes;
use crate::core::request_owner;

/// Sender of a call that this daemon handles: the sending daemon, and the id of the call there.
pub type SenderCall = (request_identity::RequestOwner, ids::CallId);

/// Call that this daemon sends to a backend server.
#[derive(Debug)]
pub struct OutgoingCall {
    /// Context of the current attempt.
    pub context: call_context::CallContext,
    /// Service that is called.
    pub service: ids::ServiceName,
    /// Class of the call.
    pub class: call_class::CallClass,
    /// End of the remaining time.
    pub deadline: time::Instant,
    /// Work of the local backend server that made the call, for a nested call.
    pub parent: Option<ids::CallId>,
    /// Candidates that were tried.
    pub tried: Vec<route_candidate::ServerKey>,
    /// Candidate of the current attempt; absent while the owner of the request routes the call.
    pub route: Option<core_routes::RunningAttempt>,
    /// Whether the result of the current attempt is still to be recorded.
    pub attempt_open: bool,
    /// Id of the current attempt on the wire, by which its receiver identifies it.
    pub wire_call: ids::CallId,
    /// Hedge of the current attempt, that is, a second copy at another server.
    pub hedge: Option<core_hedges::HedgeEntry>,
    /// Cancellation flag of a hedge that replaced the first attempt.
    pub copy_cancelled: Option<call_watch::CancelFlag>,
    /// Whether an attempt was made after one that ended without a response.
    pub retried: bool,
    /// Target of the current attempt.
    pub target: core_routes::RouteTarget,
    /// Result of the last attempt, kept until the grant for a retry arrives.
    pub last_result: Option<core_command::AttemptResult>,
    /// Cancellation flag of the call.
    pub cancelled: call_watch::CancelFlag,
    /// Action that the call drives.
    pub action: Option<request_owner::ActionDrive>,
    /// Peer that forwarded the call to this daemon as its owner.
    pub sender: Option<SenderCall>,
}

impl OutgoingCall {
    /// Returns whether the owner of the request, and not this daemon, routes the call.
    #[must_use]
    pub fn is_routed_by_owner(&self) -> bool {
        self.tried.is_empty()
    }
}

/// Work of the local backend server, queued or running.
#[derive(Debug)]
pub struct WorkEntry {
    /// Context of the chain.
    pub context: call_context::CallContext,
    /// Class of the call at this service.
    pub class: call_class::CallClass,
    /// Name of the class at the admission gate.
    pub gate_class: ids::ClassName,
    /// End of the remaining time.
    pub deadline: time::Instant,
    /// Sender of the call, which waits for its response.
    pub sender: SenderCall,
    /// Reply to send when the work leaves the queue; absent once it runs.
    pub waiting: Option<core_command::ReplySender<core_command::WorkDecision>>,
    /// Cancellation flag of the work.
    pub cancelled: call_watch::CancelFlag,
}

/// Table of all calls in progress. Invariant: `by_sender` contains exactly the calls and the work that have a sender.
#[derive(Debug, Default)]
pub struct CallTable {
    outgoing: collections::HashMap<ids::CallId, OutgoingCall>,
    work: collections::HashMap<ids::CallId, WorkEntry>,
    by_sender: collections::HashMap<SenderCall, ids::CallId>,
}

/// Commands.
impl CallTable {
    /// Adds a call that this daemon sends; its sender, if it has one, can then be found with [`Self::find_sender`].
    pub fn add_outgoing(&mut self, call: ids::CallId, entry: OutgoingCall) {
        if let Some(sender) = &entry.sender {
            self.by_sender.insert(sender.clone(), call);
        }
        self.outgoing.insert(call, entry);
    }

    /// Removes a call that this daemon sends, and its sender.
    pub fn remove_outgoing(&mut self, call: ids::CallId) -> Option<OutgoingCall> {
        let entry = self.outgoing.remove(&call)?;
        if let Some(sender) = &entry.sender {
            self.by_sender.remove(sender);
        }
        Some(entry)
    }

    /// Returns mutable access to a call that this daemon sends. Its sender must not be changed.
    pub fn outgoing_mut(&mut self, call: ids::CallId) -> Option<&mut OutgoingCall> {
        self.outgoing.get_mut(&call)
    }

    /// Adds work; its sender can then be found with [`Self::find_sender`].
    pub fn add_work(&mut self, call: ids::CallId, entry: WorkEntry) {
        self.by_sender.insert(entry.sender.clone(), call);
        self.work.insert(call, entry);
    }

    /// Removes work and its sender.
    pub fn remove_work(&mut self, call: ids::CallId) -> Option<WorkEntry> {
        let entry = self.work.remove(&call)?;
        self.by_sender.remove(&entry.sender);
        Some(entry)
    }

    /// Returns mutable access to work. Its sender must not be changed.
    pub fn work_mut(&mut self, call: ids::CallId) -> Option<&mut WorkEntry> {
        self.work.get_mut(&call)
    }
}

/// Queries.
impl CallTable {
    /// Returns a call that this daemon sends, if it is in progress.
    #[must_use]
    pub fn outgoing(&self, call: ids::CallId) -> Option<&OutgoingCall> {
        self.outgoing.get(&call)
    }

    /// Returns queued or running work.
    #[must_use]
    pub fn work(&self, call: ids::CallId) -> Option<&WorkEntry> {
        self.work.get(&call)
    }

    /// Returns the id at this daemon of the call or work that a sender waits for.
    #[must_use]
    pub fn find_sender(&self, sender: &SenderCall) -> Option<ids::CallId> {
        self.by_sender.get(sender).copied()
    }

    /// Returns the nested calls in progress of a piece of work.
    #[must_use]
    pub fn children(&self, parent: ids::CallId) -> Vec<ids::CallId> {
        let calls = self.outgoing.iter().filter(|entry| entry.1.parent == Some(parent));
        calls.map(|entry| *entry.0).collect()
    }

    /// Returns the number of calls in progress that this daemon sends.
    #[must_use]
    pub fn outgoing_count(&self) -> usize {
        self.outgoing.len()
    }

    /// Returns the number of queued and running pieces of work.
    #[must_use]
    pub fn work_count(&self) -> usize {
        self.work.len()
    }
}
