//! Records of the action ledger.

use std::mem;
use std::time;

use bytes::Bytes;

use crate::action_key;
use crate::action_step;
use crate::answer_cache;
use crate::claim_plan;

/// Call that waits for the outcome of an action, or drives its dispatch.
#[derive(Clone, Debug)]
pub(crate) struct ActionWaiter {
    pub(crate) waiter: action_step::WaiterId,
    /// Body digest of this call. It can differ from that of the action only while the claim is not held.
    pub(crate) body_digest: action_key::Sha256Digest,
    pub(crate) deadline: time::Instant,
    /// A peer forwarded the call to this daemon; it is never forwarded again.
    pub(crate) forwarded: bool,
    /// Time at which the request table expires the call: its deadline, plus
    /// [`DRIVER_GRACE`](crate::action_ledger::DRIVER_GRACE) for a driver.
    pub(crate) wake: time::Instant,
}

/// State of an action.
#[derive(Debug)]
pub(crate) enum ActionState {
    /// It is not known yet whether this daemon owns the request. This entry has dispatched nothing, but another owner
    /// may have dispatched the action.
    Claiming,
    /// This daemon owns the request and no dispatch is in flight. With a driver, that call may dispatch again; without
    /// one, no call that has arrived will run the action, so a refusal is correct.
    Ready {
        /// Call whose dispatch ended as not run and whose retry is not decided yet.
        driver: Option<ActionWaiter>,
    },
    /// A dispatch is in flight; at most one at a time. The state is set before the call is sent.
    Dispatched {
        /// Call that receives the result of the dispatch.
        driver: ActionWaiter,
    },
    /// The action ran; its answer may have been evicted since. Terminal state.
    Done(Option<answer_cache::AnswerNumber>),
    /// The action may have run. Terminal state.
    Unknown(action_step::UnknownReason),
}

/// Action of a request, with the calls that wait for it.
#[derive(Debug)]
pub(crate) struct ActionEntry {
    /// Digest of service, method and path.
    pub(crate) call_digest: action_key::Sha256Digest,
    /// Body digest, set by each dispatch; calls with another digest are refused, so it does not change.
    pub(crate) body_digest: Option<action_key::Sha256Digest>,
    pub(crate) state: ActionState,
    /// Number of dispatches. Only the result of the latest one is accepted.
    pub(crate) attempts: action_step::AttemptNumber,
    /// Waiting calls in order of arrival; empty in `Done`, `Unknown` and `Ready` without a driver.
    pub(crate) waiters: Vec<ActionWaiter>,
}

/// Phase of the claim of an opaque id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// An insert of the row is in flight.
    Inserting,
    /// A read of the row is in flight.
    Reading,
    /// Nothing is in flight, and an earlier insert may have taken effect. The entry is kept so that its token can be
    /// compared with the row later. A new entry also starts in this phase.
    Parked,
    /// The row holds this entry's token. Terminal phase.
    Held,
}

/// Basis of this daemon's authority over a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// This incarnation issued the id.
    Bound {
        /// Sequence number in the id.
        sequence: u64,
    },
    /// A caller chose the id, and it is claimed in the table service.
    Opaque {
        /// Token of the claim; all inserts of this entry use it.
        token: claim_plan::ClaimToken,
        phase: ClaimPhase,
        /// The result of an insert is not known: it may have taken effect or may still do so.
        unsettled: bool,
    },
}

/// Request with its actions. They are evicted together, so an action that is missing in an existing entry was never
/// dispatched under that entry.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub(crate) request_id: Bytes,
    pub(crate) origin: RequestOrigin,
    pub(crate) actions: Vec<ActionEntry>,
    /// Position in the order in which requests were added to the ledger.
    pub(crate) arrival_number: u64,
}

impl ActionEntry {
    pub(crate) fn new(call_digest: action_key::Sha256Digest, owned: bool) -> Self {
        Self {
            call_digest,
            body_digest: None,
            state: if owned {
                ActionState::Ready { driver: None }
            } else {
                ActionState::Claiming
            },
            attempts: 0,
            waiters: Vec::new(),
        }
    }

    /// Records a dispatch. The caller ensures that no other one is in flight.
    pub(crate) fn dispatch(&mut self, driver: ActionWaiter) -> action_step::AttemptNumber {
        self.attempts += 1;
        self.body_digest = Some(driver.body_digest);
        self.state = ActionState::Dispatched { driver };
        self.attempts
    }

    /// Sets `state` and returns the driver, if the dispatch `attempt` is in flight.
    pub(crate) fn end_dispatch(
        &mut self,
        attempt: action_step::AttemptNumber,
        state: ActionState,
    ) -> Option<ActionWaiter> {
        if self.attempts != attempt || !matches!(self.state, ActionState::Dispatched { .. }) {
            return None;
        }
        match mem::replace(&mut self.state, state) {
            ActionState::Dispatched { driver } => Some(driver),
            _ => None,
        }
    }

    /// Removes and returns the driver if the dispatch `attempt` ended as not run and its retry is not decided yet.
    pub(crate) fn take_idle_driver(&mut self, attempt: action_step::AttemptNumber) -> Option<ActionWaiter> {
        match &mut self.state {
            ActionState::Ready { driver } if self.attempts == attempt => driver.take(),
            _ => None,
        }
    }

    /// Returns whether this call is the driver of the latest dispatch, which is in flight or ended as not run.
    pub(crate) fn is_driven_by(&self, waiter: action_step::WaiterId) -> bool {
        match &self.state {
            ActionState::Dispatched { driver } | ActionState::Ready { driver: Some(driver) } => driver.waiter == waiter,
            _ => false,
        }
    }

    /// Returns whether the state of the action can change only by the arrival of a further call.
    pub(crate) fn is_settled(&self) -> bool {
        let idle = match &self.state {
            ActionState::Claiming | ActionState::Done(_) | ActionState::Unknown(_) => true,
            ActionState::Ready { driver } => driver.is_none(),
            ActionState::Dispatched { .. } => false,
        };
        idle && self.waiters.is_empty()
    }
}

impl RequestEntry {
    /// Returns whether this daemon is known to be the only authority for the request.
    pub(crate) fn is_owned(&self) -> bool {
        match self.origin {
            RequestOrigin::Bound { .. } => true,
            RequestOrigin::Opaque { phase, .. } => phase == ClaimPhase::Held,
        }
    }

    /// Returns whether the request may be evicted: no call waits for it, and no result for it is pending.
    pub(crate) fn is_settled(&self) -> bool {
        let claiming = matches!(
            self.origin,
            RequestOrigin::Opaque {
                phase: ClaimPhase::Inserting | ClaimPhase::Reading,
                ..
            }
        );
        !claiming && self.actions.iter().all(ActionEntry::is_settled)
    }

    pub(crate) fn action(&self, call_digest: &action_key::Sha256Digest) -> Option<&ActionEntry> {
        self.actions.iter().find(|action| action.call_digest == *call_digest)
    }

    pub(crate) fn action_mut(&mut self, call_digest: &action_key::Sha256Digest) -> Option<&mut ActionEntry> {
        self.actions
            .iter_mut()
            .find(|action| action.call_digest == *call_digest)
    }
}
