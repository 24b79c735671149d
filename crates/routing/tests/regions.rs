//! Calls to other regions under both policies: order of the servers, the window, and ejections within the region.

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

const QUEUE_FULL: RouteResult = RouteResult::Refused(RefusalReason::QueueFull);

struct Fixture {
    table: RouteTable,
    rng: StdRng,
    now: Instant,
    service: Bytes,
    class: Bytes,
}

impl Fixture {
    fn new(policy: RegionPolicy) -> Self {
        let mut table = RouteTable::new(location("dk-east"));
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
            location: location(region),
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
            latency_objective: None,
        };
        let RouteChoice::Use { key, .. } = self.table.choose(&request, self.now, &mut self.rng) else {
            return None;
        };
        Some((key, self.table.begin(key, &self.class, RouteLane::Short, self.now)?))
    }

    /// Sends a call that its server refuses for load; returns the server.
    fn refuse(&mut self, exclude: &[ServerKey]) -> ServerKey {
        let (key, call) = self.begin(exclude).unwrap();
        self.table.finish(call, QUEUE_FULL, self.now);
        key
    }
}

fn location(region: &'static str) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(region),
        data_centre: Bytes::from_static(b"a"),
    }
}

/// Guards against calls that leave the region for 100 ms after each refusal: on a quiet day of trinfast-mesh-grown
/// 45,000 calls crossed in the four seconds of the crest, while servers of the region had capacity again within
/// milliseconds.
#[test]
fn refusing_servers_of_the_region_are_preferred() {
    for (policy, stays_in_region) in [(RegionPolicy::Windowed, true), (RegionPolicy::Unbounded, false)] {
        let mut fixture = Fixture::new(policy);
        let in_region = fixture.add(1, "dk-east");
        let cross_region = fixture.add(2, "dk-west");
        assert_eq!(fixture.refuse(&[]), in_region);
        fixture.now += Duration::from_millis(5);
        let expected = if stays_in_region { in_region } else { cross_region };
        assert_eq!(fixture.begin(&[]).unwrap().0, expected, "{policy:?}");
    }
}

/// Guards against a call that is refused by all servers of the region in turn while another region has capacity.
#[test]
fn two_refusals_in_the_region_allow_crossing() {
    let mut fixture = Fixture::new(RegionPolicy::Windowed);
    let in_region: Vec<ServerKey> = (1..4).map(|index| fixture.add(index, "dk-east")).collect();
    let cross_region = fixture.add(9, "dk-west");
    let mut tried = Vec::new();
    // All three servers of the region refuse a call, so that none has capacity.
    for _other in 0..3 {
        let other = fixture.refuse(&tried);
        tried.push(other);
    }
    assert!(in_region.iter().all(|key| tried.contains(key)));
    let first = fixture.refuse(&[]);
    let second = fixture.refuse(&[first]);
    assert!(in_region.contains(&first) && in_region.contains(&second));
    assert_eq!(fixture.begin(&[first, second]).unwrap().0, cross_region);
}

/// Guards against sending all calls to another region that refuses them as well, after the servers of the own region
/// refused.
#[test]
fn refusals_of_other_regions_halve_the_window() {
    let mut fixture = Fixture::new(RegionPolicy::Windowed);
    let in_region = [fixture.add(1, "dk-east"), fixture.add(2, "dk-east")];
    let cross_region = fixture.add(3, "dk-west");
    let running: Vec<CallKey> = (0..4).map(|_call| fixture.begin(&in_region).unwrap().1).collect();
    assert!(
        fixture.begin(&in_region).is_none(),
        "a fifth call exceeds the initial window"
    );
    for call in running {
        fixture.table.finish(call, RouteResult::Completed, fixture.now);
    }
    let running: Vec<CallKey> = std::iter::from_fn(|| fixture.begin(&in_region))
        .map(|call| call.1)
        .collect();
    assert_eq!(running.len(), 8, "each completed call raises the window by one");
    for call in running {
        fixture.table.finish(call, QUEUE_FULL, fixture.now);
    }
    assert!(
        fixture.begin(&in_region).is_none(),
        "no call crosses during the pause after a refusal"
    );
    fixture.now += Duration::from_millis(31);
    let after: Vec<CallKey> = std::iter::from_fn(|| fixture.begin(&in_region))
        .map(|call| call.1)
        .collect();
    assert_eq!(after.len(), 4, "several refusals at once halve the window once");
    assert_eq!(fixture.table.in_flight(cross_region), 4);
}

/// Guards against a window that stays closed since calls to a removed server are never subtracted from it.
#[test]
fn calls_to_removed_servers_are_subtracted_from_the_window() {
    let mut fixture = Fixture::new(RegionPolicy::Windowed);
    let in_region = fixture.add(1, "dk-east");
    let cross_region = fixture.add(2, "dk-west");
    let running: Vec<CallKey> = (0..4).map(|_call| fixture.begin(&[in_region]).unwrap().1).collect();
    fixture.table.remove(cross_region);
    fixture.add(3, "dk-west");
    for call in running {
        fixture.table.finish(call, RouteResult::Cancelled, fixture.now);
    }
    assert!(fixture.begin(&[in_region]).is_some());
}

/// Guards against a window that blocks the calls of a region without servers of the service.
#[test]
fn region_without_servers_ignores_the_window() {
    let mut fixture = Fixture::new(RegionPolicy::Windowed);
    let cross_region = fixture.add(1, "dk-west");
    for _call in 0..100 {
        assert_eq!(fixture.begin(&[]).unwrap().0, cross_region);
    }
}

/// Guards against the ejection of all servers of the region as stragglers. If they are all slow at once, the services
/// that they call are slow, and sending the calls to another region only adds its network delay.
#[test]
fn last_server_of_the_region_is_not_ejected() {
    for (policy, expected) in [(RegionPolicy::Windowed, 1), (RegionPolicy::Unbounded, 0)] {
        let mut fixture = Fixture::new(policy);
        let in_region: Vec<ServerKey> = (1..3).map(|index| fixture.add(index, "dk-east")).collect();
        let cross_region: Vec<ServerKey> = (3..7).map(|index| fixture.add(index, "dk-west")).collect();
        for _round in 0..100 {
            let mut running = Vec::new();
            for key in in_region.iter().chain(&cross_region) {
                let call = fixture.table.begin(*key, &fixture.class, RouteLane::Short, fixture.now);
                running.push((in_region.contains(key), call.unwrap()));
            }
            let began = fixture.now;
            running.sort();
            for (slow, call) in running {
                let latency = Duration::from_millis(if slow { 900 } else { 60 });
                fixture.now = fixture.now.max(began + latency);
                fixture.table.finish(call, RouteResult::Completed, fixture.now);
            }
            fixture.table.tick(fixture.now);
        }
        let remaining = in_region
            .iter()
            .filter(|key| fixture.table.ejection(**key).is_none())
            .count();
        assert_eq!(remaining, expected, "{policy:?}");
    }
}
