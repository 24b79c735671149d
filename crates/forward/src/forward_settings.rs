//! Settings of a daemon.

use std::net;
use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;

use crate::header_names;
use crate::retry_share;

/// Settings of a daemon that are fixed for the life of its process.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Name of the daemon, stable over restarts.
    pub daemon_id: ids::DaemonId,
    /// Where it runs.
    pub location: server_location::ServerLocation,
    /// Service of the backend server beside the daemon.
    pub service: ids::ServiceName,
    /// Address for callers and for the calls of the backend server.
    pub entry_listen: net::SocketAddr,
    /// Address of the readiness check.
    pub ready_listen: net::SocketAddr,
    /// TCP address for calls of other daemons, and UDP address for gossip.
    pub peer_listen: net::SocketAddr,
    /// Address of the metrics, if they are served.
    pub metrics_listen: Option<net::SocketAddr>,
    /// Address of the backend server.
    pub server_address: net::SocketAddr,
    /// Peer addresses of other daemons; they may be stale.
    pub seeds: Vec<net::SocketAddr>,
    /// Time from SIGTERM until the process is killed.
    pub stop_grace: time::Duration,
    /// Bounds of repeated requests over all daemons.
    pub retry_bounds: retry_share::RetryBounds,
    /// Header names.
    pub headers: header_names::HeaderNames,
}
