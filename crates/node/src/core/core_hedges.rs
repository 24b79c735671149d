//! Decisions about hedges, which are second copies of slow calls.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use damasktrack_entity::ids;
use damasktrack_routing::hedge_policy;
use damasktrack_wire::call_frame;
use damasktrack_wire::peer_message;

use crate::call::call_class;
use crate::call::call_watch;
use crate::core::call_table;
use crate::core::core_command;
use crate::core::core_owner;
use crate::core::core_routes;
use crate::core::node_core;

/// Command about the hedge of a call.
#[derive(Debug)]
pub enum HedgeCommand {
    /// A call has run for its hedge delay without a response; requests the decision whether to send a copy.
    Begin {
        /// Id of the call.
        call: ids::CallId,
        /// Id of the copy on the wire, if it is sent.
        copy: ids::CallId,
        /// Time since the first attempt was sent.
        elapsed: time::Duration,
        /// Receiver of the decision.
        reply: core_command::ReplySender<HedgeStep>,
    },
    /// The peer that holds the retry ledger of the request replied to the grant request for a copy.
    Granted {
        /// Id of the call.
        call: ids::CallId,
        /// Reply of the peer.
        grant: peer_message::GrantReply,
        /// Receiver of the decision.
        reply: core_command::ReplySender<HedgeStep>,
    },
    /// Replaces the first attempt, which ended with this result, by the copy.
    Promote(ids::CallId, core_command::AttemptResult),
    /// Cancels the copy, which is not needed.
    Cancel(ids::CallId),
}

/// Decision about the hedge of a slow call.
#[derive(Debug)]
pub enum HedgeStep {
    /// Send the copy.
    Send(Box<HedgePlan>),
    /// Request a grant from the peer that holds the retry ledger of the request, and send the reply with
    /// [`HedgeCommand::Granted`].
    RequestGrant(net::SocketAddr, peer_message::GrantRequest),
    /// Send no copy, also later.
    Never,
}

/// Plan of a copy that is to be sent.
#[derive(Debug)]
pub struct HedgePlan {
    /// Id of the copy on the wire.
    pub copy: ids::CallId,
    /// Attempt of the copy.
    pub attempt: core_command::AttemptPlan,
    /// Cancellation flag of the copy.
    pub cancelled: call_watch::CancelFlag,
}

/// Copy of a call in the call table.
#[derive(Debug)]
pub struct HedgeEntry {
    /// Id of the copy on the wire.
    pub copy: ids::CallId,
    /// Attempt of the copy once it is sent, and its target.
    pub(crate) sent: Option<(core_routes::RunningAttempt, core_routes::RouteTarget)>,
    /// Cancellation flag of the copy.
    pub cancelled: call_watch::CancelFlag,
}

/// Commands.
impl node_core::NodeCore {
    pub(crate) fn handle_hedge(&mut self, command: HedgeCommand, now: time::Instant) {
        match command {
            HedgeCommand::Begin {
                call,
                copy,
                elapsed,
                reply,
            } => {
                let _delivered = reply.send(self.begin_hedge(call, copy, elapsed, now));
            }
            HedgeCommand::Granted { call, grant, reply } => {
                let _delivered = reply.send(self.continue_hedge(call, grant, now));
            }
            HedgeCommand::Promote(call, first) => self.promote_hedge(call, first, now),
            HedgeCommand::Cancel(call) => {
                if let Some(hedge) = self.calls.outgoing_mut(call).and_then(|entry| entry.hedge.take()) {
                    self.end_hedge(&hedge, now);
                }
            }
        }
    }

    fn begin_hedge(
        &mut self,
        call: ids::CallId,
        copy: ids::CallId,
        elapsed: time::Duration,
        now: time::Instant,
    ) -> HedgeStep {
        let Some(entry) = self.calls.outgoing(call) else {
            return HedgeStep::Never;
        };
        let decision = self.routes.hedges.decide(hedge_policy::HedgeRequest {
            service: &entry.service,
            class: &entry.class.name,
            idempotent: entry.class.idempotent,
            elapsed,
            remaining: entry.deadline.saturating_duration_since(now),
            hedges: u32::from(entry.hedge.is_some()),
        });
        let ended = entry.cancelled.load(atomic::Ordering::Relaxed) || entry.route.is_none();
        if decision != hedge_policy::HedgeDecision::Send || ended {
            return HedgeStep::Never;
        }
        let request = peer_message::GrantRequest {
            request_id: entry.context.request_id.clone(),
            class: entry.context.class.clone(),
            depth: entry.context.depth,
            arrival: false,
        };
        // A copy occupies a slot that another request could use, so none is sent while the service sheds calls. This
        // also holds for critical calls.
        let importance = entry.context.level.importance;
        let sheds = self
            .levels
            .sheds(&entry.service, &core_routes::view_key(&entry.context), importance, now);
        if sheds || !self.has_retry_capacity(call, now) {
            return HedgeStep::Never;
        }
        if let Some(entry) = self.calls.outgoing_mut(call) {
            entry.hedge = Some(HedgeEntry {
                copy,
                sent: None,
                cancelled: call_watch::CancelFlag::default(),
            });
        }
        match self.retry_owner(&request.request_id) {
            core_owner::RetryOwner::Local => {
                let grant = self.grant(&request, now);
                self.continue_hedge(call, grant, now)
            }
            core_owner::RetryOwner::Peer(address) => HedgeStep::RequestGrant(address, request),
            core_owner::RetryOwner::Unavailable => self.continue_hedge(call, peer_message::GrantReply::Denied, now),
        }
    }

    fn continue_hedge(&mut self, call: ids::CallId, grant: peer_message::GrantReply, now: time::Instant) -> HedgeStep {
        let step = self.send_hedge(call, grant, now);
        step.map_or(HedgeStep::Never, |plan| HedgeStep::Send(Box::new(plan)))
    }

    fn send_hedge(
        &mut self,
        call: ids::CallId,
        grant: peer_message::GrantReply,
        now: time::Instant,
    ) -> Option<HedgePlan> {
        let peer_message::GrantReply::Granted { left } = grant else {
            return None;
        };
        let entry = self.calls.outgoing(call)?;
        entry.hedge.as_ref()?;
        let (service, class) = (entry.service.clone(), entry.class.clone());
        let (mut context, tried) = (entry.context.clone(), entry.tried.clone());
        let server = self.choose_server(&service, &class, &context, &tried, now)?;
        if server.target == core_routes::RouteTarget::Local {
            return None;
        }
        let route = self.begin_attempt(server, &class, now)?;
        self.metrics.count_hedged(&class);
        let entry = self.calls.outgoing_mut(call)?;
        entry.tried.push(server.key);
        entry.context.attempt += 1;
        entry.context.retry_allowance = left;
        context.attempt = entry.context.attempt;
        context.retry_allowance = left;
        context.remaining = entry.deadline.saturating_duration_since(now);
        let hedge = entry.hedge.as_mut()?;
        hedge.sent = Some((route, server.target));
        Some(HedgePlan {
            copy: hedge.copy,
            attempt: core_command::AttemptPlan {
                target: server.target,
                stage: call_frame::CallStage::Callee,
                context,
                hedge_after: None,
            },
            cancelled: sync::Arc::clone(&hedge.cancelled),
        })
    }

    /// Replaces the first attempt by the copy, and cancels the first attempt at its server.
    fn promote_hedge(&mut self, call: ids::CallId, first: core_command::AttemptResult, now: time::Instant) {
        self.end_attempt(call, first, now);
        let Some(entry) = self.calls.outgoing_mut(call) else {
            return;
        };
        let Some(HedgeEntry {
            copy,
            sent: Some((route, target)),
            cancelled,
        }) = entry.hedge.take()
        else {
            return;
        };
        let replaced = (entry.wire_call, entry.target);
        entry.wire_call = copy;
        entry.target = target;
        entry.route = Some(route);
        entry.attempt_open = true;
        if entry.cancelled.load(atomic::Ordering::Relaxed) {
            cancelled.store(true, atomic::Ordering::Relaxed);
        }
        entry.copy_cancelled = Some(cancelled);
        self.cancel_target(replaced.0, replaced.1, now);
    }

    /// Cancels a copy and, if it was sent, ends its attempt.
    pub(crate) fn end_hedge(&mut self, hedge: &HedgeEntry, now: time::Instant) {
        hedge.cancelled.store(true, atomic::Ordering::Relaxed);
        if let Some((route, target)) = hedge.sent {
            self.cancel_attempt(route, now);
            self.cancel_target(hedge.copy, target, now);
        }
    }
}

/// Queries.
impl node_core::NodeCore {
    /// Returns the time after which a call is hedged; `None` while the delay of its class is not known. Only
    /// idempotent calls of the short lane that are sent to another daemon are hedged.
    pub(crate) fn hedge_delay(
        &self,
        service: &ids::ServiceName,
        class: &call_class::CallClass,
        target: core_routes::RouteTarget,
    ) -> Option<time::Duration> {
        let eligible =
            class.idempotent && class.lane == call_class::CallLane::Short && target != core_routes::RouteTarget::Local;
        if !eligible {
            return None;
        }
        self.routes.hedges.delay(service, &class.name)
    }
}

impl call_table::OutgoingCall {
    /// Sets the cancellation flag of the call, and that of a hedge that replaced the first attempt.
    pub(crate) fn set_cancelled(&self) {
        self.cancelled.store(true, atomic::Ordering::Relaxed);
        if let Some(flag) = &self.copy_cancelled {
            flag.store(true, atomic::Ordering::Relaxed);
        }
    }
}
