//! Gossip on virtual time. Each check is also run with its mechanism switched off and must then object.

mod virtual_network;

use std::time::Duration;

use damasktrack_membership::gossip_context::GossipEvent;
use damasktrack_membership::gossip_message;
use damasktrack_membership::member_record::MemberState;
use virtual_network::{Fault, Network, address, region};

const SEED: u64 = 20_261_204;
/// Periods within which 64 members know that one leaves, with one datagram in ten lost; 2 to 4 were measured.
const LEAVE_PERIODS: u32 = 6;
/// Periods within which 64 members hold a silent one for dead, with one datagram in ten lost; 6 to 9 were measured.
const DEAD_PERIODS: u32 = 12;
/// Periods after a partition within which all members are up everywhere; 11 to 14 were measured for 64 members.
const HEAL_PERIODS: u32 = 30;

fn network(members: usize, fault: Fault) -> Network {
    println!("seed {SEED}");
    let mut network = Network::steady(members, SEED);
    network.fault = fault;
    network
}

fn leaving_is_known(fault: Fault) -> Result<(), String> {
    let mut network = network(64, fault);
    network.loss = 0.1;
    network.command(5, damasktrack_membership::gossip_context::GossipContext::drain);
    let periods = network.periods_until(LEAVE_PERIODS, |network| network.candidate_count(5) == 0);
    println!("leaving known after {periods:?} periods");
    periods
        .map(|_periods| ())
        .ok_or_else(|| format!("{} members still call it", network.candidate_count(5)))
}

/// Guards against calls to a leaving server because its record spread too slowly.
#[test]
fn leaving_server_is_no_candidate_within_periods() {
    leaving_is_known(Fault::None).unwrap();
}

#[test]
fn lost_leave_records_are_objected_to() {
    leaving_is_known(Fault::NoLeaving).unwrap_err();
}

/// A member that drains and is then suspected, dead and back again must not be a candidate at anyone who saw it leave.
fn leaving_is_final(hide_flag: bool) -> Result<(), String> {
    let mut network = network(24, Fault::None);
    network.loss = 0.1;
    network.command(5, damasktrack_membership::gossip_context::GossipContext::drain);
    network.run(Duration::from_secs(15));
    network.nodes[5].paused = true;
    for second in 0..30 {
        network.nodes[5].paused = second < 10;
        if hide_flag && second == 1 {
            let mut stale = network.nodes[5].context.own_record().clone();
            (stale.leaving, stale.state, stale.version) = (false, MemberState::Up, stale.version + 9);
            stale.started_ms += 1;
            network.command(0, |context, now| context.learn(&[stale], now));
        }
        network.run(Duration::from_secs(1));
        if network.candidate_count(5) > 0 {
            return Err(format!("candidate again after {second} s"));
        }
    }
    Ok(())
}

/// Guards against a suspicion, its refutation or a death hiding that the server leaves.
#[test]
fn suspicion_does_not_hide_leaving() {
    leaving_is_final(false).unwrap();
}

#[test]
fn hidden_leaving_is_objected_to() {
    leaving_is_final(true).unwrap_err();
}

fn death_is_noticed(fault: Fault) -> Result<(), String> {
    let mut network = network(64, fault);
    network.loss = 0.1;
    network.nodes[7].running = false;
    let periods = network.periods_until(DEAD_PERIODS, |network| network.all_see(7, MemberState::Dead));
    println!("death known after {periods:?} periods");
    periods
        .map(|_periods| ())
        .ok_or_else(|| "not dead everywhere".to_owned())
}

/// Guards against calls to a dead server beyond the stated periods.
#[test]
fn dead_member_is_noticed_within_periods() {
    death_is_noticed(Fault::None).unwrap();
}

#[test]
fn stopped_detectors_are_objected_to() {
    death_is_noticed(Fault::NoTicks).unwrap_err();
}

fn paused_member_returns(fault: Fault) -> Result<(), String> {
    let mut network = network(32, fault);
    let version = network.nodes[8].context.own_record().version;
    network.nodes[8].paused = true;
    network.run(Duration::from_secs(20));
    if !network.all_see(8, MemberState::Dead) {
        return Err("a member silent for 20 s is not dead".to_owned());
    }
    network.nodes[8].paused = false;
    network.run(Duration::from_secs(20));
    if !network.all_up() {
        return Err("not all members are up again".to_owned());
    }
    if network.nodes[8].context.own_record().version <= version {
        return Err("the version did not rise".to_owned());
    }
    let judged = network.nodes[8].events.iter().any(|event| match event {
        GossipEvent::MemberChanged { key, .. } => {
            let entry = network.nodes[8].context.table().get(*key).unwrap();
            !entry.record.state.is_live()
        }
        _ => false,
    });
    if judged {
        Err("it held others for dead".to_owned())
    } else {
        Ok(())
    }
}

/// Guards against a member staying dead after a pause, and against its judging others by the pause.
#[test]
fn paused_member_refutes() {
    paused_member_returns(Fault::None).unwrap();
}

#[test]
fn lost_claims_are_objected_to() {
    paused_member_returns(Fault::NoRefutation).unwrap_err();
}

fn partition_heals(fault: Fault, members: usize, cut: Duration) -> Result<(), String> {
    let mut network = network(members, fault);
    network.cut = true;
    network.run(cut);
    let near = network
        .views(0)
        .filter(|(node, _seen)| region(*node) == 0)
        .all(|(_node, seen)| seen == Some(MemberState::Up));
    let far = network
        .views(0)
        .filter(|(node, _seen)| region(*node) != 0)
        .all(|(_node, seen)| seen == Some(MemberState::Dead));
    if !near || !far {
        return Err("the partition was not noticed, or was noticed within a region".to_owned());
    }
    network.cut = false;
    // Members of one side must not be held for dead there because the other side held them so.
    for period in 0..HEAL_PERIODS {
        for index in 0..members {
            let dead = network
                .views(index)
                .any(|(node, seen)| (region(node) == 0) == (region(index) == 0) && seen == Some(MemberState::Dead));
            if dead {
                return Err(format!("vm-{index} is dead in its own region after {period} periods"));
            }
        }
        if network.all_up() {
            println!("healed after {period} periods");
            return Ok(());
        }
        network.run(Duration::from_secs(1));
    }
    Err("the regions did not find each other".to_owned())
}

/// Guards against regions that stay apart after an hour, as on an ordinary month.
#[test]
fn region_returns_after_an_hour() {
    partition_heals(Fault::None, 9, Duration::from_hours(1)).unwrap();
}

/// Guards against deaths within a region from the claims of the other one.
#[test]
fn claims_of_the_other_region_kill_nobody() {
    partition_heals(Fault::None, 64, Duration::from_mins(2)).unwrap();
}

#[test]
fn regions_without_dead_probes_are_objected_to() {
    partition_heals(Fault::NoDeadProbes, 12, Duration::from_mins(2)).unwrap_err();
}

fn restart_wins(fault: Fault) -> Result<(), String> {
    let mut network = network(24, fault);
    network.duplication = 0.2;
    let old = network.nodes[3].context.own_record().clone();
    network.nodes[3].running = false;
    network.run(Duration::from_millis(500));
    network.restart(3, 2000, &[address(0), address(1)]);
    for period in 0..20_usize {
        // Stale gossip about the old incarnation, as a slow path or a long pause would deliver it.
        let mut stale = old.clone();
        stale.version += 100 + period as u64;
        stale.state = [
            MemberState::Dead,
            MemberState::Up,
            MemberState::Left,
            MemberState::Suspect,
        ][period % 4];
        network.command(period + 4, |context, now| context.learn(&[stale], now));
        network.run(Duration::from_secs(1));
    }
    let id = &old.daemon_id;
    let wrong = network.nodes.iter().filter(|node| {
        let entry = node.context.table().find(id);
        entry.is_none_or(|entry| entry.record.started_ms != 2000 || entry.record.state != MemberState::Up)
    });
    match wrong.count() {
        0 => Ok(()),
        count => Err(format!("{count} members do not know the new incarnation")),
    }
}

/// Guards against a restarted server being shadowed by records of its last process.
#[test]
fn higher_incarnation_wins_over_stale_gossip() {
    restart_wins(Fault::None).unwrap();
}

#[test]
fn hidden_restart_is_objected_to() {
    restart_wins(Fault::NoUpdates).unwrap_err();
}

/// Guards against two processes of one id fighting, and against a clock that was set back hiding a new process.
#[test]
fn later_start_supersedes_and_earlier_clock_is_corrected() {
    let mut network = network(8, Fault::None);
    network.run(Duration::from_mins(1));
    let mut later = network.nodes[3].context.own_record().clone();
    later.started_ms = 5000;
    network.command(3, |context, now| context.learn(std::slice::from_ref(&later), now));
    assert!(network.nodes[3].events.contains(&GossipEvent::Superseded));
    assert_eq!(network.nodes[3].context.own_record().started_ms, 1000);

    network.nodes[4].running = false;
    network.restart(4, 10, &[address(0)]);
    network.run(Duration::from_secs(20));
    assert!(network.nodes[4].context.own_record().started_ms > 1000);
    assert!(network.all_see(4, MemberState::Up));
}

fn differing_tables_meet(fault: Fault) -> Result<(), String> {
    let mut network = network(24, fault);
    // Only one member reads the row of a new one that reaches nobody by itself at first.
    let index = network.add(virtual_network::record(24, 3000));
    network.nodes[index].paused = true;
    let row = network.nodes[index].context.own_record().clone();
    network.command(0, |context, now| context.learn_rows(&[row], now));
    network.nodes[index].paused = false;
    network.run(Duration::from_mins(1));
    println!("{} exchanges", network.exchanges);
    if network.equal_digests() {
        Ok(())
    } else {
        Err("tables differ".to_owned())
    }
}

/// Guards against members that miss a record for good; exchanges alone must level the tables.
#[test]
fn exchanges_level_tables() {
    differing_tables_meet(Fault::NoUpdates).unwrap();
}

#[test]
fn missing_exchanges_are_objected_to() {
    differing_tables_meet(Fault::NoUpdatesOrExchanges).unwrap_err();
}

/// Guards against a change under way starting an exchange at each member, and against datagrams that fragment.
#[test]
fn ordinary_changes_start_no_exchanges() {
    let mut network = network(64, Fault::None);
    for index in 10..20 {
        network.command(index, damasktrack_membership::gossip_context::GossipContext::drain);
        network.run(Duration::from_secs(20));
    }
    assert!(network.equal_digests());
    assert_eq!(network.exchanges, 0);
    assert!(network.largest_datagram <= gossip_message::MAX_DATAGRAM_BYTES);
}

/// Guards against updates that are piggybacked forever or that overrun the datagram when many members change.
#[test]
fn updates_are_bounded() {
    let mut network = Network::empty(SEED);
    for index in 0..64 {
        network.add(virtual_network::record(index, 1000));
    }
    for index in 0..64 {
        network.command(index, |context, now| {
            context.join(&[address(0), address(1), address(2)], now)
        });
        network.command(index, damasktrack_membership::gossip_context::GossipContext::set_up);
    }
    let periods = network.periods_until(60, Network::all_up);
    println!(
        "64 members know each other after {periods:?} periods, {} exchanges",
        network.exchanges
    );
    assert!(periods.is_some());
    assert!(network.largest_datagram <= gossip_message::MAX_DATAGRAM_BYTES);
    network.run(Duration::from_mins(2));
    let queued: usize = network.nodes.iter().map(|node| node.context.queued_updates()).sum();
    assert_eq!(queued, 0, "updates still queued");
}

/// Guards against other programs' datagrams or cut ones stopping the daemon.
#[test]
fn malformed_datagrams_are_counted() {
    let mut network = network(2, Fault::None);
    let bytes = gossip_message::encode(&gossip_message::GossipMessage {
        sender: bytes::Bytes::from_static(b"vm-1"),
        digest: 1,
        revision: 2,
        kind: gossip_message::GossipKind::ProbeAck {
            sequence: 1,
            subject: bytes::Bytes::from_static(b"vm-1"),
        },
        updates: vec![network.nodes[1].context.own_record().clone()],
    })
    .unwrap();
    for length in 0..bytes.len() {
        network.command(0, |context, now| context.receive(address(1), &bytes[..length], now));
    }
    assert_eq!(network.nodes[0].context.traffic().malformed, bytes.len() as u64);
    let mut extreme = network.nodes[0].context.own_record().clone();
    extreme.version = u64::MAX;
    network.command(0, |context, now| context.learn(std::slice::from_ref(&extreme), now));
    extreme.started_ms = u64::MAX;
    network.command(0, |context, now| context.learn(&[extreme], now));
}

/// Guards against the network delay being taken from late or indirect answers.
#[test]
fn network_delay_is_measured_by_location() {
    let network = network(18, Fault::None);
    let mut network = network;
    network.run(Duration::from_mins(1));
    let context = &network.nodes[0].context;
    let near = context.network_delay(&virtual_network::record(6, 0).location).unwrap();
    let far = context.network_delay(&virtual_network::record(1, 0).location).unwrap();
    assert!(near < Duration::from_millis(15), "{near:?}");
    assert!(
        (Duration::from_millis(60)..Duration::from_millis(75)).contains(&far),
        "{far:?}"
    );
}
