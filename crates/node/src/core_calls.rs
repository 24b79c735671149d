//! Calls that this daemon sends to backend servers: start, attempts, grants and end.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call_class;
use crate::call_table;
use crate::core_command;
use crate::node_core;
use crate::request_owner;
use crate::route_choice;

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn begin(&mut self, start: core_command::CallStart, now: time::Instant) -> core_command::CallDecision {
        if let core_command::CallOrigin::Caller {
            context: None,
            loopback: true,
            ..
        } = start.origin
        {
            self.metrics.count_context_missing();
        }
        let root = match self.root_of(&start, now) {
            Ok(root) => root,
            Err(refusal) => return refusal,
        };
        if start.cancelled.load(atomic::Ordering::Relaxed) {
            return refuse(root.context.request_id, call_outcome::RefusalReason::Cancelled);
        }
        if root.context.depth >= root.class.max_depth {
            return refuse(root.context.request_id, call_outcome::RefusalReason::TooDeep);
        }
        if root.deadline <= now {
            return refuse(root.context.request_id, call_outcome::RefusalReason::DeadlineTooShort);
        }
        let step = self.owner.begin(&request_owner::ActionRequest {
            request_id: &root.context.request_id,
            idempotent: root.class.idempotent,
            forwarded: root.sender.is_some(),
        });
        match step {
            request_owner::OwnerStep::Dispatch => {}
            request_owner::OwnerStep::Forward(owner) => return self.forward_to_owner(&owner, start, root, now),
            request_owner::OwnerStep::Unknown => {
                return core_command::CallDecision::Unknown {
                    request_id: root.context.request_id,
                };
            }
        }
        let choice = self.routes.choose(
            &route_choice::RouteRequest {
                service: &start.service,
                tried: &[],
            },
            now,
        );
        let route_choice::RouteChoice::Use(route, target) = choice else {
            return refuse(root.context.request_id, call_outcome::RefusalReason::NoCandidate);
        };
        self.routes.begin(route, now);
        self.start_call(start, root, Some(route), target, now)
    }

    fn forward_to_owner(
        &mut self,
        owner: &request_identity::RequestOwner,
        start: core_command::CallStart,
        root: CallRoot,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let Some(peer) = self.directory.find_owner(owner) else {
            return core_command::CallDecision::Unknown {
                request_id: root.context.request_id,
            };
        };
        let target = route_choice::RouteTarget::Peer(peer.address);
        self.start_call(start, root, None, target, now)
    }

    fn start_call(
        &mut self,
        start: core_command::CallStart,
        root: CallRoot,
        route: Option<route_choice::RouteKey>,
        target: route_choice::RouteTarget,
        now: time::Instant,
    ) -> core_command::CallDecision {
        let mut context = root.context;
        context.remaining = root.deadline.saturating_duration_since(now);
        let attempt = core_command::AttemptPlan {
            target,
            stage: stage_of(route),
            context: context.clone(),
        };
        self.calls.add_outgoing(
            start.call,
            call_table::OutgoingCall {
                context,
                service: start.service,
                class: root.class.clone(),
                deadline: root.deadline,
                parent: root.parent,
                tried: route.into_iter().collect(),
                route,
                target,
                last_result: None,
                cancelled: start.cancelled,
                sender: root.sender,
            },
        );
        core_command::CallDecision::Run(Box::new(core_command::CallPlan {
            call: start.call,
            class: root.class,
            deadline: root.deadline,
            attempt,
        }))
    }

    /// Finds class, deadline and context of a call: from the running parent, from the peer that forwarded it, or anew.
    fn root_of(
        &mut self,
        start: &core_command::CallStart,
        now: time::Instant,
    ) -> Result<CallRoot, core_command::CallDecision> {
        match &start.origin {
            core_command::CallOrigin::Peer { context, sender } => {
                let found = self.class_of(start, Some(&context.tenant));
                let class = found.ok_or_else(|| not_declared(&context.request_id))?;
                Ok(CallRoot {
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
            } => self.nested_root(start, context, *timeout, now),
            core_command::CallOrigin::Caller {
                request_id,
                tenant,
                timeout,
                ..
            } => {
                let issued = request_id.clone().unwrap_or_else(|| self.owner.issue_id());
                let found = self.class_of(start, tenant.as_ref());
                let class = found.ok_or_else(|| not_declared(&issued))?;
                let remaining = timeout.unwrap_or(class.deadline).min(class.deadline);
                Ok(CallRoot {
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

    /// A nested call takes everything from the work that made it, by this daemon's clock. Work that ended or was
    /// cancelled makes no further calls.
    fn nested_root(
        &self,
        start: &core_command::CallStart,
        context: &call_context::CallContext,
        timeout: Option<time::Duration>,
        now: time::Instant,
    ) -> Result<CallRoot, core_command::CallDecision> {
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
        let asked = timeout.map_or(work.deadline, |timeout| now + timeout);
        Ok(CallRoot {
            context: call_context::CallContext {
                attempt: 1,
                depth: work.context.depth + 1,
                parent_call: 0,
                ..work.context.clone()
            },
            class,
            deadline: asked.min(work.deadline),
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
        let end = end_of(result, entry.class.idempotent);
        if entry.cancelled.load(atomic::Ordering::Relaxed) {
            return core_command::RetryDecision::GiveUp(core_command::CallEnd::Cancelled);
        }
        // An owner that was reached for a forwarded call has made its own attempts.
        if !may_retry(result, entry.class.idempotent) || entry.route_is_owner() || entry.deadline <= now {
            return core_command::RetryDecision::GiveUp(end);
        }
        let request_id = entry.context.request_id.clone();
        let allowance = entry.class.retry_allowance;
        let request = peer_message::GrantRequest {
            request_id: request_id.clone(),
            class: entry.context.class.clone(),
            depth: entry.context.depth,
        };
        let Some(owner) = self.owner.grant_owner(&request_id) else {
            let grant = self.owner.grant(&request_id, allowance);
            return self.continue_retry(call, grant, now);
        };
        match self.directory.find_owner(&owner) {
            Some(peer) => core_command::RetryDecision::AskOwner(peer.address, request),
            None => core_command::RetryDecision::GiveUp(end),
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
            return core_command::RetryDecision::GiveUp(end);
        };
        let request = route_choice::RouteRequest {
            service: &entry.service,
            tried: &entry.tried,
        };
        let route_choice::RouteChoice::Use(route, target) = self.routes.choose(&request, now) else {
            return core_command::RetryDecision::GiveUp(end);
        };
        self.routes.begin(route, now);
        entry.tried.push(route);
        entry.route = Some(route);
        entry.target = target;
        entry.context.attempt += 1;
        entry.context.retry_allowance = left;
        entry.context.remaining = entry.deadline.saturating_duration_since(now);
        core_command::RetryDecision::Again(core_command::AttemptPlan {
            target,
            stage: call_frame::CallStage::Callee,
            context: entry.context.clone(),
        })
    }

    pub(crate) fn finish(
        &mut self,
        call: ids::CallId,
        result: core_command::AttemptResult,
        summary: core_command::CallSummary,
        now: time::Instant,
    ) {
        self.end_attempt(call, result, now);
        let Some(entry) = self.calls.remove_outgoing(call) else {
            return;
        };
        if let core_command::CallEnd::Lost(outcome) = summary.end {
            log::warn!(
                request_id:% = ids::text(&entry.context.request_id),
                class:% = ids::text(&entry.class.name),
                attempts = summary.attempts;
                "call ended as {outcome}"
            );
            // The callee may still run it for nobody.
            self.cancel_target(call, entry.target, now);
        }
    }

    fn end_attempt(&mut self, call: ids::CallId, result: core_command::AttemptResult, now: time::Instant) {
        let entry = self.calls.outgoing_mut(call);
        if let Some(route) = entry.and_then(|entry| entry.route.take()) {
            self.routes.finish(route, route_result(result), now);
        }
    }

    pub(crate) fn cancel_outgoing(&mut self, call: ids::CallId) {
        let Some(entry) = self.calls.outgoing(call) else {
            return;
        };
        entry.cancelled.store(true, atomic::Ordering::Relaxed);
        let target = entry.target;
        self.cancel_target(call, target, time::Instant::now());
    }

    fn cancel_target(&mut self, call: ids::CallId, target: route_choice::RouteTarget, now: time::Instant) {
        match target {
            route_choice::RouteTarget::Peer(address) => self.effects.cancel_at_peer(address, call),
            route_choice::RouteTarget::Local => {
                let request = peer_message::CancelRequest {
                    sender: self.identity.clone(),
                    sender_call: call,
                };
                self.cancel_from_peer(request, now);
            }
        }
    }

    pub(crate) fn grant(&mut self, request: &peer_message::GrantRequest) -> peer_message::GrantReply {
        if self.owner.grant_owner(&request.request_id).is_some() {
            return peer_message::GrantReply::Denied;
        }
        // The allowance belongs to the root class; one class exists until resources are connected.
        let found = self.classes.find(
            &Bytes::from_static(b"-"),
            &Bytes::from_static(b"GET"),
            &Bytes::from_static(b"/"),
            None,
        );
        let allowance = found.map_or(0, |class| class.retry_allowance);
        self.owner.grant(&request.request_id, allowance)
    }
}

/// Queries.
impl node_core::NodeCore {
    fn class_of(&self, start: &core_command::CallStart, tenant: Option<&Bytes>) -> Option<call_class::CallClass> {
        self.classes.find(&start.service, &start.method, &start.path, tenant)
    }
}

/// What a call inherits or starts with.
#[derive(Debug)]
struct CallRoot {
    context: call_context::CallContext,
    class: call_class::CallClass,
    deadline: time::Instant,
    parent: Option<ids::CallId>,
    sender: Option<call_table::SenderCall>,
}

fn stage_of(route: Option<route_choice::RouteKey>) -> call_frame::CallStage {
    match route {
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

/// Returns the outcome of a call whose last attempt ended so.
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
        | core_command::AttemptResult::Deadline => core_command::CallEnd::Lost(node_core::lost_outcome(idempotent)),
    }
}

/// Returns whether another attempt can be of use and, for actions, can't run the call twice.
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

fn route_result(result: core_command::AttemptResult) -> route_choice::RouteResult {
    match result {
        core_command::AttemptResult::Completed { latency, bytes, .. } => {
            route_choice::RouteResult::Completed { latency, bytes }
        }
        core_command::AttemptResult::Refused { reason, .. } => route_choice::RouteResult::Refused(reason),
        core_command::AttemptResult::NotSent => {
            route_choice::RouteResult::Refused(call_outcome::RefusalReason::BackendServerDown)
        }
        core_command::AttemptResult::Failed | core_command::AttemptResult::Deadline => {
            route_choice::RouteResult::Failed
        }
        core_command::AttemptResult::Silent => route_choice::RouteResult::Silent,
        core_command::AttemptResult::Cancelled => route_choice::RouteResult::Cancelled,
    }
}
