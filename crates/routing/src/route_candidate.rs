//! What the router is told about servers and calls.

use std::net;
use std::time;

use damasktrack_entity::call_outcome;
use damasktrack_entity::ids;
use damasktrack_entity::server_location;

slotmap::new_key_type! {
    /// Key of a server in the route table.
    pub struct ServerKey;
    /// Key of a running call in the route table.
    pub struct CallKey;
}

/// Lane of a call; long work has connections and limits of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteLane {
    /// Short work.
    Short,
    /// Long work such as downloads.
    Long,
}

/// State of a server as its daemon announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// Takes calls.
    Ready,
    /// Not heard of for some time; used only while no ready server can take a call.
    Suspect,
    /// Takes no calls yet.
    Starting,
    /// Never gets calls again in this incarnation.
    Leaving,
}

/// A server that may be called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCandidate {
    /// Daemon beside the backend server.
    pub daemon_id: ids::DaemonId,
    /// Incarnation of the daemon; another one resets what was observed.
    pub incarnation: ids::Incarnation,
    /// Service of the backend server.
    pub service: ids::ServiceName,
    /// Peer address of the daemon.
    pub address: net::SocketAddr,
    /// Where the server runs.
    pub location: server_location::ServerLocation,
    /// Concurrent calls that the backend server is declared to handle.
    pub slots: u32,
    /// State as announced.
    pub state: CandidateState,
    /// When the server became ready, if that was seen; `None` for servers that were ready before this daemon started.
    pub ready_since: Option<time::Instant>,
}

/// A call that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Service that is called.
    pub service: &'a ids::ServiceName,
    /// Class of the call; latencies are compared within one class only.
    pub class: &'a ids::ClassName,
    /// Lane of the class.
    pub lane: RouteLane,
    /// Whether the call may leave the region, by declaration and by the region budget.
    pub cross_region: bool,
    /// Whether the call may be sent to an ejected server as a probe; false for critical and non-idempotent classes.
    pub may_probe: bool,
    /// Servers that were tried already for this call.
    pub exclude: &'a [ServerKey],
}

/// Where to send a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send it to this server.
    Use {
        /// The server.
        key: ServerKey,
        /// Whether the server is ejected and the call tests it.
        probe: bool,
        /// Distance of the server; bytes of calls that cross regions are charged to the region budget.
        distance: server_location::ServerDistance,
    },
    /// No known server may take the call.
    NoCandidate,
}

/// How a call ended, as this daemon observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteResult {
    /// A complete response arrived.
    Completed,
    /// The call did not run.
    Refused(call_outcome::RefusalReason),
    /// The call ran without a complete response.
    Failed,
    /// The connection was silent for too long.
    Silent,
    /// The caller went away, or another copy of the call answered first.
    Cancelled,
}

/// Change that the router made on its own observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteEvent {
    /// The server gets only probes from now on.
    Ejected {
        /// The server.
        key: ServerKey,
        /// Why.
        cause: crate::straggler_ejection::EjectionCause,
    },
    /// The server gets calls again.
    Returned {
        /// The server.
        key: ServerKey,
    },
}
