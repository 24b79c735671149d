//! What all I/O threads of a daemon share.

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

/// Shared parts of a daemon; none of them decides anything.
#[derive(Debug)]
pub struct NodeShared {
    /// Verified settings.
    pub settings: daemon_settings::DaemonSettings,
    /// Daemon and incarnation.
    pub identity: request_identity::RequestOwner,
    /// Address at which peers reach this daemon.
    pub peer_address: net::SocketAddr,
    /// Owner of all decisions.
    pub core: core_thread::CoreHandle,
    /// Messages that nobody waits for.
    pub effects: node_effects::NodeEffects,
    /// Client of other daemons.
    pub peers: sync::Arc<peer_client::PeerClient>,
    /// Client of the local backend server.
    pub backend: Option<sync::Arc<backend_client::BackendClient>>,
    /// Client of the platform's store.
    pub store: Option<sync::Arc<store_client::StoreClient>>,
    /// Workers of the entry side.
    pub pool: worker_pool::WorkerPool,
    /// Instruments.
    pub metrics: node_metrics::NodeMetrics,
    /// Bytes of the control work.
    pub traffic: control_traffic::ControlTraffic,
    /// Peer requests in progress, until the last byte of their response is written.
    pub peer_requests: atomic::AtomicUsize,
    /// Set when a planned stop begins.
    pub draining: atomic::AtomicBool,
    /// Next call id. It starts at a random number, so that ids of an earlier process are not taken for running calls.
    pub next_call: atomic::AtomicU64,
}

impl NodeShared {
    /// Returns a fresh call id; never 0, which stands for no call.
    pub fn next_call(&self) -> ids::CallId {
        self.next_call.fetch_add(1, atomic::Ordering::Relaxed).max(1)
    }
}
