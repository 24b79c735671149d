//! Gossip in virtual time. Each check is also run with the mechanism under test disabled, and must then fail.

mod virtual_network;

use std::time::Duration;

use bytes::Bytes;
use damasktrack_membership::gossip_context::GossipEvent;
use damasktrack_membership::gossip_message;
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use damasktrack_membership::server_departure::ServerDeparture;
use virtual_network::{Fault, Network, address, region};

const SEED: u64 = 20_261_204;
/// Periods within which 64 members must receive that one leaves, with one datagram in ten lost. Runs take 2 to 4.
const LEAVE_PERIODS: u32 = 6;
/// Periods within which 64 members must detect the death of one, with one datagram in ten lost. Runs take 6 to 9.
const DEAD_PERIODS: u32 = 12;
/// Periods after a partition within which all members must be up in all tables. Runs with 64 members take 11 to 14.
const HEAL_PERIODS: u32 = 30;

fn network(members: usize, fault: Fault) -> Network {
    println!("seed {SEED}");
    let mut network = Network::steady(members, SEED);
    network.fault = fault;
    network
}

fn check_leave_spreads(fault: Fault) -> Result<(), String> {
    let mut network = network(64, fault);
    network.loss = 0.1;
    network.command(5, damasktrack_membership::gossip_context::GossipContext::drain);
    let periods = network.periods_until(LEAVE_PERIODS, |network| network.candidate_count(5) == 0);
    println!("leaving received by all members after {periods:?} periods");
    periods
        .map(|_periods| ())
        .ok_or_else(|| format!("{} members still list it as a candidate", network.candidate_count(5)))
}

/// Guards against calls to a leaving server because its record spreads too slowly.
#[test]
fn leaving_server_is_no_candidate_within_periods() {
    check_leave_spreads(Fault::None).unwrap();
}

#[test]
fn leave_check_fails_without_leave_records() {
    check_leave_spreads(Fault::NoLeaving).unwrap_err();
}

/// Lets a member drain, become suspect and dead, and return; it must not become a candidate again at any member.
fn check_leaving_is_final(override_leaving: bool) -> Result<(), String> {
    let mut network = network(24, Fault::None);
    network.loss = 0.1;
    network.command(5, damasktrack_membership::gossip_context::GossipContext::drain);
    network.run(Duration::from_secs(15));
    network.nodes[5].paused = true;
    for second in 0..30 {
        network.nodes[5].paused = second < 10;
        if override_leaving && second == 1 {
            let mut stale = network.nodes[5].context.own_record().clone();
            (stale.leaving, stale.state, stale.version) = (false, MemberState::Up, stale.version + 9);
            stale.started_ms += 1;
            network.command(0, |context, now| context.learn(&[stale], now));
        }
        network.run(Duration::from_secs(1));
        if network.candidate_count(5) > 0 {
            return Err(format!("the leaving member is a candidate again after {second} s"));
        }
    }
    Ok(())
}

/// Guards against a suspicion, its refutation or a death overwriting the leaving flag of a server.
#[test]
fn suspicion_does_not_hide_leaving() {
    check_leaving_is_final(false).unwrap();
}

#[test]
fn finality_check_fails_if_leaving_is_overridden() {
    check_leaving_is_final(true).unwrap_err();
}

fn check_death_is_detected(fault: Fault) -> Result<(), String> {
    let mut network = network(64, fault);
    network.loss = 0.1;
    network.nodes[7].running = false;
    let periods = network.periods_until(DEAD_PERIODS, |network| network.all_see(7, MemberState::Dead));
    println!("death detected by all members after {periods:?} periods");
    periods
        .map(|_periods| ())
        .ok_or_else(|| "the stopped member is not dead in all tables".to_owned())
}

/// Guards against calls to a dead server because its death is detected later than `DEAD_PERIODS`.
#[test]
fn dead_member_is_detected_within_periods() {
    check_death_is_detected(Fault::None).unwrap();
}

#[test]
fn death_check_fails_without_ticks() {
    check_death_is_detected(Fault::NoTicks).unwrap_err();
}

fn check_paused_member_returns(fault: Fault) -> Result<(), String> {
    let mut network = network(32, fault);
    let version = network.nodes[8].context.own_record().version;
    network.nodes[8].paused = true;
    network.run(Duration::from_secs(20));
    if !network.all_see(8, MemberState::Dead) {
        return Err("a member paused for 20 s is not dead in all tables".to_owned());
    }
    network.nodes[8].paused = false;
    network.run(Duration::from_secs(20));
    if !network.all_up() {
        return Err("not all members are up again".to_owned());
    }
    if network.nodes[8].context.own_record().version <= version {
        return Err("the paused member did not raise its version".to_owned());
    }
    let saw_dead_member = network.nodes[8].events.iter().any(|event| match event {
        GossipEvent::MemberChanged { key, .. } => {
            let entry = network.nodes[8].context.table().get(*key).unwrap();
            !entry.record.state.is_live()
        }
        _ => false,
    });
    if saw_dead_member {
        Err("the paused member marked others dead".to_owned())
    } else {
        Ok(())
    }
}

/// Guards against a member staying dead after a pause, and against the paused member marking others dead because their
/// answers were not received during the pause.
#[test]
fn paused_member_refutes() {
    check_paused_member_returns(Fault::None).unwrap();
}

#[test]
fn return_check_fails_without_refutation() {
    check_paused_member_returns(Fault::NoRefutation).unwrap_err();
}

fn check_partition_heals(fault: Fault, members: usize, cut: Duration) -> Result<(), String> {
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
        return Err("the partition was not detected, or members are not up within their region".to_owned());
    }
    network.cut = false;
    // Members must not become dead on their own side because of death claims from the other side.
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
    Err("not all members are up in all tables after the partition".to_owned())
}

/// Guards against regions that stay partitioned after an interruption of an hour, as occurs in an ordinary month.
#[test]
fn partition_of_an_hour_heals() {
    check_partition_heals(Fault::None, 9, Duration::from_hours(1)).unwrap();
}

/// Guards against members becoming dead in their own region because of death claims from the other regions.
#[test]
fn death_claims_of_other_regions_cause_no_deaths() {
    check_partition_heals(Fault::None, 64, Duration::from_mins(2)).unwrap();
}

#[test]
fn partition_check_fails_without_dead_probes() {
    check_partition_heals(Fault::NoDeadProbes, 12, Duration::from_mins(2)).unwrap_err();
}

fn check_restart_supersedes(fault: Fault) -> Result<(), String> {
    let mut network = network(24, fault);
    network.duplication = 0.2;
    let old = network.nodes[3].context.own_record().clone();
    network.nodes[3].running = false;
    network.run(Duration::from_millis(500));
    network.restart(3, 2000, &[address(0), address(1)]);
    for period in 0..20_usize {
        // Stale gossip of the old incarnation, as delivered over a slow path or after a long pause.
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
        count => Err(format!(
            "{count} members lack the new incarnation or do not list it as up"
        )),
    }
}

/// Guards against records of the last process overriding those of a restarted server.
#[test]
fn higher_incarnation_supersedes_stale_gossip() {
    check_restart_supersedes(Fault::None).unwrap();
}

#[test]
fn restart_check_fails_without_updates() {
    check_restart_supersedes(Fault::NoUpdates).unwrap_err();
}

/// Restarts the daemon of a backend server whose departure all members know, and checks that the new process learns it
/// from them.
fn check_departure_returns(forget: bool) -> Result<(), String> {
    let mut network = network(24, Fault::None);
    let departure = ServerDeparture {
        started_ms: 900,
        instance: Bytes::from_static(b"i-3"),
    };
    network.command(3, |context, now| context.set_departure(&departure, now));
    network.run(Duration::from_secs(5));
    network.nodes[3].running = false;
    if forget {
        // The injected fault: only this daemon knew of the departure.
        network = self::network(24, Fault::None);
    }
    network.restart(3, 2000, &[address(0)]);
    network.run(Duration::from_secs(5));
    let context = &network.nodes[3].context;
    let learned = network.nodes[3].events.contains(&GossipEvent::DepartureLearned);
    if learned && context.own_record().departure == Some(departure) {
        Ok(())
    } else {
        Err(format!("the new process knows {:?}", context.own_record().departure))
    }
}

/// Guards against a departure that is forgotten at a restart of the daemon that acknowledged it, while the store is
/// away.
#[test]
fn restarted_daemon_learns_the_departure_from_the_others() {
    check_departure_returns(false).unwrap();
}

#[test]
fn departure_check_fails_if_the_others_do_not_know_it() {
    check_departure_returns(true).unwrap_err();
}

/// Guards against a daemon that ends, or is replaced in all tables, since another writer left a row with its id and a
/// number that is too large.
#[test]
fn row_with_an_implausible_number_replaces_no_member() {
    let odd_rows: [fn(&mut MemberRecord); 4] = [
        |row| row.started_ms = u64::MAX,
        |row| (row.started_ms, row.incarnation) = (1 << 60, u64::MAX),
        |row| row.version = u64::MAX,
        |row| (row.started_ms, row.address) = (5000, ([10, 0, 9, 9], 0).into()),
    ];
    for make_odd in odd_rows {
        let mut network = network(8, Fault::None);
        network.run(Duration::from_mins(1));
        let mut row = network.nodes[3].context.own_record().clone();
        row.address = ([10, 0, 9, 9], 7000).into();
        make_odd(&mut row);
        for index in 0..8 {
            network.command(index, |context, now| {
                context.learn_rows(std::slice::from_ref(&row), now)
            });
        }
        network.run(Duration::from_secs(30));
        assert!(!network.nodes[3].events.contains(&GossipEvent::Superseded), "{row:?}");
        assert!(network.all_see(3, MemberState::Up), "{row:?}");
        for node in &network.nodes {
            let known = node.context.table().find(&row.daemon_id).unwrap();
            assert_eq!(known.record.address, address(3), "{row:?}");
        }
    }
}

/// Starts a process with the id of node 3 at a new address, and returns its index.
fn add_successor(network: &mut Network) -> usize {
    let mut later = virtual_network::record(8, 5000);
    later.daemon_id = network.nodes[3].context.own_record().daemon_id.clone();
    network.add(later)
}

fn supersede(network: &mut Network, source: impl FnOnce(&mut Network, &MemberRecord)) -> Option<u32> {
    network.run(Duration::from_mins(1));
    let index = add_successor(network);
    let later = network.nodes[index].context.own_record().clone();
    source(network, &later);
    network.periods_until(10, |network| network.nodes[3].events.contains(&GossipEvent::Superseded))
}

/// Guards against two processes with the same id overriding each other without end: a replacement at another address
/// is believed within a second, whether its record came from a row, an exchange or gossip.
#[test]
fn later_process_at_another_address_supersedes() {
    let rows = supersede(&mut network(8, Fault::None), |network, later| {
        network.command(3, |context, now| context.learn_rows(std::slice::from_ref(later), now));
    });
    assert!(rows.is_some_and(|periods| periods <= 1), "{rows:?}");
    let exchange = supersede(&mut network(8, Fault::None), |network, later| {
        network.command(3, |context, now| context.learn(std::slice::from_ref(later), now));
    });
    assert!(exchange.is_some_and(|periods| periods <= 1), "{exchange:?}");
    let gossip = supersede(&mut network(8, Fault::None), |network, _later| {
        network.command(8, |context, now| context.join(&[address(0)], now));
    });
    assert!(gossip.is_some_and(|periods| periods <= 5), "{gossip:?}");
}

/// Guards against a daemon that ends, or stays replaced in the tables of the others, since another writer left a record
/// with its id and a later start: at its own address, at one of another daemon, and at one where nothing answers.
#[test]
fn record_of_another_writer_supersedes_no_daemon() {
    for claimed in [address(3), address(5), address(99)] {
        let mut network = network(8, Fault::None);
        network.run(Duration::from_mins(1));
        let mut record = network.nodes[3].context.own_record().clone();
        (record.started_ms, record.address, record.state) = (5000, claimed, MemberState::Joining);
        record.service = Bytes::from_static(b"unknown");
        // A daemon that starts knows the row only, and passes it on.
        network.command(6, |context, now| context.learn(std::slice::from_ref(&record), now));
        network.run(Duration::from_secs(30));
        assert!(!network.nodes[3].events.contains(&GossipEvent::Superseded), "{claimed}");
        assert!(network.all_see(3, MemberState::Up), "{claimed}");
        for node in &network.nodes {
            let known = &node.context.table().find(&record.daemon_id).unwrap().record;
            assert_eq!(
                (known.address, &*known.service),
                (address(3), virtual_network::SERVICE),
                "{claimed}"
            );
        }
    }
}

/// Guards against a daemon that stays hidden behind a record at its own address, where no other process can be, for the
/// time of the probes.
#[test]
fn record_at_the_own_address_is_overridden_at_once() {
    let mut network = network(8, Fault::None);
    network.run(Duration::from_mins(1));
    let mut record = network.nodes[3].context.own_record().clone();
    record.started_ms = 5000;
    network.command(3, |context, now| context.learn(std::slice::from_ref(&record), now));
    assert!(network.nodes[3].context.own_record().started_ms > 5000);
    assert!(!network.nodes[3].events.contains(&GossipEvent::Superseded));
}

/// Guards against the record of a new process being ignored because its clock was set back.
#[test]
fn earlier_clock_is_corrected() {
    let mut network = network(8, Fault::None);
    network.run(Duration::from_mins(1));
    network.nodes[4].running = false;
    network.restart(4, 10, &[address(0)]);
    network.run(Duration::from_secs(20));
    assert!(network.nodes[4].context.own_record().started_ms > 1000);
    assert!(network.all_see(4, MemberState::Up));
}

fn check_tables_converge(fault: Fault) -> Result<(), String> {
    let mut network = network(24, fault);
    // Only one member reads the row of a new member, which is paused and sends nothing at first.
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
        Err("digests differ".to_owned())
    }
}

/// Guards against members that never receive a record; exchanges alone must make the tables equal.
#[test]
fn exchanges_make_tables_equal() {
    check_tables_converge(Fault::NoUpdates).unwrap();
}

#[test]
fn convergence_check_fails_without_exchanges() {
    check_tables_converge(Fault::NoUpdatesOrExchanges).unwrap_err();
}

/// Guards against a change that is still spreading causing an exchange at each member, and against datagrams longer
/// than the limit.
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

/// Guards against updates that are piggybacked without end or exceed the datagram limit when many members change.
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
        "all 64 members are up in all tables after {periods:?} periods, {} exchanges",
        network.exchanges
    );
    assert!(periods.is_some());
    assert!(network.largest_datagram <= gossip_message::MAX_DATAGRAM_BYTES);
    network.run(Duration::from_mins(2));
    let queued: usize = network.nodes.iter().map(|node| node.context.queued_updates()).sum();
    assert_eq!(queued, 0, "updates still queued");
}

/// Guards against truncated datagrams or those of other programs stopping the daemon, and against overflow at extreme
/// versions and starts.
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

/// Guards against network delays that include late or indirect answers.
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
