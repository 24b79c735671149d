//! Decision point: at-most-once execution and retries. To be replaced by `ownership::action_ledger::ActionLedger` and
//! `ownership::retry_ledger::RetryLedger`.

use std::collections;

use bytes::Bytes;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_wire::peer_message;

/// Requests whose grants are remembered; the oldest are forgotten first and get no further grant.
const MAX_GRANT_ENTRIES: usize = 100_000;

/// Call as the owner sees it.
#[derive(Debug)]
pub struct ActionRequest<'a> {
    /// Id of the root request.
    pub request_id: &'a Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether another daemon forwarded the call to this one as the owner.
    pub forwarded: bool,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerStep {
    /// Route it to a backend server.
    Dispatch,
    /// Forward it to the daemon that owns the request id.
    Forward(request_identity::RequestOwner),
    /// Answer that its outcome can't be known.
    Unknown,
}

/// Where a retry must be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantStep {
    /// This daemon owns the request.
    Local(peer_message::GrantReply),
    /// Another daemon owns it.
    Ask(request_identity::RequestOwner),
}

/// Id issue and grants of the requests that this incarnation owns.
#[derive(Debug)]
pub struct OwnerState {
    identity: request_identity::RequestOwner,
    sequence: u64,
    grants: collections::HashMap<Bytes, u32>,
    order: collections::VecDeque<Bytes>,
}

impl OwnerState {
    /// Creates the state of an incarnation.
    #[must_use]
    pub fn new(identity: request_identity::RequestOwner) -> Self {
        Self {
            identity,
            sequence: 0,
            grants: collections::HashMap::new(),
            order: collections::VecDeque::new(),
        }
    }

    /// Issues a request id that this incarnation owns.
    pub fn issue_id(&mut self) -> Bytes {
        self.sequence += 1;
        request_identity::bound_id(&self.identity, self.sequence)
    }

    /// Grants one more attempt while the allowance lasts.
    pub fn grant(&mut self, request_id: &Bytes, allowance: u32) -> peer_message::GrantReply {
        if !self.grants.contains_key(request_id) {
            self.order.push_back(request_id.clone());
            if self.order.len() > MAX_GRANT_ENTRIES {
                self.order.pop_front().and_then(|oldest| self.grants.remove(&oldest));
            }
        }
        let spent = self.grants.entry(request_id.clone()).or_insert(0);
        if *spent >= allowance {
            return peer_message::GrantReply::Denied;
        }
        *spent += 1;
        peer_message::GrantReply::Granted {
            left: allowance - *spent,
        }
    }
}

/// Queries.
impl OwnerState {
    /// Decides about a call before it is dispatched.
    #[must_use]
    pub fn begin(&self, request: &ActionRequest<'_>) -> OwnerStep {
        if request.idempotent {
            return OwnerStep::Dispatch;
        }
        match request_identity::parse(request.request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner != self.identity => {
                if request.forwarded {
                    return OwnerStep::Unknown;
                }
                OwnerStep::Forward(owner)
            }
            request_identity::RequestIdentity::Bound { .. } | request_identity::RequestIdentity::Opaque => {
                OwnerStep::Dispatch
            }
        }
    }

    /// Tells who grants attempts of a request.
    #[must_use]
    pub fn grant_owner(&self, request_id: &Bytes) -> Option<request_identity::RequestOwner> {
        match request_identity::parse(request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner != self.identity => Some(owner),
            request_identity::RequestIdentity::Bound { .. } | request_identity::RequestIdentity::Opaque => None,
        }
    }
}

/// Returns an id that no other process draws, for incarnations and the start of call ids.
#[must_use]
pub fn random_incarnation() -> ids::Incarnation {
    rand::random()
}
