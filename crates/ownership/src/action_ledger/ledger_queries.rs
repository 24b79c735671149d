//! Read-only queries of the action ledger.

use std::time;

use damasktrack_entity::request_identity;

use crate::action_entry;
use crate::action_key;
use crate::action_ledger;
use crate::action_step;

impl action_ledger::ActionLedger {
    /// Returns the incarnation whose actions the ledger holds.
    #[must_use]
    pub fn owner(&self) -> &request_identity::RequestOwner {
        self.issuer.owner()
    }

    /// Returns the time at which `expire` is next due; `None` if no call waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<time::Instant> {
        self.table.next_wake()
    }

    /// Returns whether a refusal before `begin`, for example for overload, would be correct.
    #[must_use]
    pub fn refusal_check(&self, key: &action_key::ActionKey) -> action_step::RefusalCheck {
        let not_run = match self.table.find(&key.request_id).and_then(|found| self.table.get(found)) {
            Some(request) => match request.action(&key.call_digest()) {
                Some(action) => matches!(action.state, action_entry::ActionState::Ready { driver: None }),
                None => request.is_owned(),
            },
            None => match request_identity::parse(&key.request_id) {
                request_identity::RequestIdentity::Bound { owner, sequence } => {
                    owner == *self.issuer.owner() && self.issuer.has_issued(sequence) && sequence >= self.sequence_floor
                }
                request_identity::RequestIdentity::Opaque => false,
            },
        };
        if not_run {
            action_step::RefusalCheck::NotRun
        } else {
            action_step::RefusalCheck::MayHaveRun
        }
    }

    /// Returns the current sizes.
    #[must_use]
    pub fn counts(&self) -> action_ledger::LedgerCounts {
        let (requests, actions, waiters) = self.table.sizes();
        action_ledger::LedgerCounts {
            requests,
            actions,
            waiters,
            answer_bytes: self.answers.bytes(),
            sequence_floor: self.sequence_floor,
        }
    }
}
