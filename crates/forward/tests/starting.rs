//! A starting daemon: which other daemons it contacts, and when it uses its backend server.

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_forward::forward_core::{CoreEffect, ForwardCore, WorkDecision};
use damasktrack_forward::peer_call::CallHead;
use damasktrack_forward::server_report::{ServerCondition, ServerReport};
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use damasktrack_membership::server_departure::ServerDeparture;
use tokio::sync::mpsc;

fn location(region: &'static str) -> ServerLocation {
    ServerLocation {
        region: Bytes::from_static(region.as_bytes()),
        data_centre: Bytes::from_static(b"a"),
    }
}

/// All VMs of a deployment have the same peer port and differ in their address.
fn address(index: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    ([127, 0, high, low], 10_000).into()
}

fn member(index: u16) -> MemberRecord {
    MemberRecord {
        daemon_id: Bytes::from(format!("vm-{index}")),
        started_ms: 1,
        incarnation: u64::from(index),
        version: 1,
        state: MemberState::Joining,
        leaving: false,
        address: address(index),
        service: Bytes::from_static(b"alpha"),
        location: location("north"),
        slots: 4,
        departure: None,
    }
}

/// Returns the addresses that a daemon contacts after a list with `in_region` members in its own region and
/// `cross_region` members in another one.
fn contacts(in_region: u16, cross_region: u16) -> HashSet<SocketAddr> {
    let (effects, mut queue) = mpsc::unbounded_channel();
    let now = Instant::now();
    let mut core = ForwardCore::new(
        Rc::new(support::settings(address(0))),
        effects,
        1,
        1,
        now,
        Duration::ZERO,
    );
    let members = (1..=in_region + cross_region).map(|index| MemberRecord {
        location: location(if index <= in_region { "north" } else { "south" }),
        ..member(index)
    });
    core.merge_members(&members.collect::<Vec<_>>(), now);
    let sends = std::iter::from_fn(|| queue.try_recv().ok());
    let sent = sends.filter_map(|effect| match effect {
        CoreEffect::Send(send) => Some(send.to),
        _ => None,
    });
    sent.collect()
}

/// Guards against unbounded contacts at a simultaneous start, where each daemon would contact every other one.
#[test]
fn contacts_are_limited_in_a_large_deployment() {
    let contacted = contacts(200, 112);
    assert_eq!(contacted.len(), 24);
    let in_region = contacted.iter().filter(|to| to.ip() <= address(200).ip()).count();
    assert_eq!(in_region, 16, "two thirds are in the own region");
}

/// Guards against too few contacts: a small deployment is contacted completely, and a region with few daemons leaves
/// its share to the other region.
#[test]
fn all_members_of_a_small_deployment_are_contacted() {
    assert_eq!(contacts(8, 15).len(), 23);
    assert_eq!(contacts(2, 60).len(), 24);
    assert_eq!(contacts(60, 2).len(), 24);
}

/// Returns a daemon that has just started and got a heartbeat, which may be a late one of a server that has departed.
fn core_with_heartbeat(now: Instant) -> ForwardCore {
    let (effects, _queue) = mpsc::unbounded_channel();
    let mut core = ForwardCore::new(
        Rc::new(support::settings(address(0))),
        effects,
        2,
        2,
        now,
        Duration::ZERO,
    );
    let report = ServerReport {
        instance: Bytes::from_static(b"i-1"),
        service: Bytes::from_static(b"alpha"),
        started_ms: 10,
        sequence: 5,
        slots: 4,
        condition: ServerCondition::Ready,
        cold_left: Duration::ZERO,
    };
    core.apply_server_report(report, now);
    core
}

/// Returns whether a call to the backend server of a daemon is started; otherwise it is refused as to a starting one.
fn starts_a_call(core: &mut ForwardCore, now: Instant) -> bool {
    let head = CallHead {
        service: Bytes::from_static(b"alpha"),
        class: Bytes::from_static(b"read"),
        priority: 1,
        repeatable: true,
        left: Duration::from_secs(5),
        caller_service: Bytes::from_static(b"beta"),
        hint: None,
        tenant: None,
    };
    match core.offer_work(&head, now + head.left, now) {
        WorkDecision::Start(_permit) => true,
        WorkDecision::Refuse(RefusalReason::Starting) => false,
        other => panic!("{other:?}"),
    }
}

/// Guards against calls to a server that has departed, in the time until a restarted daemon has read its earlier row,
/// and against a daemon that never uses its server since the store is away.
#[test]
fn server_is_not_used_before_the_members_are_listed() {
    let now = Instant::now();
    let mut core = core_with_heartbeat(now);
    assert!(!starts_a_call(&mut core, now));
    assert_eq!(core.gossip().own_record().state, MemberState::Joining);
    core.merge_members(&[member(1)], now);
    assert!(starts_a_call(&mut core, now));
    assert_eq!(core.gossip().own_record().state, MemberState::Up);

    let mut core = core_with_heartbeat(now);
    let later = now + Duration::from_secs(3);
    core.tick(later);
    assert!(starts_a_call(&mut core, later));
    assert_eq!(core.gossip().own_record().state, MemberState::Up);
}

/// Guards against a restarted daemon that ignores the departure in its earlier row.
#[test]
fn departure_in_the_earlier_row_is_recalled() {
    let now = Instant::now();
    let mut core = core_with_heartbeat(now);
    let row = MemberRecord {
        departure: Some(ServerDeparture {
            started_ms: 10,
            instance: Bytes::from_static(b"i-1"),
        }),
        ..member(0)
    };
    core.merge_members(&[row], now);
    assert!(!starts_a_call(&mut core, now));
    assert_eq!(core.gossip().own_record().state, MemberState::Joining);
}
