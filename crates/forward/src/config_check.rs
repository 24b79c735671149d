//! Confirmation of the configuration by peers, for a daemon that can't reach the store.
//!
//! Runs only where a limit is set on the age of a confirmation. A peer answers with its version and the age of its own
//! last confirmation, so that all confirmations go back to a response of the store.

use std::net;
use std::rc;
use std::time;

use damasktrack_entity::ids;
use rand::seq::IndexedRandom;
use tokio::task;

use crate::node_context;
use crate::peer_client;
use crate::stall_watch;

/// Checks in the time limit of a confirmation.
const CHECKS_PER_LIMIT: u32 = 8;
/// Peers that are asked at each check. One of them may be cut off from the store as well.
const PEERS_PER_CHECK: usize = 2;

/// How recently the store confirmed the configuration of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigAge {
    /// Version of the configuration in force; 0 for none.
    pub version: ids::Revision,
    /// Time since the last confirmation; `None` before the first.
    pub age: Option<time::Duration>,
}

/// Returns the time for which a peer's reply confirms the configuration of this daemon; `None` if it doesn't. The peer
/// was asked at `sent`. The store had nothing newer than the peer's version then, less the age.
#[must_use]
pub fn confirmed_at(
    own_version: ids::Revision,
    reply: ConfigAge,
    sent: stall_watch::BootTime,
) -> Option<stall_watch::BootTime> {
    let age = reply.age.filter(|_age| reply.version <= own_version)?;
    sent.checked_sub(age)
}

/// Asks peers for a confirmation while that of the store is old; never returns. Returns at once without a limit.
pub async fn run(node: rc::Rc<node_context::NodeContext>) {
    let Some(limit) = node.settings.revoke_limit else {
        return;
    };
    loop {
        tokio::time::sleep(limit / CHECKS_PER_LIMIT).await;
        let age = node
            .core
            .ask(|core, _now| core.confirmation().age(stall_watch::boot_time()));
        if age.is_some_and(|age| age < limit / 2) {
            continue;
        }
        for address in choose_peers(&node) {
            task::spawn_local(ask(rc::Rc::clone(&node), address));
        }
    }
}

fn choose_peers(node: &node_context::NodeContext) -> Vec<net::SocketAddr> {
    node.core.ask(|core, _now| {
        let own = &node.settings.daemon_id;
        let live = core.gossip().table().iter().map(|(_key, entry)| &entry.record);
        let peers: Vec<_> = live
            .filter(|record| record.state.is_live() && record.daemon_id != own)
            .map(|record| record.address)
            .collect();
        peers.sample(&mut rand::rng(), PEERS_PER_CHECK).copied().collect()
    })
}

async fn ask(node: rc::Rc<node_context::NodeContext>, address: net::SocketAddr) {
    let sent = stall_watch::boot_time();
    let reply = peer_client::post(
        &node.peer(address),
        peer_client::CONFIG_AGE_PATH,
        Vec::new(),
        peer_client::PEER_TIMEOUT,
    )
    .await;
    let Some(reply) = reply.and_then(|bytes| rmp_serde::from_slice::<ConfigAge>(&bytes).ok()) else {
        return;
    };
    node.core.ask(|core, _now| {
        let version = core.config().map_or(0, |config| config.version);
        if let Some(at) = confirmed_at(version, reply, sent) {
            core.confirm_config(at);
        }
    });
}

/// Returns the reply to a peer's question.
pub(crate) fn reply(node: &node_context::NodeContext) -> Option<Vec<u8>> {
    let age = node.core.ask(|core, _now| ConfigAge {
        version: core.config().map_or(0, |config| config.version),
        age: core.confirmation().age(stall_watch::boot_time()),
    });
    rmp_serde::to_vec(&age).ok()
}
