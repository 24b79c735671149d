//! Roles and time limits of the calls that wait for changes of the configuration.

use std::time::Duration;

use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_forward::feed_schedule;
use damasktrack_forward::feed_schedule::{FeedRole, FeedSchedule};
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn member(id: &str, region: &'static str, state: MemberState) -> MemberRecord {
    MemberRecord {
        daemon_id: Bytes::from(id.to_owned()),
        started_ms: 1,
        incarnation: 1,
        version: 0,
        state,
        leaving: false,
        address: "127.0.0.1:1".parse().unwrap(),
        service: Bytes::from_static(b"alpha"),
        location: ServerLocation {
            region: Bytes::from_static(region.as_bytes()),
            data_centre: Bytes::from_static(b"a"),
        },
        slots: 1,
        departure: None,
    }
}

fn sentinels(members: &[MemberRecord]) -> Vec<String> {
    let chosen = members
        .iter()
        .filter(|record| feed_schedule::role_of(&record.daemon_id, members.iter()) == FeedRole::Sentinel);
    chosen
        .map(|record| String::from_utf8_lossy(&record.daemon_id).into_owned())
        .collect()
}

/// Guards against sentinels that are all lost with one region, and against a number of calls that grows with the fleet.
#[test]
fn three_sentinels_are_spread_over_the_regions() {
    let mut members = Vec::new();
    for index in 0..100 {
        members.push(member(&format!("a-{index:02}"), "east", MemberState::Up));
        members.push(member(&format!("z-{index:02}"), "west", MemberState::Up));
    }
    assert_eq!(sentinels(&members), ["a-00", "z-00", "a-01"]);
}

/// Guards against changes that nobody hears since the sentinels are dead.
#[test]
fn other_members_take_the_place_of_dead_sentinels() {
    let mut members = vec![
        member("a", "east", MemberState::Dead),
        member("b", "east", MemberState::Up),
        member("c", "west", MemberState::Left),
        member("d", "west", MemberState::Up),
        member("e", "west", MemberState::Up),
        member("f", "west", MemberState::Up),
    ];
    assert_eq!(sentinels(&members), ["b", "d", "e"]);
    members.truncate(2);
    assert_eq!(sentinels(&members), ["b"]);
}

/// Guards against a sentinel whose lost call, and the read after it, take longer than the bound.
#[test]
fn lost_call_of_a_sentinel_ends_within_three_quarters_of_the_hear_limit() {
    let mut rng = StdRng::seed_from_u64(1);
    for limit_ms in [1_000, 2_500, 4_000, 10_000] {
        let limit = Duration::from_millis(limit_ms);
        let wait = FeedSchedule::new(limit, None).next_wait(FeedRole::Sentinel, &mut rng);
        assert!(wait.hold + wait.response_limit <= limit * 3 / 4, "{wait:?}");
    }
}

/// Guards against followers whose calls end at the same time, and against confirmations that are too old.
#[test]
fn waits_of_followers_differ_and_respect_the_confirmation_limit() {
    let mut rng = StdRng::seed_from_u64(1);
    let schedule = FeedSchedule::new(Duration::from_secs(4), None);
    let holds: Vec<_> = (0..100)
        .map(|_| schedule.next_wait(FeedRole::Follower, &mut rng).hold)
        .collect();
    assert!(holds.iter().all(|hold| (10..20).contains(&hold.as_secs())));
    assert!(holds.iter().max().unwrap().saturating_sub(*holds.iter().min().unwrap()) > Duration::from_secs(5));
    let confirmed = FeedSchedule::new(Duration::from_secs(4), Some(Duration::from_secs(9)));
    assert_eq!(
        confirmed.next_wait(FeedRole::Follower, &mut rng).hold,
        Duration::from_secs(3)
    );
}
