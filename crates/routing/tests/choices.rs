//! Order of the tiers, the cold ramp and the choice of two.

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

struct Bench {
    table: RouteTable,
    rng: StdRng,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let table = RouteTable::new(place("dk-east", "a"));
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
        };
        let RouteChoice::Use { key, .. } = self.table.choose(&request, self.now, &mut self.rng) else {
            return None;
        };
        Some((key, self.table.begin(key, &class, lane, self.now)?))
    }
}

fn place(region: &'static str, data_centre: &'static str) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(region),
        data_centre: Bytes::from(data_centre),
    }
}

/// Guards against calls that leave the data centre or region while a nearer server has room, and that stay when not.
#[test]
fn nearer_tiers_fill_first() {
    let mut bench = Bench::new();
    let ready = CandidateState::Ready;
    let near = bench.add(1, place("dk-east", "a"), ready, None);
    let region = bench.add(2, place("dk-east", "b"), ready, None);
    let far = bench.add(3, place("dk-west", "c"), ready, None);
    // Six calls, one and a half times its four slots, fill a server for short work, one fills it for long work.
    let keys: Vec<ServerKey> = (0..18)
        .filter_map(|_call| bench.begin(RouteLane::Short, true))
        .map(|call| call.0)
        .collect();
    assert_eq!(keys, [vec![near; 6], vec![region; 6], vec![far; 6]].concat());
    let (key, _call) = bench.begin(RouteLane::Short, false).unwrap();
    assert_eq!(key, near, "a full near server before one that is not allowed");
    let (long, _call) = bench.begin(RouteLane::Long, false).unwrap();
    assert_eq!(long, near, "short work does not fill the long lane");
    bench.begin(RouteLane::Long, false).unwrap();
    assert_eq!(
        bench.begin(RouteLane::Long, true).unwrap().0,
        far,
        "long work overran its share"
    );
}

/// Guards against calls to suspects while a ready server has room, and to a server that refuses for leaving.
#[test]
fn suspects_come_last_and_leaving_servers_never() {
    let mut bench = Bench::new();
    let suspect = bench.add(1, place("dk-east", "a"), CandidateState::Suspect, None);
    let ready = bench.add(2, place("dk-west", "c"), CandidateState::Ready, None);
    let (key, call) = bench.begin(RouteLane::Short, true).unwrap();
    assert_eq!(key, ready);
    bench
        .table
        .finish(call, RouteResult::Refused(RefusalReason::Leaving), bench.now);
    let (key, call) = bench.begin(RouteLane::Short, true).unwrap();
    assert_eq!(key, suspect);
    bench
        .table
        .finish(call, RouteResult::Refused(RefusalReason::Leaving), bench.now);
    assert!(bench.begin(RouteLane::Short, true).is_none());
    // Announcing the same incarnation as ready again changes nothing.
    bench.add(1, place("dk-east", "a"), CandidateState::Ready, None);
    assert!(bench.begin(RouteLane::Short, true).is_none());
}

/// Returns the calls of 6,000 that a server gets which became ready when `since` says, among three others.
fn cold_calls(since: Option<Duration>) -> usize {
    let mut bench = Bench::new();
    for index in 1..4 {
        bench.add(index, place("dk-east", "a"), CandidateState::Ready, None);
    }
    let since = since.map(|since| bench.now + since);
    let cold = bench.add(4, place("dk-east", "a"), CandidateState::Ready, since);
    let mut count = 0;
    for _call in 0..6000 {
        let (key, call) = bench.begin(RouteLane::Short, true).unwrap();
        count += usize::from(key == cold);
        bench.now += Duration::from_micros(500);
        bench.table.finish(call, RouteResult::Completed, bench.now);
    }
    count
}

/// Guards against a cold server that gets its whole share at once, and against one that never gets it.
#[test]
fn cold_server_ramps_up() {
    let (cold, warm) = (cold_calls(Some(Duration::ZERO)), cold_calls(None));
    println!("{cold} calls while cold, {warm} while warm");
    assert!((1300..1700).contains(&warm));
    // The share rises from 0.1 to 0.37 in the 3 s that the calls take.
    assert!((warm / 10..warm * 4 / 10).contains(&cold));
}
