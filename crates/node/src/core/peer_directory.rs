//! Live daemons other than this one, from the member table. They own requests and receive configuration changes.

use std::collections;
use std::net;

use damasktrack_entity::ids;
use damasktrack_entity::request_identity;
use damasktrack_entity::server_location;
use damasktrack_membership::member_record;

/// Identity, address and backend server of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Daemon and incarnation.
    pub owner: request_identity::RequestOwner,
    /// Address of its peer server.
    pub address: net::SocketAddr,
    /// Service of its backend server; `None` if it has no backend server.
    pub service: Option<ids::ServiceName>,
    /// Region and data centre in which it runs.
    pub location: server_location::ServerLocation,
    /// Slots of its backend server.
    pub slots: u32,
    /// State in the member table.
    pub state: member_record::MemberState,
}

impl PeerIdentity {
    /// Returns the identity of the daemon in a member record, where an empty service stands for none.
    #[must_use]
    pub fn of(record: &member_record::MemberRecord) -> Self {
        Self {
            owner: request_identity::RequestOwner {
                daemon_id: record.daemon_id.clone(),
                incarnation: record.incarnation,
            },
            address: record.address,
            service: Some(record.service.clone()).filter(|service| !service.is_empty()),
            location: record.location.clone(),
            slots: record.slots,
            state: record.state,
        }
    }
}

/// Live daemons by id, without this one.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: collections::BTreeMap<ids::DaemonId, PeerIdentity>,
}

/// Commands.
impl PeerDirectory {
    /// Adds or replaces a live daemon.
    pub fn insert(&mut self, identity: PeerIdentity) {
        self.peers.insert(identity.owner.daemon_id.clone(), identity);
    }

    /// Removes a daemon that is dead or has left.
    pub fn remove(&mut self, daemon_id: &ids::DaemonId) {
        self.peers.remove(daemon_id);
    }
}

/// Queries.
impl PeerDirectory {
    /// Returns the daemon of an owner, if that incarnation is live.
    #[must_use]
    pub fn find_owner(&self, owner: &request_identity::RequestOwner) -> Option<&PeerIdentity> {
        self.peers
            .get(&owner.daemon_id)
            .filter(|peer| peer.owner.incarnation == owner.incarnation)
    }

    /// Returns all live daemons except this one, ordered by id.
    pub fn peers(&self) -> impl Iterator<Item = &PeerIdentity> {
        self.peers.values()
    }
}
