//! Records of the action ledger.

use std::mem;
use std::time;

use bytes::Bytes;

use crate::action_key;
use crate::action_step;
use crate::answer_cache;
use crate::claim_plan;

/// Call that waits for an action.
#[derive(Clone, Debug)]
pub(crate) struct ActionWaiter {
    pub(crate) waiter: action_step::WaiterId,
    /// Body digest of this call. It can differ from the action's only while the claim is not held.
    pub(crate) digest: action_key::Sha256Digest,
    pub(crate) deadline: time::Instant,
    /// A peer sent the call here; it is not forwarded once more.
    pub(crate) forwarded: bool,
    /// Time of the entry in the table of deadlines: the deadline, later for the call that drives a dispatch.
    pub(crate) wake: time::Instant,
}

/// State of an action.
#[derive(Debug)]
pub(crate) enum ActionState {
    /// Whether this daemon owns the request is not known. Nothing was dispatched by this entry, but another owner may
    /// have dispatched the action.
    Claiming,
    /// This daemon owns the request and no dispatch is out. With a driver, that call may dispatch again; without one,
    /// nothing that arrived so far will run the action, so a refusal is true.
    Ready {
        /// Call whose dispatch ended as not run and that has not yet decided on a retry.
        driver: Option<ActionWaiter>,
    },
    /// Set before the call leaves the owner. At most one dispatch is out.
    Dispatched {
        /// Call that the dispatch answers.
        driver: ActionWaiter,
    },
    /// The action ran; the answer may have been dropped since. Never left.
    Done(Option<answer_cache::AnswerNumber>),
    /// The action may have run. Never left.
    Unknown(action_step::UnknownReason),
}

/// Action of a request.
#[derive(Debug)]
pub(crate) struct ActionEntry {
    /// Digest of service, method and path.
    pub(crate) call: action_key::Sha256Digest,
    /// Body digest, set by the first dispatch and never changed.
    pub(crate) digest: Option<action_key::Sha256Digest>,
    pub(crate) state: ActionState,
    /// Number of dispatches. Only the result of the latest one is accepted.
    pub(crate) attempts: action_step::AttemptNumber,
    /// Repeats in order of arrival; empty in `Done`, `Unknown` and `Ready` without a driver.
    pub(crate) waiters: Vec<ActionWaiter>,
}

/// How far the claim of an opaque id is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// An insert was sent.
    Inserting,
    /// A read was sent.
    Reading,
    /// Nothing is sent, and an earlier insert may have taken effect. The entry is kept so that its token can be found
    /// in the row later.
    Parked,
    /// The row holds this entry's token. Never left.
    Held,
}

/// Why this daemon may decide about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// This incarnation issued the id.
    Bound {
        /// Sequence of the id.
        sequence: u64,
    },
    /// The id is claimed in the table service.
    Opaque {
        /// Token of the claim; the same for all inserts of this entry.
        token: claim_plan::ClaimToken,
        phase: ClaimPhase,
        /// An insert was sent whose result is not known.
        unsettled: bool,
    },
}

/// Request with its actions. They are remembered and forgotten together, so an action that is missing in a remembered
/// request was never dispatched.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub(crate) request_id: Bytes,
    pub(crate) origin: RequestOrigin,
    pub(crate) actions: Vec<ActionEntry>,
    /// Order of arrival among the requests of the ledger.
    pub(crate) age: u64,
}

impl ActionEntry {
    pub(crate) fn new(call: action_key::Sha256Digest, owned: bool) -> Self {
        Self {
            call,
            digest: None,
            state: if owned {
                ActionState::Ready { driver: None }
            } else {
                ActionState::Claiming
            },
            attempts: 0,
            waiters: Vec::new(),
        }
    }

    /// Records a dispatch. The caller makes sure that no other one is out.
    pub(crate) fn dispatch(&mut self, driver: ActionWaiter) -> action_step::AttemptNumber {
        self.attempts += 1;
        self.digest = Some(driver.digest);
        self.state = ActionState::Dispatched { driver };
        self.attempts
    }

    /// Takes the driver out and leaves `state`, if the dispatch `attempt` is out.
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

    /// Takes the driver that decides on a retry after the dispatch `attempt`.
    pub(crate) fn take_idle_driver(&mut self, attempt: action_step::AttemptNumber) -> Option<ActionWaiter> {
        match &mut self.state {
            ActionState::Ready { driver } if self.attempts == attempt => driver.take(),
            _ => None,
        }
    }

    /// Returns whether the driver of the latest dispatch, out or not run, is this call.
    pub(crate) fn is_driven_by(&self, waiter: action_step::WaiterId) -> bool {
        match &self.state {
            ActionState::Dispatched { driver } | ActionState::Ready { driver: Some(driver) } => driver.waiter == waiter,
            _ => false,
        }
    }

    /// Returns whether nothing happens to the action until a further call arrives.
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

    /// Returns whether the request may be forgotten: nobody waits for it, and no result for it is expected.
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

    pub(crate) fn action(&self, call: &action_key::Sha256Digest) -> Option<&ActionEntry> {
        self.actions.iter().find(|action| action.call == *call)
    }

    pub(crate) fn action_mut(&mut self, call: &action_key::Sha256Digest) -> Option<&mut ActionEntry> {
        self.actions.iter_mut().find(|action| action.call == *call)
    }
}
