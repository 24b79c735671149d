//! What daemons tell each other of the configuration.

use std::net;
use std::sync;

use damasktrack_entity::ids;
use damasktrack_resource::change_log;

/// Changes that a peer pushes.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PushRequest {
    /// Peer server of the sender, from which missing changes can be fetched.
    pub sender: net::SocketAddr,
    /// Changes in order.
    pub changes: Vec<sync::Arc<change_log::ConfigChange>>,
    /// Whether the receiver pushes them on once.
    pub spread: bool,
}

/// Answer to a [`peer_message::ConfigRequest`].
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigReply {
    /// Revision in force at the peer.
    pub revision: ids::Revision,
    /// Whether the revision counts for a daemon that starts: the peer found a configuration, or has no store to ask.
    pub settled: bool,
    /// Changes after the requested revision, in order.
    pub changes: Vec<sync::Arc<change_log::ConfigChange>>,
    /// Whole configuration, if the changes are no longer kept.
    pub snapshot: Option<change_log::ConfigSnapshot>,
}
