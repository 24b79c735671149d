//! Tests of the account of bytes and connections on virtual time, and of bodies as lists of chunks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use damasktrack_pipeline::account_handle::AccountHandle;
use damasktrack_pipeline::byte_account::{
    AccountBounds, ByteAccount, CONNECTION_BYTES, HoldId, HoldStage, HoldState, ListenerKind, ReadPace,
};
use damasktrack_pipeline::chunk_list::ChunkList;
use futures_util::FutureExt;
use http_body_util::BodyExt;

const MIB: usize = 1 << 20;
const BOUNDS: AccountBounds = AccountBounds {
    bytes: 32 * MIB,
    caller_connections: 100,
    internal_connections: 10,
    control_connections: 4,
};

fn incomplete(bytes: usize, received: usize) -> HoldState {
    HoldState {
        stage: HoldStage::Incomplete,
        bytes,
        progressed: received,
    }
}

fn serving(bytes: usize) -> HoldState {
    HoldState {
        stage: HoldStage::Serving,
        bytes,
        progressed: 0,
    }
}

fn open(account: &mut ByteAccount, now: Instant) -> HoldId {
    let (id, victim) = account.open(ListenerKind::Caller, now);
    assert_eq!(victim, None);
    id
}

/// Bodies of 3 MiB arrive over 60 connections at the same pace, stop just short of their end and stay open. Guards
/// against a sum that exceeds the bound although each body is allowed.
#[test]
fn incomplete_bodies_stay_within_the_bound() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let ids: Vec<HoldId> = (0..60).map(|_caller| open(&mut account, start)).collect();
    let mut refused = BTreeMap::new();
    for step in 1..=48_u32 {
        let now = start + Duration::from_millis(10) * step;
        for id in &ids {
            if refused.contains_key(id) {
                continue;
            }
            let state = incomplete(step as usize * 64 * 1024, 64 * 1024);
            if let Some(victim) = account.update(*id, state, now) {
                refused.insert(victim, now);
                account.close(victim);
            }
            let (held, _forwarded) = account.held_bytes();
            assert!(held <= BOUNDS.bytes, "{held}");
        }
    }
    assert!(refused.len() > 40 && refused.len() < 60, "{}", refused.len());
}

/// Guards against an honest body that is refused while bodies of the same size have stopped.
#[test]
fn stopped_body_is_refused_before_one_that_arrives() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let stopped: Vec<HoldId> = (0..8).map(|_caller| open(&mut account, start)).collect();
    for id in &stopped {
        assert_eq!(account.update(*id, incomplete(3 * MIB, 3 * MIB), start), None);
    }
    let honest = open(&mut account, start);
    let mut victims = Vec::new();
    for step in 1..=16 {
        let now = start + Duration::from_secs(step as u64);
        victims.extend(account.update(honest, incomplete(step * MIB / 2, MIB / 2), now));
    }
    assert!(!victims.is_empty());
    assert!(!victims.contains(&honest), "{victims:?}");
}

/// Guards against a caller that keeps a stopped body by sending single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let dripping: Vec<HoldId> = (0..8).map(|_caller| open(&mut account, start)).collect();
    for id in &dripping {
        assert_eq!(account.update(*id, incomplete(3 * MIB, 3 * MIB), start), None);
    }
    let honest = open(&mut account, start);
    let mut victims = Vec::new();
    for step in 1..=20 {
        let now = start + Duration::from_secs(step as u64);
        for id in &dripping {
            let none = account.update(*id, incomplete(3 * MIB, 1), now);
            assert_eq!(none, None);
        }
        victims.extend(account.update(honest, incomplete(step * MIB / 4, MIB / 4), now));
    }
    assert!(!victims.is_empty());
    assert!(!victims.contains(&honest), "{victims:?}");
}

/// Guards against small requests that are refused because large bodies fill the account.
#[test]
fn small_requests_fit_beside_large_ones() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    for _caller in 0..30 {
        let id = open(&mut account, start);
        if let Some(victim) = account.update(id, incomplete(MIB, MIB), start) {
            account.close(victim);
        }
    }
    for _caller in 0..40 {
        let id = open(&mut account, start);
        assert_eq!(account.update(id, incomplete(32 * 1024, 32 * 1024), start), None);
    }
}

fn sending(bytes: usize, progressed: usize) -> HoldState {
    HoldState {
        stage: HoldStage::Sending,
        bytes,
        progressed,
    }
}

/// Guards against callers that read no response and thereby have the requests of others refused, and against one that
/// reads 16 KiB a second and is closed before them.
#[test]
fn stalled_output_is_closed_before_requests_are_refused() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let slow = open(&mut account, start);
    assert_eq!(account.update(slow, sending(8 * MIB, 0), start), None);
    let stalled: Vec<HoldId> = (0..4).map(|_caller| open(&mut account, start)).collect();
    for (number, id) in (1..).zip(&stalled) {
        assert_eq!(account.update(*id, sending(number * MIB, 0), start), None);
    }
    let late = start + Duration::from_secs(5);
    let honest = open(&mut account, late);
    let mut victims = Vec::new();
    for step in 1..=30 {
        let now = late + Duration::from_millis(100) * step;
        let read = account.update(slow, sending(8 * MIB, 2 * 1024), now);
        assert_eq!(read, None);
        let victim = account.update(honest, incomplete(step as usize * MIB / 2, MIB / 2), now);
        if let Some(victim) = victim {
            assert!(account.is_sending(victim));
            account.close(victim);
            victims.push(victim);
        }
    }
    // The one with the most bytes first.
    let most_first: Vec<HoldId> = stalled.iter().rev().copied().collect();
    assert!(!victims.is_empty() && most_first.starts_with(&victims), "{victims:?}");
    let (refused, closed) = account.given_up();
    assert_eq!((refused, closed), (0, victims.len() as u64));
}

/// Guards against output that is closed as stalled within the first second, and against a connection that still serves
/// a request behind the stalled output.
#[test]
fn only_answered_connections_without_progress_are_stalled() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let (serves, sends) = (open(&mut account, start), open(&mut account, start));
    assert_eq!(account.update(serves, serving(MIB), start), None);
    assert_eq!(account.update(sends, sending(MIB, 0), start), None);
    assert_eq!(account.close_stalled(start + Duration::from_millis(999)), None);
    assert_eq!(account.close_stalled(start + Duration::from_secs(1)), Some(sends));
    assert_eq!(account.close_stalled(start + Duration::from_mins(1)), None);
}

/// Guards against callers that read no response and keep all others from connecting.
#[test]
fn stalled_output_makes_way_for_a_new_connection() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    for _caller in 0..BOUNDS.caller_connections {
        let id = open(&mut account, start);
        assert_eq!(account.update(id, sending(1, 0), start), None);
    }
    let (new, victim) = account.open(ListenerKind::Caller, start + Duration::from_secs(2));
    assert!(victim.is_some_and(|victim| victim != new));
}

/// Guards against a forwarded request that is refused, which would break the guarantee of a refusal.
#[test]
fn request_that_is_served_is_never_given_up() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let served = open(&mut account, start);
    assert_eq!(account.update(served, serving(20 * MIB), start), None);
    account.hold_forwarded(8 * MIB);
    let late = open(&mut account, start + Duration::from_mins(1));
    let victim = account.update(
        late,
        incomplete(8 * MIB, 8 * MIB),
        start + Duration::from_mins(1) + Duration::from_secs(1),
    );
    assert_eq!(victim, Some(late));
}

/// 300 connections send nothing. Guards against descriptors that run out, and against a connection that serves a
/// request being closed for a new one.
#[test]
fn connection_that_waits_longest_is_closed_at_the_bound() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let served = open(&mut account, start);
    account.update(served, serving(0), start);
    for caller in 1..300_u32 {
        let now = start + Duration::from_millis(1) * caller;
        // A byte of a head does not extend the time of the first connection.
        account.update(1, incomplete(1, 1), now);
        let (_id, victim) = account.open(ListenerKind::Caller, now);
        let expected = (caller >= 100).then(|| HoldId::from(caller - 99));
        assert_eq!(victim, expected, "{caller}");
        assert!(account.open_connections(ListenerKind::Caller) <= BOUNDS.caller_connections);
    }
    // The internal listeners have connections of their own.
    assert_eq!(account.open(ListenerKind::Internal, start).1, None);
}

/// Guards against a new connection that is accepted although all others serve requests.
#[test]
fn new_connection_is_closed_if_all_others_serve_requests() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    for _caller in 0..BOUNDS.caller_connections {
        let id = open(&mut account, start);
        account.update(id, serving(0), start);
    }
    let (id, victim) = account.open(ListenerKind::Caller, start);
    assert_eq!(victim, Some(id));
}

/// Guards against bounds where the settings state none.
#[test]
fn account_without_bounds_only_counts() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(None));
    for _caller in 0..1_000 {
        let id = open(&mut account, start);
        assert_eq!(account.update(id, incomplete(MIB, MIB), start), None);
    }
    assert_eq!(account.held_bytes().0, 1_000 * (MIB + CONNECTION_BYTES));
}

/// Guards against chunks that are lost or reordered where they are joined, and against memory of many times the bytes.
#[test]
fn chunks_are_joined_in_order() {
    for length in [1, 3, 100, 5_000, 8_192, 40_000, 300_000] {
        let (mut list, mut expected) = (ChunkList::default(), Vec::new());
        for number in 0..(600_000 / length).clamp(2, 20_000) {
            let chunk = vec![u8::try_from(number % 251).unwrap(); length];
            expected.extend_from_slice(&chunk);
            if number % 2 == 0 {
                list.push(Bytes::from(chunk));
            } else {
                list.take(&mut BytesMut::from(&*chunk), length);
            }
        }
        assert_eq!(list.len(), expected.len());
        assert!(
            list.capacity() <= 2 * expected.len() + 80 * 1024,
            "{length}: {}",
            list.capacity()
        );
        let body = list.finish(None);
        assert_eq!(body.len(), expected.len());
        assert!(body.clone().into_bytes() == expected, "{length}");
        let (mut unread, mut frames) = (body, 0);
        while unread.frame().now_or_never().flatten().is_some() {
            frames += 1;
        }
        assert!(frames <= 12 + expected.len() / (32 * 1024), "{length}: {frames} frames");
    }
}

/// Guards against a copy of a body that arrived in one chunk, which is the usual case.
#[test]
fn body_of_one_chunk_is_not_copied() {
    let chunk = Bytes::from(vec![b'#'; 500]);
    let mut list = ChunkList::default();
    list.push(chunk.clone());
    let body = list.finish(None).into_bytes();
    assert_eq!(body.as_ptr(), chunk.as_ptr());
}

/// Guards against forwarded bytes that stay in the account after the body was dropped, or leave it while a copy is
/// used.
#[test]
fn forwarded_bytes_count_until_the_last_copy_is_dropped() {
    let account = AccountHandle::new(Some(BOUNDS));
    let mut list = ChunkList::default();
    list.push(Bytes::from(vec![b'#'; MIB]));
    let body = list.finish(Some(account.hold(MIB)));
    let copy = body.clone();
    drop(body);
    assert_eq!(account.ask(|account| account.held_bytes().1), MIB);
    drop(copy);
    assert_eq!(account.ask(|account| account.held_bytes().1), 0);
}

/// Guards against memory beyond the bound between the selection of a request and the turn in which its connection
/// releases its bytes: the others wait for that turn.
#[test]
fn connections_wait_while_refused_requests_still_hold_bytes() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let stopped = open(&mut account, start);
    assert_eq!(account.update(stopped, incomplete(20 * MIB, 20 * MIB), start), None);
    assert_eq!(account.read_pace(), ReadPace::Continue);
    let other = open(&mut account, start);
    let now = start + Duration::from_secs(1);
    assert_eq!(
        account.update(other, incomplete(14 * MIB, 14 * MIB), now),
        Some(stopped)
    );
    assert_eq!(account.read_pace(), ReadPace::NextTurn);
    account.close(stopped);
    assert_eq!(account.read_pace(), ReadPace::Continue);
}

/// Guards against the largest body of the limits being refused on the smallest VM in calm, and against it using the
/// reserved part beside others.
#[test]
fn single_large_body_may_use_the_reserved_part() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let large = open(&mut account, start);
    assert_eq!(account.update(large, incomplete(30 * MIB, 30 * MIB), start), None);
    let small = open(&mut account, start);
    assert_eq!(account.update(small, incomplete(16 * 1024, 16 * 1024), start), None);
    let other = open(&mut account, start);
    let now = start + Duration::from_secs(1);
    assert_eq!(account.update(other, incomplete(MIB, MIB), now), Some(large));
}

/// Guards against a body that counts as many times its bytes, since short chunks between long ones each occupy a block.
#[test]
fn short_chunks_between_long_ones_occupy_little_more_than_their_bytes() {
    let mut list = ChunkList::default();
    for _chunk in 0..100 {
        list.push(Bytes::from(vec![1; 33 * 1024]));
        list.push(Bytes::from(vec![2; 100]));
    }
    assert_eq!(list.len(), 100 * (33 * 1024 + 100));
    assert!(list.capacity() < list.len() + 128 * 1024, "{}", list.capacity());
    let body = list.finish(None).into_bytes();
    assert_eq!(body.len(), 100 * (33 * 1024 + 100));
    assert!(body[33 * 1024..][..100].iter().all(|byte| *byte == 2));
}

/// Guards against heartbeats and readiness checks that are refused since calls of other daemons hold all bytes and all
/// connections of the internal listeners.
#[test]
fn control_connections_have_a_part_of_their_own() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    for _peer in 0..BOUNDS.internal_connections {
        let (id, victim) = account.open(ListenerKind::Internal, start);
        assert_eq!(victim, None);
        assert_eq!(account.update(id, serving(3 * MIB), start), None);
    }
    account.hold_forwarded(8 * MIB);
    let (peer, victim) = account.open(ListenerKind::Internal, start);
    assert_eq!(victim, Some(peer), "all internal connections serve");
    account.close(peer);
    let late = start + Duration::from_mins(1);
    for _beat in 0..BOUNDS.control_connections {
        let (id, victim) = account.open(ListenerKind::Control, late);
        assert_eq!(victim, None);
        assert_eq!(account.update(id, incomplete(100 * 1024, 100 * 1024), late), None);
    }
    let caller = open(&mut account, late);
    let victim = account.update(
        caller,
        incomplete(100 * 1024, 100 * 1024),
        late + Duration::from_secs(1),
    );
    assert_eq!(victim, Some(caller), "a heartbeat was refused for a caller");
}

/// Guards against control connections that use more than their part.
#[test]
fn control_connections_are_bounded() {
    let (start, mut account) = (Instant::now(), ByteAccount::new(Some(BOUNDS)));
    let ids: Vec<HoldId> = (0..BOUNDS.control_connections)
        .map(|_beat| account.open(ListenerKind::Control, start).0)
        .collect();
    let victims: Vec<Option<HoldId>> = ids
        .iter()
        .map(|id| account.update(*id, incomplete(400 * 1024, 0), start))
        .collect();
    assert_eq!(victims.iter().flatten().count(), 2, "{victims:?}");
    let (held, _forwarded) = account.held_bytes();
    assert!(held <= MIB, "{held}");
    let readmitted = victims.iter().flatten().next().unwrap();
    account.readmit(*readmitted);
    let (new, victim) = account.open(ListenerKind::Control, start);
    assert!(victim.is_none_or(|victim| ids.contains(&victim)) && !ids.contains(&new));
}
