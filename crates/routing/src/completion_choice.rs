//! Choice of the servers that a call with a latency objective may go to, by expected time to completion.

use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use rand::RngExt;

use crate::completion_estimate;
use crate::region_window;
use crate::route_candidate;
use crate::route_table;
use crate::server_state;

/// Least time between two calls that one daemon sends to another region to learn the load of a server there.
const LOAD_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Upper bound of that time, which is doubled each time that no free slots were found.
const MAX_LOAD_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(3200);
/// Calls that a server without a fresh report gets to learn its load. A server that does not reply costs no more.
const UNKNOWN_CALLS: u32 = 2;
/// A call that left its region since servers there complete it sooner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySpillover {
    /// Best server of the region.
    pub nearer: completion_estimate::CompletionEstimate,
    /// Server that gets the call; `None` if its load is unknown and the call learns it.
    pub farther: Option<completion_estimate::CompletionEstimate>,
}

/// When the next call may learn the load of a server in another region.
#[derive(Debug)]
pub(crate) struct LoadProbePause {
    due: Option<time::Instant>,
    interval: time::Duration,
}

impl Default for LoadProbePause {
    fn default() -> Self {
        Self {
            due: None,
            interval: LOAD_PROBE_INTERVAL,
        }
    }
}

/// Steps of a choice.
impl route_table::RouteTable {
    /// Replaces the pool by the servers that are expected to complete the call sooner, for a share of the calls.
    /// Returns the inputs if the call leaves its region.
    ///
    /// The pool stays as it is if it has no server with a fresh report, so that a daemon without reports behaves as one
    /// without this step.
    pub(crate) fn prefer_sooner<R: rand::Rng + ?Sized>(
        &mut self,
        request: &route_candidate::RouteRequest<'_>,
        pool: &mut Vec<route_candidate::ServerKey>,
        now: time::Instant,
        rng: &mut R,
    ) -> Option<CapacitySpillover> {
        if pool.is_empty() || !pool.iter().all(|key| self.servers[*key].is_in_region()) {
            return None;
        }
        let mut nearest: Option<completion_estimate::CompletionEstimate> = None;
        for estimate in pool.iter().filter_map(|key| self.estimate(*key, request.class, now)) {
            // The best is no worse. Without a queue, this ends the search at the first server.
            if !completion_estimate::may_leave(&estimate) {
                return None;
            }
            if nearest.is_none_or(|nearest| estimate.overhead() < nearest.overhead()) {
                nearest = Some(estimate);
            }
        }
        let nearest = nearest?;
        let usable: Vec<route_candidate::ServerKey> = self.usable(request, now).collect();
        let region: Vec<route_candidate::ServerKey> = usable
            .iter()
            .copied()
            .filter(|key| self.servers[*key].is_in_region())
            .collect();
        let (nearer, mut unknown) = self.best_of(&region, request.class, now)?;
        unknown.retain(|key| completion_estimate::leave_share(&nearer, &self.unloaded(*key)) > 0.0);
        if !unknown.is_empty() {
            *pool = unknown;
            return None;
        }
        if let Some((key, farther)) = self.choose_farther(request, &usable, &nearer, now, rng) {
            pool.clear();
            pool.push(key);
            return Some(CapacitySpillover { nearer, farther });
        }
        if rng.random_bool(completion_estimate::leave_share(&nearest, &nearer)) {
            let sooner = |key: &route_candidate::ServerKey| {
                self.estimate(*key, request.class, now)
                    .is_some_and(|estimate| completion_estimate::leave_share(&nearest, &estimate) > 0.0)
            };
            *pool = region.into_iter().filter(sooner).collect();
        }
        None
    }

    /// Returns a server of another region that is expected to complete the call sooner than the region, or whose load
    /// is to be learned.
    fn choose_farther<R: rand::Rng + ?Sized>(
        &mut self,
        request: &route_candidate::RouteRequest<'_>,
        usable: &[route_candidate::ServerKey],
        nearer: &completion_estimate::CompletionEstimate,
        now: time::Instant,
        rng: &mut R,
    ) -> Option<(
        route_candidate::ServerKey,
        Option<completion_estimate::CompletionEstimate>,
    )> {
        if self.region_policy != region_window::RegionPolicy::Windowed || !self.may_cross(request, now) {
            return None;
        }
        let mut sooner = Vec::new();
        let mut unknown = Vec::new();
        let mut has_free = false;
        for key in usable.iter().filter(|key| !self.servers[**key].is_in_region()) {
            let estimate = self.estimate(*key, request.class, now);
            let assumed = estimate.unwrap_or_else(|| self.unloaded(*key));
            let share = completion_estimate::leave_share(nearer, &assumed);
            has_free |= share > 0.0 && estimate.is_some_and(|estimate| estimate.load.free > 0);
            match estimate {
                _ if share <= 0.0 => {}
                None if self.servers[*key].loads.sent() < UNKNOWN_CALLS => unknown.push(*key),
                None => {}
                Some(estimate) if estimate.free() > 0 => {
                    let weight = f64::from(estimate.free()) * self.servers[*key].ramp_share(now);
                    sooner.push((*key, estimate, share, weight));
                }
                Some(_estimate) => {}
            }
        }
        let total: f64 = sooner.iter().map(|(.., weight)| weight).sum();
        if total > 0.0 {
            self.set_load_probe_interval(request.service, LOAD_PROBE_INTERVAL);
            let mut draw = rng.random_range(0.0..total);
            let chosen = sooner.iter().find(|(.., weight)| {
                draw -= weight;
                draw < 0.0
            });
            let (key, estimate, share, _weight) = chosen.or(sooner.last())?;
            return rng.random_bool(*share).then_some((*key, Some(*estimate)));
        }
        if has_free || unknown.is_empty() || !self.take_load_probe(request.service, now) {
            return None;
        }
        Some((unknown[rng.random_range(0..unknown.len())], None))
    }

    /// Returns the servers that may get the call and are neither ejected, held nor suspected.
    fn usable(
        &self,
        request: &route_candidate::RouteRequest<'_>,
        now: time::Instant,
    ) -> impl Iterator<Item = route_candidate::ServerKey> {
        self.server_keys(request.service).iter().copied().filter(move |key| {
            let preference = self.servers[*key].preference(request, self.region_policy, now);
            let regular = match preference {
                None
                | Some(
                    server_state::Preference::Held(_)
                    | server_state::Preference::Suspect(_)
                    | server_state::Preference::Ejected(_)
                    | server_state::Preference::CrossRegionFull,
                ) => false,
                Some(server_state::Preference::Available(distance) | server_state::Preference::Full(distance)) => {
                    distance != server_location::ServerDistance::CrossRegion || request.cross_region
                }
                Some(server_state::Preference::CrossRegionAvailable | server_state::Preference::InRegionTried(_)) => {
                    true
                }
            };
            regular && !request.exclude.contains(key)
        })
    }

    fn may_cross(&self, request: &route_candidate::RouteRequest<'_>, now: time::Instant) -> bool {
        let window = self
            .services
            .get(request.service)
            .and_then(|state| state.windows.get(request.class));
        request.cross_region && window.is_none_or(|window| window.is_open(now))
    }

    /// Returns the least expected time beyond the service time, and the servers without a fresh report to send a call
    /// to; `None` if no report is fresh. A server that has not replied to [`UNKNOWN_CALLS`] calls is left out.
    fn best_of(
        &self,
        keys: &[route_candidate::ServerKey],
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<(completion_estimate::CompletionEstimate, Vec<route_candidate::ServerKey>)> {
        let mut best: Option<completion_estimate::CompletionEstimate> = None;
        let mut unknown = Vec::new();
        for key in keys {
            match self.estimate(*key, class, now) {
                Some(estimate) if best.is_none_or(|best| estimate.overhead() < best.overhead()) => {
                    best = Some(estimate);
                }
                Some(_worse) => {}
                None if self.servers[*key].loads.sent() < UNKNOWN_CALLS => unknown.push(*key),
                None => {}
            }
        }
        best.map(|best| (best, unknown))
    }

    /// Returns what is expected of a call to a server; `None` without a fresh report.
    pub(crate) fn estimate(
        &self,
        key: route_candidate::ServerKey,
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<completion_estimate::CompletionEstimate> {
        let server = self.servers.get(key)?;
        let delay = server.network_delay();
        let (load, age) = server.loads.fresh(class, delay / 2, now)?;
        Some(completion_estimate::CompletionEstimate {
            load,
            age,
            sent: server.loads.sent(),
            ..self.unloaded(key)
        })
    }

    /// Returns the estimate of a server with free slots.
    fn unloaded(&self, key: route_candidate::ServerKey) -> completion_estimate::CompletionEstimate {
        let server = &self.servers[key];
        completion_estimate::CompletionEstimate {
            load: completion_estimate::ServerLoad::default(),
            age: time::Duration::ZERO,
            delay: server.network_delay(),
            slots: server.candidate.slots,
            sent: 0,
        }
    }

    fn set_load_probe_interval(&mut self, service: &ids::ServiceName, interval: time::Duration) {
        if let Some(state) = self.services.get_mut(service) {
            state.load_probe.interval = interval;
        }
    }

    fn take_load_probe(&mut self, service: &ids::ServiceName, now: time::Instant) -> bool {
        let Some(state) = self.services.get_mut(service) else {
            return false;
        };
        if state.load_probe.due.is_some_and(|due| now < due) {
            return false;
        }
        state.load_probe.due = Some(now + state.load_probe.interval);
        state.load_probe.interval = (state.load_probe.interval * 2).min(MAX_LOAD_PROBE_INTERVAL);
        true
    }
}
