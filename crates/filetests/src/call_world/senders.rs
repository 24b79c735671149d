//! Daemons that send calls: choice of a server, hedges, retries and replies.

use std::time;

use damasktrack_admission::level_view;
use damasktrack_entity::call_outcome;
use damasktrack_ownership::retry_ledger;
use damasktrack_routing::hedge_policy;
use damasktrack_routing::retry_budget;
use damasktrack_routing::route_candidate;
use rand::RngExt;
use slotmap::Key;
use stakker::CX;

use crate::call_world;
use crate::control_arm;
use crate::world_node;

impl call_world::CallWorld {
    pub(super) fn send(
        &mut self,
        cx: CX![],
        request: usize,
        service: usize,
        parent: Option<world_node::CallKey>,
        node: usize,
        deadline: time::Instant,
    ) -> world_node::SendKey {
        let send = self.sends.insert(call_world::SentCall {
            request,
            service,
            parent,
            node,
            deadline,
            copies: Vec::new(),
            tried: Vec::new(),
            hedges: 0,
        });
        self.dispatch(cx, send);
        send
    }

    pub(super) fn dispatch(&mut self, cx: CX![], key: world_node::SendKey) {
        let now = cx.now();
        let Some(send) = self.sends.get(key) else { return };
        let (request, service, node, deadline) = (send.request, send.service, send.node, send.deadline);
        let Some((callee, server, route)) = self.choose(key, now) else {
            self.record_refusal(call_outcome::RefusalReason::NoCandidate);
            return self.finish_send(
                cx,
                key,
                call_world::CallReply::Refused(call_outcome::RefusalReason::NoCandidate),
            );
        };
        let (class_index, arm, wait) = (
            self.requests[request].class,
            self.scenario.arm,
            self.scenario.classes[self.requests[request].class].deadline,
        );
        let call = self.calls.insert(call_world::ServerCall {
            send: key,
            request,
            node: callee,
            route,
            deadline,
            begun: now,
            phase: call_world::CallPhase::Queued,
        });
        self.requests[request].sent[service] += 1;
        self.sends[key].copies.push(call);
        self.sends[key].tried.push(server);
        Self::schedule(cx, self.scenario.network, call_world::WorldEvent::Reach(call));
        match arm {
            control_arm::ControlArm::None => {}
            control_arm::ControlArm::PerHop => {
                Self::schedule(
                    cx,
                    wait / control_arm::HOP_TIMEOUT_DIVISOR,
                    call_world::WorldEvent::HopTimeout(call),
                );
            }
            control_arm::ControlArm::Damasktrack => {
                let delay = self.nodes[node]
                    .hedges
                    .delay(&self.services[service], &self.classes[class_index]);
                if let Some(delay) = delay.filter(|_| self.sends[key].hedges == 0) {
                    Self::schedule(cx, delay, call_world::WorldEvent::Hedge(key));
                }
            }
        }
    }

    fn choose(
        &mut self,
        key: world_node::SendKey,
        now: time::Instant,
    ) -> Option<(usize, route_candidate::ServerKey, Option<route_candidate::CallKey>)> {
        let send = &self.sends[key];
        let class = self.requests[send.request].class;
        let setting = &self.scenario.classes[class];
        if self.scenario.arm != control_arm::ControlArm::Damasktrack {
            let services = &self.scenario.services;
            let first: usize = services[..send.service].iter().map(|service| service.servers).sum();
            let first = first + self.scenario.entries;
            let mut draw = || first + self.rng.random_range(0..services[send.service].servers);
            let (left, right) = (draw(), draw());
            if self.scenario.arm == control_arm::ControlArm::None {
                return Some((left, route_candidate::ServerKey::null(), None));
            }
            let (at, lag) = (now - self.start, self.scenario.report_lag);
            let left_load = self.nodes[left].backend.reported_load(at, lag);
            let right_load = self.nodes[right].backend.reported_load(at, lag);
            let chosen = if left_load <= right_load { left } else { right };
            return Some((chosen, route_candidate::ServerKey::null(), None));
        }
        let lane = if setting.long {
            route_candidate::RouteLane::Long
        } else {
            route_candidate::RouteLane::Short
        };
        let table = &mut self.nodes[send.node].table;
        let request = route_candidate::RouteRequest {
            service: &self.services[send.service],
            class: &self.classes[class],
            lane,
            cross_region: false,
            may_probe: !setting.critical,
            exclude: &send.tried,
            latency_objective: None,
        };
        let route_candidate::RouteChoice::Use { key: server, .. } = table.choose(&request, now, &mut self.rng) else {
            return None;
        };
        let callee = world_node::node_of(&table.candidate(server)?.daemon_id);
        let route = table.begin(server, &self.classes[class], lane, now);
        Some((callee, server, route))
    }

    /// Sends a second copy of a slow call if the budget and the request's owner allow it.
    pub(super) fn hedge(&mut self, cx: CX![], key: world_node::SendKey) {
        let now = cx.now();
        let Some(send) = self.sends.get(key) else { return };
        let Some(copy) = send.copies.first().and_then(|copy| self.calls.get(*copy)) else {
            return;
        };
        let (request, node, service) = (send.request, send.node, send.service);
        let class = self.requests[request].class;
        // While a service sheds load, a second copy takes the slot of another request.
        let (key_of_view, importance) = (self.view_key(request), self.requests[request].level.importance);
        if self.nodes[node]
            .view
            .sheds(&self.services[service], &key_of_view, importance, now)
        {
            return;
        }
        let decision = self.nodes[node].hedges.decide(hedge_policy::HedgeRequest {
            service: &self.services[service],
            class: &self.classes[class],
            idempotent: !self.scenario.classes[class].long,
            elapsed: now.saturating_duration_since(copy.begun),
            remaining: send.deadline.saturating_duration_since(now),
            hedges: send.hedges,
        });
        match decision {
            hedge_policy::HedgeDecision::Never => {}
            hedge_policy::HedgeDecision::Wait(delay) => {
                Self::schedule(
                    cx,
                    delay.max(time::Duration::from_millis(1)),
                    call_world::WorldEvent::Hedge(key),
                );
            }
            hedge_policy::HedgeDecision::Send => {
                if self.request_grant(request, now) {
                    self.sends[key].hedges += 1;
                    self.dispatch(cx, key);
                }
            }
        }
    }

    /// Requests a retry from the request's owner, which charges its budget and the allowance of the request.
    pub(super) fn request_grant(&mut self, index: usize, now: time::Instant) -> bool {
        let request = &self.requests[index];
        let class = &self.scenario.classes[request.class];
        let owner = &mut self.nodes[request.owner];
        if owner.budget.try_retry(now) == retry_budget::RetryDecision::Denied {
            return false;
        }
        let call = retry_ledger::GrantCall {
            request_id: request.id.clone(),
            allowance: class.allowance,
            deadline: now + class.deadline,
        };
        let granted = matches!(
            owner.retries.grant(&call, now),
            retry_ledger::GrantReply::Granted { .. }
        );
        if !granted {
            owner.budget.give_back();
        }
        granted
    }

    pub(super) fn reply(
        &mut self,
        cx: CX![],
        key: world_node::CallKey,
        reply: call_world::CallReply,
        report: Option<call_outcome::LevelReport>,
    ) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (send_key, request, route, begun) = (call.send, call.request, call.route, call.begun);
        let Some(send) = self.sends.get_mut(send_key) else {
            // The sender has finished or cancelled the call; the server has released its own state of it.
            return;
        };
        let Some(at) = send.copies.iter().position(|copy| *copy == key) else {
            return;
        };
        send.copies.remove(at);
        let (node, service, origin) = (send.node, send.service, send.parent);
        let (copies, tries) = (send.copies.len(), send.tried.len());
        let class = &self.classes[self.requests[request].class];
        if let Some(report) = report {
            let origin = if origin.is_some() {
                level_view::CallOrigin::Nested
            } else {
                level_view::CallOrigin::Entry
            };
            let view_key = self.view_key(request);
            self.nodes[node]
                .view
                .add_report(&self.services[service], &view_key, report, origin, now);
        }
        if let Some(route) = route {
            let result = match reply {
                call_world::CallReply::Done => route_candidate::RouteResult::Completed,
                // The server responded; a call below it failed.
                call_world::CallReply::Error => route_candidate::RouteResult::Cancelled,
                call_world::CallReply::Refused(reason) => route_candidate::RouteResult::Refused(reason),
            };
            self.nodes[node].table.finish(route, result, now);
        }
        match reply {
            call_world::CallReply::Done => {
                if tries == 1 {
                    self.nodes[node]
                        .hedges
                        .record(&self.services[service], class, now - begun, now);
                }
                self.finish_send(cx, send_key, reply);
            }
            _ if copies > 0 => {}
            _ if self.scenario.arm == control_arm::ControlArm::PerHop => {
                if tries <= control_arm::MAX_HOP_RETRIES as usize {
                    Self::schedule(
                        cx,
                        control_arm::HOP_RETRY_DELAY,
                        call_world::WorldEvent::HopRetry(send_key),
                    );
                } else {
                    self.finish_send(cx, send_key, reply);
                }
            }
            call_world::CallReply::Refused(reason)
                if self.is_damasktrack()
                    && reason.advice() == call_outcome::RefusalAdvice::TryElsewhere
                    && self.request_grant(request, now) =>
            {
                self.dispatch(cx, send_key);
            }
            _ => self.finish_send(cx, send_key, reply),
        }
    }

    /// Ends a call for its sender: cancels copies in flight (`damasktrack` arm only) and passes the reply to the caller
    /// or the parent call.
    fn finish_send(&mut self, cx: CX![], key: world_node::SendKey, reply: call_world::CallReply) {
        let now = cx.now();
        let Some(send) = self.sends.remove(key) else { return };
        self.cancel_copies(cx, &send);
        let Some(parent) = send.parent else {
            let request = &mut self.requests[send.request];
            if request.current == Some(key) {
                request.current = None;
                Self::schedule(
                    cx,
                    self.scenario.network,
                    call_world::WorldEvent::Result(send.request, reply),
                );
            }
            return;
        };
        self.nodes[send.node].gate.nested_finished(parent.data().as_ffi(), now);
        if self.calls.contains_key(parent) {
            let reply = if reply == call_world::CallReply::Done {
                call_world::CallReply::Done
            } else {
                call_world::CallReply::Error
            };
            self.complete(cx, parent, reply);
        }
    }

    pub(super) fn cancel_send(&mut self, cx: CX![], key: world_node::SendKey) {
        if let Some(send) = self.sends.remove(key) {
            self.cancel_copies(cx, &send);
        }
    }

    fn cancel_copies(&mut self, cx: CX![], send: &call_world::SentCall) {
        if !self.is_damasktrack() {
            return;
        }
        for copy in &send.copies {
            if let Some(route) = self.calls.get(*copy).and_then(|call| call.route) {
                let table = &mut self.nodes[send.node].table;
                table.finish(route, route_candidate::RouteResult::Cancelled, cx.now());
            }
            Self::schedule(cx, self.scenario.network, call_world::WorldEvent::Cancel(*copy));
        }
    }
}
