//! Servers by service with their observed state, and the choice among them.

use std::collections;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::completion_choice;
use crate::completion_estimate;
use crate::latency_estimate;
use crate::region_window;
use crate::route_candidate;
use crate::server_state;
use crate::straggler_ejection;

/// Consecutive failed calls after which a server is ejected as unreachable. Servers that fail fast would otherwise
/// attract calls.
const FAILURE_LIMIT: u32 = 5;
/// Least time between two reviews of a service, far below the one second within which stragglers have to be ejected.
const REVIEW_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Weight of the median of one review in the baseline of a class.
const BASELINE_WEIGHT: f64 = 0.002;

/// Routing state of one daemon.
///
/// Invariants: every key in `services` is in `servers` and belongs to that service; the server of every running call
/// was in the table when the call began; a review leaves at most a third of the servers of a service ejected as
/// stragglers.
#[derive(Debug)]
pub struct RouteTable {
    local: server_location::ServerLocation,
    /// Multiple of the median beyond which a server is a straggler.
    ejection_ratio: f64,
    pub(crate) region_policy: region_window::RegionPolicy,
    pub(crate) servers: slotmap::SlotMap<route_candidate::ServerKey, server_state::ServerState>,
    calls: slotmap::SlotMap<route_candidate::CallKey, server_state::RunningCall>,
    /// Ordered, so that choices are deterministic for a given sequence of events and random numbers.
    pub(crate) services: collections::BTreeMap<ids::ServiceName, ServiceState>,
    pub(crate) by_daemon: collections::HashMap<ids::DaemonId, route_candidate::ServerKey>,
    network_delays: collections::HashMap<server_location::ServerLocation, time::Duration>,
    events: Vec<route_candidate::RouteEvent>,
    /// Buffer reused by `choose`.
    pool: Vec<route_candidate::ServerKey>,
    /// Set by `choose` if the call leaves its region for capacity.
    departure: Option<completion_choice::CapacitySpillover>,
}

#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) servers: Vec<route_candidate::ServerKey>,
    pub(crate) calls: u64,
    reviewed: Option<time::Instant>,
    /// Every class of which a server has an estimate; ones of servers that were removed may remain.
    classes: collections::BTreeSet<ids::ClassName>,
    /// By class: slow moving average of the median, which replaces the median while fewer than three servers have a
    /// mean.
    pub(crate) baselines: collections::BTreeMap<ids::ClassName, f64>,
    /// By class; empty unless the policy is [`region_window::RegionPolicy::Windowed`].
    pub(crate) windows: collections::BTreeMap<ids::ClassName, region_window::RegionWindow>,
    pub(crate) load_probe: completion_choice::LoadProbePause,
}

/// Commands.
impl RouteTable {
    /// Creates an empty table for a daemon at this location, from which the distances of servers follow.
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
            network_delays: collections::HashMap::new(),
            events: Vec::new(),
            pool: Vec::new(),
            departure: None,
        }
    }

    /// Sets the multiple of the median beyond which a server is a straggler; the default is
    /// [`straggler_ejection::EJECTION_RATIO`].
    pub fn set_ejection_ratio(&mut self, ratio: f64) {
        self.ejection_ratio = ratio;
    }

    /// Sets which servers of the region are preferred to those of other regions.
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
                self.mark_review_due(&service);
                return key;
            }
            self.remove(key);
        }
        let distance = self.local.distance(&candidate.location);
        let daemon_id = candidate.daemon_id.clone();
        let service = candidate.service.clone();
        let mut server = server_state::ServerState::new(candidate, distance);
        server.measured_delay = self.network_delays.get(&server.candidate.location).copied();
        let key = self.servers.insert(server);
        self.by_daemon.insert(daemon_id, key);
        let state = self.services.entry(service).or_insert_with(ServiceState::new);
        state.servers.push(key);
        key
    }

    /// Removes a server; [`Self::finish`] still accepts its running calls.
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
        self.mark_review_due(&server.candidate.service);
    }

    /// Sets the measured round-trip network delay to the servers at a location.
    pub fn set_network_delay(&mut self, location: &server_location::ServerLocation, delay: time::Duration) {
        if self.network_delays.insert(location.clone(), delay) == Some(delay) {
            return;
        }
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| server.candidate.location == *location) {
            server.measured_delay = Some(delay);
        }
    }

    /// Prefers other servers, of any region, to this one until `until`.
    ///
    /// Load pattern: some servers of a service take only a part of the requests that they got before. Calls that find
    /// their request rate reached are spread over the others, and are not taken for an overload of the region.
    pub fn hold(&mut self, key: route_candidate::ServerKey, until: time::Instant) {
        if let Some(server) = self.servers.get_mut(key) {
            server.held_until = Some(until);
        }
    }

    /// Stores the load that the daemon beside a server reported with its reply to a call of `class`.
    pub fn note_load(
        &mut self,
        key: route_candidate::ServerKey,
        class: &ids::ClassName,
        load: completion_estimate::ServerLoad,
        now: time::Instant,
    ) {
        if let Some(server) = self.servers.get_mut(key) {
            server.loads.note(class, load, now);
        }
    }

    /// Returns the inputs of the last choice if it sends the call to another region for capacity.
    pub fn take_departure(&mut self) -> Option<completion_choice::CapacitySpillover> {
        self.departure.take()
    }

    /// Chooses a server. The call is only counted by [`Self::begin`].
    pub fn choose<R: rand::Rng + ?Sized>(
        &mut self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
        rng: &mut R,
    ) -> route_candidate::RouteChoice {
        self.departure = None;
        self.review_if_due(request.service, now);
        if let Some(key) = self.due_probe(request, now) {
            return self.choice_for(key);
        }
        let mut pool = std::mem::take(&mut self.pool);
        self.best_pool(request, now, &mut pool);
        if request.latency_objective.is_some() {
            self.departure = self.prefer_sooner(request, &mut pool, now, rng);
        }
        self.filter_cold(&mut pool, now, rng);
        let chosen = self.choose_of_two(&pool, request, now, rng);
        self.pool = pool;
        chosen.map_or(route_candidate::RouteChoice::NoCandidate, |key| self.choice_for(key))
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
        let windowed = self.region_policy == region_window::RegionPolicy::Windowed;
        let window_service = (windowed && !server.is_in_region()).then(|| server.candidate.service.clone());
        let calls = self.services.get_mut(&server.candidate.service).map_or(0, |state| {
            state.calls += 1;
            if window_service.is_some() {
                state.windows.entry(class.clone()).or_default().begin();
            }
            state.calls
        });
        server.adjust_in_flight(lane, 1);
        server.loads.count_sent(now);
        if let Some(estimate) = server.classes.get_mut(class) {
            estimate.begin(now);
        } else {
            let mut estimate = latency_estimate::LatencyEstimate::new(now);
            estimate.begin(now);
            server.classes.insert(class.clone(), estimate);
            if let Some(state) = self.services.get_mut(&server.candidate.service) {
                state.classes.insert(class.clone());
            }
        }
        if let Some(ejection) = &mut server.ejection {
            ejection.probe_sent(calls, now);
        }
        Some(self.calls.insert(server_state::RunningCall {
            server: key,
            class: class.clone(),
            window_service,
            lane,
            started: now,
            probe: server.ejection.is_some(),
        }))
    }

    /// Counts the end of a call, and ejects its server or ends the ejection if `result` requires it.
    pub fn finish(&mut self, key: route_candidate::CallKey, result: route_candidate::RouteResult, now: time::Instant) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(service) = &call.window_service
            && let Some(state) = self.services.get_mut(service)
            && let Some(window) = state.windows.get_mut(&call.class)
        {
            window.end(result, now);
        }
        let Some(server) = self.servers.get_mut(call.server) else {
            return;
        };
        server.adjust_in_flight(call.lane, -1);
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
            route_candidate::RouteResult::Refused(_) => self.probe_inconclusive(&call),
        }
    }

    /// Reviews the services that are due and returns the events since the last call of this function.
    pub fn tick(&mut self, now: time::Instant) -> Vec<route_candidate::RouteEvent> {
        let services: Vec<ids::ServiceName> = self.services.keys().cloned().collect();
        for service in &services {
            self.review_if_due(service, now);
        }
        std::mem::take(&mut self.events)
    }

    /// Makes the next review due at once, since a changed number of servers changes how many may be ejected.
    fn mark_review_due(&mut self, service: &ids::ServiceName) {
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

    /// Ejects the slowest stragglers of a service within the ejection limit.
    fn review(&mut self, service: &ids::ServiceName, now: time::Instant) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let (keys, classes) = (state.servers.clone(), std::mem::take(&mut state.classes));
        for key in &keys {
            self.servers[*key].end_ramp(now);
        }
        let mut stragglers: Vec<(f64, route_candidate::ServerKey)> = Vec::new();
        let mut samples: Vec<(route_candidate::ServerKey, straggler_ejection::StragglerSample)> = Vec::new();
        for class in &classes {
            samples.clear();
            samples.extend(
                keys.iter()
                    .filter_map(|key| Some((*key, self.servers[*key].sample(class, now)?))),
            );
            let peers = samples.iter().filter(|(key, _sample)| {
                self.servers[*key].candidate.state != route_candidate::CandidateState::Leaving
            });
            let median = straggler_ejection::median(peers.map(|(_key, sample)| *sample));
            let Some(median) = self.update_baseline(service, class, median) else {
                continue;
            };
            for (key, sample) in &samples {
                let ratio = sample.ratio(median);
                if ratio > self.ejection_ratio && self.servers[*key].ejection.is_none() {
                    stragglers.push((ratio, *key));
                }
            }
        }
        if let Some(state) = self.services.get_mut(service) {
            state.classes = classes;
        }
        stragglers.sort_by(|left, right| right.0.total_cmp(&left.0));
        let eligible = keys.iter().filter(|key| self.servers[**key].takes_calls()).count();
        let limit = straggler_ejection::ejection_limit(eligible);
        for (_ratio, key) in stragglers {
            let ejected = keys.iter().filter(|key| self.servers[**key].ejection.is_some()).count();
            if ejected >= limit {
                break;
            }
            // If all servers of the region are slow at once, the cause is what they call, and calls to other regions
            // would not help.
            if self.region_policy == region_window::RegionPolicy::Windowed && self.is_last_in_region(service, key) {
                continue;
            }
            self.eject(key, straggler_ejection::EjectionCause::Straggler, now);
        }
        self.readmit_excess(&keys, limit, now);
    }

    /// Readmits stragglers beyond the ejection limit, which may have fallen since other servers left.
    fn readmit_excess(&mut self, keys: &[route_candidate::ServerKey], limit: usize, now: time::Instant) {
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
        median: Option<f64>,
    ) -> Option<f64> {
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
                // The long-term means of one or two servers change slowly, so a slowdown exceeds them.
                past.or_else(|| self.long_term_mean(service, class))
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
        let passes = self.passes_probe(call, latency, now);
        let server = &mut self.servers[call.server];
        let Some(ejection) = &mut server.ejection else {
            return;
        };
        if !passes {
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

    /// A probe that is cancelled late, for example because its hedge was answered first, still counts as a slow one.
    fn probe_cancelled(&mut self, call: &server_state::RunningCall, now: time::Instant) {
        let age = now.saturating_duration_since(call.started);
        if call.probe && !self.passes_probe(call, age, now) {
            self.probe_failed(call, now);
        } else {
            self.probe_inconclusive(call);
        }
    }

    fn probe_inconclusive(&mut self, call: &server_state::RunningCall) {
        if call.probe
            && let Some(ejection) = &mut self.servers[call.server].ejection
        {
            ejection.probe_inconclusive();
        }
    }
}

impl ServiceState {
    fn new() -> Self {
        Self {
            servers: Vec::new(),
            calls: 0,
            reviewed: None,
            classes: collections::BTreeSet::new(),
            baselines: collections::BTreeMap::new(),
            windows: collections::BTreeMap::new(),
            load_probe: completion_choice::LoadProbePause::default(),
        }
    }
}
