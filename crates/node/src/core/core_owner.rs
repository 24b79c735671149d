//! Actions in the core: from the arrival of a call to the replies of its repeats.

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

/// Daemon that keeps the retry ledger of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryKeeper {
    /// This one.
    Local,
    /// A peer.
    Peer(net::SocketAddr),
    /// Its incarnation has ended or is not known; nobody grants.
    Gone,
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
            request_owner::OwnerCommand::Arrived(call, grant, reply) => {
                let decision = match self.owner.pending.remove(&call) {
                    Some(pending) => self.continue_arrival(pending.start, pending.root, grant, now),
                    None => unknown(Bytes::new(), None),
                };
                let _gone = reply.send(decision);
            }
        }
    }

    /// Begins an idempotent call. A repeat under the caller's own id counts as a retry of its request.
    pub(crate) fn begin_idempotent(
        &mut self,
        start: core_command::CallStart,
        root: core_calls::CallRoot,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let chosen_by_caller = matches!(
            start.origin,
            core_command::CallOrigin::Caller {
                request_id: Some(_),
                ..
            }
        );
        if root.context.depth > 0 || root.sender.is_some() || !chosen_by_caller {
            return self.run_first(start, root, None, now);
        }
        let request = peer_message::GrantRequest {
            request_id: root.context.request_id.clone(),
            class: root.context.class.clone(),
            depth: 0,
            arrival: true,
        };
        match self.retry_keeper(&request.request_id) {
            RetryKeeper::Local => {
                let grant = self.grant(&request, now);
                self.continue_arrival(start, root, grant, now)
            }
            RetryKeeper::Peer(address) => {
                let call = start.call;
                let reply = None;
                let pending = request_owner::PendingCall { start, root, reply };
                self.owner.pending.insert(call, pending);
                core_command::CallDecision::AskKeeper(call, address, request)
            }
            RetryKeeper::Gone => self.continue_arrival(start, root, peer_message::GrantReply::Denied, now),
        }
    }

    fn continue_arrival(
        &mut self,
        start: core_command::CallStart,
        mut root: core_calls::CallRoot,
        grant: peer_message::GrantReply,
        now: time::Instant,
    ) -> core_command::CallDecision {
        match grant {
            peer_message::GrantReply::Granted { left } => {
                root.context.retry_allowance = left;
                self.run_first(start, root, None, now)
            }
            peer_message::GrantReply::Denied => {
                self.refuse_root(&start, &root, call_outcome::RefusalReason::AllowanceSpent)
            }
        }
    }

    /// Begins an action: its owner decides whether it runs.
    pub(crate) fn begin_action(
        &mut self,
        start: core_command::CallStart,
        root: core_calls::CallRoot,
        reply: core_command::ReplySender<core_command::CallDecision>,
        now: time::Instant,
    ) {
        let request = action_step::ActionRequest {
            key: request_owner::key_of(&start, &root.context.request_id),
            body_digest: start.body_digest,
            waiter: start.call,
            deadline: root.deadline,
            forwarded: root.sender.is_some(),
        };
        let step = self.owner.ledger.begin(&request, now);
        let pending = request_owner::PendingCall {
            start,
            root,
            reply: Some(reply),
        };
        self.take_step(pending, step, now);
    }

    fn take_step(&mut self, pending: request_owner::PendingCall, step: action_step::ActionStep, now: time::Instant) {
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
        let request_owner::PendingCall { start, root, reply } = pending;
        let request_id = root.context.request_id.clone();
        let decision = match step {
            action_step::ActionStep::Dispatch(attempt) => {
                let drive = request_owner::ActionDrive {
                    key: request_owner::key_of(&start, &request_id),
                    digest: start.body_digest,
                    attempt,
                    phase: request_owner::DrivePhase::Out,
                    answer: None,
                };
                self.run_first(start, root, Some(drive), now)
            }
            action_step::ActionStep::Answer(answer) => core_command::CallDecision::Answer {
                request_id,
                answer: Box::new(answer),
            },
            action_step::ActionStep::Forward(owner) => self.forward_to_owner(&owner, start, root, now),
            action_step::ActionStep::Unknown(reason) => unknown(request_id, Some(reason)),
            action_step::ActionStep::Refuse(reason) => {
                self.count_effect(&root.class.name, true, 1);
                core_command::CallDecision::Refuse { request_id, reason }
            }
            action_step::ActionStep::Claim(_)
            | action_step::ActionStep::ReadBack(_)
            | action_step::ActionStep::Wait => unreachable!("take_step keeps waiting calls"),
        };
        if let Some(reply) = reply {
            let _gone = reply.send(decision);
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
                self.take_step(pending, reply.step, now);
            }
        }
    }

    pub(crate) fn expire_actions(&mut self, now: time::Instant) {
        let replies = self.owner.ledger.expire(now);
        self.answer_waiters(replies, now);
        self.owner.retries.expire(now);
    }

    /// Forgets a call that waits for its action and whose caller is gone.
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
        let key = request_owner::key_of(&pending.start, &pending.root.context.request_id);
        self.owner.ledger.cancel(&key, call);
        if let Some(reply) = pending.reply {
            let _gone = reply.send(unknown(key.request_id, None));
        }
    }

    /// Returns the waiting call that a peer forwarded, if there is one.
    pub(crate) fn find_pending(&self, sender: &crate::core::call_table::SenderCall) -> Option<ids::CallId> {
        let mut pending = self.owner.pending.iter();
        let found = pending.find(|entry| entry.1.root.sender.as_ref() == Some(sender));
        found.map(|entry| *entry.0)
    }

    /// Records that a dispatch did not run, before a retry is decided.
    pub(crate) fn note_not_run(&mut self, call: ids::CallId, result: core_command::AttemptResult) {
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

    /// Records one more dispatch of an action; returns whether it may be sent.
    pub(crate) fn note_retry(&mut self, call: ids::CallId, now: time::Instant) -> bool {
        let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) else {
            return true;
        };
        match self.owner.ledger.retry(&drive.key, drive.attempt, now) {
            action_step::RetryStep::Dispatch(attempt) => {
                drive.attempt = attempt;
                drive.phase = request_owner::DrivePhase::Out;
                true
            }
            action_step::RetryStep::Stale => false,
        }
    }

    /// Ends the attempts of a call. An action that did not run is released, which refuses its repeats.
    pub(crate) fn give_up(
        &mut self,
        call: ids::CallId,
        end: core_command::CallEnd,
        now: time::Instant,
    ) -> core_command::RetryDecision {
        let Some(drive) = self.calls.outgoing_mut(call).and_then(|entry| entry.action.as_mut()) else {
            return core_command::RetryDecision::GiveUp(end);
        };
        let lost = core_command::CallEnd::Lost(call_outcome::CallOutcome::Unknown);
        let end = match drive.phase {
            request_owner::DrivePhase::Out => end,
            // The ledger gave this call up, and a repeat may have taken the action over.
            request_owner::DrivePhase::Ended => lost,
            request_owner::DrivePhase::NotRun(reason) => {
                drive.phase = request_owner::DrivePhase::Ended;
                match self.owner.ledger.release(&drive.key, drive.attempt, reason) {
                    action_step::FinishStep::Ended(replies) => {
                        self.answer_waiters(replies, now);
                        end
                    }
                    action_step::FinishStep::Ready | action_step::FinishStep::Stale => lost,
                }
            }
        };
        core_command::RetryDecision::GiveUp(end)
    }

    /// Ends an action for which no backend server was found, before it was sent.
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

    /// Takes the end of a call that drove an action.
    pub(crate) fn finish_action(
        &mut self,
        drive: request_owner::ActionDrive,
        result: core_command::AttemptResult,
        now: time::Instant,
    ) {
        if drive.phase != request_owner::DrivePhase::Out {
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

    /// Decides about one more attempt, or about the arrival of a call, of a request whose retries this daemon keeps.
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
            // One budget for all depths of a request: a budget at each daemon lets a chain exceed the average.
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

    /// Refuses a call before its ledger has decided. An action that may have run under the same id is unknown instead.
    pub(crate) fn refuse_root(
        &mut self,
        start: &core_command::CallStart,
        root: &core_calls::CallRoot,
        reason: call_outcome::RefusalReason,
    ) -> core_command::CallDecision {
        self.metrics.count_refused(&root.class, reason);
        if root.class.idempotent {
            self.count_effect(&root.class.name, true, 1);
            let request_id = root.context.request_id.clone();
            return core_command::CallDecision::Refuse { request_id, reason };
        }
        let decision = self.refuse_checked(start, &root.context.request_id, reason);
        self.count_effect(&root.class.name, true, 1);
        decision
    }

    /// As [`Self::refuse_root`], for a call that may be an action.
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
    pub(crate) fn retry_keeper(&self, request_id: &Bytes) -> RetryKeeper {
        let peer = match request_identity::parse(request_id) {
            request_identity::RequestIdentity::Bound { owner, .. } if owner == self.identity => {
                return RetryKeeper::Local;
            }
            request_identity::RequestIdentity::Bound { owner, .. } => self.directory.find_owner(&owner),
            request_identity::RequestIdentity::Opaque => {
                let peers = self.directory.peers().map(|peer| &peer.owner.daemon_id);
                let members = peers.chain(std::iter::once(&self.identity.daemon_id));
                let keeper = owner_choice::choose(request_id, members);
                if keeper == Some(&self.identity.daemon_id) {
                    return RetryKeeper::Local;
                }
                let mut peers = self.directory.peers();
                peers.find(|peer| Some(&peer.owner.daemon_id) == keeper)
            }
        };
        peer.map_or(RetryKeeper::Gone, |peer| RetryKeeper::Peer(peer.address))
    }

    pub(crate) fn is_cancelled(start: &core_command::CallStart) -> bool {
        start.cancelled.load(atomic::Ordering::Relaxed)
    }
}

pub(crate) fn unknown(request_id: Bytes, reason: Option<action_step::UnknownReason>) -> core_command::CallDecision {
    core_command::CallDecision::Unknown { request_id, reason }
}
