//! Runs a scenario on virtual time.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_admission::{gate_report, level_view};
use damasktrack_entity::{admission_level, call_outcome};
use damasktrack_ownership::retry_ledger;
use damasktrack_routing::{hedge_policy, retry_budget, route_candidate};
use rand::{RngExt, SeedableRng};
use slotmap::Key;
use stakker::{CX, actor, call, ret_nop};

use crate::control_arm::{self, ControlArm};
use crate::scenario_file;
use crate::world_node::{self, CallKey, SendKey};
use crate::world_tally;

/// Retries of a caller.
const CALLER_RETRIES: u32 = 3;
/// Mean pause of a caller before its first retry; it doubles with each.
const CALLER_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Interval of housekeeping and of load reports.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Time until other daemons know that a server is leaving.
const GOSSIP_DELAY: time::Duration = time::Duration::from_millis(500);

/// Longest time that a run goes on after the end of its load.
const GRACE: time::Duration = time::Duration::from_secs(20);

/// A request of a caller.
#[derive(Debug)]
struct CallerRequest {
    class: usize,
    tenant: usize,
    id: Bytes,
    level: admission_level::AdmissionLevel,
    started: time::Instant,
    tries: u32,
    /// The try that is under way.
    current: Option<SendKey>,
    ended: bool,
    /// Number of times that the call was sent to each service.
    sent: Vec<u32>,
    /// Daemon that owns the id.
    owner: usize,
}

/// A call as its sender sees it.
#[derive(Debug)]
struct SentCall {
    request: usize,
    service: usize,
    /// Running call that made it; none for a call of a caller.
    parent: Option<CallKey>,
    node: usize,
    deadline: time::Instant,
    /// Copies in flight.
    copies: Vec<CallKey>,
    tried: Vec<route_candidate::ServerKey>,
    hedges: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Queued,
    Waiting,
    Working,
    Nested(SendKey),
}

/// A copy of a call at a server.
#[derive(Debug)]
struct ServerCall {
    send: SendKey,
    request: usize,
    node: usize,
    route: Option<route_candidate::CallKey>,
    deadline: time::Instant,
    begun: time::Instant,
    phase: CallPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallReply {
    Done,
    /// A call below failed.
    Error,
    Refused(call_outcome::RefusalReason),
}

#[derive(Clone, Copy, Debug)]
enum WorldEvent {
    Arrive(usize),
    Try(usize),
    TryTimeout(usize, SendKey),
    Result(usize, CallReply),
    Reach(CallKey),
    WorkDone(CallKey),
    Reply(CallKey, CallReply, Option<call_outcome::LevelReport>),
    Cancel(CallKey),
    HopRetry(SendKey),
    HopTimeout(CallKey),
    Hedge(SendKey),
    Wake(usize),
    Leave(usize),
    LeaveKnown(usize),
    Tick,
}

/// State of a run.
#[derive(Debug)]
struct CallWorld {
    scenario: scenario_file::Scenario,
    start: time::Instant,
    rng: rand::rngs::StdRng,
    nodes: Vec<world_node::WorldNode>,
    requests: Vec<CallerRequest>,
    /// Requests that have not ended.
    open: usize,
    sends: slotmap::SlotMap<SendKey, SentCall>,
    calls: slotmap::SlotMap<CallKey, ServerCall>,
    services: Vec<Bytes>,
    classes: Vec<Bytes>,
    tenants: Vec<Bytes>,
    tally: rc::Rc<cell::RefCell<world_tally::WorldTally>>,
}

/// Runs a scenario.
#[must_use]
pub fn run(scenario: &scenario_file::Scenario) -> world_tally::WorldTally {
    // Only an origin; all times are offsets of it, so results do not depend on the clock.
    let start = time::Instant::now();
    let tally = rc::Rc::new(cell::RefCell::new(world_tally::WorldTally {
        measure: scenario.measure,
        ..world_tally::WorldTally::default()
    }));
    let mut stakker = stakker::Stakker::new(start);
    let (given, shared) = (scenario.clone(), rc::Rc::clone(&tally));
    let world = actor!(stakker, CallWorld::init(given, shared), ret_nop!());
    stakker.run(start, false);
    let last = start + scenario.duration + GRACE;
    while let Some(next) = stakker.next_expiry().filter(|next| *next <= last) {
        stakker.run(next, false);
    }
    call!([world], finish());
    stakker.run(stakker.now(), false);
    drop(world);
    drop(stakker);
    rc::Rc::into_inner(tally)
        .map(cell::RefCell::into_inner)
        .unwrap_or_default()
}

impl CallWorld {
    #[expect(clippy::unnecessary_wraps, reason = "the actor's initialiser has this signature")]
    fn init(
        cx: CX![],
        scenario: scenario_file::Scenario,
        tally: rc::Rc<cell::RefCell<world_tally::WorldTally>>,
    ) -> Option<Self> {
        let start = cx.now();
        let world = Self {
            start,
            rng: rand::rngs::StdRng::seed_from_u64(scenario.seed),
            nodes: world_node::nodes(&scenario, start),
            requests: Vec::new(),
            open: 0,
            sends: slotmap::SlotMap::with_key(),
            calls: slotmap::SlotMap::with_key(),
            services: scenario
                .services
                .iter()
                .map(|service| Bytes::from(service.name.clone()))
                .collect(),
            classes: scenario
                .classes
                .iter()
                .map(|class| Bytes::from(class.name.clone()))
                .collect(),
            tenants: scenario
                .tenants
                .iter()
                .map(|tenant| Bytes::from(tenant.0.clone()))
                .collect(),
            tally,
            scenario,
        };
        for (index, load) in world.scenario.loads.iter().enumerate() {
            Self::later(cx, load.span.0, WorldEvent::Arrive(index));
        }
        for fault in &world.scenario.faults {
            let leaves = matches!(fault.kind, scenario_file::FaultKind::Leave);
            let nodes = world
                .nodes
                .iter()
                .enumerate()
                .filter(|(_, node)| node.service == Some(fault.service));
            for (at, (node, _)) in nodes.enumerate() {
                if leaves && fault.server.is_none_or(|server| server == at) {
                    Self::later(cx, fault.span.0, WorldEvent::Leave(node));
                }
            }
        }
        Self::later(cx, TICK, WorldEvent::Tick);
        Some(world)
    }

    fn later(cx: CX![], delay: time::Duration, event: WorldEvent) {
        let actor = cx.this().clone();
        cx.after(delay, move |stakker| {
            actor.apply(stakker, move |this, cx| this.on(cx, event));
        });
    }

    fn on(&mut self, cx: CX![], event: WorldEvent) {
        match event {
            WorldEvent::Arrive(load) => self.arrive(cx, load),
            WorldEvent::Try(request) => self.caller_try(cx, request),
            WorldEvent::TryTimeout(request, send) => {
                if !self.requests[request].ended && self.requests[request].current == Some(send) {
                    if self.is_damasktrack() {
                        self.cancel_send(cx, send);
                    }
                    self.caller_result(cx, request, CallReply::Error);
                }
            }
            WorldEvent::Result(request, reply) => self.caller_result(cx, request, reply),
            WorldEvent::Reach(call) => self.reach(cx, call),
            WorldEvent::WorkDone(call) => self.work_done(cx, call),
            WorldEvent::Reply(call, reply, report) => {
                self.reply(cx, call, reply, report);
                self.calls.remove(call);
            }
            WorldEvent::Cancel(call) => self.cancel_call(cx, call),
            WorldEvent::HopRetry(send) => self.dispatch(cx, send),
            WorldEvent::HopTimeout(call) => self.reply(cx, call, CallReply::Error, None),
            WorldEvent::Hedge(send) => self.hedge(cx, send),
            WorldEvent::Wake(node) => {
                self.nodes[node].wake_at = None;
                self.pump(cx, node);
            }
            WorldEvent::Leave(node) => {
                self.nodes[node].gate.drain();
                self.pump(cx, node);
                Self::later(cx, GOSSIP_DELAY, WorldEvent::LeaveKnown(node));
            }
            WorldEvent::LeaveKnown(node) => self.leave_known(node),
            WorldEvent::Tick => self.tick(cx),
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let at = now - self.start;
        for node in 0..self.nodes.len() {
            self.nodes[node].backend.report(at);
            if self.is_damasktrack() {
                self.nodes[node].view.tick(now);
                self.nodes[node].gate.tick(now);
                self.pump(cx, node);
            }
        }
        if at < self.scenario.duration || self.open > 0 {
            Self::later(cx, TICK, WorldEvent::Tick);
        }
    }

    fn leave_known(&mut self, leaving: usize) {
        let Some(service) = self.nodes[leaving].service else {
            return;
        };
        let setting = &self.scenario.services[service];
        let announced = world_node::candidate(setting, leaving, route_candidate::CandidateState::Leaving);
        for node in &mut self.nodes {
            node.table.upsert(announced.clone());
        }
    }

    /// Moves the requests to the tally.
    fn finish(&mut self, _cx: CX![]) {
        let mut tally = self.tally.borrow_mut();
        for request in &self.requests {
            tally.attempts.0 += request.sent.iter().map(|sent| u64::from(*sent)).sum::<u64>();
            tally.attempts.1 += request.sent.iter().filter(|sent| **sent > 0).count() as u64;
        }
    }

    fn is_damasktrack(&self) -> bool {
        self.scenario.arm == ControlArm::Damasktrack
    }

    fn deny(&self, reason: call_outcome::RefusalReason) {
        *self.tally.borrow_mut().refusals.entry(reason.to_string()).or_default() += 1;
    }
}

/// Fake callers.
impl CallWorld {
    fn arrive(&mut self, cx: CX![], index: usize) {
        let load = &self.scenario.loads[index];
        let (class, tenant, rate, end) = (load.class, load.tenant, load.rate, load.span.1);
        let draw: f64 = self.rng.random();
        let pause = time::Duration::from_secs_f64(-(1.0 - draw).ln() / rate.max(1e-9));
        let now = cx.now();
        if now - self.start >= end {
            return;
        }
        Self::later(cx, pause, WorldEvent::Arrive(index));
        let id = Bytes::from(format!("r{}", self.requests.len()));
        let importance = self.scenario.classes[class].importance;
        let owner = self.rng.random_range(0..self.scenario.entries);
        self.open += 1;
        self.requests.push(CallerRequest {
            class,
            tenant,
            level: admission_level::AdmissionLevel::of_request(importance, &id),
            id,
            started: now,
            tries: 0,
            current: None,
            ended: false,
            sent: vec![0; self.services.len()],
            owner,
        });
        Self::later(cx, self.scenario.network, WorldEvent::Try(self.requests.len() - 1));
    }

    fn caller_try(&mut self, cx: CX![], index: usize) {
        let now = cx.now();
        let node = self.rng.random_range(0..self.scenario.entries);
        let request = &mut self.requests[index];
        request.tries += 1;
        let (class, level, was_sent) = (request.class, request.level, request.sent[0] > 0);
        if self.is_damasktrack() {
            let key = self.view_key(index);
            let view = &mut self.nodes[node].view;
            let check = view.check(&self.services[0], &key, level, now);
            // A try that was refused before it was sent to a server cost nothing, and the next one needs no grant. While a
            // service sheds, a retry takes the place of another request, so only critical requests are retried.
            let (importance, critical) = (level.importance, self.scenario.classes[class].critical);
            let sheds = !critical && view.sheds(&self.services[0], &key, importance, now);
            let denied = check == level_view::LevelCheck::Refuse || (was_sent && sheds);
            if denied || (was_sent && !self.grant(index, now)) {
                self.deny(call_outcome::RefusalReason::Overloaded);
                return Self::later(cx, self.scenario.network, WorldEvent::Result(index, CallReply::Error));
            }
            if !was_sent {
                let owner = self.requests[index].owner;
                self.nodes[owner].budget.first_attempt();
            }
        }
        let deadline = now + self.scenario.classes[class].deadline;
        let send = self.send(cx, index, 0, None, node, deadline);
        if self.sends.contains_key(send) {
            self.requests[index].current = Some(send);
            Self::later(
                cx,
                self.scenario.classes[class].deadline,
                WorldEvent::TryTimeout(index, send),
            );
        }
    }

    fn caller_result(&mut self, cx: CX![], index: usize, reply: CallReply) {
        let now = cx.now();
        let draw: f64 = self.rng.random();
        let request = &mut self.requests[index];
        if request.ended {
            return;
        }
        request.current = None;
        let completed = reply == CallReply::Done;
        if !completed && request.tries <= CALLER_RETRIES {
            let pause = CALLER_PAUSE.mul_f64(f64::from(1_u32 << (request.tries - 1)) * (0.5 + draw));
            return Self::later(cx, pause, WorldEvent::Try(index));
        }
        request.ended = true;
        self.open -= 1;
        self.tally.borrow_mut().requests.push(world_tally::EndedRequest {
            class: request.class,
            tenant: request.tenant,
            started: request.started - self.start,
            ended: now - self.start,
            completed,
            most_attempts: request.sent.iter().copied().max().unwrap_or(0),
        });
    }
}

/// Senders.
impl CallWorld {
    fn send(
        &mut self,
        cx: CX![],
        request: usize,
        service: usize,
        parent: Option<CallKey>,
        node: usize,
        deadline: time::Instant,
    ) -> SendKey {
        let send = self.sends.insert(SentCall {
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

    fn dispatch(&mut self, cx: CX![], key: SendKey) {
        let now = cx.now();
        let Some(send) = self.sends.get(key) else { return };
        let (request, service, node, deadline) = (send.request, send.service, send.node, send.deadline);
        let Some((callee, server, route)) = self.choose(key, now) else {
            self.deny(call_outcome::RefusalReason::NoCandidate);
            return self.settle(cx, key, CallReply::Refused(call_outcome::RefusalReason::NoCandidate));
        };
        let (class_index, arm, wait) = (
            self.requests[request].class,
            self.scenario.arm,
            self.scenario.classes[self.requests[request].class].deadline,
        );
        let call = self.calls.insert(ServerCall {
            send: key,
            request,
            node: callee,
            route,
            deadline,
            begun: now,
            phase: CallPhase::Queued,
        });
        self.requests[request].sent[service] += 1;
        self.sends[key].copies.push(call);
        self.sends[key].tried.push(server);
        Self::later(cx, self.scenario.network, WorldEvent::Reach(call));
        match arm {
            ControlArm::None => {}
            ControlArm::PerHop => {
                Self::later(cx, wait / control_arm::HOP_TIMEOUT_PART, WorldEvent::HopTimeout(call));
            }
            ControlArm::Damasktrack => {
                let delay = self.nodes[node].hedges[service].delay(&self.services[service], &self.classes[class_index]);
                if let Some(delay) = delay.filter(|_| self.sends[key].hedges == 0) {
                    Self::later(cx, delay, WorldEvent::Hedge(key));
                }
            }
        }
    }

    fn choose(
        &mut self,
        key: SendKey,
        now: time::Instant,
    ) -> Option<(usize, route_candidate::ServerKey, Option<route_candidate::CallKey>)> {
        let send = &self.sends[key];
        let class = self.requests[send.request].class;
        let setting = &self.scenario.classes[class];
        if self.scenario.arm != ControlArm::Damasktrack {
            let services = &self.scenario.services;
            let first: usize = services[..send.service].iter().map(|service| service.servers).sum();
            let first = first + self.scenario.entries;
            let mut draw = || first + self.rng.random_range(0..services[send.service].servers);
            let (left, right) = (draw(), draw());
            if self.scenario.arm == ControlArm::None {
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
        };
        let route_candidate::RouteChoice::Use { key: server, .. } = table.choose(&request, now, &mut self.rng) else {
            return None;
        };
        let callee = world_node::node_of(&table.candidate(server)?.daemon_id);
        let route = table.begin(server, &self.classes[class], lane, now);
        Some((callee, server, route))
    }

    /// Sends a second copy of a slow call if the budget and the request's owner allow it.
    fn hedge(&mut self, cx: CX![], key: SendKey) {
        let now = cx.now();
        let Some(send) = self.sends.get(key) else { return };
        let Some(copy) = send.copies.first().and_then(|copy| self.calls.get(*copy)) else {
            return;
        };
        let (request, node, service) = (send.request, send.node, send.service);
        let class = self.requests[request].class;
        // While a service sheds, a second copy takes the slot of another request.
        let (key_of_view, importance) = (self.view_key(request), self.requests[request].level.importance);
        if self.nodes[node]
            .view
            .sheds(&self.services[service], &key_of_view, importance, now)
        {
            return;
        }
        let decision = self.nodes[node].hedges[service].decide(hedge_policy::HedgeRequest {
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
                Self::later(cx, delay.max(time::Duration::from_millis(1)), WorldEvent::Hedge(key));
            }
            hedge_policy::HedgeDecision::Send => {
                if self.grant(request, now) {
                    self.sends[key].hedges += 1;
                    self.dispatch(cx, key);
                }
            }
        }
    }

    /// Asks the request's owner for a retry; the owner charges its budget and the allowance of the request.
    fn grant(&mut self, index: usize, now: time::Instant) -> bool {
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

    fn reply(&mut self, cx: CX![], key: CallKey, reply: CallReply, report: Option<call_outcome::LevelReport>) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (send_key, request, route, begun) = (call.send, call.request, call.route, call.begun);
        let Some(send) = self.sends.get_mut(send_key) else {
            // The sender has given up; the server's own state of the call has ended by now.
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
                .learn(&self.services[service], &view_key, report, origin, now);
        }
        if let Some(route) = route {
            let result = match reply {
                CallReply::Done => route_candidate::RouteResult::Completed,
                // The server answered; what failed is a call below it.
                CallReply::Error => route_candidate::RouteResult::Cancelled,
                CallReply::Refused(reason) => route_candidate::RouteResult::Refused(reason),
            };
            self.nodes[node].table.finish(route, result, now);
        }
        match reply {
            CallReply::Done => {
                if tries == 1 {
                    self.nodes[node].hedges[service].record(&self.services[service], class, now - begun, now);
                }
                self.settle(cx, send_key, reply);
            }
            _ if copies > 0 => {}
            _ if self.scenario.arm == ControlArm::PerHop => {
                if tries <= control_arm::HOP_RETRIES as usize {
                    Self::later(cx, control_arm::HOP_PAUSE, WorldEvent::HopRetry(send_key));
                } else {
                    self.settle(cx, send_key, reply);
                }
            }
            CallReply::Refused(reason)
                if self.is_damasktrack()
                    && reason.advice() == call_outcome::RefusalAdvice::TryElsewhere
                    && self.grant(request, now) =>
            {
                self.dispatch(cx, send_key);
            }
            _ => self.settle(cx, send_key, reply),
        }
    }

    /// Ends a call for its sender.
    fn settle(&mut self, cx: CX![], key: SendKey, reply: CallReply) {
        let now = cx.now();
        let Some(send) = self.sends.remove(key) else { return };
        self.cancel_copies(cx, &send);
        let Some(parent) = send.parent else {
            let request = &mut self.requests[send.request];
            if request.current == Some(key) {
                request.current = None;
                Self::later(cx, self.scenario.network, WorldEvent::Result(send.request, reply));
            }
            return;
        };
        self.nodes[send.node].gate.nested_finished(parent.data().as_ffi(), now);
        if self.calls.contains_key(parent) {
            let reply = if reply == CallReply::Done {
                CallReply::Done
            } else {
                CallReply::Error
            };
            self.complete(cx, parent, reply);
        }
    }

    fn cancel_send(&mut self, cx: CX![], key: SendKey) {
        if let Some(send) = self.sends.remove(key) {
            self.cancel_copies(cx, &send);
        }
    }

    fn cancel_copies(&mut self, cx: CX![], send: &SentCall) {
        if !self.is_damasktrack() {
            return;
        }
        for copy in &send.copies {
            if let Some(route) = self.calls.get(*copy).and_then(|call| call.route) {
                let table = &mut self.nodes[send.node].table;
                table.finish(route, route_candidate::RouteResult::Cancelled, cx.now());
            }
            Self::later(cx, self.scenario.network, WorldEvent::Cancel(*copy));
        }
    }
}

/// Callees.
impl CallWorld {
    fn reach(&mut self, cx: CX![], key: CallKey) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (node, request) = (call.node, &self.requests[call.request]);
        let class = &self.scenario.classes[request.class];
        match self.scenario.arm {
            ControlArm::None => self.begin(cx, key),
            ControlArm::PerHop => match self.nodes[node].fixed.offer(key) {
                control_arm::FixedDecision::Start => self.begin(cx, key),
                control_arm::FixedDecision::Queued => {}
                control_arm::FixedDecision::Refuse => self.refuse(cx, key, call_outcome::RefusalReason::QueueFull),
            },
            ControlArm::Damasktrack => {
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
                self.pump(cx, node);
            }
        }
    }

    fn pump(&mut self, cx: CX![], node: usize) {
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
            Self::later(cx, delay, WorldEvent::Wake(node));
        }
    }

    fn begin(&mut self, cx: CX![], key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        call.phase = CallPhase::Waiting;
        let node = call.node;
        if self.nodes[node].backend.accept(key) {
            self.work(cx, key);
        }
    }

    fn work(&mut self, cx: CX![], key: CallKey) {
        let at = cx.now() - self.start;
        let Some(call) = self.calls.get_mut(key) else { return };
        call.phase = CallPhase::Working;
        let work = self.scenario.classes[self.requests[call.request].class].work;
        let taken = self.nodes[call.node].backend.service_time(work, at, &mut self.rng);
        Self::later(cx, taken, WorldEvent::WorkDone(key));
    }

    fn work_done(&mut self, cx: CX![], key: CallKey) {
        let now = cx.now();
        let Some(call) = self.calls.get(key) else { return };
        let (node, request, deadline) = (call.node, call.request, call.deadline);
        let service = self.nodes[node].service.unwrap_or(0);
        let Some(callee) = self.scenario.services[service].calls else {
            return self.complete(cx, key, CallReply::Done);
        };
        self.nodes[node].gate.nested_started(key.data().as_ffi(), now);
        // The phase is set first: a call without a candidate settles, and completes its parent, at once.
        let send = self.send(cx, request, callee, Some(key), node, deadline);
        if let Some(call) = self.calls.get_mut(key) {
            call.phase = CallPhase::Nested(send);
        }
    }

    fn complete(&mut self, cx: CX![], key: CallKey, reply: CallReply) {
        let Some(call) = self.calls.get(key) else { return };
        let (node, request) = (call.node, call.request);
        self.release(cx, key, node, gate_report::FinishResult::Completed);
        let report = self.report(node, request, cx.now());
        Self::later(cx, self.scenario.network, WorldEvent::Reply(key, reply, report));
        self.pump_if(cx, node);
    }

    fn release(&mut self, cx: CX![], key: CallKey, node: usize, result: gate_report::FinishResult) {
        if let Some(next) = self.nodes[node].backend.release() {
            self.work(cx, next);
        }
        match self.scenario.arm {
            ControlArm::None => {}
            ControlArm::PerHop => {
                if let Some(next) = self.nodes[node].fixed.finish() {
                    self.begin(cx, next);
                }
            }
            ControlArm::Damasktrack => self.nodes[node].gate.finish(key.data().as_ffi(), result, cx.now()),
        }
    }

    fn pump_if(&mut self, cx: CX![], node: usize) {
        if self.is_damasktrack() {
            self.pump(cx, node);
        }
    }

    fn report(&self, node: usize, request: usize, now: time::Instant) -> Option<call_outcome::LevelReport> {
        let node = &self.nodes[node];
        let key = self.view_key(request);
        self.is_damasktrack()
            .then(|| level_view::worse(node.gate.report(&key.0, &key.1), node.view.worst_below(&key, now)))
    }

    fn view_key(&self, request: usize) -> level_view::ViewKey {
        let request = &self.requests[request];
        (
            self.classes[request.class].clone(),
            self.tenants[request.tenant].clone(),
        )
    }

    fn refuse(&mut self, cx: CX![], key: CallKey, reason: call_outcome::RefusalReason) {
        self.deny(reason);
        let Some(call) = self.calls.get(key) else { return };
        let report = self.report(call.node, call.request, cx.now());
        Self::later(
            cx,
            self.scenario.network,
            WorldEvent::Reply(key, CallReply::Refused(reason), report),
        );
    }

    /// Ends a call whose sender no longer waits for it.
    fn cancel_call(&mut self, cx: CX![], key: CallKey) {
        let Some(call) = self.calls.remove(key) else { return };
        let id = key.data().as_ffi();
        let node = call.node;
        if self.nodes[node].gate.cancel(id) == gate_report::CancelDecision::Running {
            match call.phase {
                CallPhase::Nested(send) => self.cancel_send(cx, send),
                CallPhase::Queued | CallPhase::Waiting | CallPhase::Working => {}
            }
            if call.phase == CallPhase::Waiting && self.nodes[node].backend.withdraw(key) {
                self.nodes[node]
                    .gate
                    .finish(id, gate_report::FinishResult::Cancelled, cx.now());
            } else {
                self.release(cx, key, node, gate_report::FinishResult::Cancelled);
            }
        }
        self.pump(cx, node);
    }
}
