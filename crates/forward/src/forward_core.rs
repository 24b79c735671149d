//! All decision state of a daemon. Steps take `now` and return what to do next; none of them waits. `core_members` holds
//! the part of members and of the backend server.

use std::collections;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_admission::admission_gate;
use damasktrack_admission::admission_policy;
use damasktrack_admission::gate_report;
use damasktrack_admission::pressure_throttle;
use damasktrack_entity::admission_level;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use damasktrack_membership::gossip_context;
use damasktrack_membership::member_record;
use damasktrack_routing::region_window;
use damasktrack_routing::retry_budget;
use damasktrack_routing::route_candidate;
use damasktrack_routing::route_table;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::forward_settings;
use crate::peer_call;
use crate::retry_share;
use crate::route_config;
use crate::server_report;
use crate::weighted_choice;

mod core_members;

/// Slots assumed until the backend server has reported its own.
const DEFAULT_SLOTS: u32 = 16;
/// Longest wait in a standing queue. A refused call inside of a chain fails its whole request, so calls wait longer here
/// than where the chain is known; four waits in a row stay within the shortest objective of a chain, 1.5 s.
const QUEUE_TARGET: time::Duration = time::Duration::from_millis(80);
/// Longest wait in a queue that was empty lately.
const QUEUE_BURST: time::Duration = time::Duration::from_millis(250);
/// Multiple of the median latency beyond which a server is ejected as a straggler. Latencies hold the time of the calls
/// below, which differ by region under load; at the usual ratio nearly half of the inner calls left their region.
const EJECTION_RATIO: f64 = 8.0;
/// Time for which a starting daemon waits for the list of members before it reports ready.
const LIST_WAIT: time::Duration = time::Duration::from_secs(3);

/// Something to do outside of the core.
#[derive(Debug)]
pub enum CoreEffect {
    /// Send a datagram.
    Send(gossip_context::GossipSend),
    /// Exchange members with this peer.
    Exchange(net::SocketAddr),
    /// Fetch the configuration of this peer.
    FetchConfig(net::SocketAddr),
    /// Close the links to this peer.
    Unlink(net::SocketAddr),
    /// End the process: another one with this daemon's id started later.
    Superseded,
}

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifePhase {
    /// It serves.
    Running,
    /// It was told to stop and finishes its requests.
    Stopping,
}

/// What to do with a request of a caller.
#[derive(Debug)]
pub enum EntryDecision {
    /// Send it to a server of this service.
    Route {
        /// Rule that matched.
        rule: rc::Rc<route_config::RouteRule>,
        /// Service chosen among the rule's targets.
        service: ids::ServiceName,
        /// Largest body.
        max_body_bytes: usize,
    },
    /// No rule matches.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
}

/// Where to send an attempt.
#[derive(Debug)]
pub enum AttemptChoice {
    /// To the daemon at this address.
    Peer {
        /// Server that was chosen.
        server: route_candidate::ServerKey,
        /// Counts the attempt; passed to [`ForwardCore::end_attempt`].
        call: route_candidate::CallKey,
        /// Peer address.
        address: net::SocketAddr,
        /// How far the server is away.
        distance: server_location::ServerDistance,
    },
    /// To the backend server beside this daemon.
    Local {
        /// Server that was chosen.
        server: route_candidate::ServerKey,
        /// See [`AttemptChoice::Peer`].
        call: route_candidate::CallKey,
    },
    /// No server may take it.
    None,
}

/// What to do with a call that reached the daemon of its server.
#[derive(Debug)]
pub enum WorkDecision {
    /// Send it to the backend server now.
    Start(WorkOrder),
    /// Wait for the receiver, then send it to the backend server or refuse it.
    Wait(
        ids::CallId,
        oneshot::Receiver<Result<WorkOrder, call_outcome::RefusalReason>>,
    ),
    /// Refuse it; it did not run.
    Refuse(call_outcome::RefusalReason),
}

/// Permission to send one call to the backend server.
#[derive(Clone, Debug)]
pub struct WorkOrder {
    /// Passed to [`ForwardCore::end_work`].
    pub call: ids::CallId,
    /// Instance that is to run the call.
    pub instance: server_report::InstanceId,
}

type WorkWaiter = oneshot::Sender<Result<WorkOrder, call_outcome::RefusalReason>>;

/// Decision state.
#[derive(Debug)]
pub struct ForwardCore {
    settings: rc::Rc<forward_settings::ForwardSettings>,
    effects: mpsc::UnboundedSender<CoreEffect>,
    phase: LifePhase,
    started: time::Instant,
    listed: bool,
    config: Option<rc::Rc<route_config::RouteConfig>>,
    /// Text of `config` as operators wrote it, for daemons that can't read the store.
    config_text: Bytes,
    choices: collections::HashMap<ids::ClassName, weighted_choice::WeightedChoice>,
    routes: route_table::RouteTable,
    budgets: collections::HashMap<ids::ServiceName, retry_budget::RetryBudget>,
    gossip: gossip_context::GossipContext,
    server: server_report::ServerState,
    gate: admission_gate::AdmissionGate,
    throttle: pressure_throttle::PressureThrottle,
    next_call: ids::CallId,
    waiters: collections::HashMap<ids::CallId, WorkWaiter>,
    rng: rand::rngs::StdRng,
}

/// Commands.
impl ForwardCore {
    /// Creates the state of a starting daemon. `started_ms` is the time of day in milliseconds since 1970.
    #[must_use]
    pub fn new(
        settings: rc::Rc<forward_settings::ForwardSettings>,
        effects: mpsc::UnboundedSender<CoreEffect>,
        started_ms: u64,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> Self {
        let record = member_record::MemberRecord {
            daemon_id: settings.daemon_id.clone(),
            started_ms,
            incarnation,
            version: 0,
            state: member_record::MemberState::Joining,
            leaving: false,
            address: settings.peer_listen,
            service: settings.service.clone(),
            location: settings.location.clone(),
            slots: DEFAULT_SLOTS,
        };
        let mut routes = route_table::RouteTable::new(settings.location.clone());
        routes.set_ejection_ratio(EJECTION_RATIO);
        routes.set_region_policy(region_window::RegionPolicy::Windowed);
        Self {
            routes,
            gossip: gossip_context::GossipContext::new(record, incarnation, now),
            gate: admission_gate::AdmissionGate::new(gate_policy(DEFAULT_SLOTS)),
            settings,
            effects,
            phase: LifePhase::Running,
            started: now,
            listed: false,
            config: None,
            config_text: Bytes::new(),
            choices: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            server: server_report::ServerState::default(),
            throttle: pressure_throttle::PressureThrottle::default(),
            next_call: 1,
            waiters: collections::HashMap::new(),
            rng: rand::rngs::StdRng::seed_from_u64(incarnation),
        }
    }

    /// Decides on a request of a caller.
    pub fn enter(&mut self, host: &str, path: &str) -> EntryDecision {
        let Some(config) = &self.config else {
            return EntryDecision::NoConfig;
        };
        let Some(rule) = config.find(host, path) else {
            return EntryDecision::NoRoute;
        };
        let choice = self.choices.entry(rule.name.clone()).or_default();
        let Some(service) = choice.next(&rule.targets) else {
            return EntryDecision::NoRoute;
        };
        EntryDecision::Route {
            rule: rc::Rc::clone(rule),
            service,
            max_body_bytes: config.limits.max_body_bytes,
        }
    }

    /// Chooses a server for an attempt and counts it as begun.
    pub fn begin_attempt(
        &mut self,
        rule: &route_config::RouteRule,
        service: &ids::ServiceName,
        exclude: &[route_candidate::ServerKey],
        now: time::Instant,
    ) -> AttemptChoice {
        let request = route_candidate::RouteRequest {
            service,
            class: &rule.name,
            lane: route_candidate::RouteLane::Short,
            cross_region: true,
            may_probe: rule.is_repeatable(),
            exclude,
        };
        let choice = self.routes.choose(&request, now, &mut self.rng);
        let route_candidate::RouteChoice::Use {
            key: server, distance, ..
        } = choice
        else {
            return AttemptChoice::None;
        };
        let Some(call) = self
            .routes
            .begin(server, &rule.name, route_candidate::RouteLane::Short, now)
        else {
            return AttemptChoice::None;
        };
        match self.routes.candidate(server) {
            Some(candidate) if candidate.daemon_id == self.settings.daemon_id => AttemptChoice::Local { server, call },
            Some(candidate) => AttemptChoice::Peer {
                server,
                call,
                address: candidate.address,
                distance,
            },
            None => AttemptChoice::None,
        }
    }

    /// Counts the end of an attempt.
    pub fn end_attempt(
        &mut self,
        call: route_candidate::CallKey,
        result: route_candidate::RouteResult,
        now: time::Instant,
    ) {
        self.routes.finish(call, result, now);
    }

    /// Counts the first attempt of a request, which pays for a part of a repeat.
    pub fn count_request(&mut self, service: &ids::ServiceName, now: time::Instant) {
        self.budget(service, now).first_attempt();
    }

    /// Decides whether a request that may have run is sent again.
    pub fn may_repeat(&mut self, service: &ids::ServiceName, now: time::Instant) -> retry_budget::RetryDecision {
        self.budget(service, now).try_retry(now)
    }

    /// Decides on a call that reached the daemon of its server.
    pub fn offer_work(
        &mut self,
        head: &peer_call::CallHead,
        deadline: time::Instant,
        now: time::Instant,
    ) -> WorkDecision {
        if self.phase == LifePhase::Stopping {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Leaving);
        }
        let Some(report) = self.server.serving() else {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Starting);
        };
        if report.service != head.service {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Starting);
        }
        let instance = report.instance.clone();
        if self.is_throttled(head, now) {
            return WorkDecision::Refuse(call_outcome::RefusalReason::CallsBelowFail);
        }
        let call = self.next_call;
        self.next_call += 1;
        let importance = admission_level::MAX_IMPORTANCE.saturating_sub(head.priority);
        let arrival = gate_report::CallArrival {
            call,
            class: head.class.clone(),
            tenant: Bytes::from_static(ids::DEFAULT_TENANT.as_bytes()),
            importance,
            critical: head.priority == 0,
            lane: gate_report::CallLane::Short,
            level: admission_level::AdmissionLevel::of_request(
                importance,
                &Bytes::copy_from_slice(&call.to_le_bytes()),
            ),
            deadline,
        };
        match self.gate.offer(&arrival, now) {
            gate_report::ArrivalDecision::Start => WorkDecision::Start(WorkOrder { call, instance }),
            gate_report::ArrivalDecision::Refuse(reason) => {
                self.start_waiting(now);
                WorkDecision::Refuse(reason)
            }
            gate_report::ArrivalDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(call, sender);
                self.start_waiting(now);
                WorkDecision::Wait(call, receiver)
            }
        }
    }

    /// Counts how a call that was sent to the backend server ended there.
    pub fn note_outcome(
        &mut self,
        class: &ids::ClassName,
        outcome: pressure_throttle::PressureOutcome,
        started: time::Instant,
        now: time::Instant,
    ) {
        self.throttle.end(class, outcome, started, now);
    }

    /// Counts the end of a call that was started or waits.
    pub fn end_work(&mut self, call: ids::CallId, result: gate_report::FinishResult, now: time::Instant) {
        self.waiters.remove(&call);
        if self.gate.cancel(call) == gate_report::CancelDecision::Running {
            self.gate.finish(call, result, now);
        }
        self.start_waiting(now);
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn adopt_config(&mut self, config: route_config::RouteConfig, text: Bytes) {
        let current = self.config.as_ref().map(|config| config.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        log::info!(version = config.version, before:? = current, routes = config.len(); "configuration in force");
        self.gossip.set_revision(config.version);
        self.config = Some(rc::Rc::new(config));
        self.config_text = text;
    }

    /// Adapts to the passing of time.
    pub fn tick(&mut self, now: time::Instant) {
        self.gate.tick(now);
        self.start_waiting(now);
        for event in self.routes.tick(now) {
            self.log_route_event(event);
        }
        for (location, delay) in self.gossip.network_delays() {
            self.routes.set_network_delay(location, delay);
        }
    }

    /// Begins a graceful stop: no new work for the backend server from now on.
    pub fn stop(&mut self, now: time::Instant) {
        self.phase = LifePhase::Stopping;
        let output = self.gossip.drain(now);
        self.apply(output, now);
        self.sync_own_route(now);
    }

    /// Announces that this daemon has left.
    pub fn leave(&mut self, now: time::Instant) {
        let output = self.gossip.leave(now);
        self.apply(output, now);
    }

    fn budget(&mut self, service: &ids::ServiceName, now: time::Instant) -> &mut retry_budget::RetryBudget {
        let daemons = self.gossip.table().live_count();
        let bounds: retry_share::RetryBounds = self.settings.retry_bounds;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| retry_budget::RetryBudget::with_policy(bounds.policy(daemons), now));
        budget.set_policy(bounds.policy(daemons));
        budget
    }

    /// Decides whether a call is refused because calls below it fail. Critical classes never are.
    fn is_throttled(&mut self, head: &peer_call::CallHead, now: time::Instant) -> bool {
        let draw = self.rng.random::<f64>();
        let origin = if head.caller_service == head.service {
            pressure_throttle::CallOrigin::OwnService
        } else {
            pressure_throttle::CallOrigin::OtherService
        };
        let decision = self.throttle.arrive(&head.class, origin, draw, now);
        decision == pressure_throttle::PressureDecision::Refuse && head.priority > 0
    }

    /// Starts or refuses waiting calls as far as the gate allows.
    fn start_waiting(&mut self, now: time::Instant) {
        loop {
            match self.gate.poll(now) {
                gate_report::NextStart::Idle => return,
                gate_report::NextStart::Refuse(call, reason) => {
                    if let Some(waiter) = self.waiters.remove(&call) {
                        // A waiter that is gone has ended its call already.
                        let _gone = waiter.send(Err(reason));
                    }
                }
                gate_report::NextStart::Start(call) => self.start_one(call, now),
            }
        }
    }

    fn start_one(&mut self, call: ids::CallId, now: time::Instant) {
        let instance = self.server.serving().map(|report| report.instance.clone());
        let waiter = self.waiters.remove(&call);
        let (Some(waiter), Some(instance)) = (waiter, instance) else {
            self.gate.finish(call, gate_report::FinishResult::Cancelled, now);
            return;
        };
        if waiter.send(Ok(WorkOrder { call, instance })).is_err() {
            self.gate.finish(call, gate_report::FinishResult::Cancelled, now);
        }
    }

    fn effect(&self, effect: CoreEffect) {
        // The receiver ends with the process.
        let _closed = self.effects.send(effect);
    }

    fn log_route_event(&self, event: route_candidate::RouteEvent) {
        let name = |key| {
            let candidate = self.routes.candidate(key);
            candidate.map_or_else(String::new, |candidate| ids::text(&candidate.daemon_id).into_owned())
        };
        match event {
            route_candidate::RouteEvent::Ejected { key, cause } => {
                log::info!(peer = name(key), cause:? = cause; "server gets probes only");
            }
            route_candidate::RouteEvent::Returned { key } => log::info!(peer = name(key); "server gets calls again"),
        }
    }
}

/// Queries.
impl ForwardCore {
    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &rc::Rc<forward_settings::ForwardSettings> {
        &self.settings
    }

    /// Returns how far the process is in its life.
    #[must_use]
    pub fn phase(&self) -> LifePhase {
        self.phase
    }

    /// Returns whether callers may be sent to this daemon.
    #[must_use]
    pub fn is_ready(&self, now: time::Instant) -> bool {
        let joined = self.listed || now.saturating_duration_since(self.started) >= LIST_WAIT;
        self.phase == LifePhase::Running && self.config.is_some() && joined
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&rc::Rc<route_config::RouteConfig>> {
        self.config.as_ref()
    }

    /// Returns the text of the configuration in force; empty if there is none.
    #[must_use]
    pub fn config_text(&self) -> &Bytes {
        &self.config_text
    }

    /// Returns the gossip.
    #[must_use]
    pub fn gossip(&self) -> &gossip_context::GossipContext {
        &self.gossip
    }

    /// Returns when the gossip has something to do next.
    #[must_use]
    pub fn gossip_due(&self) -> time::Instant {
        self.gossip.next_wake()
    }

    /// Returns the counts of the admission gate.
    #[must_use]
    pub fn gate_counts(&self) -> gate_report::GateCounts {
        self.gate.counts()
    }
}

fn gate_policy(slots: u32) -> admission_policy::AdmissionPolicy {
    admission_policy::AdmissionPolicy {
        limit_factor: 1.0,
        adaptive: false,
        queue_target: QUEUE_TARGET,
        queue_burst: QUEUE_BURST,
        ..admission_policy::AdmissionPolicy::for_slots(slots)
    }
}
