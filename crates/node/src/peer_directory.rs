//! Decision point: known daemons. To be replaced by `membership::member_table::MemberTable`; until then the daemon asks
//! the `seeds` of its settings who they are.

use std::collections;
use std::net;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_entity::server_location;

/// What a daemon tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerIdentity {
    /// Daemon and incarnation.
    pub owner: request_identity::RequestOwner,
    /// Address of its peer server.
    pub address: net::SocketAddr,
    /// Service of its backend server.
    pub service: Option<ids::ServiceName>,
    /// Where it runs.
    pub location: server_location::ServerLocation,
    /// Calls that its backend server runs at once; 0 without one.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Daemons by id.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: collections::BTreeMap<ids::DaemonId, PeerIdentity>,
}

impl PeerDirectory {
    /// Takes what a daemon tells; returns whether anything changed.
    pub fn learn(&mut self, identity: PeerIdentity) -> bool {
        if self.peers.get(&identity.owner.daemon_id) == Some(&identity) {
            return false;
        }
        self.peers.insert(identity.owner.daemon_id.clone(), identity);
        true
    }
}

/// Queries.
impl PeerDirectory {
    /// Returns the daemon that owns ids of this owner, if that incarnation is known.
    #[must_use]
    pub fn find_owner(&self, owner: &request_identity::RequestOwner) -> Option<&PeerIdentity> {
        self.peers
            .get(&owner.daemon_id)
            .filter(|peer| peer.owner.incarnation == owner.incarnation)
    }

    /// Returns all known daemons.
    pub fn peers(&self) -> impl Iterator<Item = &PeerIdentity> {
        self.peers.values()
    }
}
