//! State of one server as observed by this daemon, and its preference for a call.

use std::collections;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::cold_ramp;
use crate::latency_estimate;
use crate::load_reports;
use crate::region_window;
use crate::route_candidate;
use crate::straggler_ejection;

/// Time for which a server counts as full after it refused a call for load.
const FULL_DURATION: time::Duration = time::Duration::from_millis(100);
/// Time for which a server gets no calls after it refused one because it is starting.
const START_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Share of the slots of a server that long work may use.
const LONG_SLOT_SHARE: f64 = 0.3;
/// Servers tried for a call after which servers of other regions are preferred to full ones of the region, under
/// [`region_window::RegionPolicy::Windowed`].
const IN_REGION_TRIES: usize = 2;
/// Multiple of its slots up to which the concurrency limit of a server may rise.
const SLOT_HEADROOM: f64 = 1.5;
/// Round-trip network delay assumed until one was measured: the one-way delays of the deployments are 0.5 ms
/// between data centres and 30 ms between regions.
const SAME_REGION_DELAY: time::Duration = time::Duration::from_millis(1);
/// See [`SAME_REGION_DELAY`].
const CROSS_REGION_DELAY: time::Duration = time::Duration::from_millis(60);

#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) candidate: route_candidate::RouteCandidate,
    pub(crate) distance: server_location::ServerDistance,
    /// Measured round-trip network delay to the location, which is fixed; kept here since a choice compares the delays
    /// of all servers of the service.
    pub(crate) measured_delay: Option<time::Duration>,
    pub(crate) classes: collections::BTreeMap<ids::ClassName, latency_estimate::LatencyEstimate>,
    pub(crate) short_in_flight: u32,
    pub(crate) long_in_flight: u32,
    pub(crate) ejection: Option<straggler_ejection::EjectionState>,
    pub(crate) ramp: Option<cold_ramp::ColdRamp>,
    pub(crate) full_until: Option<time::Instant>,
    pub(crate) paused_until: Option<time::Instant>,
    /// Until when other servers are preferred, since the request rate of this one is reached.
    pub(crate) held_until: Option<time::Instant>,
    pub(crate) failures: u32,
    /// Reports of the daemon beside the server.
    pub(crate) loads: load_reports::LoadReports,
    /// Set by a refusal with [`call_outcome::RefusalReason::Leaving`], which may arrive before the gossip about it.
    /// Never reset within an incarnation.
    pub(crate) refused_leaving: bool,
}

#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) server: route_candidate::ServerKey,
    pub(crate) class: ids::ClassName,
    /// Service in whose [`region_window::RegionWindow`] the call is counted, if any. Kept here since the server may
    /// have been removed when the call ends.
    pub(crate) window_service: Option<ids::ServiceName>,
    pub(crate) lane: route_candidate::RouteLane,
    pub(crate) started: time::Instant,
    pub(crate) probe: bool,
}

/// Order in which servers are used for a call; a lower value is used first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Preference {
    Available(server_location::ServerDistance),
    Full(server_location::ServerDistance),
    /// In another region and with capacity, under [`region_window::RegionPolicy::Windowed`].
    CrossRegionAvailable,
    /// In another region and full, under [`region_window::RegionPolicy::Windowed`].
    CrossRegionFull,
    /// In the region and full, after [`IN_REGION_TRIES`] servers were tried for this call.
    InRegionTried(server_location::ServerDistance),
    /// Its request rate is reached; see [`crate::route_table::RouteTable::hold`].
    Held(server_location::ServerDistance),
    Suspect(server_location::ServerDistance),
    Ejected(server_location::ServerDistance),
}

impl ServerState {
    pub(crate) fn new(candidate: route_candidate::RouteCandidate, distance: server_location::ServerDistance) -> Self {
        let ready_since = candidate.ready_since;
        Self {
            candidate,
            distance,
            measured_delay: None,
            classes: collections::BTreeMap::new(),
            short_in_flight: 0,
            long_in_flight: 0,
            ejection: None,
            ramp: ready_since.map(|since| cold_ramp::ColdRamp::new(since, cold_ramp::RAMP_DURATION)),
            full_until: None,
            paused_until: None,
            held_until: None,
            failures: 0,
            loads: load_reports::LoadReports::default(),
            refused_leaving: false,
        }
    }

    pub(crate) fn update(&mut self, candidate: route_candidate::RouteCandidate) {
        let starting = self.candidate.state == route_candidate::CandidateState::Starting;
        if starting && let Some(since) = candidate.ready_since {
            self.ramp = Some(cold_ramp::ColdRamp::new(since, cold_ramp::RAMP_DURATION));
        }
        let leaving = self.candidate.state == route_candidate::CandidateState::Leaving;
        self.candidate = candidate;
        if leaving {
            self.candidate.state = route_candidate::CandidateState::Leaving;
        }
    }

    /// Ends the ejection and discards the recent observations; `probe` is the latency of the probe that ended it.
    pub(crate) fn readmit(&mut self, probe: Option<(&ids::ClassName, time::Duration)>, now: time::Instant) {
        self.ejection = None;
        self.failures = 0;
        for (class, estimate) in &mut self.classes {
            let latency = probe.filter(|(probed, _latency)| *probed == class);
            estimate.reset(latency.map(|(_probed, latency)| latency), now);
        }
        self.ramp = Some(cold_ramp::ColdRamp::new(now, cold_ramp::RETURN_RAMP_DURATION));
    }

    /// Forgets a ramp that has ended, so that the choices don't compute its share.
    pub(crate) fn end_ramp(&mut self, now: time::Instant) {
        self.ramp = self.ramp.filter(|ramp| ramp.share(now) < 1.0);
    }

    pub(crate) fn observe(&mut self, call: &RunningCall, result: route_candidate::RouteResult, now: time::Instant) {
        let Some(estimate) = self.classes.get_mut(&call.class) else {
            return;
        };
        match result {
            route_candidate::RouteResult::Completed => {
                estimate.complete(call.started, now);
                self.failures = 0;
            }
            route_candidate::RouteResult::Cancelled => estimate.record_incomplete(call.started, now),
            route_candidate::RouteResult::Failed | route_candidate::RouteResult::Silent => {
                estimate.record_incomplete(call.started, now);
                self.failures += 1;
            }
            route_candidate::RouteResult::Refused(reason) => {
                estimate.discard(call.started, now);
                self.record_refusal(reason, now);
            }
        }
    }

    fn record_refusal(&mut self, reason: call_outcome::RefusalReason, now: time::Instant) {
        match reason {
            call_outcome::RefusalReason::Leaving => self.refused_leaving = true,
            call_outcome::RefusalReason::Starting => self.paused_until = Some(now + START_PAUSE),
            call_outcome::RefusalReason::Overloaded
            | call_outcome::RefusalReason::QueueFull
            | call_outcome::RefusalReason::ShedByBackendServer => self.full_until = Some(now + FULL_DURATION),
            _ => {}
        }
    }

    /// Returns whether the server may get calls, now or after its ejection.
    pub(crate) fn takes_calls(&self) -> bool {
        let announced = matches!(
            self.candidate.state,
            route_candidate::CandidateState::Ready | route_candidate::CandidateState::Suspect
        );
        announced && !self.refused_leaving
    }

    pub(crate) fn adjust_in_flight(&mut self, lane: route_candidate::RouteLane, change: i32) {
        let count = match lane {
            route_candidate::RouteLane::Short => &mut self.short_in_flight,
            route_candidate::RouteLane::Long => &mut self.long_in_flight,
        };
        *count = count.saturating_add_signed(change);
    }

    pub(crate) fn lane_in_flight(&self, lane: route_candidate::RouteLane) -> u32 {
        match lane {
            route_candidate::RouteLane::Short => self.short_in_flight,
            route_candidate::RouteLane::Long => self.long_in_flight,
        }
    }

    /// Returns the preference of the server for a call; `None` if it must not get the call.
    pub(crate) fn preference(
        &self,
        request: &route_candidate::RouteRequest<'_>,
        policy: region_window::RegionPolicy,
        now: time::Instant,
    ) -> Option<Preference> {
        let distance = self.distance;
        if distance == server_location::ServerDistance::CrossRegion && !request.cross_region {
            return None;
        }
        if self.refused_leaving || self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        match self.candidate.state {
            route_candidate::CandidateState::Leaving | route_candidate::CandidateState::Starting => None,
            _ if self.ejection.is_some() => Some(Preference::Ejected(distance)),
            route_candidate::CandidateState::Suspect => Some(Preference::Suspect(distance)),
            route_candidate::CandidateState::Ready if self.held_until.is_some_and(|until| now < until) => {
                Some(Preference::Held(distance))
            }
            route_candidate::CandidateState::Ready => {
                let has_capacity = self.has_capacity(request.lane, now);
                Some(match policy {
                    region_window::RegionPolicy::Unbounded if has_capacity => Preference::Available(distance),
                    region_window::RegionPolicy::Unbounded => Preference::Full(distance),
                    region_window::RegionPolicy::Windowed => self.windowed_preference(request, has_capacity),
                })
            }
        }
    }

    fn windowed_preference(&self, request: &route_candidate::RouteRequest<'_>, has_capacity: bool) -> Preference {
        match (self.is_in_region(), has_capacity) {
            (true, true) => Preference::Available(self.distance),
            (true, false) if request.exclude.len() < IN_REGION_TRIES => Preference::Full(self.distance),
            (true, false) => Preference::InRegionTried(self.distance),
            (false, true) => Preference::CrossRegionAvailable,
            (false, false) => Preference::CrossRegionFull,
        }
    }

    /// Returns the round-trip network delay to the server: as measured, or as assumed for its distance.
    pub(crate) fn network_delay(&self) -> time::Duration {
        self.measured_delay.unwrap_or(match self.distance {
            server_location::ServerDistance::SameDataCentre => time::Duration::ZERO,
            server_location::ServerDistance::SameRegion => SAME_REGION_DELAY,
            server_location::ServerDistance::CrossRegion => CROSS_REGION_DELAY,
        })
    }

    /// Returns what is known of the latency for a class; `None` without observations.
    pub(crate) fn sample(
        &self,
        class: &ids::ClassName,
        now: time::Instant,
    ) -> Option<straggler_ejection::StragglerSample> {
        let estimate = self.classes.get(class)?;
        Some(straggler_ejection::StragglerSample {
            totals: estimate.recent(now),
            long_term_mean: estimate.long_term_mean(),
            network_delay: self.network_delay().as_secs_f64(),
        })
    }

    /// Returns the share of calls that the server gets while it is cold.
    pub(crate) fn ramp_share(&self, now: time::Instant) -> f64 {
        self.ramp.map_or(1.0, |ramp| ramp.share(now))
    }

    /// Returns whether the server is in the caller's region.
    pub(crate) fn is_in_region(&self) -> bool {
        self.distance != server_location::ServerDistance::CrossRegion
    }

    fn has_capacity(&self, lane: route_candidate::RouteLane, now: time::Instant) -> bool {
        if self.full_until.is_some_and(|until| now < until) {
            return false;
        }
        let share = match lane {
            route_candidate::RouteLane::Short => SLOT_HEADROOM,
            route_candidate::RouteLane::Long => LONG_SLOT_SHARE,
        };
        let limit = (f64::from(self.candidate.slots) * share).max(1.0);
        f64::from(self.lane_in_flight(lane)) + 1.0 <= limit
    }
}
