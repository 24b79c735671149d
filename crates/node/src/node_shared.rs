//! What all I/O threads of a daemon share.

use std::net;
use std::sync;
use std::sync::atomic;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_settings::daemon_settings;

use crate::backend_client;
use crate::core_thread;
use crate::node_effects;
use crate::node_metrics;
use crate::peer_client;
use crate::peer_directory;
use crate::store_client;
use crate::worker_pool;

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

    /// Returns what this daemon tells about itself.
    #[must_use]
    pub fn describe(&self) -> peer_directory::PeerIdentity {
        peer_directory::PeerIdentity {
            owner: self.identity.clone(),
            address: self.peer_address,
            service: self.settings.service.clone(),
            location: self.settings.location(),
            slots: self.settings.backend_server.as_ref().map_or(0, |backend| backend.slots),
            draining: self.draining.load(atomic::Ordering::Relaxed),
        }
    }
}
