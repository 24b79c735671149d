//! State shared by all I/O threads of a daemon.

use std::net;
use std::sync;
use std::sync::atomic;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_settings::daemon_settings;

use crate::backend::backend_client;
use crate::call::control_traffic;
use crate::core::core_thread;
use crate::core::node_effects;
use crate::core::node_metrics;
use crate::peer::peer_client;
use crate::store::store_client;
use crate::transport::worker_pool;

/// Shared parts of a daemon. Decisions are made by the core only.
#[derive(Debug)]
pub struct NodeShared {
    /// Validated settings.
    pub settings: daemon_settings::DaemonSettings,
    /// Daemon id and incarnation of this process.
    pub identity: request_identity::RequestOwner,
    /// Address at which peers reach this daemon.
    pub peer_address: net::SocketAddr,
    /// Handle to the core, which makes all decisions.
    pub core: core_thread::CoreHandle,
    /// Sender of messages whose result no call waits for.
    pub effects: node_effects::NodeEffects,
    /// Client of other daemons.
    pub peers: sync::Arc<peer_client::PeerClient>,
    /// Client of the local backend server, if the settings name one.
    pub backend: Option<sync::Arc<backend_client::BackendClient>>,
    /// Client of the platform's store, if the settings name one.
    pub store: Option<sync::Arc<store_client::StoreClient>>,
    /// Worker threads of the entry server, at most `max_calls`.
    pub pool: worker_pool::WorkerPool,
    /// Metric instruments.
    pub metrics: node_metrics::NodeMetrics,
    /// Byte counts of the control traffic: gossip, configuration, store and member exchanges.
    pub traffic: control_traffic::ControlTraffic,
    /// Number of peer requests in progress. A request counts until the last byte of its response is written.
    pub peer_requests: atomic::AtomicUsize,
    /// Whether a planned stop has begun.
    pub draining: atomic::AtomicBool,
    /// Next call id. It starts at a random number, so that an id of an earlier process does not match a running call.
    pub next_call: atomic::AtomicU64,
}

impl NodeShared {
    /// Returns an unused call id; never 0, which means that there is no call.
    pub fn next_call(&self) -> ids::CallId {
        self.next_call.fetch_add(1, atomic::Ordering::Relaxed).max(1)
    }
}
