//! Daemons beside backend servers: admission, work, nested calls and cancellation.

use std::time;

use damasktrack_admission::gate_report;
use damasktrack_admission::level_view;
use damasktrack_entity::call_outcome;
use slotmap::Key;
use stakker::CX;

use crate::call_world;
use crate::control_arm;
use crate::world_node;

impl call_world::CallWorld {
    pub(super) fn reach(&mut self, cx: CX![], key: world_node::CallKey) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (node, request) = (call.node, &self.requests[call.request]);
        let class = &self.scenario.classes[request.class];
        match self.scenario.arm {
            control_arm::ControlArm::None => self.begin(cx, key),
            control_arm::ControlArm::PerHop => match self.nodes[node].fixed.offer(key) {
                control_arm::FixedDecision::Start => self.begin(cx, key),
                control_arm::FixedDecision::Queued => {}
                control_arm::FixedDecision::Refuse => self.refuse(cx, key, call_outcome::RefusalReason::QueueFull),
            },
            control_arm::ControlArm::Damasktrack => {
                let arrival = gate_report::CallArrival {
                    call: key.data().as_ffi(),
                    class: self.classes[request.class].clone(),
                    tenant: self.tenants[request.tenant].clone(),
                    importance: class.importance,
                    critical: class.critical,
                    lane: if class.long {
                        gate_report::CallLane::Long
                    } else {
                        gate_report::CallLane::Short
                    },
                    level: request.level,
                    deadline: call.deadline,
                };
                match self.nodes[node].gate.offer(&arrival, now) {
                    gate_report::ArrivalDecision::Start => self.begin(cx, key),
                    gate_report::ArrivalDecision::Queued => {}
                    gate_report::ArrivalDecision::Refuse(reason) => self.refuse(cx, key, reason),
                }
                self.poll_gate(cx, node);
            }
        }
    }

    pub(super) fn poll_gate(&mut self, cx: CX![], node: usize) {
        let now = cx.now();
        loop {
            match self.nodes[node].gate.poll(now) {
                gate_report::NextStart::Start(call) => self.begin(cx, slotmap::KeyData::from_ffi(call).into()),
                gate_report::NextStart::Refuse(call, reason) => {
                    self.refuse(cx, slotmap::KeyData::from_ffi(call).into(), reason);
                }
                gate_report::NextStart::Idle => break,
            }
        }
        let state = &mut self.nodes[node];
        if let Some(wake) = state.gate.next_wake(now)
            && state.wake_at.is_none_or(|at| wake < at)
        {
            state.wake_at = Some(wake);
            let delay = wake
                .saturating_duration_since(now)
                .max(time::Duration::from_micros(100));
            Self::schedule(cx, delay, call_world::WorldEvent::Wake(node));
        }
    }

    fn begin(&mut self, cx: CX![], key: world_node::CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        call.phase = call_world::CallPhase::Waiting;
        let node = call.node;
        if self.nodes[node].backend.accept(key) {
            self.work(cx, key);
        }
    }

    fn work(&mut self, cx: CX![], key: world_node::CallKey) {
        let at = cx.now() - self.start;
        let Some(call) = self.calls.get_mut(key) else { return };
        call.phase = call_world::CallPhase::Working;
        let work = self.scenario.classes[self.requests[call.request].class].work;
        let taken = self.nodes[call.node].backend.service_time(work, at, &mut self.rng);
        Self::schedule(cx, taken, call_world::WorldEvent::WorkDone(key));
    }

    pub(super) fn work_done(&mut self, cx: CX![], key: world_node::CallKey) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (node, request, deadline) = (call.node, call.request, call.deadline);
        let service = self.nodes[node].service.unwrap_or(0);
        let Some(callee) = self.scenario.services[service].calls else {
            return self.complete(cx, key, call_world::CallReply::Done);
        };
        self.nodes[node].gate.nested_started(key.data().as_ffi(), now);
        // Without a candidate, `send` ends the nested call and completes this one at once; the key below is then stale.
        let send = self.send(cx, request, callee, Some(key), node, deadline);
        if let Some(call) = self.calls.get_mut(key) {
            call.phase = call_world::CallPhase::Nested(send);
        }
    }

    pub(super) fn complete(&mut self, cx: CX![], key: world_node::CallKey, reply: call_world::CallReply) {
        let Some(call) = self.calls.get(key) else { return };
        let (node, request) = (call.node, call.request);
        self.release(cx, key, node, gate_report::FinishResult::Completed);
        let report = self.report(node, request, cx.now());
        Self::schedule(
            cx,
            self.scenario.network,
            call_world::WorldEvent::Reply(key, reply, report),
        );
        self.poll_gate_if_damasktrack(cx, node);
    }

    fn release(&mut self, cx: CX![], key: world_node::CallKey, node: usize, result: gate_report::FinishResult) {
        if let Some(next) = self.nodes[node].backend.release() {
            self.work(cx, next);
        }
        match self.scenario.arm {
            control_arm::ControlArm::None => {}
            control_arm::ControlArm::PerHop => {
                if let Some(next) = self.nodes[node].fixed.finish() {
                    self.begin(cx, next);
                }
            }
            control_arm::ControlArm::Damasktrack => self.nodes[node].gate.finish(key.data().as_ffi(), result, cx.now()),
        }
    }

    fn poll_gate_if_damasktrack(&mut self, cx: CX![], node: usize) {
        if self.is_damasktrack() {
            self.poll_gate(cx, node);
        }
    }

    fn report(&self, node: usize, request: usize, now: time::Instant) -> Option<call_outcome::LevelReport> {
        let node = &self.nodes[node];
        let key = self.view_key(request);
        self.is_damasktrack().then(|| {
            level_view::higher_report(
                node.gate.report(&key.0, &key.1),
                node.view.highest_nested_report(&key, now),
            )
        })
    }

    pub(super) fn view_key(&self, request: usize) -> level_view::ViewKey {
        let request = &self.requests[request];
        (
            self.classes[request.class].clone(),
            self.tenants[request.tenant].clone(),
        )
    }

    fn refuse(&mut self, cx: CX![], key: world_node::CallKey, reason: call_outcome::RefusalReason) {
        self.record_refusal(reason);
        let Some(call) = self.calls.get(key) else { return };
        let report = self.report(call.node, call.request, cx.now());
        Self::schedule(
            cx,
            self.scenario.network,
            call_world::WorldEvent::Reply(key, call_world::CallReply::Refused(reason), report),
        );
    }

    /// Ends a call whose sender no longer waits for it.
    pub(super) fn cancel_call(&mut self, cx: CX![], key: world_node::CallKey) {
        let Some(call) = self.calls.remove(key) else { return };
        let id = key.data().as_ffi();
        let node = call.node;
        if self.nodes[node].gate.cancel(id) == gate_report::CancelDecision::Running {
            match call.phase {
                call_world::CallPhase::Nested(send) => self.cancel_send(cx, send),
                call_world::CallPhase::Queued | call_world::CallPhase::Waiting | call_world::CallPhase::Working => {}
            }
            if call.phase == call_world::CallPhase::Waiting && self.nodes[node].backend.withdraw(key) {
                self.nodes[node]
                    .gate
                    .finish(id, gate_report::FinishResult::Cancelled, cx.now());
            } else {
                self.release(cx, key, node, gate_report::FinishResult::Cancelled);
            }
        }
        self.poll_gate(cx, node);
    }
}
