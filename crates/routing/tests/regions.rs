//! Sparing calls to other regions: which servers go first, the window, and ejections inside of the region.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::region_window::RegionPolicy;
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use rand::SeedableRng;
use rand::rngs::StdRng;

const FULL: RouteResult = RouteResult::Refused(RefusalReason::QueueFull);

struct Bench {
    table: RouteTable,
    rng: StdRng,
    now: Instant,
    service: Bytes,
    class: Bytes,
}

impl Bench {
    fn new(policy: RegionPolicy) -> Self {
        let mut table = RouteTable::new(place("dk-east"));
        table.set_region_policy(policy);
        Self {
            table,
            rng: StdRng::seed_from_u64(20_261_204),
            now: Instant::now(),
            service: Bytes::from_static(b"schedules"),
            class: Bytes::from_static(b"room-lookup"),
        }
    }

    fn add(&mut self, index: u8, region: &'static str) -> ServerKey {
        self.table.upsert(RouteCandidate {
            daemon_id: Bytes::from(format!("vm-{index}")),
            incarnation: 1,
            service: self.service.clone(),
            address: ([10, 0, 0, index], 7000).into(),
            location: place(region),
            slots: 1000,
            state: CandidateState::Ready,
            ready_since: None,
        })
    }

    fn begin(&mut self, exclude: &[ServerKey]) -> Option<(ServerKey, CallKey)> {
        let request = RouteRequest {
            service: &self.service,
            class: &self.class,
            lane: RouteLane::Short,
            cross_region: true,
            may_probe: false,
            exclude,
        };
        let RouteChoice::Use { key, .. } = self.table.choose(&request, self.now, &mut self.rng) else {
            return None;
        };
        Some((key, self.table.begin(key, &self.class, RouteLane::Short, self.now)?))
    }

    /// Calls a server that refuses for load.
    fn refuse(&mut self, exclude: &[ServerKey]) -> ServerKey {
        let (key, call) = self.begin(exclude).unwrap();
        self.table.finish(call, FULL, self.now);
        key
    }
}

fn place(region: &'static str) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(region),
        data_centre: Bytes::from_static(b"a"),
    }
}

/// Guards against leaving the region for 100 ms after each refusal: on a quiet day of trinfast-mesh-grown 45,000 calls
/// crossed in the four seconds of the crest, while near servers had room again within milliseconds.
#[test]
fn near_servers_that_refused_go_before_other_regions() {
    for (policy, stays) in [(RegionPolicy::Sparing, true), (RegionPolicy::Room, false)] {
        let mut bench = Bench::new(policy);
        let near = bench.add(1, "dk-east");
        let far = bench.add(2, "dk-west");
        assert_eq!(bench.refuse(&[]), near);
        bench.now += Duration::from_millis(5);
        let expected = if stays { near } else { far };
        assert_eq!(bench.begin(&[]).unwrap().0, expected, "{policy:?}");
    }
}

/// Guards against a call that is refused by one near server after another while another region has room.
#[test]
fn two_near_refusals_open_the_way_to_other_regions() {
    let mut bench = Bench::new(RegionPolicy::Sparing);
    let near: Vec<ServerKey> = (1..4).map(|index| bench.add(index, "dk-east")).collect();
    let far = bench.add(9, "dk-west");
    let mut tried = Vec::new();
    // The third near server refused another call, so that none has room.
    for _other in 0..3 {
        let other = bench.refuse(&tried);
        tried.push(other);
    }
    assert!(near.iter().all(|key| tried.contains(key)));
    let first = bench.refuse(&[]);
    let second = bench.refuse(&[first]);
    assert!(near.contains(&first) && near.contains(&second));
    assert_eq!(bench.begin(&[first, second]).unwrap().0, far);
}

/// Guards against a region whose near servers refuse that sends all its calls to another one that refuses as well.
#[test]
fn refusals_of_other_regions_close_the_window() {
    let mut bench = Bench::new(RegionPolicy::Sparing);
    let near = [bench.add(1, "dk-east"), bench.add(2, "dk-east")];
    let far = bench.add(3, "dk-west");
    let running: Vec<CallKey> = (0..4).map(|_call| bench.begin(&near).unwrap().1).collect();
    assert!(bench.begin(&near).is_none(), "a fifth call before anything was learned");
    for call in running {
        bench.table.finish(call, RouteResult::Completed, bench.now);
    }
    let running: Vec<CallKey> = std::iter::from_fn(|| bench.begin(&near)).map(|call| call.1).collect();
    assert_eq!(running.len(), 8, "accepted calls open the window");
    for call in running {
        bench.table.finish(call, FULL, bench.now);
    }
    assert!(bench.begin(&near).is_none(), "the window pauses after refusals");
    bench.now += Duration::from_millis(31);
    let after: Vec<CallKey> = std::iter::from_fn(|| bench.begin(&near)).map(|call| call.1).collect();
    assert_eq!(after.len(), 4, "refusals of one moment halve it once");
    assert_eq!(bench.table.in_flight(far), 4);
}

/// Guards against a window that stays closed since calls to a server that was removed meanwhile never end in it.
#[test]
fn calls_to_removed_servers_leave_the_window() {
    let mut bench = Bench::new(RegionPolicy::Sparing);
    let near = bench.add(1, "dk-east");
    let far = bench.add(2, "dk-west");
    let running: Vec<CallKey> = (0..4).map(|_call| bench.begin(&[near]).unwrap().1).collect();
    bench.table.remove(far);
    bench.add(3, "dk-west");
    for call in running {
        bench.table.finish(call, RouteResult::Cancelled, bench.now);
    }
    assert!(bench.begin(&[near]).is_some());
}

/// Guards against a region that lost all its servers of a service and is then held back by the window.
#[test]
fn region_without_servers_is_not_held_back() {
    let mut bench = Bench::new(RegionPolicy::Sparing);
    let far = bench.add(1, "dk-west");
    for _call in 0..100 {
        assert_eq!(bench.begin(&[]).unwrap().0, far);
    }
}

/// Guards against a region that ejects all its own servers as stragglers. They are slow together when what they call is
/// slow, and then their callers only pay for the way to another region.
#[test]
fn one_server_of_the_region_is_kept() {
    for (policy, least) in [(RegionPolicy::Sparing, 1), (RegionPolicy::Room, 0)] {
        let mut bench = Bench::new(policy);
        let near: Vec<ServerKey> = (1..3).map(|index| bench.add(index, "dk-east")).collect();
        let far: Vec<ServerKey> = (3..7).map(|index| bench.add(index, "dk-west")).collect();
        for _round in 0..100 {
            let mut running = Vec::new();
            for key in near.iter().chain(&far) {
                let call = bench.table.begin(*key, &bench.class, RouteLane::Short, bench.now);
                running.push((near.contains(key), call.unwrap()));
            }
            let began = bench.now;
            running.sort();
            for (slow, call) in running {
                let latency = Duration::from_millis(if slow { 900 } else { 60 });
                bench.now = bench.now.max(began + latency);
                bench.table.finish(call, RouteResult::Completed, bench.now);
            }
            bench.table.tick(bench.now);
        }
        let kept = near.iter().filter(|key| bench.table.ejection(**key).is_none()).count();
        assert_eq!(kept, least, "{policy:?}");
    }
}
