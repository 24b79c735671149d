//! At-most-once execution of actions by the owner of their request id.

use std::mem;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_entity::request_identity;

use crate::action_entry;
use crate::action_key;
use crate::action_step;
use crate::answer_cache;
use crate::claim_plan;
use crate::request_issuer;
use crate::request_table;

mod ledger_queries;

/// Time after its deadline at which a driving call that reported no result is given up. The node ends calls at their
/// deadline, so a missing result means that the call was lost.
pub const DRIVER_GRACE: time::Duration = time::Duration::from_secs(2);

/// Limits of an [`ActionLedger`].
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Most actions that are remembered. An action takes about 500 bytes with the ids of its request.
    pub max_actions: usize,
    /// Most actions of one request; its actions are searched one by one.
    pub max_actions_per_request: usize,
    /// Most calls that wait for or drive an action.
    pub max_waiters: usize,
    /// Most repeats that wait for one action.
    pub max_waiters_per_action: usize,
    /// Memory for answers, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for LedgerLimits {
    /// About 10 MB for actions, 1 MB for waiters and 8 MB for answers, of the 64 MB of a daemon.
    fn default() -> Self {
        Self {
            max_actions: 20_000,
            max_actions_per_request: 256,
            max_waiters: 8_000,
            max_waiters_per_action: 64,
            max_answer_bytes: 8 << 20,
        }
    }
}

/// Sizes of an [`ActionLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Remembered requests.
    pub requests: usize,
    /// Remembered actions.
    pub actions: usize,
    /// Calls that wait for or drive an action.
    pub waiters: usize,
    /// Memory of the kept answers, in bytes.
    pub answer_bytes: usize,
    /// Every bound id with a lower sequence that is not remembered is unknown.
    pub floor: u64,
}

/// Ledger of the actions that one daemon incarnation owns.
///
/// An action is dispatched only from `Ready`, by a request that this incarnation owns: it issued the id, or it holds
/// the row of the claim with the token of the present entry. Both can be lost only by forgetting the entry, and a
/// forgotten id is never owned again: a bound one is below the floor, an opaque one has a row with an older token.
#[derive(Debug)]
pub struct ActionLedger {
    limits: LedgerLimits,
    pub(crate) issuer: request_issuer::RequestIssuer,
    pub(crate) table: request_table::RequestTable,
    answers: answer_cache::AnswerCache,
    /// Higher than the sequence of each forgotten bound id. It only rises.
    floor: u64,
    /// Never reused, so that no two entries of one id share a token.
    next_token: claim_plan::ClaimToken,
}

// Commands.
impl ActionLedger {
    /// Makes an empty ledger; `owner` holds an incarnation that no earlier process of the daemon used.
    #[must_use]
    pub fn new(owner: request_identity::RequestOwner, limits: LedgerLimits) -> Self {
        Self {
            limits,
            issuer: request_issuer::RequestIssuer::new(owner),
            table: request_table::RequestTable::default(),
            answers: answer_cache::AnswerCache::new(limits.max_answer_bytes),
            floor: 0,
            next_token: 1,
        }
    }

    /// Issues a bound request id.
    #[must_use]
    pub fn issue_id(&mut self) -> Bytes {
        self.issuer.issue()
    }

    /// Decides about a call that arrived.
    pub fn begin(&mut self, request: &action_step::ActionRequest, now: time::Instant) -> action_step::ActionStep {
        if request.key.request_id.len() > request_identity::MAX_REQUEST_ID_BYTES {
            // No ledger runs such an id, so the refusal is true.
            return action_step::ActionStep::Refuse(call_outcome::RefusalReason::NotDeclared);
        }
        if let Some(key) = self.table.find(&request.key.request_id) {
            return self.begin_remembered(key, request, now);
        }
        let origin = match request_identity::parse(&request.key.request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner != *self.issuer.owner() => {
                return self.pass_to(owner, request.forwarded);
            }
            request_identity::RequestIdentity::Bound { sequence, .. } => {
                if !self.issuer.has_issued(sequence) {
                    return action_step::ActionStep::Unknown(action_step::UnknownReason::NeverIssued);
                }
                if sequence < self.floor {
                    return action_step::ActionStep::Unknown(action_step::UnknownReason::Forgotten);
                }
                action_entry::RequestOrigin::Bound { sequence }
            }
            request_identity::RequestIdentity::Opaque => action_entry::RequestOrigin::Opaque {
                token: self.next_token,
                phase: action_entry::ClaimPhase::Parked,
                unsettled: false,
            },
        };
        let owned = matches!(origin, action_entry::RequestOrigin::Bound { .. });
        if let Some(step) = self.turn_away(owned, request, now) {
            return step;
        }
        if !owned {
            self.next_token += 1;
        }
        let key = self.table.insert(&request.key.request_id, origin);
        let step = self.begin_new_action(key, request);
        self.table.reindex(key);
        step
    }

    /// Takes the result of a dispatch.
    pub fn finish(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        result: action_step::ActionResult,
    ) -> action_step::FinishStep {
        let call = key.call_digest();
        let Some((request, action)) = find_action(&mut self.table, &key.request_id, &call) else {
            return action_step::FinishStep::Stale;
        };
        // The state in between is `Unknown`, so that no path can leave a finished dispatch repeatable by mistake.
        let Some(driver) = action.end_dispatch(
            attempt,
            action_entry::ActionState::Unknown(action_step::UnknownReason::Ambiguous),
        ) else {
            return action_step::FinishStep::Stale;
        };
        let step = match result {
            action_step::ActionResult::NotRun(_) => {
                action.state = action_entry::ActionState::Ready { driver: Some(driver) };
                return action_step::FinishStep::Ready;
            }
            action_step::ActionResult::Done(answer) => {
                let number = self.answers.keep(&answer);
                action.state = action_entry::ActionState::Done(number);
                number.map(|_| action_step::ActionStep::Answer(answer))
            }
            action_step::ActionResult::DoneNotKept => {
                action.state = action_entry::ActionState::Done(None);
                None
            }
            action_step::ActionResult::Ambiguous => {
                Some(action_step::ActionStep::Unknown(action_step::UnknownReason::Ambiguous))
            }
        };
        let step = step.unwrap_or(action_step::ActionStep::Unknown(
            action_step::UnknownReason::AnswerNotKept,
        ));
        self.table.unwatch(request, call, &driver);
        action_step::FinishStep::Ended(self.reply_all(request, call, &step))
    }

    /// Dispatches once more after a dispatch that did not run. The caller holds a grant of the retry ledger.
    pub fn retry(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        now: time::Instant,
    ) -> action_step::RetryStep {
        let call = key.call_digest();
        let Some((_, action)) = find_action(&mut self.table, &key.request_id, &call) else {
            return action_step::RetryStep::Stale;
        };
        let Some(driver) = action.take_idle_driver(attempt) else {
            return action_step::RetryStep::Stale;
        };
        if now >= driver.deadline {
            // The driver stays, so that `release` or `expire` answers the repeats.
            action.state = action_entry::ActionState::Ready { driver: Some(driver) };
            return action_step::RetryStep::Stale;
        }
        action_step::RetryStep::Dispatch(action.dispatch(driver))
    }

    /// Gives up after a dispatch that did not run: the driving call and the repeats are refused.
    ///
    /// On `Stale` the driving call is answered as unknown, since a repeat may have taken the action over.
    pub fn release(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        reason: call_outcome::RefusalReason,
    ) -> action_step::FinishStep {
        let call = key.call_digest();
        let Some((request, action)) = find_action(&mut self.table, &key.request_id, &call) else {
            return action_step::FinishStep::Stale;
        };
        let Some(driver) = action.take_idle_driver(attempt) else {
            return action_step::FinishStep::Stale;
        };
        self.table.unwatch(request, call, &driver);
        let step = action_step::ActionStep::Refuse(reason);
        action_step::FinishStep::Ended(self.reply_all(request, call, &step))
    }

    /// Forgets a waiting call whose caller has gone. A driving call goes on until its `finish`.
    pub fn cancel(&mut self, key: &action_key::ActionKey, waiter: action_step::WaiterId) {
        let call = key.call_digest();
        let Some((request, action)) = find_action(&mut self.table, &key.request_id, &call) else {
            return;
        };
        if let Some(index) = action.waiters.iter().position(|waiting| waiting.waiter == waiter) {
            let waiting = action.waiters.remove(index);
            self.table.unwatch(request, call, &waiting);
            self.table.reindex(request);
        }
    }

    /// Ends the calls whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<action_step::WaiterReply> {
        let mut replies = Vec::new();
        while let Some((_, waiter, key, call)) = self.table.pop_deadline(now) {
            let Some(action) = self.table.get_mut(key).and_then(|request| request.action_mut(&call)) else {
                continue;
            };
            if action.is_driven_by(waiter) {
                replies.extend(self.lose_driver(key, call));
                continue;
            }
            action.waiters.retain(|waiting| waiting.waiter != waiter);
            replies.push(action_step::WaiterReply {
                waiter,
                step: action_step::ActionStep::Unknown(action_step::UnknownReason::DeadlinePassed),
            });
            self.table.reindex(key);
        }
        replies
    }
}

// Queries.
impl ActionLedger {
    fn begin_remembered(
        &mut self,
        key: request_table::RequestKey,
        request: &action_step::ActionRequest,
        now: time::Instant,
    ) -> action_step::ActionStep {
        let call = request.key.call_digest();
        let Some(entry) = self.table.get(key) else {
            return action_step::ActionStep::Unknown(action_step::UnknownReason::Forgotten);
        };
        let owned = entry.is_owned();
        let action_count = entry.actions.len();
        let Some(action) = entry.action(&call) else {
            if action_count >= self.limits.max_actions_per_request {
                return full(owned);
            }
            self.table.pin(key);
            let step = self.turn_away(owned, request, now);
            let step = step.unwrap_or_else(|| self.begin_new_action(key, request));
            self.table.reindex(key);
            return step;
        };
        if action.digest.is_some_and(|digest| digest != request.digest) {
            return action_step::ActionStep::Refuse(call_outcome::RefusalReason::BodyMismatch);
        }
        match &action.state {
            action_entry::ActionState::Done(number) => {
                let answer = number.and_then(|number| self.answers.get(number));
                answer.map_or(
                    action_step::ActionStep::Unknown(action_step::UnknownReason::AnswerNotKept),
                    |answer| action_step::ActionStep::Answer(answer.clone()),
                )
            }
            action_entry::ActionState::Unknown(reason) => action_step::ActionStep::Unknown(*reason),
            action_entry::ActionState::Ready { driver: None } if now >= request.deadline => {
                action_step::ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort)
            }
            action_entry::ActionState::Ready { driver: None } if self.is_crowded() => full(true),
            _ if now >= request.deadline => {
                action_step::ActionStep::Unknown(action_step::UnknownReason::DeadlinePassed)
            }
            _ if self.is_crowded() || action.waiters.len() >= self.limits.max_waiters_per_action => full(false),
            _ => {
                let step = self.attach(key, request);
                self.table.reindex(key);
                step
            }
        }
    }

    /// Returns the step of a call that can't be recorded: a refusal if it is known that the action did not run.
    fn turn_away(
        &mut self,
        owned: bool,
        request: &action_step::ActionRequest,
        now: time::Instant,
    ) -> Option<action_step::ActionStep> {
        if now >= request.deadline {
            return Some(if owned {
                action_step::ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort)
            } else {
                action_step::ActionStep::Unknown(action_step::UnknownReason::DeadlinePassed)
            });
        }
        if self.is_crowded() || !self.make_room() {
            return Some(full(owned));
        }
        None
    }

    fn is_crowded(&self) -> bool {
        self.table.sizes().2 >= self.limits.max_waiters
    }

    /// Forgets the oldest settled requests until one more action fits.
    fn make_room(&mut self) -> bool {
        while self.table.sizes().1 >= self.limits.max_actions {
            let Some(key) = self.table.oldest_settled() else {
                return false;
            };
            self.forget(key);
        }
        true
    }

    fn forget(&mut self, key: request_table::RequestKey) {
        let Some(request) = self.table.remove(key) else {
            return;
        };
        if let action_entry::RequestOrigin::Bound { sequence } = request.origin {
            self.floor = self.floor.max(sequence + 1);
        }
        for action in &request.actions {
            if let action_entry::ActionState::Done(Some(number)) = action.state {
                self.answers.remove(number);
            }
        }
    }

    fn begin_new_action(
        &mut self,
        key: request_table::RequestKey,
        request: &action_step::ActionRequest,
    ) -> action_step::ActionStep {
        let owned = self.table.get(key).is_some_and(action_entry::RequestEntry::is_owned);
        let action = action_entry::ActionEntry::new(request.key.call_digest(), owned);
        self.table.add_action(key, action);
        self.attach(key, request)
    }

    /// Lets a call drive its action, claim its request or wait. The caller has checked deadline, body and limits.
    fn attach(
        &mut self,
        key: request_table::RequestKey,
        request: &action_step::ActionRequest,
    ) -> action_step::ActionStep {
        let call = request.key.call_digest();
        let waiter = action_entry::ActionWaiter {
            waiter: request.waiter,
            digest: request.digest,
            deadline: request.deadline,
            forwarded: request.forwarded,
            wake: request.deadline,
        };
        if let Some(step) = self.start(key, call, waiter) {
            return step;
        }
        match self.claim_of(key) {
            Some(claim) if claim.phase == action_entry::ClaimPhase::Parked => {
                let plan = self.plan(&request.key.request_id, claim.token, &request.digest);
                if claim.unsettled {
                    self.set_claim(key, action_entry::ClaimPhase::Reading, true);
                    action_step::ActionStep::ReadBack(plan)
                } else {
                    self.set_claim(key, action_entry::ClaimPhase::Inserting, false);
                    action_step::ActionStep::Claim(plan)
                }
            }
            _ => action_step::ActionStep::Wait,
        }
    }

    /// Returns the step for a call whose owner is known to be another one.
    pub(crate) fn pass_to(&self, owner: request_identity::RequestOwner, forwarded: bool) -> action_step::ActionStep {
        if owner.daemon_id == self.issuer.owner().daemon_id {
            return action_step::ActionStep::Unknown(action_step::UnknownReason::OwnerGone);
        }
        if forwarded {
            return action_step::ActionStep::Unknown(action_step::UnknownReason::NotOwner);
        }
        action_step::ActionStep::Forward(owner)
    }

    pub(crate) fn plan(
        &self,
        request_id: &Bytes,
        token: claim_plan::ClaimToken,
        digest: &action_key::Sha256Digest,
    ) -> claim_plan::ClaimPlan {
        claim_plan::ClaimPlan::new(self.issuer.owner(), request_id, token, digest)
    }

    /// Gives one step to all repeats of an action.
    fn reply_all(
        &mut self,
        key: request_table::RequestKey,
        call: action_key::Sha256Digest,
        step: &action_step::ActionStep,
    ) -> Vec<action_step::WaiterReply> {
        let action = self.table.get_mut(key).and_then(|request| request.action_mut(&call));
        let waiters = action.map_or_else(Vec::new, |action| mem::take(&mut action.waiters));
        for waiter in &waiters {
            self.table.unwatch(key, call, waiter);
        }
        self.table.reindex(key);
        let reply = |waiter: action_entry::ActionWaiter| action_step::WaiterReply {
            waiter: waiter.waiter,
            step: step.clone(),
        };
        waiters.into_iter().map(reply).collect()
    }

    /// Ends an action whose driving call gave no result in time.
    fn lose_driver(
        &mut self,
        key: request_table::RequestKey,
        call: action_key::Sha256Digest,
    ) -> Vec<action_step::WaiterReply> {
        let Some(action) = self.table.get_mut(key).and_then(|request| request.action_mut(&call)) else {
            return Vec::new();
        };
        let step = if matches!(action.state, action_entry::ActionState::Dispatched { .. }) {
            action.state = action_entry::ActionState::Unknown(action_step::UnknownReason::Ambiguous);
            action_step::ActionStep::Unknown(action_step::UnknownReason::Ambiguous)
        } else {
            action.state = action_entry::ActionState::Ready { driver: None };
            action_step::ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort)
        };
        self.reply_all(key, call, &step)
    }
}

/// Returns the step of a call at a full ledger.
fn full(owned: bool) -> action_step::ActionStep {
    if owned {
        action_step::ActionStep::Refuse(call_outcome::RefusalReason::QueueFull)
    } else {
        action_step::ActionStep::Unknown(action_step::UnknownReason::LedgerFull)
    }
}

fn find_action<'a>(
    table: &'a mut request_table::RequestTable,
    request_id: &Bytes,
    call: &action_key::Sha256Digest,
) -> Option<(request_table::RequestKey, &'a mut action_entry::ActionEntry)> {
    let key = table.find(request_id)?;
    let action = table.get_mut(key)?.action_mut(call)?;
    Some((key, action))
}
