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

/// Time after its deadline at which a driving call without a result is expired. The node crate ends calls at their
/// deadline, so a missing result means that the call was lost.
pub const DRIVER_GRACE: time::Duration = time::Duration::from_secs(2);

/// Limits of an [`ActionLedger`].
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Most actions with an entry. An action takes about 500 bytes with the ids of its request.
    pub max_actions: usize,
    /// Most actions of one request; bounds the linear search among them.
    pub max_actions_per_request: usize,
    /// Most calls that wait for or drive an action.
    pub max_waiters: usize,
    /// Most calls that wait for one action.
    pub max_waiters_per_action: usize,
    /// Most memory for stored answers, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for LedgerLimits {
    /// Takes about 10 MB for actions, 1 MB for waiters and 8 MB for answers, of the 64 MB of a daemon.
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
    /// Requests with an entry.
    pub requests: usize,
    /// Actions with an entry.
    pub actions: usize,
    /// Calls that wait for or drive an action.
    pub waiters: usize,
    /// Memory of the stored answers, in bytes.
    pub answer_bytes: usize,
    /// A bound id with a lower sequence and without an entry counts as evicted; its outcome is unknown.
    pub sequence_floor: u64,
}

/// Ledger of the actions that one daemon incarnation owns.
///
/// An action is dispatched only from `Ready`, and only if this incarnation owns the request: it issued the id, or the
/// row of the claim holds the token of the current entry. Ownership ends only when the entry is evicted, and an evicted
/// id is never owned again: a bound one is below the sequence floor, and the row of an opaque one holds an older token.
#[derive(Debug)]
pub struct ActionLedger {
    limits: LedgerLimits,
    pub(crate) issuer: request_issuer::RequestIssuer,
    pub(crate) table: request_table::RequestTable,
    answers: answer_cache::AnswerCache,
    /// Higher than the sequence of each evicted bound id. Never decreases.
    sequence_floor: u64,
    /// Token of the next claim. Tokens are never reused, so no two entries of one id share a token.
    next_token: claim_plan::ClaimToken,
}

// Commands.
impl ActionLedger {
    /// Creates an empty ledger. `owner` must hold an incarnation that no earlier process of the daemon used.
    #[must_use]
    pub fn new(owner: request_identity::RequestOwner, limits: LedgerLimits) -> Self {
        Self {
            limits,
            issuer: request_issuer::RequestIssuer::new(owner),
            table: request_table::RequestTable::default(),
            answers: answer_cache::AnswerCache::new(limits.max_answer_bytes),
            sequence_floor: 0,
            next_token: 1,
        }
    }

    /// Issues a bound request id, which this incarnation owns.
    #[must_use]
    pub fn issue_id(&mut self) -> Bytes {
        self.issuer.issue()
    }

    /// Handles the arrival of a call and returns its first step.
    pub fn begin(&mut self, request: &action_step::ActionRequest, now: time::Instant) -> action_step::ActionStep {
        if request.key.request_id.len() > request_identity::MAX_REQUEST_ID_BYTES {
            // No ledger runs an action under such an id, so the refusal is correct.
            return action_step::ActionStep::Refuse(call_outcome::RefusalReason::NotDeclared);
        }
        if let Some(key) = self.table.find(&request.key.request_id) {
            return self.begin_remembered(key, request, now);
        }
        let origin = match request_identity::parse(&request.key.request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner != *self.issuer.owner() => {
                return self.forward_step(owner, request.forwarded);
            }
            request_identity::RequestIdentity::Bound { sequence, .. } => {
                if !self.issuer.has_issued(sequence) {
                    return action_step::ActionStep::Unknown(action_step::UnknownReason::NeverIssued);
                }
                if sequence < self.sequence_floor {
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
        if let Some(step) = self.reject_expired_or_full(owned, request, now) {
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

    /// Records the result of a dispatch.
    pub fn finish(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        result: action_step::ActionResult,
    ) -> action_step::FinishStep {
        let call_digest = key.call_digest();
        let Some((request_key, action)) = find_action(&mut self.table, &key.request_id, &call_digest) else {
            return action_step::FinishStep::Stale;
        };
        // The intermediate state is `Unknown`, so that no code path can leave a finished dispatch open to a repeat.
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
                let number = self.answers.insert(&answer);
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
        self.table.cancel_wake(request_key, call_digest, &driver);
        action_step::FinishStep::Ended(self.reply_all(request_key, call_digest, &step))
    }

    /// Dispatches again after a dispatch that did not run. The caller must hold a grant of the retry ledger.
    pub fn retry(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        now: time::Instant,
    ) -> action_step::RetryStep {
        let call_digest = key.call_digest();
        let Some((_, action)) = find_action(&mut self.table, &key.request_id, &call_digest) else {
            return action_step::RetryStep::Stale;
        };
        let Some(driver) = action.take_idle_driver(attempt) else {
            return action_step::RetryStep::Stale;
        };
        if now >= driver.deadline {
            // The driver stays in place, so that `release` or `expire` replies to the repeats.
            action.state = action_entry::ActionState::Ready { driver: Some(driver) };
            return action_step::RetryStep::Stale;
        }
        action_step::RetryStep::Dispatch(action.dispatch(driver))
    }

    /// Ends the attempts after a dispatch that did not run: the driving call and the repeats are refused.
    ///
    /// On `Stale` the outcome of the driving call is unknown, since a repeat may have become the driver.
    pub fn release(
        &mut self,
        key: &action_key::ActionKey,
        attempt: action_step::AttemptNumber,
        reason: call_outcome::RefusalReason,
    ) -> action_step::FinishStep {
        let call_digest = key.call_digest();
        let Some((request_key, action)) = find_action(&mut self.table, &key.request_id, &call_digest) else {
            return action_step::FinishStep::Stale;
        };
        let Some(driver) = action.take_idle_driver(attempt) else {
            return action_step::FinishStep::Stale;
        };
        self.table.cancel_wake(request_key, call_digest, &driver);
        let step = action_step::ActionStep::Refuse(reason);
        action_step::FinishStep::Ended(self.reply_all(request_key, call_digest, &step))
    }

    /// Removes a waiting call whose caller has disconnected. A driving call continues until its `finish`.
    pub fn cancel(&mut self, key: &action_key::ActionKey, waiter: action_step::WaiterId) {
        let call_digest = key.call_digest();
        let Some((request_key, action)) = find_action(&mut self.table, &key.request_id, &call_digest) else {
            return;
        };
        if let Some(index) = action.waiters.iter().position(|waiting| waiting.waiter == waiter) {
            let waiting = action.waiters.remove(index);
            self.table.cancel_wake(request_key, call_digest, &waiting);
            self.table.reindex(request_key);
        }
    }

    /// Ends the wait of calls whose deadline has passed, and the dispatches of drivers that gave no result in time.
    pub fn expire(&mut self, now: time::Instant) -> Vec<action_step::WaiterReply> {
        let mut replies = Vec::new();
        while let Some((_, waiter, key, call_digest)) = self.table.pop_wake(now) {
            let Some(action) = self
                .table
                .get_mut(key)
                .and_then(|request| request.action_mut(&call_digest))
            else {
                continue;
            };
            if action.is_driven_by(waiter) {
                replies.extend(self.expire_driver(key, call_digest));
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

// Internal helpers.
impl ActionLedger {
    fn begin_remembered(
        &mut self,
        key: request_table::RequestKey,
        request: &action_step::ActionRequest,
        now: time::Instant,
    ) -> action_step::ActionStep {
        let call_digest = request.key.call_digest();
        let Some(entry) = self.table.get(key) else {
            return action_step::ActionStep::Unknown(action_step::UnknownReason::Forgotten);
        };
        let owned = entry.is_owned();
        let action_count = entry.actions.len();
        let Some(action) = entry.action(&call_digest) else {
            if action_count >= self.limits.max_actions_per_request {
                return full_step(owned);
            }
            self.table.pin(key);
            let step = self.reject_expired_or_full(owned, request, now);
            let step = step.unwrap_or_else(|| self.begin_new_action(key, request));
            self.table.reindex(key);
            return step;
        };
        if action.body_digest.is_some_and(|digest| digest != request.body_digest) {
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
            action_entry::ActionState::Ready { driver: None } if self.waiters_full() => full_step(true),
            _ if now >= request.deadline => {
                action_step::ActionStep::Unknown(action_step::UnknownReason::DeadlinePassed)
            }
            _ if self.waiters_full() || action.waiters.len() >= self.limits.max_waiters_per_action => full_step(false),
            _ => {
                let step = self.attach(key, request);
                self.table.reindex(key);
                step
            }
        }
    }

    /// Returns the step of a call whose deadline has passed or for which no room can be made: a refusal if it is known
    /// that the action did not run, otherwise an unknown outcome.
    fn reject_expired_or_full(
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
        if self.waiters_full() || !self.ensure_action_capacity() {
            return Some(full_step(owned));
        }
        None
    }

    fn waiters_full(&self) -> bool {
        self.table.sizes().2 >= self.limits.max_waiters
    }

    /// Evicts the oldest settled requests until one more action fits; returns whether it does.
    fn ensure_action_capacity(&mut self) -> bool {
        while self.table.sizes().1 >= self.limits.max_actions {
            let Some(key) = self.table.oldest_settled() else {
                return false;
            };
            self.evict(key);
        }
        true
    }

    fn evict(&mut self, key: request_table::RequestKey) {
        let Some(request) = self.table.remove(key) else {
            return;
        };
        if let action_entry::RequestOrigin::Bound { sequence } = request.origin {
            self.sequence_floor = self.sequence_floor.max(sequence + 1);
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

    /// Makes a call the driver of its action, or lets it wait and starts the claim if none is in progress. The caller
    /// has checked deadline, body and limits.
    fn attach(
        &mut self,
        key: request_table::RequestKey,
        request: &action_step::ActionRequest,
    ) -> action_step::ActionStep {
        let call_digest = request.key.call_digest();
        let waiter = action_entry::ActionWaiter {
            waiter: request.waiter,
            body_digest: request.body_digest,
            deadline: request.deadline,
            forwarded: request.forwarded,
            wake: request.deadline,
        };
        if let Some(step) = self.dispatch_or_wait(key, call_digest, waiter) {
            return step;
        }
        match self.claim_of(key) {
            Some(claim) if claim.phase == action_entry::ClaimPhase::Parked => {
                let plan = self.plan(&request.key.request_id, claim.token, &request.body_digest);
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

    /// Returns the step for a call whose id another incarnation owns.
    pub(crate) fn forward_step(
        &self,
        owner: request_identity::RequestOwner,
        forwarded: bool,
    ) -> action_step::ActionStep {
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
        body_digest: &action_key::Sha256Digest,
    ) -> claim_plan::ClaimPlan {
        claim_plan::ClaimPlan::new(self.issuer.owner(), request_id, token, body_digest)
    }

    /// Removes all waiting calls of an action and returns `step` for each of them.
    fn reply_all(
        &mut self,
        key: request_table::RequestKey,
        call_digest: action_key::Sha256Digest,
        step: &action_step::ActionStep,
    ) -> Vec<action_step::WaiterReply> {
        let action = self
            .table
            .get_mut(key)
            .and_then(|request| request.action_mut(&call_digest));
        let waiters = action.map_or_else(Vec::new, |action| mem::take(&mut action.waiters));
        for waiter in &waiters {
            self.table.cancel_wake(key, call_digest, waiter);
        }
        self.table.reindex(key);
        let reply = |waiter: action_entry::ActionWaiter| action_step::WaiterReply {
            waiter: waiter.waiter,
            step: step.clone(),
        };
        waiters.into_iter().map(reply).collect()
    }

    /// Ends the dispatch of a driving call that gave no result in time, or removes a driver that did not decide on a
    /// retry.
    fn expire_driver(
        &mut self,
        key: request_table::RequestKey,
        call_digest: action_key::Sha256Digest,
    ) -> Vec<action_step::WaiterReply> {
        let Some(action) = self
            .table
            .get_mut(key)
            .and_then(|request| request.action_mut(&call_digest))
        else {
            return Vec::new();
        };
        let step = if matches!(action.state, action_entry::ActionState::Dispatched { .. }) {
            action.state = action_entry::ActionState::Unknown(action_step::UnknownReason::Ambiguous);
            action_step::ActionStep::Unknown(action_step::UnknownReason::Ambiguous)
        } else {
            action.state = action_entry::ActionState::Ready { driver: None };
            action_step::ActionStep::Refuse(call_outcome::RefusalReason::DeadlineTooShort)
        };
        self.reply_all(key, call_digest, &step)
    }
}

/// Returns the step of a call that exceeds a limit of the ledger. `owned` means that the action is known not to have
/// run.
fn full_step(owned: bool) -> action_step::ActionStep {
    if owned {
        action_step::ActionStep::Refuse(call_outcome::RefusalReason::QueueFull)
    } else {
        action_step::ActionStep::Unknown(action_step::UnknownReason::LedgerFull)
    }
}

fn find_action<'a>(
    table: &'a mut request_table::RequestTable,
    request_id: &Bytes,
    call_digest: &action_key::Sha256Digest,
) -> Option<(request_table::RequestKey, &'a mut action_entry::ActionEntry)> {
    let key = table.find(request_id)?;
    let action = table.get_mut(key)?.action_mut(call_digest)?;
    Some((key, action))
}
