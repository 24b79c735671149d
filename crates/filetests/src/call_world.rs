//! Runs a scenario on virtual time.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use damasktrack_routing::route_candidate;
use rand::SeedableRng;
use stakker::{CX, actor, call, ret_nop};

use crate::control_arm;
use crate::scenario_file;
use crate::world_node;
use crate::world_tally;

mod callees;
mod callers;
mod senders;

/// Interval of gate and view ticks and of load reports.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Delay until the routing tables of all daemons hold that a server is leaving.
const GOSSIP_DELAY: time::Duration = time::Duration::from_millis(500);

/// Bound on the time that a run continues after the end of its load.
const MAX_TIME_AFTER_LOAD: time::Duration = time::Duration::from_secs(20);

/// A request of a caller.
#[derive(Debug)]
struct CallerRequest {
    class: usize,
    tenant: usize,
    id: Bytes,
    level: admission_level::AdmissionLevel,
    started: time::Instant,
    tries: u32,
    /// Try in flight.
    current: Option<world_node::SendKey>,
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
    parent: Option<world_node::CallKey>,
    node: usize,
    deadline: time::Instant,
    /// Copies in flight.
    copies: Vec<world_node::CallKey>,
    tried: Vec<route_candidate::ServerKey>,
    hedges: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Queued,
    Waiting,
    Working,
    Nested(world_node::SendKey),
}

/// A copy of a call at a server.
#[derive(Debug)]
struct ServerCall {
    send: world_node::SendKey,
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
    TryTimeout(usize, world_node::SendKey),
    Result(usize, CallReply),
    Reach(world_node::CallKey),
    WorkDone(world_node::CallKey),
    Reply(world_node::CallKey, CallReply, Option<call_outcome::LevelReport>),
    Cancel(world_node::CallKey),
    HopRetry(world_node::SendKey),
    HopTimeout(world_node::CallKey),
    Hedge(world_node::SendKey),
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
    sends: slotmap::SlotMap<world_node::SendKey, SentCall>,
    calls: slotmap::SlotMap<world_node::CallKey, ServerCall>,
    services: Vec<Bytes>,
    classes: Vec<Bytes>,
    tenants: Vec<Bytes>,
    tally: rc::Rc<cell::RefCell<world_tally::WorldTally>>,
}

/// Runs a scenario until its last request ends or a fixed time after its load has passed.
#[must_use]
pub fn run(scenario: &scenario_file::Scenario) -> world_tally::WorldTally {
    // All times are offsets from this origin, so results do not depend on the clock.
    let start = time::Instant::now();
    let tally = rc::Rc::new(cell::RefCell::new(world_tally::WorldTally {
        measure: scenario.measure,
        ..world_tally::WorldTally::default()
    }));
    let mut stakker = stakker::Stakker::new(start);
    let (given, shared) = (scenario.clone(), rc::Rc::clone(&tally));
    let world = actor!(stakker, CallWorld::init(given, shared), ret_nop!());
    stakker.run(start, false);
    let last = start + scenario.duration + MAX_TIME_AFTER_LOAD;
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
            Self::schedule(cx, load.span.0, WorldEvent::Arrive(index));
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
                    Self::schedule(cx, fault.span.0, WorldEvent::Leave(node));
                }
            }
        }
        Self::schedule(cx, TICK_INTERVAL, WorldEvent::Tick);
        Some(world)
    }

    fn schedule(cx: CX![], delay: time::Duration, event: WorldEvent) {
        let actor = cx.this().clone();
        cx.after(delay, move |stakker| {
            actor.apply(stakker, move |this, cx| this.handle_event(cx, event));
        });
    }

    fn handle_event(&mut self, cx: CX![], event: WorldEvent) {
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
                self.poll_gate(cx, node);
            }
            WorldEvent::Leave(node) => {
                self.nodes[node].gate.drain();
                self.poll_gate(cx, node);
                Self::schedule(cx, GOSSIP_DELAY, WorldEvent::LeaveKnown(node));
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
                self.poll_gate(cx, node);
            }
        }
        if at < self.scenario.duration || self.open > 0 {
            Self::schedule(cx, TICK_INTERVAL, WorldEvent::Tick);
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

    /// Adds the attempts of all requests to the tally.
    fn finish(&mut self, _cx: CX![]) {
        let mut tally = self.tally.borrow_mut();
        for request in &self.requests {
            tally.attempts.0 += request.sent.iter().map(|sent| u64::from(*sent)).sum::<u64>();
            tally.attempts.1 += request.sent.iter().filter(|sent| **sent > 0).count() as u64;
        }
    }

    fn is_damasktrack(&self) -> bool {
        self.scenario.arm == control_arm::ControlArm::Damasktrack
    }

    fn record_refusal(&self, reason: call_outcome::RefusalReason) {
        *self.tally.borrow_mut().refusals.entry(reason.to_string()).or_default() += 1;
    }
}
