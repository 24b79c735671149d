//! Inputs and outputs of the route table: servers, calls, choices and events.

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

/// Lane of a call; long work has its own connections and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteLane {
    /// Calls of classes with short work, which may use more than the slots of a server.
    Short,
    /// Calls of classes with long work, such as downloads, which may use a share of the slots.
    Long,
}

/// State of a server as announced through the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// Gets calls.
    Ready,
    /// Suspected to have failed; gets calls only while no ready server can be used.
    Suspect,
    /// Gets no calls yet.
    Starting,
    /// Never gets calls again in this incarnation.
    Leaving,
}

/// A server that may be called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCandidate {
    /// Daemon that runs beside the backend server.
    pub daemon_id: ids::DaemonId,
    /// Incarnation of the daemon; another one discards all observations of the server.
    pub incarnation: ids::Incarnation,
    /// Service of the backend server.
    pub service: ids::ServiceName,
    /// Peer address of the daemon.
    pub address: net::SocketAddr,
    /// Region and data centre of the server, which give its distance and network delay.
    pub location: server_location::ServerLocation,
    /// Concurrent calls that the backend server is declared to handle.
    pub slots: u32,
    /// State as last announced.
    pub state: CandidateState,
    /// When the server became ready, if this daemon observed it; `None` if the server was ready before this daemon
    /// started.
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
    /// Latency objective of the class; with one, servers are chosen by expected time to completion.
    pub latency_objective: Option<time::Duration>,
}

/// Result of a choice among the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// The call is to be sent to this server.
    Use {
        /// Key of the chosen server, valid until the server is removed.
        key: ServerKey,
        /// Whether the server is ejected, so that the call is a probe.
        probe: bool,
        /// Distance of the server; bytes of calls that cross regions are charged to the region budget.
        distance: server_location::ServerDistance,
    },
    /// No known server may get the call.
    NoCandidate,
}

/// How a call ended, as observed by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteResult {
    /// A complete response arrived.
    Completed,
    /// The call did not run.
    Refused(call_outcome::RefusalReason),
    /// The call ran or may have run, without a complete response.
    Failed,
    /// Nothing was received on the connection within its time-out.
    Silent,
    /// The call was ended before a complete response, for example because the caller disconnected, the deadline passed
    /// or another copy was answered first.
    Cancelled,
}

/// Change of the state of a server that follows from observations of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteEvent {
    /// The server gets only probes from now on.
    Ejected {
        /// Key of the ejected server.
        key: ServerKey,
        /// Observation that led to the ejection.
        cause: crate::straggler_ejection::EjectionCause,
    },
    /// The server gets calls again.
    Returned {
        /// Key of the server that returned.
        key: ServerKey,
    },
}
