//! Actions and retries in the core: claims, dispatches and ends of actions, and grants of further attempts.

use std::net;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_step;
use damasktrack_ownership::answer_archive;
use damasktrack_ownership::claim_plan;
use damasktrack_ownership::owner_choice;
use damasktrack_ownership::retry_ledger;
use damasktrack_routing::retry_budget;
use damasktrack_wire::peer_message;

use crate::core::core_calls;
use crate::core::core_command;
use crate::core::node_core;
use crate::core::request_owner;

/// Daemon that holds the retry ledger of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryOwner {
    /// This daemon.
    Local,
    /// The peer at this address.
    Peer(net::SocketAddr),
    /// Its incarnation has ended or is not known; no daemon grants attempts.
    Unavailable,
}

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn handle_owner(&mut self, command: request_owner::OwnerCommand, now: time::Instant) {
        match command {
            request_owner::OwnerCommand::ClaimSettled {
                request_id,
                token,
                result,
            } => self.settle_claim(&request_id, token, &result, now),
            request_owner::OwnerCommand::Answered(call, answer) => {
                if let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) {
                    drive.answer = Some(answer);
                }
            }
            request_owner::OwnerCommand::ArrivalGranted(call, grant, reply) => {
                let decision = match self.owner.pending.remove(&call) {
                    Some(pending) => self.continue_arrival(pending.start, pending.resolved, grant, now),
                    None => unknown(Bytes::new(), None),
                };
                let _delivered = reply.send(decision);
            }
        }
    }

    /// Begins an idempotent call. A repeat of a request id that the caller sent counts as a retry of its request.
    pub(crate) fn begin_idempotent(
        &mut self,
        start: core_command::CallStart,
        resolved: core_calls::ResolvedCall,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let chosen_by_caller = matches!(
            start.origin,
            core_command::CallOrigin::Caller {
                request_id: Some(_),
                ..
            }
        );
        if resolved.context.depth > 0 || resolved.sender.is_some() || !chosen_by_caller {
            return self.run_first(start, resolved, None, now);
        }
        let request = peer_message::GrantRequest {
            request_id: resolved.context.request_id.clone(),
            class: resolved.context.class.clone(),
            depth: 0,
            arrival: true,
        };
        match self.retry_owner(&request.request_id) {
            RetryOwner::Local => {
                let grant = self.grant(&request, now);
                self.continue_arrival(start, resolved, grant, now)
            }
            RetryOwner::Peer(address) => {
                let call = start.call;
                let reply = None;
                let pending = request_owner::PendingCall { start, resolved, reply };
                self.owner.pending.insert(call, pending);
                core_command::CallDecision::RequestGrant(call, address, request)
            }
            RetryOwner::Unavailable => self.continue_arrival(start, resolved, peer_message::GrantReply::Denied, now),
        }
    }

    fn continue_arrival(
        &mut self,
        start: core_command::CallStart,
        mut resolved: core_calls::ResolvedCall,
        grant: peer_message::GrantReply,
        now: time::Instant,
    ) -> core_command::CallDecision {
        match grant {
            peer_message::GrantReply::Granted { left } => {
                resolved.context.retry_allowance = left;
                self.run_first(start, resolved, None, now)
            }
            peer_message::GrantReply::Denied => {
                self.refuse_resolved(&start, &resolved, call_outcome::RefusalReason::AllowanceSpent)
            }
        }
    }

    /// Begins a call of an action. The action ledger decides whether this daemon dispatches it or forwards it to its
    /// owner.
    pub(crate) fn begin_action(
        &mut self,
        start: core_command::CallStart,
        resolved: core_calls::ResolvedCall,
        reply: core_command::ReplySender<core_command::CallDecision>,
        now: time::Instant,
    ) {
        let request = action_step::ActionRequest {
            key: request_owner::key_of(&start, &resolved.context.request_id),
            body_digest: start.body_digest,
            waiter: start.call,
            deadline: resolved.deadline,
            forwarded: resolved.sender.is_some(),
        };
        let step = self.owner.ledger.begin(&request, now);
        let pending = request_owner::PendingCall {
            start,
            resolved,
            reply: Some(reply),
        };
        self.handle_step(pending, step, now);
    }

    fn handle_step(&mut self, pending: request_owner::PendingCall, step: action_step::ActionStep, now: time::Instant) {
        let job = match step {
            action_step::ActionStep::Claim(plan) => request_owner::StoreJob::Insert(plan),
            action_step::ActionStep::ReadBack(plan) => request_owner::StoreJob::Read(plan),
            action_step::ActionStep::Wait => {
                self.owner.pending.insert(pending.start.call, pending);
                return;
            }
            step => {
                self.decide(pending, step, now);
                return;
            }
        };
        self.owner.pending.insert(pending.start.call, pending);
        self.push_claim(job, now);
    }

    fn decide(&mut self, pending: request_owner::PendingCall, step: action_step::ActionStep, now: time::Instant) {
        let request_owner::PendingCall { start, resolved, reply } = pending;
        let request_id = resolved.context.request_id.clone();
        let decision = match step {
            action_step::ActionStep::Dispatch(attempt) => {
                let drive = request_owner::ActionDrive {
                    key: request_owner::key_of(&start, &request_id),
                    digest: start.body_digest,
                    attempt,
                    phase: request_owner::DrivePhase::Dispatched,
                    answer: None,
                };
                self.run_first(start, resolved, Some(drive), now)
            }
            action_step::ActionStep::Answer(answer) => core_command::CallDecision::Answer {
                request_id,
                answer: Box::new(answer),
            },
            action_step::ActionStep::Forward(owner) => self.forward_to_owner(&owner, start, resolved, now),
            action_step::ActionStep::Unknown(reason) => unknown(request_id, Some(reason)),
            action_step::ActionStep::Refuse(reason) => {
                self.count_class_call(&resolved.class.name, true, 1);
                core_command::CallDecision::Refuse { request_id, reason }
            }
            action_step::ActionStep::Claim(_)
            | action_step::ActionStep::ReadBack(_)
            | action_step::ActionStep::Wait => unreachable!("handle_step stores waiting calls as pending"),
        };
        if let Some(reply) = reply {
            let _delivered = reply.send(decision);
        }
    }

    fn push_claim(&mut self, job: request_owner::StoreJob, now: time::Instant) {
        let (request_id, token) = match &job {
            request_owner::StoreJob::Insert(plan) | request_owner::StoreJob::Read(plan) => {
                (plan.request_id.clone(), plan.token)
            }
            request_owner::StoreJob::Archive { .. } => return,
        };
        if !self.owner.store.push(job) {
            self.settle_claim(&request_id, token, &claim_plan::ClaimResult::Unavailable, now);
        }
    }

    fn settle_claim(
        &mut self,
        request_id: &Bytes,
        token: claim_plan::ClaimToken,
        result: &claim_plan::ClaimResult,
        now: time::Instant,
    ) {
        let step = self.owner.ledger.claim_settled(request_id, token, result, now);
        match step.next {
            action_step::NextClaim::Idle => {}
            action_step::NextClaim::Insert(plan) => self.push_claim(request_owner::StoreJob::Insert(plan), now),
            action_step::NextClaim::Read(plan) => self.push_claim(request_owner::StoreJob::Read(plan), now),
        }
        self.answer_waiters(step.replies, now);
    }

    fn answer_waiters(&mut self, replies: Vec<action_step::WaiterReply>, now: time::Instant) {
        for reply in replies {
            if let Some(pending) = self.owner.pending.remove(&reply.waiter) {
                self.handle_step(pending, reply.step, now);
            }
        }
    }

    pub(crate) fn expire_actions(&mut self, now: time::Instant) {
        let replies = self.owner.ledger.expire(now);
        self.answer_waiters(replies, now);
        self.owner.retries.expire(now);
    }

    /// Removes a pending call of an action whose caller has disconnected, and replies that its outcome is unknown.
    pub(crate) fn cancel_pending(&mut self, call: ids::CallId) {
        let waits = self
            .owner
            .pending
            .get(&call)
            .is_some_and(|pending| pending.reply.is_some());
        if !waits {
            return;
        }
        let Some(pending) = self.owner.pending.remove(&call) else {
            return;
        };
        let key = request_owner::key_of(&pending.start, &pending.resolved.context.request_id);
        self.owner.ledger.cancel(&key, call);
        if let Some(reply) = pending.reply {
            let _delivered = reply.send(unknown(key.request_id, None));
        }
    }

    /// Returns the pending call that a peer forwarded, if there is one.
    pub(crate) fn find_pending(&self, sender: &crate::core::call_table::SenderCall) -> Option<ids::CallId> {
        let mut pending = self.owner.pending.iter();
        let found = pending.find(|entry| entry.1.resolved.sender.as_ref() == Some(sender));
        found.map(|entry| *entry.0)
    }

    /// Records in the action ledger that a refused or unsent dispatch did not run, before a retry is decided.
    pub(crate) fn record_not_run(&mut self, call: ids::CallId, result: core_command::AttemptResult) {
        let reason = match result {
            core_command::AttemptResult::Refused { reason, .. } => reason,
            core_command::AttemptResult::NotSent => call_outcome::RefusalReason::BackendServerDown,
            _ => return,
        };
        let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) else {
            return;
        };
        let result = action_step::ActionResult::NotRun(reason);
        let step = self.owner.ledger.finish(&drive.key, drive.attempt, result);
        drive.phase = match step {
            action_step::FinishStep::Ready => request_owner::DrivePhase::NotRun(reason),
            action_step::FinishStep::Ended(_) | action_step::FinishStep::Stale => request_owner::DrivePhase::Ended,
        };
    }

    /// Records one more dispatch of an action in its ledger; returns whether it may be sent. Other calls need no
    /// record.
    pub(crate) fn record_retry(&mut self, call: ids::CallId, now: time::Instant) -> bool {
        let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) else {
            return true;
        };
        match self.owner.ledger.retry(&drive.key, drive.attempt, now) {
            action_step::RetryStep::Dispatch(attempt) => {
                drive.attempt = attempt;
                drive.phase = request_owner::DrivePhase::Dispatched;
                true
            }
            action_step::RetryStep::Stale => false,
        }
    }

    /// Ends the attempts of a call. An action that did not run is released in its ledger, which refuses the waiting
    /// repeats.
    pub(crate) fn give_up(
        &mut self,
        call: ids::CallId,
        end: core_command::CallEnd,
        now: time::Instant,
    ) -> core_command::RetryDecision {
        let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) else {
            return core_command::RetryDecision::GiveUp(end);
        };
        let incomplete = core_command::CallEnd::Incomplete(call_outcome::CallOutcome::Unknown);
        let end = match drive.phase {
            request_owner::DrivePhase::Dispatched => end,
            // The ledger has ended the dispatch of this call, and a repeat may have become the driver of the action.
            request_owner::DrivePhase::Ended => incomplete,
            request_owner::DrivePhase::NotRun(reason) => {
                drive.phase = request_owner::DrivePhase::Ended;
                match self.owner.ledger.release(&drive.key, drive.attempt, reason) {
                    action_step::FinishStep::Ended(replies) => {
                        self.answer_waiters(replies, now);
                        end
                    }
                    action_step::FinishStep::Ready | action_step::FinishStep::Stale => incomplete,
                }
            }
        };
        core_command::RetryDecision::GiveUp(end)
    }

    /// Ends an action whose call was not sent, since its level was not admitted or no server could be chosen.
    pub(crate) fn release_unsent(
        &mut self,
        drive: &request_owner::ActionDrive,
        reason: call_outcome::RefusalReason,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let result = action_step::ActionResult::NotRun(reason);
        let request_id = drive.key.request_id.clone();
        if self.owner.ledger.finish(&drive.key, drive.attempt, result) == action_step::FinishStep::Ready
            && let action_step::FinishStep::Ended(replies) =
                self.owner.ledger.release(&drive.key, drive.attempt, reason)
        {
            self.answer_waiters(replies, now);
            return core_command::CallDecision::Refuse { request_id, reason };
        }
        unknown(request_id, None)
    }

    /// Records the result of a call that drove an action, and offers a complete answer to the archive.
    pub(crate) fn finish_action(
        &mut self,
        drive: request_owner::ActionDrive,
        result: core_command::AttemptResult,
        now: time::Instant,
    ) {
        if drive.phase != request_owner::DrivePhase::Dispatched {
            return;
        }
        let result = match (result, drive.answer) {
            (core_command::AttemptResult::Completed { .. }, Some(answer)) => {
                self.owner.archive.set_daemon_count(self.directory.peers().count() + 1);
                let step = self.owner.archive.offer(&drive.key, &drive.digest, &answer, now);
                if let answer_archive::ArchiveStep::Write { key, content } = step {
                    let _best_effort = self.owner.store.push(request_owner::StoreJob::Archive { key, content });
                }
                action_step::ActionResult::Done(*answer)
            }
            (core_command::AttemptResult::Completed { .. }, None) => action_step::ActionResult::DoneNotKept,
            _ => action_step::ActionResult::Ambiguous,
        };
        let step = self.owner.ledger.finish(&drive.key, drive.attempt, result);
        if let action_step::FinishStep::Ended(replies) = step {
            self.answer_waiters(replies, now);
        }
    }

    /// Decides on one more attempt, or on the arrival of a call, of a request whose retry ledger this daemon holds.
    pub(crate) fn grant(
        &mut self,
        request: &peer_message::GrantRequest,
        now: time::Instant,
    ) -> peer_message::GrantReply {
        let Some(limits) = self.classes.chain_limits(&request.class) else {
            return peer_message::GrantReply::Denied;
        };
        let call = retry_ledger::GrantCall {
            request_id: request.request_id.clone(),
            allowance: limits.retry_allowance,
            deadline: now + limits.deadline,
        };
        let reply = if request.arrival {
            match self.owner.retries.arrive(&call, now) {
                retry_ledger::ArrivalReply::First => {
                    return peer_message::GrantReply::Granted { left: call.allowance };
                }
                retry_ledger::ArrivalReply::Repeat(reply) => reply,
            }
        } else {
            // One budget is charged for all depths of a request. With a budget at each daemon, a chain could exceed the
            // average number of attempts.
            if self.routes.retry_budget.try_retry(now) == retry_budget::RetryDecision::Denied {
                return peer_message::GrantReply::Denied;
            }
            let reply = self.owner.retries.grant(&call, now);
            if matches!(reply, retry_ledger::GrantReply::Denied(_)) {
                self.routes.retry_budget.give_back();
            }
            reply
        };
        match reply {
            retry_ledger::GrantReply::Granted { left } => peer_message::GrantReply::Granted { left },
            retry_ledger::GrantReply::Denied(reason) => {
                log::debug!(request_id:% = ids::text(&request.request_id), reason:% = reason; "attempt denied");
                peer_message::GrantReply::Denied
            }
        }
    }

    /// Refuses a call on which its ledger has not decided. If an action may have run under the same id, the outcome is
    /// unknown instead.
    pub(crate) fn refuse_resolved(
        &mut self,
        start: &core_command::CallStart,
        resolved: &core_calls::ResolvedCall,
        reason: call_outcome::RefusalReason,
    ) -> core_command::CallDecision {
        self.metrics.count_refused(&resolved.class, reason);
        if resolved.class.idempotent {
            self.count_class_call(&resolved.class.name, true, 1);
            let request_id = resolved.context.request_id.clone();
            return core_command::CallDecision::Refuse { request_id, reason };
        }
        let decision = self.refuse_checked(start, &resolved.context.request_id, reason);
        self.count_class_call(&resolved.class.name, true, 1);
        decision
    }

    /// Refuses a call that may be an action, as [`Self::refuse_resolved`] does, without counting it.
    pub(crate) fn refuse_checked(
        &self,
        start: &core_command::CallStart,
        request_id: &Bytes,
        reason: call_outcome::RefusalReason,
    ) -> core_command::CallDecision {
        let request_id = request_id.clone();
        match self
            .owner
            .ledger
            .refusal_check(&request_owner::key_of(start, &request_id))
        {
            action_step::RefusalCheck::NotRun => core_command::CallDecision::Refuse { request_id, reason },
            action_step::RefusalCheck::MayHaveRun => unknown(request_id, None),
        }
    }
}

/// Queries.
impl node_core::NodeCore {
    /// Returns the daemon that holds the retry ledger of a request: for a bound id the owner of the id, for an opaque
    /// id the member that [`owner_choice::choose`] returns.
    pub(crate) fn retry_owner(&self, request_id: &Bytes) -> RetryOwner {
        let peer = match request_identity::parse(request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner == self.identity => {
                return RetryOwner::Local;
            }
            request_identity::RequestIdentity::Bound { owner, .. } => self.directory.find_owner(&owner),
            request_identity::RequestIdentity::Opaque => {
                let peers = self.directory.peers().map(|peer| &peer.owner.daemon_id);
                let members = peers.chain(std::iter::once(&self.identity.daemon_id));
                let holder = owner_choice::choose(request_id, members);
                if holder == Some(&self.identity.daemon_id) {
                    return RetryOwner::Local;
                }
                let mut peers = self.directory.peers();
                peers.find(|peer| Some(&peer.owner.daemon_id) == holder)
            }
        };
        peer.map_or(RetryOwner::Unavailable, |peer| RetryOwner::Peer(peer.address))
    }

    pub(crate) fn is_cancelled(start: &core_command::CallStart) -> bool {
        start.cancelled.load(atomic::Ordering::Relaxed)
    }
}

pub(crate) fn unknown(request_id: Bytes, reason: Option<action_step::UnknownReason>) -> core_command::CallDecision {
    core_command::CallDecision::Unknown { request_id, reason }
}
