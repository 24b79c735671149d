//! State transitions of the action ledger's claims of opaque ids.

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

/// Call that waits for a claim, with the call digest of its action.
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
    /// Records the result of an insert or a read of a claim and returns the next step.
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
            // The result belongs to an evicted entry, or the claim is already held.
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
            claim_plan::ClaimHolder::ThisClaim => self.acquire(key, now),
            claim_plan::ClaimHolder::EarlierClaim => self.abandon(key, action_step::UnknownReason::Forgotten),
            claim_plan::ClaimHolder::EarlierIncarnation => self.abandon(key, action_step::UnknownReason::OwnerGone),
            claim_plan::ClaimHolder::Unreadable => self.abandon(key, action_step::UnknownReason::ClaimUnreadable),
            claim_plan::ClaimHolder::Peer(owner) => {
                let waiting = self.drop_claim(key);
                let reply = |entry: &WaitingCall| action_step::WaiterReply {
                    waiter: entry.1.waiter,
                    step: self.forward_step(owner.clone(), entry.1.forwarded),
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

    pub(crate) fn set_claim(
        &mut self,
        key: request_table::RequestKey,
        next_phase: action_entry::ClaimPhase,
        next_unsettled: bool,
    ) {
        if let Some(request) = self.table.get_mut(key)
            && let action_entry::RequestOrigin::Opaque { phase, unsettled, .. } = &mut request.origin
        {
            *phase = next_phase;
            *unsettled = next_unsettled;
        }
        self.table.reindex(key);
    }

    /// Handles a result that does not reveal the holder: reads or inserts the row again while a call waits, otherwise
    /// ends the attempt.
    fn continue_claim(
        &mut self,
        key: request_table::RequestKey,
        claim: OpenClaim,
        result: &claim_plan::ClaimResult,
        now: time::Instant,
    ) -> action_step::ClaimStep {
        let unsettled = claim.unsettled
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
            self.set_claim(key, phase, unsettled);
            return action_step::ClaimStep {
                next: if phase == action_entry::ClaimPhase::Reading {
                    action_step::NextClaim::Read(plan)
                } else {
                    action_step::NextClaim::Insert(plan)
                },
                replies: Vec::new(),
            };
        }
        let replies = if unsettled {
            self.set_claim(key, action_entry::ClaimPhase::Parked, true);
            unknown_replies(&self.take_waiters(key), action_step::UnknownReason::StoreUnavailable)
        } else {
            self.abandon(key, action_step::UnknownReason::StoreUnavailable)
        };
        self.table.reindex(key);
        action_step::ClaimStep {
            next: action_step::NextClaim::Idle,
            replies,
        }
    }

    /// Returns the body digest of the first waiting call whose deadline has not passed.
    fn first_live_digest(
        &self,
        key: request_table::RequestKey,
        now: time::Instant,
    ) -> Option<action_key::Sha256Digest> {
        let actions = &self.table.get(key)?.actions;
        let mut waiters = actions.iter().flat_map(|action| &action.waiters);
        waiters
            .find(|waiter| waiter.deadline > now)
            .map(|waiter| waiter.body_digest)
    }

    /// Removes and returns all calls that wait for the claim of a request.
    fn take_waiters(&mut self, key: request_table::RequestKey) -> Vec<WaitingCall> {
        let mut taken = Vec::new();
        if let Some(request) = self.table.get_mut(key) {
            for action in &mut request.actions {
                let call_digest = action.call_digest;
                taken.extend(
                    mem::take(&mut action.waiters)
                        .into_iter()
                        .map(|waiter| (call_digest, waiter)),
                );
            }
        }
        for (call_digest, waiter) in &taken {
            self.table.cancel_wake(key, *call_digest, waiter);
        }
        taken
    }

    /// Removes a request that this daemon does not own, and returns its waiting calls.
    fn drop_claim(&mut self, key: request_table::RequestKey) -> Vec<WaitingCall> {
        let waiting = self.take_waiters(key);
        self.table.remove(key);
        waiting
    }

    fn abandon(
        &mut self,
        key: request_table::RequestKey,
        reason: action_step::UnknownReason,
    ) -> Vec<action_step::WaiterReply> {
        unknown_replies(&self.drop_claim(key), reason)
    }

    /// Records that this daemon owns the request, and dispatches the actions for which calls still wait.
    fn acquire(&mut self, key: request_table::RequestKey, now: time::Instant) -> Vec<action_step::WaiterReply> {
        self.set_claim(key, action_entry::ClaimPhase::Held, false);
        let waiting = self.take_waiters(key);
        if let Some(request) = self.table.get_mut(key) {
            for action in &mut request.actions {
                action.state = action_entry::ActionState::Ready { driver: None };
            }
        }
        let (live, expired): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|entry| entry.1.deadline > now);
        let mut replies = Vec::new();
        for (call_digest, waiter) in live {
            let id = waiter.waiter;
            if let Some(step) = self.dispatch_or_wait(key, call_digest, waiter) {
                replies.push(action_step::WaiterReply { waiter: id, step });
            }
        }
        // Expired calls come last: a refusal is correct only if no live call has dispatched the action.
        for (call_digest, waiter) in expired {
            let action = self.table.get(key).and_then(|request| request.action(&call_digest));
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

    /// Dispatches an action that is ready, or adds the call to its waiters. `None` means that the call waits.
    pub(crate) fn dispatch_or_wait(
        &mut self,
        key: request_table::RequestKey,
        call_digest: action_key::Sha256Digest,
        mut waiter: action_entry::ActionWaiter,
    ) -> Option<action_step::ActionStep> {
        let action = self.table.get_mut(key)?.action_mut(&call_digest)?;
        if action.body_digest.is_some_and(|digest| digest != waiter.body_digest) {
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
        self.table.schedule_wake(key, call_digest, &waiter);
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
