//! Levels, servers and budgets of the calls that this daemon sends.

use std::net;
use std::time;

use damasktrack_admission::level_view;
use damasktrack_entity::call_context;
use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use damasktrack_membership::member_record;
use damasktrack_routing::hedge_policy;
use damasktrack_routing::region_budget;
use damasktrack_routing::retry_budget;
use damasktrack_routing::route_candidate;
use damasktrack_routing::route_table;
use damasktrack_routing::straggler_ejection;
use damasktrack_settings::daemon_settings;

use crate::call::call_class;
use crate::core::core_command;
use crate::core::node_core;
use crate::core::peer_directory;

/// Receiver of the calls to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// The local backend server, which this daemon calls directly.
    Local,
    /// The daemon of the backend server, at its peer address.
    Peer(net::SocketAddr),
}

/// Server that was chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenServer {
    pub(crate) key: route_candidate::ServerKey,
    pub(crate) target: RouteTarget,
    pub(crate) distance: server_location::ServerDistance,
}

/// Attempt that the route table counts as running.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    pub(crate) call: route_candidate::CallKey,
    pub(crate) distance: server_location::ServerDistance,
}

/// Routing state of this daemon: servers, budgets and hedge delays.
#[derive(Debug)]
pub(crate) struct RouteState {
    pub(crate) table: route_table::RouteTable,
    pub(crate) region_budget: region_budget::RegionBudget,
    pub(crate) retry_budget: retry_budget::RetryBudget,
    pub(crate) hedges: hedge_policy::HedgePolicy,
    /// Start of this daemon. A server that appears later than this by more than the duration of a cold ramp is
    /// considered cold.
    started: time::Instant,
}

impl RouteState {
    /// Creates the state of a starting daemon, with its own backend server as the first candidate.
    pub(crate) fn new(
        settings: &daemon_settings::DaemonSettings,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> Self {
        let mut table = route_table::RouteTable::new(settings.location());
        if let (Some(service), Some(backend)) = (&settings.service, &settings.backend_server) {
            table.upsert(route_candidate::RouteCandidate {
                daemon_id: settings.daemon_id.clone(),
                incarnation,
                service: service.clone(),
                address: settings.peer_listen,
                location: settings.location(),
                slots: backend.slots,
                state: route_candidate::CandidateState::Ready,
                ready_since: None,
            });
        }
        Self {
            table,
            region_budget: region_budget::RegionBudget::new(settings.cross_region_bytes_per_s, now),
            retry_budget: retry_budget::RetryBudget::new(now),
            hedges: hedge_policy::HedgePolicy::new(),
            started: now,
        }
    }

    /// Updates the route table from the announced state of a peer's backend server.
    pub(crate) fn update_peer(&mut self, peer: &peer_directory::PeerIdentity, now: time::Instant) {
        let known = self.table.key_of(&peer.owner.daemon_id);
        let state = match peer.state {
            member_record::MemberState::Joining => Some(route_candidate::CandidateState::Starting),
            member_record::MemberState::Up => Some(route_candidate::CandidateState::Ready),
            member_record::MemberState::Suspect => Some(route_candidate::CandidateState::Suspect),
            member_record::MemberState::Draining => Some(route_candidate::CandidateState::Leaving),
            member_record::MemberState::Dead | member_record::MemberState::Left => None,
        };
        let (Some(service), Some(state)) = (&peer.service, state) else {
            if let Some(key) = known {
                self.table.remove(key);
            }
            return;
        };
        let appears_late = now.saturating_duration_since(self.started) > damasktrack_routing::cold_ramp::RAMP_DURATION;
        let before = known.and_then(|key| self.table.candidate(key));
        let restarted = before.is_some_and(|before| before.incarnation != peer.owner.incarnation);
        // A suspicion or its refutation does not make a server cold.
        let warm = before.filter(|before| {
            let used = [
                route_candidate::CandidateState::Ready,
                route_candidate::CandidateState::Suspect,
            ];
            !restarted && used.contains(&before.state)
        });
        let ready_since = warm.map_or((appears_late || restarted).then_some(now), |before| before.ready_since);
        self.table.upsert(route_candidate::RouteCandidate {
            daemon_id: peer.owner.daemon_id.clone(),
            incarnation: peer.owner.incarnation,
            service: service.clone(),
            address: peer.address,
            location: peer.location.clone(),
            slots: peer.slots,
            state,
            ready_since,
        });
    }

    /// Marks the local backend server as leaving, so that it gets no further calls.
    pub(crate) fn drain_local(&mut self, daemon_id: &ids::DaemonId) {
        let local = self.table.key_of(daemon_id);
        if let Some(candidate) = local.and_then(|key| self.table.candidate(key)) {
            let state = route_candidate::CandidateState::Leaving;
            let leaving = route_candidate::RouteCandidate {
                state,
                ..candidate.clone()
            };
            self.table.upsert(leaving);
        }
    }
}

/// Commands.
impl node_core::NodeCore {
    /// Returns whether the path admits the level of a call. Only the first hop is checked: a refusal at a later hop
    /// would waste the work done above it, and the callee decides there anyway.
    pub(crate) fn admits_level(
        &mut self,
        service: &ids::ServiceName,
        context: &call_context::CallContext,
        now: time::Instant,
    ) -> bool {
        if context.depth > 0 {
            return true;
        }
        let check = self.levels.check(service, &view_key(context), context.level, now);
        check != level_view::LevelCheck::Refuse
    }

    /// Chooses a server for an attempt, other than those in `tried`. Calls of the short lane and of classes that are
    /// declared for it may cross regions while the region budget allows it.
    pub(crate) fn choose_server(
        &mut self,
        service: &ids::ServiceName,
        class: &call_class::CallClass,
        context: &call_context::CallContext,
        tried: &[route_candidate::ServerKey],
        now: time::Instant,
    ) -> Option<ChosenServer> {
        let eligible = class.lane == call_class::CallLane::Short || class.cross_region;
        let cross_region = eligible && self.routes.region_budget.check(now) == region_budget::RegionDecision::Allowed;
        let request = route_candidate::RouteRequest {
            service,
            class: &class.name,
            lane: route_lane(class.lane),
            cross_region,
            may_probe: class.idempotent && !self.classes.is_critical(&context.class),
            exclude: tried,
            latency_objective: None,
        };
        let choice = self.routes.table.choose(&request, now, &mut rand::rng());
        let route_candidate::RouteChoice::Use { key, distance, .. } = choice else {
            return None;
        };
        let candidate = self.routes.table.candidate(key)?;
        let target = if candidate.daemon_id == self.identity.daemon_id {
            RouteTarget::Local
        } else {
            RouteTarget::Peer(candidate.address)
        };
        Some(ChosenServer { key, target, distance })
    }

    /// Records the start of an attempt in the route table.
    pub(crate) fn begin_attempt(
        &mut self,
        server: ChosenServer,
        class: &call_class::CallClass,
        now: time::Instant,
    ) -> Option<RunningAttempt> {
        let lane = route_lane(class.lane);
        let call = self.routes.table.begin(server.key, &class.name, lane, now)?;
        let distance = server.distance;
        Some(RunningAttempt { call, distance })
    }

    /// Records the result of the current attempt of a call, unless it is already recorded: the reported level, the
    /// latency, and the bytes from other regions.
    pub(crate) fn end_attempt(&mut self, call: ids::CallId, result: core_command::AttemptResult, now: time::Instant) {
        let Some(entry) = self.calls.outgoing_mut(call) else {
            return;
        };
        let (route, open) = (entry.route.take(), std::mem::take(&mut entry.attempt_open));
        if !open {
            return;
        }
        if let core_command::AttemptResult::Completed {
            report: Some(report), ..
        }
        | core_command::AttemptResult::Refused {
            report: Some(report), ..
        } = result
        {
            let origin = match entry.parent {
                Some(_) => level_view::CallOrigin::Nested,
                None => level_view::CallOrigin::Entry,
            };
            let key = view_key(&entry.context);
            self.levels.add_report(&entry.service, &key, report, origin, now);
        }
        let Some(route) = route else {
            return;
        };
        self.routes.table.finish(route.call, route_result(result), now);
        if let core_command::AttemptResult::Completed { latency, bytes, .. } = result {
            // The latency of a hedged call is measured from its first attempt. Without hedged calls, the percentile
            // from which the hedge delay is set would shrink.
            if !entry.retried {
                self.routes
                    .hedges
                    .record(&entry.service, &entry.class.name, latency, now);
            }
            if route.distance == server_location::ServerDistance::CrossRegion {
                self.routes.region_budget.charge(&entry.class.name, bytes, now);
                self.metrics.count_cross_region(&entry.class, bytes);
            }
        }
    }

    /// Records in the route table that an attempt was cancelled.
    pub(crate) fn cancel_attempt(&mut self, route: RunningAttempt, now: time::Instant) {
        let result = route_candidate::RouteResult::Cancelled;
        self.routes.table.finish(route.call, result, now);
    }

    /// Returns whether a call may be retried with regard to the load of its service: the service does not shed calls of
    /// its importance, or its class is critical. While the service sheds, a retry would displace another request.
    pub(crate) fn has_retry_capacity(&self, call: ids::CallId, now: time::Instant) -> bool {
        let Some(entry) = self.calls.outgoing(call) else {
            return false;
        };
        let critical = self.classes.is_critical(&entry.context.class);
        let importance = entry.context.level.importance;
        let key = view_key(&entry.context);
        critical || !self.levels.sheds(&entry.service, &key, importance, now)
    }

    /// Runs the periodic checks of the route table, and records ejections and returns of servers.
    pub(crate) fn tick_routes(&mut self, now: time::Instant) {
        for event in self.routes.table.tick(now) {
            let (key, cause) = match event {
                route_candidate::RouteEvent::Ejected { key, cause } => (key, Some(cause)),
                route_candidate::RouteEvent::Returned { key } => (key, None),
            };
            let Some(candidate) = self.routes.table.candidate(key) else {
                continue;
            };
            let daemon_id = ids::text(&candidate.daemon_id);
            match cause {
                Some(cause) => {
                    log::warn!(daemon:% = daemon_id, cause:? = cause; "server ejected");
                    self.metrics.count_ejected(&candidate.service, cause_text(cause));
                }
                None => log::info!(daemon:% = daemon_id; "server gets calls again"),
            }
        }
    }
}

/// Returns the class and tenant of a request, by which levels are reported.
pub(crate) fn view_key(context: &call_context::CallContext) -> level_view::ViewKey {
    (context.class.clone(), context.tenant.clone())
}

fn cause_text(cause: straggler_ejection::EjectionCause) -> &'static str {
    match cause {
        straggler_ejection::EjectionCause::Straggler => "straggler",
        straggler_ejection::EjectionCause::Unreachable => "unreachable",
    }
}

fn route_lane(lane: call_class::CallLane) -> route_candidate::RouteLane {
    match lane {
        call_class::CallLane::Short => route_candidate::RouteLane::Short,
        call_class::CallLane::Long => route_candidate::RouteLane::Long,
    }
}

fn route_result(result: core_command::AttemptResult) -> route_candidate::RouteResult {
    match result {
        core_command::AttemptResult::Completed { .. } => route_candidate::RouteResult::Completed,
        core_command::AttemptResult::Refused { reason, .. } => route_candidate::RouteResult::Refused(reason),
        core_command::AttemptResult::NotSent => {
            route_candidate::RouteResult::Refused(call_outcome::RefusalReason::BackendServerDown)
        }
        core_command::AttemptResult::Failed => route_candidate::RouteResult::Failed,
        core_command::AttemptResult::Silent => route_candidate::RouteResult::Silent,
        // A passed deadline is as often caused by a service further down the chain, so it counts only as latency.
        core_command::AttemptResult::Deadline | core_command::AttemptResult::Cancelled => {
            route_candidate::RouteResult::Cancelled
        }
    }
}
