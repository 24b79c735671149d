//! Decision state of a daemon. Its methods take the current time as `now`, return the action to take and never block.
//! `core_capacity` has the methods for reported loads, `core_config` those for the configuration, `core_members` those
//! for members and for the state of the backend server, `core_queries` the queries.

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
use damasktrack_membership::row_filter;
use damasktrack_routing::region_window;
use damasktrack_routing::request_hold;
use damasktrack_routing::retry_budget;
use damasktrack_routing::retry_turns;
use damasktrack_routing::route_candidate;
use damasktrack_routing::route_table;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::capacity_log;
use crate::config_confirmation;
use crate::config_text;
use crate::forward_settings;
use crate::peer_call;
use crate::retry_share;
use crate::route_config;
use crate::server_hint;
use crate::server_report;
use crate::stall_watch;
use crate::tenant_config;
use crate::weighted_choice;

mod core_capacity;
mod core_config;
mod core_members;
mod core_queries;

/// Slots assumed until the backend server reports its own number.
const DEFAULT_SLOTS: u32 = 16;
/// Longest wait in a standing queue. The chain of a call is unknown here, and a refused call within a chain fails the
/// whole request, so calls wait longer than by the default policy. Four successive waits stay within the shortest
/// latency objective of a chain, 1.5 s.
const QUEUE_TARGET: time::Duration = time::Duration::from_millis(80);
/// Longest wait in a queue that was recently empty.
const QUEUE_BURST: time::Duration = time::Duration::from_millis(250);
/// Multiple of the median latency beyond which a server is ejected as a straggler. Latencies include the nested calls,
/// whose latency differs by region under load. With the default ratio nearly half of the nested calls left their
/// region.
const EJECTION_RATIO: f64 = 8.0;
/// Time after the start at which the daemon reports ready and uses its backend server even without a list of members
/// from the store.
const MEMBER_LIST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Side effect requested by the core, run by [`crate::member_tasks::run_effects`].
#[derive(Debug)]
pub enum CoreEffect {
    /// Send a gossip datagram.
    Send(gossip_context::GossipSend),
    /// Run an anti-entropy exchange of members with this peer.
    Exchange(net::SocketAddr),
    /// Fetch the configuration from this peer.
    FetchConfig(net::SocketAddr),
    /// Close the idle connections to this peer.
    CloseLinks(net::SocketAddr),
    /// Stop the process: a process with the same daemon id started later.
    Superseded,
}

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifePhase {
    /// The daemon accepts requests and calls.
    Running,
    /// A stop was requested: the daemon refuses calls to its backend server and completes its requests.
    Stopping,
}

/// Routing decision for a caller's request.
#[derive(Debug)]
pub enum EntryDecision {
    /// Send the request to a server of this service.
    Route {
        /// Matching rule.
        rule: rc::Rc<route_config::RouteRule>,
        /// Service selected from the rule's targets by weight.
        service: ids::ServiceName,
        /// Tenant of the request; `None` for the default tenant.
        tenant: Option<rc::Rc<tenant_config::TenantRule>>,
    },
    /// No rule matches, or all weights of the matching rule are zero.
    NoRoute,
    /// No configuration is in force yet.
    NoConfig,
    /// The key is unknown, or missing where one is required.
    Unauthorized,
    /// The key can't be checked, since the configuration was not confirmed recently.
    Unconfirmed,
}

/// Server selected for an attempt.
#[derive(Debug)]
pub enum AttemptChoice {
    /// Forward to the daemon beside the selected server.
    Peer {
        /// Selected server.
        server: route_candidate::ServerKey,
        /// Identifies the attempt in [`ForwardCore::end_attempt`].
        call: route_candidate::CallKey,
        /// Daemon beside the selected server.
        daemon_id: ids::DaemonId,
        /// Peer address of the daemon.
        address: net::SocketAddr,
        /// Distance of the server from this daemon.
        distance: server_location::ServerDistance,
        /// Whether the server is in another region since those of this region have less capacity.
        for_capacity: bool,
    },
    /// Send to the backend server beside this daemon.
    Local {
        /// Selected server.
        server: route_candidate::ServerKey,
        /// See [`AttemptChoice::Peer`].
        call: route_candidate::CallKey,
    },
    /// No eligible server.
    None,
}

/// Admission decision for a call that reached the daemon of its backend server.
#[derive(Debug)]
pub enum WorkDecision {
    /// Send the call to the backend server now.
    Start(WorkPermit),
    /// The call is queued; the receiver yields a permit or a refusal.
    Wait(
        ids::CallId,
        oneshot::Receiver<Result<WorkPermit, call_outcome::RefusalReason>>,
    ),
    /// Refuse the call, which did not run.
    Refuse(call_outcome::RefusalReason),
}

/// Permit to send one call to the backend server.
#[derive(Clone, Debug)]
pub struct WorkPermit {
    /// Identifies the call in [`ForwardCore::end_work`].
    pub call: ids::CallId,
    /// Instance that has to run the call; any other instance rejects it.
    pub instance: server_report::InstanceId,
    /// Start time of the instance, in milliseconds since 1970.
    pub started_ms: u64,
}

/// Whether a request may be sent to another server after one may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// A token of the service's retry budget was taken.
    Allowed,
    /// The budget has no token.
    NoBudget,
    /// The tenant had the last token, and another one asks.
    OthersFirst,
}

type WorkWaiter = oneshot::Sender<Result<WorkPermit, call_outcome::RefusalReason>>;

/// Decision state of a daemon.
#[derive(Debug)]
pub struct ForwardCore {
    settings: rc::Rc<forward_settings::ForwardSettings>,
    effects: mpsc::UnboundedSender<CoreEffect>,
    phase: LifePhase,
    started: time::Instant,
    members_listed: bool,
    config: Option<rc::Rc<route_config::RouteConfig>>,
    /// Source text of `config`, served to daemons that can't read the store.
    config_text: config_text::ConfigText,
    confirmation: config_confirmation::ConfigConfirmation,
    choices: collections::HashMap<ids::ClassName, weighted_choice::WeightedChoice>,
    routes: route_table::RouteTable,
    budgets: collections::HashMap<ids::ServiceName, retry_budget::RetryBudget>,
    /// Turns of the tenants at each budget.
    turns: collections::HashMap<ids::ServiceName, retry_turns::RetryTurns>,
    gossip: gossip_context::GossipContext,
    /// Services of all configurations, by which rows of members are judged.
    row_filter: row_filter::RowFilter,
    server: server_report::ServerState,
    /// Notices of the backend servers beside other daemons.
    hints: server_hint::HintTable,
    gate: admission_gate::AdmissionGate,
    throttle: pressure_throttle::PressureThrottle,
    stalls: stall_watch::StallWatch,
    next_call: ids::CallId,
    waiters: collections::HashMap<ids::CallId, WorkWaiter>,
    capacity_log: capacity_log::CapacityLog,
    rng: rand::rngs::StdRng,
}

/// Commands.
impl ForwardCore {
    /// Creates the state of a starting daemon. `started_ms` is the start in milliseconds since 1970, and `boot_time`
    /// the current time on the clock of [`stall_watch`].
    #[must_use]
    pub fn new(
        settings: rc::Rc<forward_settings::ForwardSettings>,
        effects: mpsc::UnboundedSender<CoreEffect>,
        started_ms: u64,
        incarnation: ids::Incarnation,
        now: time::Instant,
        boot_time: stall_watch::BootTime,
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
            departure: None,
        };
        let mut routes = route_table::RouteTable::new(settings.location.clone());
        routes.set_ejection_ratio(EJECTION_RATIO);
        routes.set_region_policy(region_window::RegionPolicy::Windowed);
        Self {
            routes,
            row_filter: row_filter::RowFilter::new(&record),
            gossip: gossip_context::GossipContext::new(record, incarnation, now),
            gate: admission_gate::AdmissionGate::new(gate_policy(DEFAULT_SLOTS)),
            confirmation: config_confirmation::ConfigConfirmation::new(settings.revoke_limit),
            settings,
            effects,
            phase: LifePhase::Running,
            started: now,
            members_listed: false,
            config: None,
            config_text: config_text::ConfigText::default(),
            choices: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            turns: collections::HashMap::new(),
            server: server_report::ServerState::default(),
            hints: server_hint::HintTable::default(),
            throttle: pressure_throttle::PressureThrottle::default(),
            stalls: stall_watch::StallWatch::new(boot_time),
            next_call: 1,
            waiters: collections::HashMap::new(),
            capacity_log: capacity_log::CapacityLog::default(),
            rng: rand::rngs::StdRng::seed_from_u64(incarnation),
        }
    }

    /// Selects a server for an attempt and counts the attempt as in flight there.
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
            latency_objective: rule.latency_objective,
        };
        if rule.latency_objective.is_some() {
            self.note_own_load(service, rule, now);
        }
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
        let departure = self.routes.take_departure();
        if let Some(departure) = &departure {
            self.log_capacity_spillover(&rule.name, departure, now);
        }
        match self.routes.candidate(server) {
            Some(candidate) if candidate.daemon_id == self.settings.daemon_id => AttemptChoice::Local { server, call },
            Some(candidate) => AttemptChoice::Peer {
                server,
                call,
                daemon_id: candidate.daemon_id.clone(),
                address: candidate.address,
                distance,
                for_capacity: departure.is_some(),
            },
            None => AttemptChoice::None,
        }
    }

    /// Records the end of an attempt.
    pub fn end_attempt(
        &mut self,
        call: route_candidate::CallKey,
        result: route_candidate::RouteResult,
        now: time::Instant,
    ) {
        self.routes.finish(call, result, now);
    }

    /// Prefers other servers to one that refused a call since its request rate is reached.
    pub fn hold_server(&mut self, server: route_candidate::ServerKey, now: time::Instant) {
        let Some(candidate) = self.routes.candidate(server) else {
            return;
        };
        let rate = if candidate.daemon_id == self.settings.daemon_id {
            self.server.request_limit()
        } else {
            self.hints.get(&candidate.daemon_id).and_then(|hint| hint.request_limit)
        };
        if let Some(rate) = rate {
            let hold = request_hold::duration(rate, self.gossip.table().live_count());
            self.routes.hold(server, now + hold);
        }
    }

    /// Counts a new request, which adds a fraction of a token to the service's retry budget.
    pub fn count_request(&mut self, service: &ids::ServiceName, now: time::Instant) {
        self.budget(service, now).first_attempt();
    }

    /// Takes a token for another attempt from the service's retry budget, if there is one and it is the tenant's turn.
    pub fn may_repeat(
        &mut self,
        service: &ids::ServiceName,
        tenant: Option<&ids::TenantName>,
        now: time::Instant,
    ) -> RepeatDecision {
        let turns = self.turns.entry(service.clone()).or_default();
        if turns.ask(tenant, now) == retry_turns::TurnDecision::OthersFirst {
            return RepeatDecision::OthersFirst;
        }
        match self.budget(service, now).try_retry(now) {
            retry_budget::RetryDecision::Denied => RepeatDecision::NoBudget,
            retry_budget::RetryDecision::Allowed => {
                self.turns.entry(service.clone()).or_default().note_grant(tenant);
                RepeatDecision::Allowed
            }
        }
    }

    /// Admits, queues or refuses a call for the backend server.
    pub fn offer_work(
        &mut self,
        head: &peer_call::CallHead,
        deadline: time::Instant,
        now: time::Instant,
    ) -> WorkDecision {
        if self.phase == LifePhase::Stopping {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Leaving);
        }
        if let Some(hint) = &head.hint {
            self.apply_server_hint(hint, now);
        }
        let joined = self.is_joined(now);
        let Some(report) = self.server.serving().filter(|_report| joined) else {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Starting);
        };
        if report.service != head.service {
            return WorkDecision::Refuse(call_outcome::RefusalReason::Starting);
        }
        let (instance, started_ms) = (report.instance.clone(), report.started_ms);
        if self.is_throttled(head, now) {
            return WorkDecision::Refuse(call_outcome::RefusalReason::CallsBelowFail);
        }
        let call = self.next_call;
        self.next_call += 1;
        let importance = admission_level::MAX_IMPORTANCE.saturating_sub(head.priority);
        let arrival = gate_report::CallArrival {
            call,
            class: head.class.clone(),
            tenant: head
                .tenant
                .clone()
                .unwrap_or(Bytes::from_static(ids::DEFAULT_TENANT.as_bytes())),
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
            gate_report::ArrivalDecision::Start => WorkDecision::Start(WorkPermit {
                call,
                instance,
                started_ms,
            }),
            gate_report::ArrivalDecision::Refuse(reason) => {
                self.poll_gate(now);
                WorkDecision::Refuse(reason)
            }
            gate_report::ArrivalDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(call, sender);
                self.poll_gate(now);
                WorkDecision::Wait(call, receiver)
            }
        }
    }

    /// Records the outcome of a call that was sent to the backend server.
    pub fn note_outcome(
        &mut self,
        class: &ids::ClassName,
        outcome: pressure_throttle::PressureOutcome,
        started: time::Instant,
        now: time::Instant,
    ) {
        self.throttle.end(class, outcome, started, now);
    }

    /// Starts or refuses the queued calls that are due.
    pub fn release_work(&mut self, now: time::Instant) {
        self.poll_gate(now);
    }

    /// Removes a running or queued call from the gate, and starts queued calls as slots allow.
    pub fn end_work(&mut self, call: ids::CallId, result: gate_report::FinishResult, now: time::Instant) {
        self.waiters.remove(&call);
        if self.gate.cancel(call) == gate_report::CancelDecision::Running {
            self.gate.finish(call, result, now);
        }
        self.poll_gate(now);
    }

    /// Runs the periodic work: refuses expired queued calls, ejects and reinstates servers, and updates the network
    /// delays of the routes.
    pub fn tick(&mut self, now: time::Instant) {
        self.hints.prune(now);
        self.announce_waiting_server(now);
        self.gate.tick(now);
        self.poll_gate(now);
        for event in self.routes.tick(now) {
            self.log_route_event(event);
        }
        for (location, delay) in self.gossip.network_delays() {
            self.routes.set_network_delay(location, delay);
        }
    }

    /// Records that the process runs; due every 100 ms.
    pub fn beat(&mut self, now: stall_watch::BootTime) {
        self.stalls.beat(now);
    }

    /// Begins a graceful stop, from which on calls to the backend server are refused.
    pub fn stop(&mut self, now: time::Instant) {
        self.phase = LifePhase::Stopping;
        let output = self.gossip.drain(now);
        self.apply(output, now);
        self.sync_own_route(now);
    }

    /// Announces to the other members that this daemon has left.
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

    /// Returns whether a call is refused because its nested calls fail. Calls of priority 0 are never refused.
    fn is_throttled(&mut self, head: &peer_call::CallHead, now: time::Instant) -> bool {
        let draw = self.rng.random::<f64>();
        let caller_service = if head.caller_service == head.service {
            pressure_throttle::CallerService::OwnService
        } else {
            pressure_throttle::CallerService::OtherService
        };
        let decision = self.throttle.arrive(&head.class, caller_service, draw, now);
        decision == pressure_throttle::PressureDecision::Refuse && head.priority > 0
    }

    /// Starts or refuses queued calls until the gate has nothing more to release.
    fn poll_gate(&mut self, now: time::Instant) {
        loop {
            match self.gate.poll(now) {
                gate_report::NextStart::Idle => return,
                gate_report::NextStart::Refuse(call, reason) => {
                    if let Some(waiter) = self.waiters.remove(&call) {
                        // If the receiver was dropped, its guard has already ended the call.
                        let _dropped = waiter.send(Err(reason));
                    }
                }
                gate_report::NextStart::Start(call) => self.start_queued(call, now),
            }
        }
    }

    fn start_queued(&mut self, call: ids::CallId, now: time::Instant) {
        let permit = self.server.serving().map(|report| WorkPermit {
            call,
            instance: report.instance.clone(),
            started_ms: report.started_ms,
        });
        let waiter = self.waiters.remove(&call);
        let (Some(waiter), Some(permit)) = (waiter, permit) else {
            self.gate.finish(call, gate_report::FinishResult::Cancelled, now);
            return;
        };
        if waiter.send(Ok(permit)).is_err() {
            self.gate.finish(call, gate_report::FinishResult::Cancelled, now);
        }
    }

    fn emit(&self, effect: CoreEffect) {
        // The receiver exists until the process stops.
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

fn gate_policy(slots: u32) -> admission_policy::AdmissionPolicy {
    admission_policy::AdmissionPolicy {
        limit_factor: 1.0,
        adaptive: false,
        queue_target: QUEUE_TARGET,
        queue_burst: QUEUE_BURST,
        ..admission_policy::AdmissionPolicy::for_slots(slots)
    }
}
