//! Preference by distance and state, slow start, and the power of two choices.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use rand::SeedableRng;
use rand::rngs::StdRng;

struct Fixture {
    table: RouteTable,
    rng: StdRng,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let table = RouteTable::new(location("dk-east", "a"));
        Self {
            table,
            rng: StdRng::seed_from_u64(20_261_204),
            now: Instant::now(),
        }
    }

    fn add(&mut self, index: u8, location: ServerLocation, state: CandidateState, since: Option<Instant>) -> ServerKey {
        self.table.upsert(RouteCandidate {
            daemon_id: Bytes::from(format!("vm-{index}")),
            incarnation: 1,
            service: Bytes::from_static(b"videos"),
            address: ([10, 0, 0, index], 7000).into(),
            location,
            slots: 4,
            state,
            ready_since: since,
        })
    }

    fn begin(&mut self, lane: RouteLane, cross_region: bool) -> Option<(ServerKey, CallKey)> {
        let (service, class) = (Bytes::from_static(b"videos"), Bytes::from_static(b"download"));
        let request = RouteRequest {
            service: &service,
            class: &class,
            lane,
            cross_region,
            may_probe: true,
            exclude: &[],
            latency_objective: None,
        };
        let RouteChoice::Use { key, .. } = self.table.choose(&request, self.now, &mut self.rng) else {
            return None;
        };
        Some((key, self.table.begin(key, &class, lane, self.now)?))
    }
}

fn location(region: &'static str, data_centre: &'static str) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(region),
        data_centre: Bytes::from(data_centre),
    }
}

/// Guards against calls that leave the data centre or region while a nearer server has capacity, and against calls that
/// stay when none has.
#[test]
fn nearer_servers_fill_first() {
    let mut fixture = Fixture::new();
    let ready = CandidateState::Ready;
    let same_data_centre = fixture.add(1, location("dk-east", "a"), ready, None);
    let same_region = fixture.add(2, location("dk-east", "b"), ready, None);
    let cross_region = fixture.add(3, location("dk-west", "c"), ready, None);
    // A server of four slots is full with six calls of short work (1.5 times its slots) or one call of long work.
    let keys: Vec<ServerKey> = (0..18)
        .filter_map(|_call| fixture.begin(RouteLane::Short, true))
        .map(|call| call.0)
        .collect();
    assert_eq!(
        keys,
        [vec![same_data_centre; 6], vec![same_region; 6], vec![cross_region; 6]].concat()
    );
    let (key, _call) = fixture.begin(RouteLane::Short, false).unwrap();
    assert_eq!(
        key, same_data_centre,
        "a full server, since the call must not leave the region"
    );
    let (long, _call) = fixture.begin(RouteLane::Long, false).unwrap();
    assert_eq!(long, same_data_centre, "short work does not fill the long lane");
    fixture.begin(RouteLane::Long, false).unwrap();
    assert_eq!(
        fixture.begin(RouteLane::Long, true).unwrap().0,
        cross_region,
        "long work exceeds its share of the slots"
    );
}

/// Guards against calls to suspect servers while a ready server has capacity, and to a server that refused a call since
/// it is leaving.
#[test]
fn suspect_servers_are_last_and_leaving_ones_never_used() {
    let mut fixture = Fixture::new();
    let suspect = fixture.add(1, location("dk-east", "a"), CandidateState::Suspect, None);
    let ready = fixture.add(2, location("dk-west", "c"), CandidateState::Ready, None);
    let (key, call) = fixture.begin(RouteLane::Short, true).unwrap();
    assert_eq!(key, ready);
    fixture
        .table
        .finish(call, RouteResult::Refused(RefusalReason::Leaving), fixture.now);
    let (key, call) = fixture.begin(RouteLane::Short, true).unwrap();
    assert_eq!(key, suspect);
    fixture
        .table
        .finish(call, RouteResult::Refused(RefusalReason::Leaving), fixture.now);
    assert!(fixture.begin(RouteLane::Short, true).is_none());
    // A later announcement of the same incarnation as ready has no effect.
    fixture.add(1, location("dk-east", "a"), CandidateState::Ready, None);
    assert!(fixture.begin(RouteLane::Short, true).is_none());
}

/// Returns how many of 6,000 calls go to one of four servers. It became ready `since` after the first call, or before
/// this daemon started if `None`.
fn cold_calls(since: Option<Duration>) -> usize {
    let mut fixture = Fixture::new();
    for index in 1..4 {
        fixture.add(index, location("dk-east", "a"), CandidateState::Ready, None);
    }
    let since = since.map(|since| fixture.now + since);
    let cold = fixture.add(4, location("dk-east", "a"), CandidateState::Ready, since);
    let mut count = 0;
    for _call in 0..6000 {
        let (key, call) = fixture.begin(RouteLane::Short, true).unwrap();
        count += usize::from(key == cold);
        fixture.now += Duration::from_micros(500);
        fixture.table.finish(call, RouteResult::Completed, fixture.now);
    }
    count
}

/// Guards against a cold server that gets its full share of the calls at once, and against a warm one that never gets
/// it.
#[test]
fn cold_server_ramps_up() {
    let (cold, warm) = (cold_calls(Some(Duration::ZERO)), cold_calls(None));
    println!("{cold} calls while cold, {warm} while warm");
    assert!((1300..1700).contains(&warm));
    // The share rises from 0.1 to 0.37 in the 3 s that the calls take.
    assert!((warm / 10..warm * 4 / 10).contains(&cold));
}
