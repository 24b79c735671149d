//! Queries of the route table, and the steps of a choice that do not modify the table.

use std::time;

use damasktrack_entity::ids;
use rand::RngExt;

use crate::route_candidate;
use crate::route_table;
use crate::server_state;
use crate::straggler_ejection;

/// Latency assumed for a class without observations.
const DEFAULT_LATENCY_SECONDS: f64 = 0.01;

/// Queries.
impl route_table::RouteTable {
    /// Returns a server; `None` if it was removed.
    #[must_use]
    pub fn candidate(&self, key: route_candidate::ServerKey) -> Option<&route_candidate::RouteCandidate> {
        self.servers.get(key).map(|server| &server.candidate)
    }

    /// Returns the server of a daemon; `None` if it was not added or was removed.
    #[must_use]
    pub fn key_of(&self, daemon_id: &ids::DaemonId) -> Option<route_candidate::ServerKey> {
        self.by_daemon.get(daemon_id).copied()
    }

    /// Returns the servers of a service in the order in which they were added.
    #[must_use]
    pub fn server_keys(&self, service: &ids::ServiceName) -> &[route_candidate::ServerKey] {
        self.services.get(service).map_or(&[], |state| state.servers.as_slice())
    }

    /// Returns why a server is ejected; `None` if it is not.
    #[must_use]
    pub fn ejection(&self, key: route_candidate::ServerKey) -> Option<straggler_ejection::EjectionCause> {
        let ejection = self.servers.get(key)?.ejection?;
        Some(ejection.cause())
    }

    /// Returns the number of calls in progress at a server, over both lanes.
    #[must_use]
    pub fn in_flight(&self, key: route_candidate::ServerKey) -> u32 {
        let server = self.servers.get(key);
        server.map_or(0, |server| server.short_in_flight + server.long_in_flight)
    }

    /// Returns the peak latency estimate of a server for a class, with the network delay; `None` without observations.
    #[must_use]
    pub fn latency(
        &self,
        key: route_candidate::ServerKey,
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let seconds = self.servers.get(key)?.classes.get(class)?.peak(now)?;
        Some(time::Duration::from_secs_f64(seconds))
    }

    /// Returns the median of the servers' mean latencies for a class in seconds, without network delays. `None` with
    /// fewer than [`straggler_ejection::MIN_PEERS`] servers that have a mean.
    #[must_use]
    pub fn median(&self, service: &ids::ServiceName, class: &ids::ClassName, now: time::Instant) -> Option<f64> {
        let servers = self.server_keys(service).iter().map(|key| &self.servers[*key]);
        let peers = servers.filter(|server| server.candidate.state != route_candidate::CandidateState::Leaving);
        straggler_ejection::median(peers.filter_map(|server| server.sample(class, now)))
    }

    pub(crate) fn long_term_mean(&self, service: &ids::ServiceName, class: &ids::ClassName) -> Option<f64> {
        let servers = self.server_keys(service).iter().map(|key| &self.servers[*key]);
        let means = servers.filter_map(|server| {
            let long_term_mean = server.classes.get(class)?.long_term_mean()?;
            Some((long_term_mean - server.network_delay().as_secs_f64()).max(0.0))
        });
        means.min_by(f64::total_cmp)
    }

    pub(crate) fn passes_probe(
        &self,
        call: &server_state::RunningCall,
        latency: time::Duration,
        now: time::Instant,
    ) -> bool {
        let server = &self.servers[call.server];
        let service = &server.candidate.service;
        if server
            .ejection
            .is_some_and(|ejection| ejection.cause() == straggler_ejection::EjectionCause::Unreachable)
        {
            return true;
        }
        let baseline = self
            .services
            .get(service)
            .and_then(|state| state.baselines.get(&call.class).copied());
        let median = self.median(service, &call.class, now).or(baseline);
        let median = median.or_else(|| self.long_term_mean(service, &call.class));
        let sample = server.sample(&call.class, now);
        match (sample, median) {
            (Some(sample), Some(median)) => sample.passes_probe(latency, median),
            _ => true,
        }
    }

    pub(crate) fn choice_for(&self, key: route_candidate::ServerKey) -> route_candidate::RouteChoice {
        let server = &self.servers[key];
        route_candidate::RouteChoice::Use {
            key,
            probe: server.ejection.is_some(),
            distance: server.distance,
        }
    }

    pub(crate) fn due_probe(
        &self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
    ) -> Option<route_candidate::ServerKey> {
        let state = self.services.get(request.service)?;
        state.servers.iter().copied().find(|key| {
            let server = &self.servers[*key];
            let Some(ejection) = &server.ejection else {
                return false;
            };
            if request.exclude.contains(key) || server.preference(request, self.region_policy, now).is_none() {
                return false;
            }
            match ejection.probe_due(state.calls, now) {
                straggler_ejection::ProbeDecision::Wait => false,
                straggler_ejection::ProbeDecision::Suitable => request.may_probe,
                straggler_ejection::ProbeDecision::Any => true,
            }
        })
    }

    /// Collects the servers with the best preference among those that may get the call.
    pub(crate) fn best_pool(
        &self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
        pool: &mut Vec<route_candidate::ServerKey>,
    ) {
        pool.clear();
        let stays_in_region = self.stays_in_region(request, now);
        let mut best: Option<server_state::Preference> = None;
        for key in self.server_keys(request.service) {
            let server = &self.servers[*key];
            if request.exclude.contains(key) || stays_in_region && !server.is_in_region() {
                continue;
            }
            let Some(preference) = server.preference(request, self.region_policy, now) else {
                continue;
            };
            if best.is_none_or(|best| preference < best) {
                pool.clear();
                best = Some(preference);
            }
            if best == Some(preference) {
                pool.push(*key);
            }
        }
    }

    /// Returns whether the region window keeps a call in the region now. It does not if the region has no usable
    /// server.
    fn stays_in_region(&self, request: &route_candidate::RouteRequest<'_>, now: time::Instant) -> bool {
        let Some(state) = self.services.get(request.service) else {
            return false;
        };
        let closed = state
            .windows
            .get(request.class)
            .is_some_and(|window| !window.is_open(now));
        closed
            && state.servers.iter().any(|key| {
                let server = &self.servers[*key];
                server.is_in_region() && server.preference(request, self.region_policy, now).is_some()
            })
    }

    /// Returns whether a server is the only one in the region that is not ejected, while at least one other is.
    pub(crate) fn is_last_in_region(&self, service: &ids::ServiceName, key: route_candidate::ServerKey) -> bool {
        let serves_region = |key: &route_candidate::ServerKey| {
            let server = &self.servers[*key];
            server.is_in_region() && server.takes_calls()
        };
        let keys = self.server_keys(service).iter().copied();
        let mut others = keys.filter(|other| *other != key && serves_region(other)).peekable();
        serves_region(&key) && others.peek().is_some() && others.all(|other| self.servers[other].ejection.is_some())
    }

    /// Drops each cold server from the pool with the probability 1 - share of its ramp, unless all in it are cold.
    pub(crate) fn filter_cold<R: rand::Rng + ?Sized>(
        &self,
        pool: &mut Vec<route_candidate::ServerKey>,
        now: time::Instant,
        rng: &mut R,
    ) {
        let share = |key: &route_candidate::ServerKey| self.servers[*key].ramp_share(now);
        if pool.iter().all(|key| share(key) < 1.0) {
            return;
        }
        pool.retain(|key| {
            let share = share(key);
            share >= 1.0 || rng.random_bool(share)
        });
    }

    pub(crate) fn choose_of_two<R: rand::Rng + ?Sized>(
        &self,
        pool: &[route_candidate::ServerKey],
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
        rng: &mut R,
    ) -> Option<route_candidate::ServerKey> {
        if pool.len() < 2 {
            return pool.first().copied();
        }
        let first = rng.random_range(0..pool.len());
        let second = (first + rng.random_range(1..pool.len())) % pool.len();
        let (first, second) = (pool[first], pool[second]);
        if self.score(second, request, now) < self.score(first, request, now) {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn score(
        &self,
        key: route_candidate::ServerKey,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
    ) -> f64 {
        let server = &self.servers[key];
        let peak = server
            .classes
            .get(request.class)
            .and_then(|estimate| estimate.peak(now));
        let latency = peak.unwrap_or_else(|| {
            // Servers without observations get the long-term mean of the service. If they counted as slow, they would
            // never be observed; if they counted as fast, they would get too many calls at once.
            let long_term_mean = self
                .long_term_mean(request.service, request.class)
                .unwrap_or(DEFAULT_LATENCY_SECONDS);
            long_term_mean + server.network_delay().as_secs_f64()
        });
        let estimate = request
            .latency_objective
            .and_then(|_objective| self.estimate(key, request.class, now));
        let wait = estimate.map_or(0.0, |estimate| estimate.load.wait.as_secs_f64());
        f64::from(server.lane_in_flight(request.lane) + 1) * (latency + wait)
    }
}
