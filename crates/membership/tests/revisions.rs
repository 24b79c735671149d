//! Spread of a new configuration revision from one member, in virtual time.

mod virtual_network;

use std::time::Duration;

use damasktrack_membership::gossip_context::GossipEvent;
use virtual_network::Network;

const SEED: u64 = 20_261_207;
/// Time within which all members must have the revision; the shortest `ConfigApply` of the deployments.
const SPREAD_LIMIT: Duration = Duration::from_millis(2_500);
/// Time that a daemon takes to fetch the configuration of a peer.
const FETCH_TIME: Duration = Duration::from_millis(200);

/// Lets member 0 adopt revision 2, and returns after how long `members` have it; `None` if they don't within 10 s.
fn spread_time(members: usize, loss: f64) -> Option<Duration> {
    println!("seed {SEED}");
    let mut network = Network::steady(members, SEED);
    for index in 0..members {
        network.command(index, |context, now| context.announce_revision(1, now));
    }
    network.run(Duration::from_secs(2));
    for node in &mut network.nodes {
        node.events.clear();
    }
    network.loss = loss;
    let begun = network.now;
    network.command(0, |context, now| context.announce_revision(2, now));
    let mut due: Vec<Option<std::time::Instant>> = vec![None; members];
    while network.nodes.iter().any(|node| node.context.revision() < 2) {
        if network.now - begun > Duration::from_secs(10) {
            return None;
        }
        network.step();
        for index in 0..members {
            let is_ahead = |event: &GossipEvent| matches!(event, GossipEvent::RevisionAhead { revision: 2, .. });
            let ahead = network.nodes[index].events.iter().any(is_ahead);
            network.nodes[index].events.clear();
            if ahead && due[index].is_none() {
                due[index] = Some(network.now + FETCH_TIME);
            }
            if due[index].is_some_and(|due| due <= network.now) {
                network.command(index, |context, now| context.announce_revision(2, now));
            }
        }
    }
    Some(network.now - begun)
}

/// Guards against a change that one member heard and that reaches the others only by periodic probes.
#[test]
fn revision_of_one_member_reaches_all_others_soon() {
    for members in [4, 24, 100, 760] {
        let spread = spread_time(members, 0.02);
        println!("{members} members: {spread:?}");
        assert!(spread.is_some_and(|spread| spread <= SPREAD_LIMIT), "{spread:?}");
    }
}
