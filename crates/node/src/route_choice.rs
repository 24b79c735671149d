//! Decision point: choice of a backend server. To be replaced by `routing::route_table::RouteTable`, whose functions
//! have these names.

use std::collections;
use std::net;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

/// Time for which a server that refused a connection or fell silent gets no calls.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of a candidate.
    pub struct RouteKey;
}

/// How a candidate is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// The backend server beside this daemon.
    Local,
    /// The daemon beside the backend server.
    Peer(net::SocketAddr),
}

/// Backend server that calls may go to.
#[derive(Clone, Debug)]
pub struct RouteCandidate {
    /// Daemon beside it.
    pub daemon_id: ids::DaemonId,
    /// Service.
    pub service: ids::ServiceName,
    /// Where it runs.
    pub location: server_location::ServerLocation,
    /// How it is reached.
    pub target: RouteTarget,
}

/// Call that needs a backend server.
#[derive(Debug)]
pub struct RouteRequest<'a> {
    /// Service.
    pub service: &'a ids::ServiceName,
    /// Candidates that were tried for the same call.
    pub tried: &'a [RouteKey],
}

/// Chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the call there.
    Use(RouteKey, RouteTarget),
    /// No server of the service is known that may take the call.
    NoCandidate,
}

/// How a call at a candidate ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteResult {
    /// The response is complete.
    Completed {
        /// Time until the end of the response.
        latency: time::Duration,
        /// Length of its body.
        bytes: u64,
    },
    /// The call did not run.
    Refused(call_outcome::RefusalReason),
    /// The call did not complete.
    Failed,
    /// The connection fell silent.
    Silent,
    /// The caller went away.
    Cancelled,
}

#[derive(Debug)]
struct CandidateState {
    candidate: RouteCandidate,
    in_flight: u32,
    ejected_until: Option<time::Instant>,
}

/// Candidates of all services; the one with the fewest calls in flight is chosen.
#[derive(Debug, Default)]
pub struct RouteTable {
    candidates: slotmap::SlotMap<RouteKey, CandidateState>,
    by_daemon: collections::HashMap<ids::DaemonId, RouteKey>,
    by_service: collections::HashMap<ids::ServiceName, Vec<RouteKey>>,
    turn: usize,
}

impl RouteTable {
    /// Adds or replaces the candidate of a daemon.
    pub fn upsert(&mut self, candidate: RouteCandidate) -> RouteKey {
        self.remove(&candidate.daemon_id);
        let daemon_id = candidate.daemon_id.clone();
        let service = candidate.service.clone();
        let key = self.candidates.insert(CandidateState {
            candidate,
            in_flight: 0,
            ejected_until: None,
        });
        self.by_daemon.insert(daemon_id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes the candidate of a daemon.
    pub fn remove(&mut self, daemon_id: &ids::DaemonId) {
        let Some(key) = self.by_daemon.remove(daemon_id) else {
            return;
        };
        let Some(state) = self.candidates.remove(key) else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&state.candidate.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Chooses a candidate.
    pub fn choose(&mut self, request: &RouteRequest<'_>, now: time::Instant) -> RouteChoice {
        let Some(keys) = self.by_service.get(request.service) else {
            return RouteChoice::NoCandidate;
        };
        self.turn = self.turn.wrapping_add(1);
        let mut best: Option<(u32, RouteKey)> = None;
        for offset in 0..keys.len() {
            let key = keys[(self.turn + offset) % keys.len()];
            let state = &self.candidates[key];
            let ejected = state.ejected_until.is_some_and(|until| until > now);
            if ejected || request.tried.contains(&key) {
                continue;
            }
            if best.is_none_or(|best| state.in_flight < best.0) {
                best = Some((state.in_flight, key));
            }
        }
        match best {
            Some((_, key)) => RouteChoice::Use(key, self.candidates[key].candidate.target),
            None => RouteChoice::NoCandidate,
        }
    }

    /// Counts a call as in flight.
    pub fn begin(&mut self, key: RouteKey, _now: time::Instant) {
        if let Some(state) = self.candidates.get_mut(key) {
            state.in_flight += 1;
        }
    }

    /// Takes the result of a call.
    pub fn finish(&mut self, key: RouteKey, result: RouteResult, now: time::Instant) {
        let Some(state) = self.candidates.get_mut(key) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match result {
            RouteResult::Silent
            | RouteResult::Refused(
                call_outcome::RefusalReason::BackendServerDown | call_outcome::RefusalReason::Leaving,
            ) => state.ejected_until = Some(now + EJECTION_TIME),
            RouteResult::Completed { .. } => state.ejected_until = None,
            RouteResult::Refused(_) | RouteResult::Failed | RouteResult::Cancelled => {}
        }
    }
}
