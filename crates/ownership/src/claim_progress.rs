//! Progress of the action ledger's claims of opaque ids.

use std::mem;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;

use crate::action_entry;
use crate::action_key;
use crate::action_ledger;
use crate::action_step;
use crate::claim_plan;
use crate::request_table;

/// Call that waits for a claim, with the digest of its action.
type WaitingCall = (action_key::Sha256Digest, action_entry::ActionWaiter);

/// Claim that is not held yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenClaim {
    pub(crate) token: claim_plan::ClaimToken,
    pub(crate) phase: action_entry::ClaimPhase,
    pub(crate) unsettled: bool,
}

// Commands.
impl action_ledger::ActionLedger {
    /// Takes the result of an insert or a read of a claim.
    pub fn claim_settled(
        &mut self,
        request_id: &Bytes,
        token: claim_plan::ClaimToken,
        result: &claim_plan::ClaimResult,
        now: time::Instant,
    ) -> action_step::ClaimStep {
        let Some(key) = self.table.find(request_id) else {
            return action_step::ClaimStep::default();
        };
        let Some(claim) = self.claim_of(key).filter(|claim| claim.token == token) else {
            // The answer belongs to an entry that was forgotten, or the claim is held already.
            return action_step::ClaimStep::default();
        };
        let holder = match result {
            claim_plan::ClaimResult::Inserted => claim_plan::ClaimHolder::ThisClaim,
            claim_plan::ClaimResult::Found(row) => row.holder(self.issuer.owner(), token),
            claim_plan::ClaimResult::Unreadable => claim_plan::ClaimHolder::Unreadable,
            claim_plan::ClaimResult::Conflict
            | claim_plan::ClaimResult::Absent
            | claim_plan::ClaimResult::Unavailable
            | claim_plan::ClaimResult::Unsettled => {
                return self.continue_claim(key, claim, result, now);
            }
        };
        let replies = match holder {
            claim_plan::ClaimHolder::ThisClaim => self.hold(key, now),
            claim_plan::ClaimHolder::EarlierClaim => self.give_up(key, action_step::UnknownReason::Forgotten),
            claim_plan::ClaimHolder::EarlierIncarnation => self.give_up(key, action_step::UnknownReason::OwnerGone),
            claim_plan::ClaimHolder::Unreadable => self.give_up(key, action_step::UnknownReason::ClaimUnreadable),
            claim_plan::ClaimHolder::Peer(owner) => {
                let waiting = self.drop_claim(key);
                let reply = |entry: &WaitingCall| action_step::WaiterReply {
                    waiter: entry.1.waiter,
                    step: self.pass_to(owner.clone(), entry.1.forwarded),
                };
                waiting.iter().map(reply).collect()
            }
        };
        action_step::ClaimStep {
            next: action_step::NextClaim::Idle,
            replies,
        }
    }
}

impl action_ledger::ActionLedger {
    pub(crate) fn claim_of(&self, key: request_table::RequestKey) -> Option<OpenClaim> {
        match self.table.get(key)?.origin {
            action_entry::RequestOrigin::Opaque {
                token,
                phase,
                unsettled,
            } if phase != action_entry::ClaimPhase::Held => Some(OpenClaim {
                token,
                phase,
                unsettled,
            }),
            _ => None,
        }
    }

    pub(crate) fn set_claim(&mut self, key: request_table::RequestKey, next: action_entry::ClaimPhase, doubt: bool) {
        if let Some(request) = self.table.get_mut(key)
            && let action_entry::RequestOrigin::Opaque { phase, unsettled, .. } = &mut request.origin
        {
            *phase = next;
            *unsettled = doubt;
        }
        self.table.reindex(key);
    }

    /// Goes on with a claim whose holder is not known yet.
    fn continue_claim(
        &mut self,
        key: request_table::RequestKey,
        claim: OpenClaim,
        result: &claim_plan::ClaimResult,
        now: time::Instant,
    ) -> action_step::ClaimStep {
        let doubt = claim.unsettled
            || (*result == claim_plan::ClaimResult::Unsettled && claim.phase != action_entry::ClaimPhase::Reading);
        let next_phase = match result {
            claim_plan::ClaimResult::Conflict => Some(action_entry::ClaimPhase::Reading),
            claim_plan::ClaimResult::Unsettled if claim.phase == action_entry::ClaimPhase::Inserting => {
                Some(action_entry::ClaimPhase::Reading)
            }
            claim_plan::ClaimResult::Absent => Some(action_entry::ClaimPhase::Inserting),
            _ => None,
        };
        let live = self.first_live_digest(key, now);
        if let (Some(phase), Some(digest)) = (next_phase, live) {
            let Some(request_id) = self.table.get(key).map(|request| request.request_id.clone()) else {
                return action_step::ClaimStep::default();
            };
            let plan = self.plan(&request_id, claim.token, &digest);
            self.set_claim(key, phase, doubt);
            return action_step::ClaimStep {
                next: if phase == action_entry::ClaimPhase::Reading {
                    action_step::NextClaim::Read(plan)
                } else {
                    action_step::NextClaim::Insert(plan)
                },
                replies: Vec::new(),
            };
        }
        let replies = if doubt {
            self.set_claim(key, action_entry::ClaimPhase::Parked, true);
            unknown_replies(&self.take_waiters(key), action_step::UnknownReason::StoreUnavailable)
        } else {
            self.give_up(key, action_step::UnknownReason::StoreUnavailable)
        };
        self.table.reindex(key);
        action_step::ClaimStep {
            next: action_step::NextClaim::Idle,
            replies,
        }
    }

    /// Returns the body digest of a call that still waits for the claim.
    fn first_live_digest(
        &self,
        key: request_table::RequestKey,
        now: time::Instant,
    ) -> Option<action_key::Sha256Digest> {
        let actions = &self.table.get(key)?.actions;
        let mut waiters = actions.iter().flat_map(|action| &action.waiters);
        waiters.find(|waiter| waiter.deadline > now).map(|waiter| waiter.digest)
    }

    /// Takes all calls that wait for the claim of a request.
    fn take_waiters(&mut self, key: request_table::RequestKey) -> Vec<WaitingCall> {
        let mut taken = Vec::new();
        if let Some(request) = self.table.get_mut(key) {
            for action in &mut request.actions {
                let call = action.call;
                taken.extend(mem::take(&mut action.waiters).into_iter().map(|waiter| (call, waiter)));
            }
        }
        for (call, waiter) in &taken {
            self.table.unwatch(key, *call, waiter);
        }
        taken
    }

    /// Removes a request that this daemon does not own.
    fn drop_claim(&mut self, key: request_table::RequestKey) -> Vec<WaitingCall> {
        let waiting = self.take_waiters(key);
        self.table.remove(key);
        waiting
    }

    fn give_up(
        &mut self,
        key: request_table::RequestKey,
        reason: action_step::UnknownReason,
    ) -> Vec<action_step::WaiterReply> {
        unknown_replies(&self.drop_claim(key), reason)
    }

    /// Records that this daemon owns the request, and starts its actions that calls still wait for.
    fn hold(&mut self, key: request_table::RequestKey, now: time::Instant) -> Vec<action_step::WaiterReply> {
        self.set_claim(key, action_entry::ClaimPhase::Held, false);
        let waiting = self.take_waiters(key);
        if let Some(request) = self.table.get_mut(key) {
            for action in &mut request.actions {
                action.state = action_entry::ActionState::Ready { driver: None };
            }
        }
        let (live, expired): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|entry| entry.1.deadline > now);
        let mut replies = Vec::new();
        for (call, waiter) in live {
            let id = waiter.waiter;
            if let Some(step) = self.start(key, call, waiter) {
                replies.push(action_step::WaiterReply { waiter: id, step });
            }
        }
        // Only now is it known whether a later call runs the action, which would make a refusal of an earlier one
        // false.
        for (call, waiter) in expired {
            let action = self.table.get(key).and_then(|request| request.action(&call));
            let idle = action.is_some_and(action_entry::ActionEntry::is_settled);
            replies.push(action_step::WaiterReply {
                waiter: waiter.waiter,
                step: if idle {
                    action_step::ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort)
                } else {
                    action_step::ActionStep::Unknown(action_step::UnknownReason::DeadlinePassed)
                },
            });
        }
        self.table.reindex(key);
        replies
    }

    /// Lets a call drive its action, or wait if an earlier one does; no step means that it waits.
    pub(crate) fn start(
        &mut self,
        key: request_table::RequestKey,
        call: action_key::Sha256Digest,
        mut waiter: action_entry::ActionWaiter,
    ) -> Option<action_step::ActionStep> {
        let action = self.table.get_mut(key)?.action_mut(&call)?;
        if action.digest.is_some_and(|digest| digest != waiter.digest) {
            return Some(action_step::ActionStep::Refuse(
                call_outcome::RefusalReason::BodyMismatch,
            ));
        }
        let step = if matches!(action.state, action_entry::ActionState::Ready { driver: None }) {
            waiter.wake = waiter.deadline + action_ledger::DRIVER_GRACE;
            Some(action_step::ActionStep::Dispatch(action.dispatch(waiter.clone())))
        } else {
            action.waiters.push(waiter.clone());
            None
        };
        self.table.watch(key, call, &waiter);
        step
    }
}

fn unknown_replies(waiting: &[WaitingCall], reason: action_step::UnknownReason) -> Vec<action_step::WaiterReply> {
    let reply = |entry: &WaitingCall| action_step::WaiterReply {
        waiter: entry.1.waiter,
        step: action_step::ActionStep::Unknown(reason),
    };
    waiting.iter().map(reply).collect()
}
