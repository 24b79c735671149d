//! Servers by service, what was observed of them, and the choice among them.

use std::collections;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::latency_estimate;
use crate::region_window;
use crate::route_candidate;
use crate::server_state;
use crate::straggler_ejection;

/// Failed calls in a row after which a server counts as unreachable. Fast failures would otherwise attract calls.
const FAILURE_LIMIT: u32 = 5;
/// Time between two reviews of a service when calls arrive; far under the second within which stragglers are ejected.
const REVIEW_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Decay of the class baseline, in reviews.
const BASELINE_WEIGHT: f64 = 0.002;

/// Routing state of one daemon.
///
/// Invariants: every key in `services` is in `servers` and belongs to that service; every running call's server was in
/// the table when the call began; at most a third of a service's servers are ejected as stragglers.
#[derive(Debug)]
pub struct RouteTable {
    local: server_location::ServerLocation,
    /// Multiple of the median beyond which a server is a straggler.
    ejection_ratio: f64,
    pub(crate) region_policy: region_window::RegionPolicy,
    pub(crate) servers: slotmap::SlotMap<route_candidate::ServerKey, server_state::ServerState>,
    calls: slotmap::SlotMap<route_candidate::CallKey, server_state::RunningCall>,
    /// Ordered, so that one sequence of events always leads to one sequence of choices.
    pub(crate) services: collections::BTreeMap<ids::ServiceName, ServiceState>,
    pub(crate) by_daemon: collections::HashMap<ids::DaemonId, route_candidate::ServerKey>,
    pub(crate) delays: collections::HashMap<server_location::ServerLocation, time::Duration>,
    events: Vec<route_candidate::RouteEvent>,
    /// Reused by `choose`.
    pool: Vec<route_candidate::ServerKey>,
}

#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) servers: Vec<route_candidate::ServerKey>,
    pub(crate) calls: u64,
    reviewed: Option<time::Instant>,
    /// By class: slow mean of the median, the measure while fewer than three servers were observed.
    pub(crate) baselines: collections::BTreeMap<ids::ClassName, f64>,
    /// By class; empty unless the policy is [`region_window::RegionPolicy::Sparing`].
    pub(crate) windows: collections::BTreeMap<ids::ClassName, region_window::RegionWindow>,
}

/// Commands.
impl RouteTable {
    /// Creates an empty table for a daemon at this location.
    #[must_use]
    pub fn new(local: server_location::ServerLocation) -> Self {
        Self {
            local,
            ejection_ratio: straggler_ejection::EJECTION_RATIO,
            region_policy: region_window::RegionPolicy::default(),
            servers: slotmap::SlotMap::with_key(),
            calls: slotmap::SlotMap::with_key(),
            services: collections::BTreeMap::new(),
            by_daemon: collections::HashMap::new(),
            delays: collections::HashMap::new(),
            events: Vec::new(),
            pool: Vec::new(),
        }
    }

    /// Sets the multiple of the median beyond which a server is a straggler; the default is
    /// [`straggler_ejection::EJECTION_RATIO`].
    pub fn set_ejection_ratio(&mut self, ratio: f64) {
        self.ejection_ratio = ratio;
    }

    /// Sets which servers are asked before those of other regions.
    pub fn set_region_policy(&mut self, policy: region_window::RegionPolicy) {
        self.region_policy = policy;
    }

    /// Adds a server or updates it. A new incarnation, service or location is a new server with a new key.
    pub fn upsert(&mut self, candidate: route_candidate::RouteCandidate) -> route_candidate::ServerKey {
        let known = self.by_daemon.get(&candidate.daemon_id).copied();
        if let Some(key) = known {
            if let Some(server) = self.servers.get_mut(key)
                && server.candidate.incarnation == candidate.incarnation
                && server.candidate.service == candidate.service
                && server.candidate.location == candidate.location
            {
                let service = candidate.service.clone();
                server.update(candidate);
                self.review_soon(&service);
                return key;
            }
            self.remove(key);
        }
        let distance = self.local.distance(&candidate.location);
        let daemon_id = candidate.daemon_id.clone();
        let service = candidate.service.clone();
        let key = self.servers.insert(server_state::ServerState::new(candidate, distance));
        self.by_daemon.insert(daemon_id, key);
        let state = self.services.entry(service).or_insert_with(ServiceState::new);
        state.servers.push(key);
        key
    }

    /// Removes a server; its running calls may still be finished.
    pub fn remove(&mut self, key: route_candidate::ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        self.by_daemon.remove(&server.candidate.daemon_id);
        if let Some(state) = self.services.get_mut(&server.candidate.service) {
            state.servers.retain(|other| *other != key);
            if state.servers.is_empty() {
                self.services.remove(&server.candidate.service);
            }
        }
        self.review_soon(&server.candidate.service);
    }

    /// Sets the measured network delay, both ways, to servers at a location.
    pub fn set_network_delay(&mut self, location: &server_location::ServerLocation, delay: time::Duration) {
        self.delays.insert(location.clone(), delay);
    }

    /// Chooses a server. The call counts only after [`Self::begin`].
    pub fn choose<R: rand::Rng + ?Sized>(
        &mut self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
        rng: &mut R,
    ) -> route_candidate::RouteChoice {
        self.review_if_due(request.service, now);
        if let Some(key) = self.due_probe(request, now) {
            return self.usable(key);
        }
        let mut pool = std::mem::take(&mut self.pool);
        self.best_pool(request, now, &mut pool);
        self.thin_cold(&mut pool, now, rng);
        let chosen = self.pick_two(&pool, request, now, rng);
        self.pool = pool;
        chosen.map_or(route_candidate::RouteChoice::NoCandidate, |key| self.usable(key))
    }

    /// Counts the start of a call; `None` if the server was removed since it was chosen.
    pub fn begin(
        &mut self,
        key: route_candidate::ServerKey,
        class: &ids::ClassName,
        lane: route_candidate::RouteLane,
        now: time::Instant,
    ) -> Option<route_candidate::CallKey> {
        let server = self.servers.get_mut(key)?;
        let sparing = self.region_policy == region_window::RegionPolicy::Sparing;
        let crosses = (sparing && !server.is_near()).then(|| server.candidate.service.clone());
        let calls = self.services.get_mut(&server.candidate.service).map_or(0, |state| {
            state.calls += 1;
            if crosses.is_some() {
                state.windows.entry(class.clone()).or_default().begin();
            }
            state.calls
        });
        server.lane_count(lane, 1);
        let estimate = server.classes.entry(class.clone());
        estimate
            .or_insert_with(|| latency_estimate::LatencyEstimate::new(now))
            .begin(now);
        if let Some(ejection) = &mut server.ejection {
            ejection.probe_sent(calls, now);
        }
        Some(self.calls.insert(server_state::RunningCall {
            server: key,
            class: class.clone(),
            crosses,
            lane,
            started: now,
            probe: server.ejection.is_some(),
        }))
    }

    /// Counts the end of a call.
    pub fn finish(&mut self, key: route_candidate::CallKey, result: route_candidate::RouteResult, now: time::Instant) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(service) = &call.crosses
            && let Some(state) = self.services.get_mut(service)
            && let Some(window) = state.windows.get_mut(&call.class)
        {
            window.end(result, now);
        }
        let Some(server) = self.servers.get_mut(call.server) else {
            return;
        };
        server.lane_count(call.lane, -1);
        server.observe(&call, result, now);
        match result {
            route_candidate::RouteResult::Completed => self.probe_completed(&call, now),
            route_candidate::RouteResult::Failed => {
                self.probe_failed(&call, now);
                self.eject_after_failures(call.server, now);
            }
            route_candidate::RouteResult::Silent
            | route_candidate::RouteResult::Refused(call_outcome::RefusalReason::BackendServerDown) => {
                self.probe_failed(&call, now);
                self.eject(call.server, straggler_ejection::EjectionCause::Unreachable, now);
            }
            route_candidate::RouteResult::Cancelled => self.probe_cancelled(&call, now),
            route_candidate::RouteResult::Refused(_) => self.probe_void(&call),
        }
    }

    /// Reviews all services and returns what changed since the last call.
    pub fn tick(&mut self, now: time::Instant) -> Vec<route_candidate::RouteEvent> {
        let services: Vec<ids::ServiceName> = self.services.keys().cloned().collect();
        for service in &services {
            self.review_if_due(service, now);
        }
        std::mem::take(&mut self.events)
    }

    /// A changed number of servers changes how many may be ejected.
    fn review_soon(&mut self, service: &ids::ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.reviewed = None;
        }
    }

    fn review_if_due(&mut self, service: &ids::ServiceName, now: time::Instant) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let due = state
            .reviewed
            .is_none_or(|reviewed| now.saturating_duration_since(reviewed) >= REVIEW_INTERVAL);
        if due {
            state.reviewed = Some(now);
            self.review(service, now);
        }
    }

    /// Ejects the worst stragglers of a service, as far as the limit allows.
    fn review(&mut self, service: &ids::ServiceName, now: time::Instant) {
        let keys = self.server_keys(service).to_vec();
        let classes: collections::BTreeSet<ids::ClassName> = keys
            .iter()
            .flat_map(|key| self.servers[*key].classes.keys().cloned())
            .collect();
        let mut worst: Vec<(f64, route_candidate::ServerKey)> = Vec::new();
        for class in &classes {
            let Some(median) = self.update_baseline(service, class, now) else {
                continue;
            };
            for key in &keys {
                let server = &self.servers[*key];
                if server.ejection.is_some() {
                    continue;
                }
                if let Some(sample) = self.sample(server, class, now) {
                    let ratio = sample.ratio(median);
                    if ratio > self.ejection_ratio {
                        worst.push((ratio, *key));
                    }
                }
            }
        }
        worst.sort_by(|left, right| right.0.total_cmp(&left.0));
        let takers = keys.iter().filter(|key| self.servers[**key].takes_calls()).count();
        let limit = straggler_ejection::ejection_limit(takers);
        for (_ratio, key) in worst {
            let ejected = keys.iter().filter(|key| self.servers[**key].ejection.is_some()).count();
            if ejected >= limit {
                break;
            }
            // All near servers at once are slow by what they call, and calls to other regions would not end that.
            if self.region_policy == region_window::RegionPolicy::Sparing && self.is_last_near(service, key) {
                continue;
            }
            self.eject(key, straggler_ejection::EjectionCause::Straggler, now);
        }
        self.return_surplus(&keys, limit, now);
    }

    /// Returns stragglers while more are ejected than the limit allows, for example after other servers left.
    fn return_surplus(&mut self, keys: &[route_candidate::ServerKey], limit: usize, now: time::Instant) {
        let mut ejected = 0;
        for key in keys {
            let server = &mut self.servers[*key];
            let cause = server.ejection.map(|ejection| ejection.cause());
            if cause != Some(straggler_ejection::EjectionCause::Straggler) || !server.takes_calls() {
                continue;
            }
            ejected += 1;
            if ejected > limit {
                server.readmit(None, now);
                self.events.push(route_candidate::RouteEvent::Returned { key: *key });
            }
        }
    }

    fn update_baseline(
        &mut self,
        service: &ids::ServiceName,
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<f64> {
        let median = self.median(service, class, now);
        let state = self.services.get_mut(service)?;
        let baseline = state.baselines.get_mut(class);
        match (median, baseline) {
            (Some(median), Some(baseline)) => {
                *baseline += (median - *baseline) * BASELINE_WEIGHT;
                Some(median)
            }
            (Some(median), None) => {
                state.baselines.insert(class.clone(), median);
                Some(median)
            }
            (None, baseline) => {
                let past = baseline.as_deref().copied();
                // The typical latencies of one or two servers follow slowly, so a slowdown stands out against them.
                past.or_else(|| self.typical(service, class))
            }
        }
    }

    fn eject(&mut self, key: route_candidate::ServerKey, cause: straggler_ejection::EjectionCause, now: time::Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.ejection.is_some() {
            return;
        }
        let calls = self
            .services
            .get(&server.candidate.service)
            .map_or(0, |state| state.calls);
        server.ejection = Some(straggler_ejection::EjectionState::new(cause, calls, now));
        self.events.push(route_candidate::RouteEvent::Ejected { key, cause });
    }

    fn eject_after_failures(&mut self, key: route_candidate::ServerKey, now: time::Instant) {
        if self
            .servers
            .get(key)
            .is_some_and(|server| server.failures >= FAILURE_LIMIT)
        {
            self.eject(key, straggler_ejection::EjectionCause::Unreachable, now);
        }
    }

    fn probe_completed(&mut self, call: &server_state::RunningCall, now: time::Instant) {
        if !call.probe {
            return;
        }
        let latency = now.saturating_duration_since(call.started);
        let good = self.is_good(call, latency, now);
        let server = &mut self.servers[call.server];
        let Some(ejection) = &mut server.ejection else {
            return;
        };
        if !good {
            ejection.probe_failed(now);
            return;
        }
        if !ejection.probe_passed() {
            return;
        }
        server.readmit(Some((&call.class, latency)), now);
        self.events
            .push(route_candidate::RouteEvent::Returned { key: call.server });
    }

    fn probe_failed(&mut self, call: &server_state::RunningCall, now: time::Instant) {
        if call.probe
            && let Some(ejection) = &mut self.servers[call.server].ejection
        {
            ejection.probe_failed(now);
        }
    }

    /// A probe that was cancelled late, for example because its hedge won, still shows that the server is slow.
    fn probe_cancelled(&mut self, call: &server_state::RunningCall, now: time::Instant) {
        let age = now.saturating_duration_since(call.started);
        if call.probe && !self.is_good(call, age, now) {
            self.probe_failed(call, now);
        } else {
            self.probe_void(call);
        }
    }

    fn probe_void(&mut self, call: &server_state::RunningCall) {
        if call.probe
            && let Some(ejection) = &mut self.servers[call.server].ejection
        {
            ejection.probe_void();
        }
    }
}

impl ServiceState {
    fn new() -> Self {
        Self {
            servers: Vec::new(),
            calls: 0,
            reviewed: None,
            baselines: collections::BTreeMap::new(),
            windows: collections::BTreeMap::new(),
        }
    }
}
