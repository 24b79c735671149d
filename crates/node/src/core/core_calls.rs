//! Calls that this daemon sends to backend servers: their start, attempts, grants and end.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_ownership::action_step;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call::call_class;
use crate::core::call_table;
use crate::core::core_command;
use crate::core::core_owner;
use crate::core::core_routes;
use crate::core::node_core;
use crate::core::request_owner;

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn begin(
        &mut self,
        start: core_command::CallStart,
        reply: core_command::ReplySender<core_command::CallDecision>,
        now: time::Instant,
    ) {
        let decision = match self.check_start(&start, now) {
            Ok(resolved) if resolved.class.idempotent => self.begin_idempotent(start, resolved, now),
            Ok(resolved) => return self.begin_action(start, resolved, reply, now),
            Err(decision) => decision,
        };
        let _delivered = reply.send(decision);
    }

    /// Resolves a call and makes the checks that need neither a ledger nor a server.
    fn check_start(
        &mut self,
        start: &core_command::CallStart,
        now: time::Instant,
    ) -> Result<ResolvedCall, core_command::CallDecision> {
        if let core_command::CallOrigin::Caller {
            context: None,
            loopback: true,
            ..
        } = start.origin
        {
            self.metrics.count_context_missing();
        }
        if !self.config.settled {
            let request_id = self.id_of(start);
            return Err(self.refuse_checked(start, &request_id, call_outcome::RefusalReason::Starting));
        }
        let resolved = self.resolve_call(start, now)?;
        let reason = if Self::is_cancelled(start) {
            call_outcome::RefusalReason::Cancelled
        } else if resolved.context.depth >= resolved.class.max_depth {
            call_outcome::RefusalReason::TooDeep
        } else if resolved.deadline <= now {
            call_outcome::RefusalReason::DeadlineTooShort
        } else {
            return Ok(resolved);
        };
        Err(self.refuse_resolved(start, &resolved, reason))
    }

    /// Plans the first attempt of a call. Refuses the call if its level is not admitted or no server can be chosen.
    pub(crate) fn run_first(
        &mut self,
        start: core_command::CallStart,
        resolved: ResolvedCall,
        action: Option<request_owner::ActionDrive>,
        now: time::Instant,
    ) -> core_command::CallDecision {
        if !self.admits_level(&start.service, &resolved.context, now) {
            let reason = call_outcome::RefusalReason::Overloaded;
            return self.refuse_first(&start, &resolved, action, reason, now);
        }
        let Some(server) = self.choose_server(&start.service, &resolved.class, &resolved.context, &[], now) else {
            let reason = call_outcome::RefusalReason::NoCandidate;
            return self.refuse_first(&start, &resolved, action, reason, now);
        };
        if resolved.context.depth == 0 {
            self.routes.retry_budget.first_attempt();
        }
        self.start_call(start, resolved, action, Some(server), server.target, now)
    }

    /// Refuses a call before its first attempt. An action is recorded in its ledger as not run.
    fn refuse_first(
        &mut self,
        start: &core_command::CallStart,
        resolved: &ResolvedCall,
        action: Option<request_owner::ActionDrive>,
        reason: call_outcome::RefusalReason,
        now: time::Instant,
    ) -> core_command::CallDecision {
        match action {
            Some(drive) => {
                self.metrics.count_refused(&resolved.class, reason);
                self.count_class_call(&resolved.class.name, true, 1);
                self.release_unsent(&drive, reason, now)
            }
            None => self.refuse_resolved(start, resolved, reason),
        }
    }

    pub(crate) fn forward_to_owner(
        &mut self,
        owner: &request_identity::RequestOwner,
        start: core_command::CallStart,
        resolved: ResolvedCall,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let Some(peer) = self.directory.find_owner(owner) else {
            let reason = action_step::UnknownReason::OwnerGone;
            return core_owner::unknown(resolved.context.request_id, Some(reason));
        };
        let target = core_routes::RouteTarget::Peer(peer.address);
        self.start_call(start, resolved, None, None, target, now)
    }

    fn start_call(
        &mut self,
        start: core_command::CallStart,
        resolved: ResolvedCall,
        action: Option<request_owner::ActionDrive>,
        server: Option<core_routes::ChosenServer>,
        target: core_routes::RouteTarget,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let route = server.and_then(|server| self.begin_attempt(server, &resolved.class, now));
        if let Some(parent) = resolved.parent {
            self.admission.nested_started(parent, now);
        }
        let mut context = resolved.context;
        context.remaining = resolved.deadline.saturating_duration_since(now);
        let attempt = core_command::AttemptPlan {
            target,
            stage: stage_of(server),
            context: context.clone(),
            hedge_after: server.and_then(|server| self.hedge_delay(&start.service, &resolved.class, server.target)),
        };
        let keeps_answer = action.is_some();
        self.calls.add_outgoing(
            start.call,
            call_table::OutgoingCall {
                context,
                service: start.service,
                class: resolved.class.clone(),
                deadline: resolved.deadline,
                parent: resolved.parent,
                tried: server.map(|server| server.key).into_iter().collect(),
                route,
                attempt_open: true,
                wire_call: start.call,
                hedge: None,
                retried: false,
                copy_cancelled: None,
                target,
                last_result: None,
                action,
                cancelled: start.cancelled,
                sender: resolved.sender,
            },
        );
        core_command::CallDecision::Run(Box::new(core_command::CallPlan {
            call: start.call,
            class: resolved.class,
            deadline: resolved.deadline,
            attempt,
            keeps_answer,
        }))
    }

    /// Determines class, deadline and context of a call. The context is that of the running parent, that of the peer
    /// that forwarded the call, or a new one.
    fn resolve_call(
        &mut self,
        start: &core_command::CallStart,
        now: time::Instant,
    ) -> Result<ResolvedCall, core_command::CallDecision> {
        match &start.origin {
            core_command::CallOrigin::Peer { context, sender } => {
                let found = self.class_of(start, Some(&context.tenant));
                let class = found.ok_or_else(|| not_declared(&context.request_id))?;
                Ok(ResolvedCall {
                    deadline: now + context.remaining,
                    context: context.clone(),
                    class,
                    parent: None,
                    sender: Some(sender.clone()),
                })
            }
            core_command::CallOrigin::Caller {
                context: Some(context),
                loopback: true,
                timeout,
                ..
            } => self.resolve_nested(start, context, *timeout, now),
            core_command::CallOrigin::Caller {
                request_id,
                tenant,
                timeout,
                ..
            } => {
                let issued = match request_id {
                    Some(request_id) => request_id.clone(),
                    None => self.owner.issue_id(),
                };
                let found = self.class_of(start, tenant.as_ref());
                let class = found.ok_or_else(|| not_declared(&issued))?;
                let remaining = timeout.unwrap_or(class.deadline).min(class.deadline);
                Ok(ResolvedCall {
                    context: call_context::CallContext {
                        level: admission_level::AdmissionLevel::of_request(class.importance, &issued),
                        request_id: issued,
                        attempt: 1,
                        class: class.name.clone(),
                        tenant: class.tenant.clone(),
                        remaining,
                        retry_allowance: class.retry_allowance,
                        depth: 0,
                        parent_call: 0,
                    },
                    deadline: now + remaining,
                    class,
                    parent: None,
                    sender: None,
                })
            }
        }
    }

    /// Resolves a nested call. Context and deadline come from the local entry of the work that made it, whose deadline
    /// is on the clock of this daemon, not from the header. Work that has ended or was cancelled makes no further
    /// calls.
    fn resolve_nested(
        &self,
        start: &core_command::CallStart,
        context: &call_context::CallContext,
        timeout: Option<time::Duration>,
        now: time::Instant,
    ) -> Result<ResolvedCall, core_command::CallDecision> {
        let running = self.calls.work(context.parent_call).filter(|work| {
            work.context.request_id == context.request_id && !work.cancelled.load(atomic::Ordering::Relaxed)
        });
        let Some(work) = running else {
            return Err(refuse(
                context.request_id.clone(),
                call_outcome::RefusalReason::Cancelled,
            ));
        };
        let found = self.class_of(start, Some(&work.context.tenant));
        let class = found.ok_or_else(|| not_declared(&context.request_id))?;
        let requested = timeout.map_or(work.deadline, |timeout| now + timeout);
        Ok(ResolvedCall {
            context: call_context::CallContext {
                attempt: 1,
                depth: work.context.depth + 1,
                parent_call: 0,
                ..work.context.clone()
            },
            class,
            deadline: requested.min(work.deadline),
            parent: Some(context.parent_call),
            sender: None,
        })
    }

    pub(crate) fn retry(
        &mut self,
        call: ids::CallId,
        result: core_command::AttemptResult,
        now: time::Instant,
    ) -> core_command::RetryDecision {
        self.end_attempt(call, result, now);
        let Some(entry) = self.calls.outgoing_mut(call) else {
            return core_command::RetryDecision::GiveUp(core_command::CallEnd::Cancelled);
        };
        entry.last_result = Some(result);
        let mut end = end_of(result, entry.class.idempotent);
        if entry.is_routed_by_owner() {
            // An owner that was reached has made its own attempts. An owner that was not reached may have run the
            // action for an earlier call.
            if result == core_command::AttemptResult::NotSent {
                end = core_command::CallEnd::Incomplete(call_outcome::CallOutcome::Unknown);
            }
            return core_command::RetryDecision::GiveUp(end);
        }
        let cancelled = entry.cancelled.load(atomic::Ordering::Relaxed);
        let useful = may_retry(result, entry.class.idempotent) && entry.deadline > now;
        let request = peer_message::GrantRequest {
            request_id: entry.context.request_id.clone(),
            class: entry.context.class.clone(),
            depth: entry.context.depth,
            arrival: false,
        };
        self.record_not_run(call, result);
        if cancelled {
            return self.give_up(call, core_command::CallEnd::Cancelled, now);
        }
        if !useful || !self.has_retry_capacity(call, now) {
            return self.give_up(call, end, now);
        }
        match self.retry_owner(&request.request_id) {
            core_owner::RetryOwner::Local => {
                let grant = self.grant(&request, now);
                self.continue_retry(call, grant, now)
            }
            core_owner::RetryOwner::Peer(address) => core_command::RetryDecision::RequestGrant(address, request),
            core_owner::RetryOwner::Unavailable => self.give_up(call, end, now),
        }
    }

    pub(crate) fn continue_retry(
        &mut self,
        call: ids::CallId,
        grant: peer_message::GrantReply,
        now: time::Instant,
    ) -> core_command::RetryDecision {
        let Some(entry) = self.calls.outgoing_mut(call) else {
            return core_command::RetryDecision::GiveUp(core_command::CallEnd::Cancelled);
        };
        let result = entry.last_result.unwrap_or(core_command::AttemptResult::Failed);
        let end = end_of(result, entry.class.idempotent);
        let peer_message::GrantReply::Granted { left } = grant else {
            return self.give_up(call, end, now);
        };
        let (service, class) = (entry.service.clone(), entry.class.clone());
        let (context, tried) = (entry.context.clone(), entry.tried.clone());
        let Some(server) = self.choose_server(&service, &class, &context, &tried, now) else {
            return self.give_up(call, end, now);
        };
        if !self.record_retry(call, now) {
            return self.give_up(call, end, now);
        }
        let route = self.begin_attempt(server, &class, now);
        self.metrics.count_retried(&class);
        let Some(entry) = self.calls.outgoing_mut(call) else {
            return core_command::RetryDecision::GiveUp(core_command::CallEnd::Cancelled);
        };
        entry.tried.push(server.key);
        entry.route = route;
        entry.attempt_open = true;
        entry.target = server.target;
        entry.wire_call = call;
        entry.retried = true;
        entry.context.attempt += 1;
        entry.context.retry_allowance = left;
        entry.context.remaining = entry.deadline.saturating_duration_since(now);
        core_command::RetryDecision::Again(core_command::AttemptPlan {
            target: server.target,
            stage: call_frame::CallStage::Callee,
            context: entry.context.clone(),
            hedge_after: None,
        })
    }

    pub(crate) fn finish(
        &mut self,
        call: ids::CallId,
        result: core_command::AttemptResult,
        summary: core_command::CallSummary,
        now: time::Instant,
    ) {
        // A call without an attempt must not count as a result of its server.
        let observed = if summary.attempts == 0 {
            core_command::AttemptResult::Refused {
                reason: call_outcome::RefusalReason::Cancelled,
                report: None,
            }
        } else {
            result
        };
        self.end_attempt(call, observed, now);
        if let core_command::CallEnd::Refused(_) = summary.end {
            // The action of a call without an attempt has not been released yet.
            self.record_not_run(call, result);
            self.give_up(call, summary.end, now);
        }
        let Some(mut entry) = self.calls.remove_outgoing(call) else {
            return;
        };
        if let Some(hedge) = entry.hedge.take() {
            self.end_hedge(&hedge, now);
        }
        if let Some(parent) = entry.parent {
            self.admission.nested_finished(parent, now);
        }
        if let Some(drive) = entry.action.take() {
            self.finish_action(drive, result, now);
        }
        let refused = matches!(summary.end, core_command::CallEnd::Refused(_));
        self.count_class_call(&entry.class.name, refused, summary.attempts);
        if let core_command::CallEnd::Refused(reason) = summary.end {
            self.metrics.count_refused(&entry.class, reason);
        }
        if let core_command::CallEnd::Incomplete(outcome) = summary.end {
            log::warn!(
                request_id:% = ids::text(&entry.context.request_id),
                class:% = ids::text(&entry.class.name),
                attempts = summary.attempts;
                "call ended as {outcome}"
            );
            // The callee may still run the call although no caller waits for it.
            self.cancel_target(entry.wire_call, entry.target, now);
        }
    }

    pub(crate) fn cancel_outgoing(&mut self, call: ids::CallId) {
        let Some(entry) = self.calls.outgoing(call) else {
            return;
        };
        entry.set_cancelled();
        let now = time::Instant::now();
        self.cancel_target(entry.wire_call, entry.target, now);
        if let Some(hedge) = self.calls.outgoing_mut(call).and_then(|entry| entry.hedge.take()) {
            self.end_hedge(&hedge, now);
        }
    }

    pub(crate) fn cancel_target(&mut self, call: ids::CallId, target: core_routes::RouteTarget, now: time::Instant) {
        match target {
            core_routes::RouteTarget::Peer(address) => self.effects.cancel_at_peer(address, call),
            core_routes::RouteTarget::Local => {
                let request = peer_message::CancelRequest {
                    sender: self.identity.clone(),
                    sender_call: call,
                };
                self.cancel_from_peer(request, now);
            }
        }
    }
}

/// Queries.
impl node_core::NodeCore {
    /// Returns the id of a request whose class is not known yet; issues one if the caller sent none.
    fn id_of(&mut self, start: &core_command::CallStart) -> Bytes {
        match &start.origin {
            core_command::CallOrigin::Peer { context, .. }
            | core_command::CallOrigin::Caller {
                context: Some(context),
                loopback: true,
                ..
            } => context.request_id.clone(),
            core_command::CallOrigin::Caller {
                request_id: Some(request_id),
                ..
            } => request_id.clone(),
            core_command::CallOrigin::Caller { .. } => self.owner.issue_id(),
        }
    }

    fn class_of(&self, start: &core_command::CallStart, tenant: Option<&Bytes>) -> Option<call_class::CallClass> {
        self.classes.find(&start.service, &start.method, &start.path, tenant)
    }
}

/// Context, class and deadline of a call, resolved from its origin and the resources in force.
#[derive(Debug)]
pub(crate) struct ResolvedCall {
    pub(crate) context: call_context::CallContext,
    pub(crate) class: call_class::CallClass,
    pub(crate) deadline: time::Instant,
    pub(crate) parent: Option<ids::CallId>,
    pub(crate) sender: Option<call_table::SenderCall>,
}

fn stage_of(server: Option<core_routes::ChosenServer>) -> call_frame::CallStage {
    match server {
        Some(_) => call_frame::CallStage::Callee,
        None => call_frame::CallStage::Owner,
    }
}

fn refuse(request_id: Bytes, reason: call_outcome::RefusalReason) -> core_command::CallDecision {
    core_command::CallDecision::Refuse { request_id, reason }
}

fn not_declared(request_id: &Bytes) -> core_command::CallDecision {
    refuse(request_id.clone(), call_outcome::RefusalReason::NotDeclared)
}

/// Returns the outcome of a call whose last attempt ended with `result`.
fn end_of(result: core_command::AttemptResult, idempotent: bool) -> core_command::CallEnd {
    match result {
        core_command::AttemptResult::Completed { .. } => core_command::CallEnd::Done,
        core_command::AttemptResult::Refused { reason, .. } => core_command::CallEnd::Refused(reason),
        core_command::AttemptResult::NotSent => {
            core_command::CallEnd::Refused(call_outcome::RefusalReason::BackendServerDown)
        }
        core_command::AttemptResult::Cancelled => core_command::CallEnd::Cancelled,
        core_command::AttemptResult::Failed
        | core_command::AttemptResult::Silent
        | core_command::AttemptResult::Deadline => {
            core_command::CallEnd::Incomplete(node_core::incomplete_outcome(idempotent))
        }
    }
}

/// Returns whether another attempt may succeed and, for actions, can't run the call a second time.
fn may_retry(result: core_command::AttemptResult, idempotent: bool) -> bool {
    match result {
        core_command::AttemptResult::Refused { reason, .. } => {
            reason.advice() == call_outcome::RefusalAdvice::TryElsewhere
        }
        core_command::AttemptResult::NotSent => true,
        core_command::AttemptResult::Failed | core_command::AttemptResult::Silent => idempotent,
        core_command::AttemptResult::Completed { .. }
        | core_command::AttemptResult::Deadline
        | core_command::AttemptResult::Cancelled => false,
    }
}
