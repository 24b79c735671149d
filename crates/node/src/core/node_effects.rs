//! Messages that the core sends without waiting for their result.

use std::net;
use std::sync;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_wire::peer_message;

use crate::backend::backend_client;
use crate::call::class_snapshot;
use crate::core::config_signal;
use crate::peer::config_message;
use crate::peer::peer_client;
use crate::transport::worker_pool;

/// Maximum number of threads that send messages. Each message has a timeout, so a few threads are enough.
const MAX_MESSAGE_WORKERS: usize = 16;

/// Clients through which the core sends messages without blocking its thread.
#[derive(Clone, Debug)]
pub struct NodeEffects {
    identity: request_identity::RequestOwner,
    peers: sync::Arc<peer_client::PeerClient>,
    backend: Option<sync::Arc<backend_client::BackendClient>>,
    config: config_signal::ConfigSignal,
    classes: class_snapshot::ClassSnapshot,
    pool: worker_pool::WorkerPool,
}

impl NodeEffects {
    /// Creates the worker pool for messages to peers and to the backend server, if there is one.
    #[must_use]
    pub fn new(
        identity: request_identity::RequestOwner,
        peers: sync::Arc<peer_client::PeerClient>,
        backend: Option<sync::Arc<backend_client::BackendClient>>,
    ) -> Self {
        Self {
            identity,
            peers,
            backend,
            config: config_signal::ConfigSignal::default(),
            classes: class_snapshot::ClassSnapshot::default(),
            pool: worker_pool::WorkerPool::new("message", MAX_MESSAGE_WORKERS),
        }
    }

    /// Cancels a call at the peer to which it was sent.
    pub fn cancel_at_peer(&self, address: net::SocketAddr, call: ids::CallId) {
        let request = peer_message::CancelRequest {
            sender: self.identity.clone(),
            sender_call: call,
        };
        let peers = sync::Arc::clone(&self.peers);
        self.submit(move || {
            if let Err(error) = peers.message::<_, ()>(address, "/peer/cancel", &request) {
                log::info!(peer:% = address, error:% = error; "cancellation at a peer failed");
            }
        });
    }

    /// Cancels a call at the backend server.
    pub fn cancel_at_backend_server(&self, call: ids::CallId) {
        if let Some(backend) = self.backend.clone() {
            self.submit(move || backend.cancel(call));
        }
    }

    /// Notifies the backend server that its planned stop begins.
    pub fn drain_backend_server(&self) {
        if let Some(backend) = self.backend.clone() {
            self.submit(move || backend.drain());
        }
    }

    /// Pushes changes of the configuration to a peer.
    pub fn push_config(&self, address: net::SocketAddr, request: config_message::PushRequest) {
        let peers = sync::Arc::clone(&self.peers);
        self.submit(move || {
            if let Err(error) = peers.message::<_, ids::Revision>(address, "/peer/push", &request) {
                log::debug!(peer:% = address, error:% = error; "push of configuration changes to a peer failed");
            }
        });
    }

    /// Begins the planned stop of this process by raising SIGTERM.
    pub fn stop_process(&self) {
        if let Err(error) = signal_hook::low_level::raise(signal_hook::consts::SIGTERM) {
            log::error!(error:% = error; "planned stop can't be started");
        }
    }

    /// Returns the signal for threads that wait for the configuration.
    #[must_use]
    pub fn config_signal(&self) -> &config_signal::ConfigSignal {
        &self.config
    }

    /// Returns the classes for threads that plan requests before the core decides about them.
    #[must_use]
    pub fn class_snapshot(&self) -> &class_snapshot::ClassSnapshot {
        &self.classes
    }

    fn submit(&self, job: impl FnOnce() + Send + 'static) {
        if self.pool.submit(job) == worker_pool::SubmitResult::Full {
            // A dropped cancellation still takes effect at the receiver when the connection of the call closes.
            log::warn!("message dropped since all message workers are busy");
        }
    }
}
