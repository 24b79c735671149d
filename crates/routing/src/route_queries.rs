//! Queries of the route table, and the steps of a choice that change nothing.

use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use rand::RngExt;

use crate::route_candidate;
use crate::route_table;
use crate::server_state;
use crate::straggler_ejection;

/// Network delay both ways that is assumed until one was measured: the one-way delays of the deployments are 0.5 ms
/// between data centres and 30 ms between regions.
const REGION_DELAY: time::Duration = time::Duration::from_millis(1);
/// See [`REGION_DELAY`].
const CROSS_REGION_DELAY: time::Duration = time::Duration::from_millis(60);
/// Latency assumed while nothing was observed for a class.
const DEFAULT_LATENCY_SECONDS: f64 = 0.01;

/// Queries.
impl route_table::RouteTable {
    /// Returns a server; `None` if it was removed.
    #[must_use]
    pub fn candidate(&self, key: route_candidate::ServerKey) -> Option<&route_candidate::RouteCandidate> {
        self.servers.get(key).map(|server| &server.candidate)
    }

    /// Returns the server of a daemon.
    #[must_use]
    pub fn key_of(&self, daemon_id: &ids::DaemonId) -> Option<route_candidate::ServerKey> {
        self.by_daemon.get(daemon_id).copied()
    }

    /// Returns the servers of a service.
    #[must_use]
    pub fn server_keys(&self, service: &ids::ServiceName) -> &[route_candidate::ServerKey] {
        self.services.get(service).map_or(&[], |state| state.servers.as_slice())
    }

    /// Returns why a server is ejected; `None` if it isn't.
    #[must_use]
    pub fn ejection(&self, key: route_candidate::ServerKey) -> Option<straggler_ejection::EjectionCause> {
        let ejection = self.servers.get(key)?.ejection?;
        Some(ejection.cause())
    }

    /// Returns the calls in progress at a server.
    #[must_use]
    pub fn in_flight(&self, key: route_candidate::ServerKey) -> u32 {
        let server = self.servers.get(key);
        server.map_or(0, |server| server.short_in_flight + server.long_in_flight)
    }

    /// Returns the peak latency estimate of a server for a class.
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

    /// Returns the median latency of a service for a class, without network delays, in seconds.
    #[must_use]
    pub fn median(&self, service: &ids::ServiceName, class: &ids::ClassName, now: time::Instant) -> Option<f64> {
        let servers = self.server_keys(service).iter().map(|key| &self.servers[*key]);
        let peers = servers.filter(|server| server.candidate.state != route_candidate::CandidateState::Leaving);
        straggler_ejection::median(peers.filter_map(|server| self.sample(server, class, now)))
    }

    pub(crate) fn typical(&self, service: &ids::ServiceName, class: &ids::ClassName) -> Option<f64> {
        let servers = self.server_keys(service).iter().map(|key| &self.servers[*key]);
        let means = servers.filter_map(|server| {
            let typical = server.classes.get(class)?.typical()?;
            Some((typical - self.delay(server).as_secs_f64()).max(0.0))
        });
        means.min_by(f64::total_cmp)
    }

    pub(crate) fn sample(
        &self,
        server: &server_state::ServerState,
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<straggler_ejection::StragglerSample> {
        let estimate = server.classes.get(class)?;
        Some(straggler_ejection::StragglerSample {
            totals: estimate.recent(now),
            typical: estimate.typical(),
            network_delay: self.delay(server).as_secs_f64(),
        })
    }

    pub(crate) fn is_good(
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
        let median = median.or_else(|| self.typical(service, &call.class));
        let sample = self.sample(server, &call.class, now);
        match (sample, median) {
            (Some(sample), Some(median)) => sample.is_good(latency, median),
            _ => true,
        }
    }

    fn delay(&self, server: &server_state::ServerState) -> time::Duration {
        if let Some(delay) = self.delays.get(&server.candidate.location) {
            return *delay;
        }
        match server.distance {
            server_location::ServerDistance::SameDataCentre => time::Duration::ZERO,
            server_location::ServerDistance::SameRegion => REGION_DELAY,
            server_location::ServerDistance::CrossRegion => CROSS_REGION_DELAY,
        }
    }

    pub(crate) fn usable(&self, key: route_candidate::ServerKey) -> route_candidate::RouteChoice {
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

    /// Collects the servers of the best preference that is present.
    pub(crate) fn best_pool(
        &self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
        pool: &mut Vec<route_candidate::ServerKey>,
    ) {
        pool.clear();
        let stays_near = self.stays_near(request, now);
        let mut best: Option<server_state::Preference> = None;
        for key in self.server_keys(request.service) {
            let server = &self.servers[*key];
            if request.exclude.contains(key) || stays_near && !server.is_near() {
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

    /// Returns whether a call may not cross regions now. A region without servers of its own is not held back.
    fn stays_near(&self, request: &route_candidate::RouteRequest<'_>, now: time::Instant) -> bool {
        let Some(state) = self.services.get(request.service) else {
            return false;
        };
        let shut = state
            .windows
            .get(request.class)
            .is_some_and(|window| !window.is_open(now));
        shut && state.servers.iter().any(|key| {
            let server = &self.servers[*key];
            server.is_near() && server.preference(request, self.region_policy, now).is_some()
        })
    }

    /// Returns whether a server is in the region and all others there, one at least, are ejected.
    pub(crate) fn is_last_near(&self, service: &ids::ServiceName, key: route_candidate::ServerKey) -> bool {
        let takes_near = |key: &route_candidate::ServerKey| {
            let server = &self.servers[*key];
            server.is_near() && server.takes_calls()
        };
        let keys = self.server_keys(service).iter().copied();
        let mut others = keys.filter(|other| *other != key && takes_near(other)).peekable();
        takes_near(&key) && others.peek().is_some() && others.all(|other| self.servers[other].ejection.is_some())
    }

    /// Drops cold servers from the pool with the probability that their ramp leaves.
    pub(crate) fn thin_cold<R: rand::Rng + ?Sized>(
        &self,
        pool: &mut Vec<route_candidate::ServerKey>,
        now: time::Instant,
        rng: &mut R,
    ) {
        let share = |key: &route_candidate::ServerKey| self.servers[*key].ramp.map_or(1.0, |ramp| ramp.share(now));
        if pool.iter().all(|key| share(key) < 1.0) {
            return;
        }
        pool.retain(|key| {
            let share = share(key);
            share >= 1.0 || rng.random_bool(share)
        });
    }

    pub(crate) fn pick_two<R: rand::Rng + ?Sized>(
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
            // Unknown servers count as typical ones: as slow ones they would never be learned, as fast ones they
            // would be flooded.
            let typical = self
                .typical(request.service, request.class)
                .unwrap_or(DEFAULT_LATENCY_SECONDS);
            typical + self.delay(server).as_secs_f64()
        });
        f64::from(server.lane_in_flight(request.lane) + 1) * latency
    }
}
