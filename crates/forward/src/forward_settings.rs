//! Settings of a daemon, as the platform supplies them at the start.

use std::net;
use std::time;

use damasktrack_entity::ids;
use damasktrack_entity::server_location;
use damasktrack_quarantine::quarantine_table;

use crate::header_names;
use crate::process_limits;
use crate::retry_share;

/// Settings of a daemon that are fixed for the lifetime of its process.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Id of the daemon, stable across restarts.
    pub daemon_id: ids::DaemonId,
    /// Region and data centre of the daemon.
    pub location: server_location::ServerLocation,
    /// Service of the backend server beside the daemon.
    pub service: ids::ServiceName,
    /// Address for callers and for the calls of the backend server.
    pub entry_listen: net::SocketAddr,
    /// Address of the readiness check.
    pub ready_listen: net::SocketAddr,
    /// TCP address for calls of other daemons, and UDP address for gossip.
    pub peer_listen: net::SocketAddr,
    /// Address of the metrics endpoint; `None` if metrics are not served.
    pub metrics_listen: Option<net::SocketAddr>,
    /// Address of the backend server.
    pub server_address: net::SocketAddr,
    /// Peer addresses of other daemons; they may be stale.
    pub seeds: Vec<net::SocketAddr>,
    /// Time from SIGTERM until the platform kills the process.
    pub stop_grace: time::Duration,
    /// Bounds of repeated requests, summed over all daemons.
    pub retry_bounds: retry_share::RetryBounds,
    /// Bounds of the tenants' quotas; `None` if there are no quotas.
    pub quota_bounds: Option<QuotaBounds>,
    /// Time since the last confirmation of the configuration after which requests with a key are refused; `None` if
    /// they are served without a limit.
    pub revoke_limit: Option<time::Duration>,
    /// Longest time from the end of an outage of the store until a change of the configuration is heard.
    pub hear_limit: time::Duration,
    /// When a request that crashes the servers that run it is refused.
    pub quarantine: quarantine_table::QuarantinePolicy,
    /// Memory and descriptors of the process.
    pub process_limits: process_limits::ProcessLimits,
    /// Names of the headers that the deployment uses.
    pub headers: header_names::HeaderNames,
}

/// Bounds of the requests of a tenant that run in any window, summed over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: time::Duration,
    /// Share of the rate and burst of a tenant by which a window may exceed them.
    pub over: f64,
    /// Requests by which a window may exceed them in addition.
    pub slack: f64,
}
