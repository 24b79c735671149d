//! Configuration messages that daemons exchange.

use std::net;
use std::sync;

use damasktrack_entity::ids;
use damasktrack_resource::change_log;

/// Push of configuration changes to a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PushRequest {
    /// Address of the sender's peer server, from which the receiver can fetch missing changes.
    pub sender: net::SocketAddr,
    /// Changes in ascending order of revision.
    pub changes: Vec<sync::Arc<change_log::ConfigChange>>,
    /// Whether the receiver pushes newly applied changes to its own peers, which in turn don't push them.
    pub spread: bool,
}

/// Reply to a [`ConfigRequest`](damasktrack_wire::peer_message::ConfigRequest).
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigReply {
    /// Revision in force at the sender of the reply.
    pub revision: ids::Revision,
    /// Whether a starting daemon may rely on the revision: the sender has completed its own synchronization at
    /// start-up, or has no store.
    pub settled: bool,
    /// Changes after the requested revision, in ascending order.
    pub changes: Vec<sync::Arc<change_log::ConfigChange>>,
    /// Whole configuration, if the sender no longer holds the requested changes.
    pub snapshot: Option<change_log::ConfigSnapshot>,
}
