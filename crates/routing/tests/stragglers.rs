//! Ejection and return on virtual time. Each check is also run with its mechanism switched off and must then object.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 20_261_204;
const SHORT: &[u8] = b"checkpost";
const LONG: &[u8] = b"ledger";

/// What the caller of the router does wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Calls are reported when they end, not when they begin.
    LateBegin,
    /// Cancelled calls are reported at their end, as complete ones that took no time.
    CancelAsComplete,
    /// Refused calls are reported as complete.
    RefusalAsComplete,
    /// All calls are reported under one class.
    OneClass,
    /// The network delay is taken for zero.
    NoDelay,
    /// Ejections are ignored: calls go to the slow server as before.
    IgnoreEjection,
}

/// How a server treats short calls.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Latencies are exponential with this mean in milliseconds.
    Mean(f64),
    /// Every call takes this many milliseconds, so none finishes while the server is first slow.
    Fixed(f64),
    /// The caller gives up after 60 ms.
    Hangs,
    /// Refuses at once.
    Refuses,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    due: Instant,
    sequence: u64,
    server: usize,
    started: Instant,
    long: bool,
    call: Option<CallKey>,
    cancelled: bool,
    refused: bool,
}

struct Bench {
    table: RouteTable,
    keys: Vec<ServerKey>,
    behaviours: Vec<Behaviour>,
    delays: Vec<f64>,
    now: Instant,
    rng: StdRng,
    ends: BinaryHeap<Reverse<End>>,
    sequence: u64,
    fault: Fault,
    calls: Vec<u64>,
    latencies: Vec<f64>,
}

fn place(region: &'static [u8], data_centre: usize) -> ServerLocation {
    ServerLocation {
        region: Bytes::from_static(region),
        data_centre: Bytes::from(format!("dc-{data_centre}")),
    }
}

fn candidate(index: usize, location: ServerLocation) -> RouteCandidate {
    RouteCandidate {
        daemon_id: Bytes::from(format!("vm-{index}")),
        incarnation: 1,
        service: Bytes::from_static(b"tags"),
        address: ([10, 0, 0, 1], 7000 + u16::try_from(index).unwrap()).into(),
        location,
        slots: 35,
        state: CandidateState::Ready,
        ready_since: None,
    }
}

impl Bench {
    /// Six servers in the caller's data centre.
    fn new(fault: Fault) -> Self {
        Self::at(&[("east", 0, 0.0); 6], fault)
    }

    fn at(places: &[(&'static str, usize, f64)], fault: Fault) -> Self {
        println!("seed {SEED}");
        let mut table = RouteTable::new(place(b"east", 0));
        let servers = places.iter().enumerate();
        let keys = servers.map(|(index, (region, data_centre, delay))| {
            let location = place(region.as_bytes(), *data_centre);
            let known = if fault == Fault::NoDelay { 0.0 } else { *delay };
            table.set_network_delay(&location, Duration::from_secs_f64(known / 1000.0));
            table.upsert(candidate(index, location))
        });
        Self {
            keys: keys.collect(),
            table,
            behaviours: vec![Behaviour::Mean(5.0); places.len()],
            delays: places.iter().map(|place| place.2).collect(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(SEED),
            ends: BinaryHeap::new(),
            sequence: 0,
            fault,
            calls: vec![0; places.len()],
            latencies: Vec::new(),
        }
    }

    /// Calls at an even rate for some time.
    fn run(&mut self, rate: u32, duration: Duration, long_share: f64) {
        let end = self.now + duration;
        while self.now < end {
            let next = self.now + Duration::from_secs(1) / rate;
            self.end_until(next);
            self.now = next;
            self.table.tick(next);
            let long = self.rng.random_bool(long_share);
            self.call(long);
        }
    }

    /// Runs until the server is ejected; returns the time that took.
    fn until_ejected(&mut self, server: usize, rate: u32, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if self.table.ejection(self.keys[server]).is_some() {
                return Some(self.now - start);
            }
            self.run(rate, Duration::from_millis(20), 0.0);
        }
        None
    }

    fn call(&mut self, long: bool) {
        let class = self.class(long);
        let lane = if long { RouteLane::Long } else { RouteLane::Short };
        let service = Bytes::from_static(b"tags");
        let request = RouteRequest {
            service: &service,
            class: &class,
            lane,
            cross_region: true,
            may_probe: true,
            exclude: &[],
        };
        let RouteChoice::Use { key, .. } = self.table.choose(&request, self.now, &mut self.rng) else {
            panic!("no candidate");
        };
        let mut server = self.keys.iter().position(|other| *other == key).unwrap();
        if self.fault == Fault::IgnoreEjection {
            server = self.rng.random_range(0..self.keys.len());
        }
        self.calls[server] += 1;
        let (mut millis, mut cancelled, mut refused) = (0.2, false, false);
        match self.behaviours[server] {
            _ if long => millis = 2000.0,
            Behaviour::Mean(mean) => millis = -mean * (1.0 - self.rng.random_range(0.0..1.0_f64)).ln(),
            Behaviour::Fixed(fixed) => millis = fixed,
            Behaviour::Hangs => (millis, cancelled) = (60.0, true),
            Behaviour::Refuses => refused = true,
        }
        millis += self.delays[server];
        if !long && !refused {
            self.latencies.push(millis);
        }
        let unseen = self.fault == Fault::LateBegin || (cancelled && self.fault == Fault::CancelAsComplete);
        let call = if unseen {
            None
        } else {
            self.table.begin(self.keys[server], &class, lane, self.now)
        };
        self.sequence += 1;
        self.ends.push(Reverse(End {
            due: self.now + Duration::from_secs_f64(millis / 1000.0),
            sequence: self.sequence,
            server,
            started: self.now,
            long,
            call,
            cancelled,
            refused,
        }));
    }

    fn end_until(&mut self, until: Instant) {
        while self.ends.peek().is_some_and(|Reverse(end)| end.due <= until) {
            let Some(Reverse(end)) = self.ends.pop() else {
                return;
            };
            let class = self.class(end.long);
            let lane = if end.long { RouteLane::Long } else { RouteLane::Short };
            let begin = || {
                self.table
                    .begin(self.keys[end.server], &class, lane, end.started)
                    .unwrap()
            };
            let call = end.call.unwrap_or_else(begin);
            let (result, at) = match (end.cancelled, end.refused, self.fault) {
                (true, _, Fault::CancelAsComplete) => (RouteResult::Completed, end.started),
                (true, _, _) => (RouteResult::Cancelled, end.due),
                (_, true, Fault::RefusalAsComplete) => (RouteResult::Completed, end.due),
                (_, true, _) => (RouteResult::Refused(RefusalReason::Overloaded), end.due),
                _ => (RouteResult::Completed, end.due),
            };
            self.table.finish(call, result, at);
        }
    }

    fn class(&self, long: bool) -> Bytes {
        Bytes::from_static(if long && self.fault != Fault::OneClass {
            LONG
        } else {
            SHORT
        })
    }

    fn ejected(&self) -> Vec<usize> {
        let servers = 0..self.keys.len();
        servers
            .filter(|server| self.table.ejection(self.keys[*server]).is_some())
            .collect()
    }
}

fn slow_server_is_ejected(fault: Fault, rate: u32) -> Result<Duration, String> {
    let mut bench = Bench::new(fault);
    bench.run(rate, Duration::from_secs(5), 0.0);
    bench.behaviours[2] = Behaviour::Fixed(3000.0);
    let taken = bench.until_ejected(2, rate, Duration::from_secs(1));
    println!("{rate} calls/s: ejected after {taken:?}");
    taken.ok_or_else(|| "not ejected within a second".to_owned())
}

/// Guards against a slow server being noticed only when its calls finish at last.
#[test]
fn calls_in_progress_reveal_a_straggler() {
    for rate in [60, 350, 2000] {
        slow_server_is_ejected(Fault::None, rate).unwrap();
    }
}

#[test]
fn finished_calls_alone_are_objected_to() {
    slow_server_is_ejected(Fault::LateBegin, 350).unwrap_err();
}

/// Guards against the p99 suffering from one server of six that is ten times slower, and against its staying ejected.
fn straggler_costs_little(fault: Fault) -> Result<(), String> {
    let mut bench = Bench::new(fault);
    bench.run(350, Duration::from_secs(30), 0.0);
    let p99 = |latencies: &mut Vec<f64>| {
        latencies.sort_unstable_by(f64::total_cmp);
        let value = latencies[latencies.len() * 99 / 100];
        latencies.clear();
        value
    };
    let healthy = p99(&mut bench.latencies);
    bench.behaviours[2] = Behaviour::Mean(50.0);
    let noticed = bench.until_ejected(2, 350, Duration::from_secs(1));
    bench.run(350, Duration::from_secs(30), 0.0);
    let slowed = p99(&mut bench.latencies);
    println!("noticed after {noticed:?}; p99 {healthy:.1} ms healthy, {slowed:.1} ms with a straggler");
    if slowed / healthy > 1.3 {
        return Err(format!("p99 ratio {:.2}", slowed / healthy));
    }
    bench.behaviours[2] = Behaviour::Mean(5.0);
    bench.run(350, Duration::from_secs(20), 0.0);
    let before = bench.calls[2];
    bench.run(350, Duration::from_secs(20), 0.0);
    let share = (bench.calls[2] - before) as f64 / (350.0 * 20.0);
    if share < 0.1 {
        Err(format!("share after its return {share:.2}"))
    } else {
        Ok(())
    }
}

#[test]
fn straggler_is_ejected_and_returns() {
    straggler_costs_little(Fault::None).unwrap();
}

#[test]
fn ignored_ejection_is_objected_to() {
    straggler_costs_little(Fault::IgnoreEjection).unwrap_err();
}

fn hanging_server_is_avoided(fault: Fault) -> Result<(), String> {
    let mut bench = Bench::new(fault);
    bench.run(350, Duration::from_secs(5), 0.0);
    bench.behaviours[4] = Behaviour::Hangs;
    bench.run(350, Duration::from_secs(2), 0.0);
    let before = bench.calls[4];
    bench.run(350, Duration::from_secs(10), 0.0);
    let share = (bench.calls[4] - before) as f64 / 3500.0;
    println!("share of the hanging server: {share:.4}");
    if share > 0.01 {
        Err(format!("share {share:.3}"))
    } else {
        Ok(())
    }
}

/// Guards against cancelled calls making a hanging server look fast.
#[test]
fn cancellation_is_no_fast_success() {
    hanging_server_is_avoided(Fault::None).unwrap();
}

#[test]
fn cancellation_as_success_is_objected_to() {
    hanging_server_is_avoided(Fault::CancelAsComplete).unwrap_err();
}

fn refusing_server_is_spared(fault: Fault) -> Result<(), String> {
    let mut bench = Bench::new(fault);
    bench.run(350, Duration::from_secs(5), 0.0);
    bench.behaviours[4] = Behaviour::Refuses;
    let before = bench.calls[4];
    bench.run(350, Duration::from_secs(10), 0.0);
    let share = (bench.calls[4] - before) as f64 / 3500.0;
    println!("share of the refusing server: {share:.4}");
    if share > 0.05 {
        Err(format!("share {share:.3}"))
    } else {
        Ok(())
    }
}

/// Guards against an overloaded server attracting calls because it refuses quickly.
#[test]
fn refusal_is_no_fast_success() {
    refusing_server_is_spared(Fault::None).unwrap();
}

#[test]
fn refusal_as_success_is_objected_to() {
    refusing_server_is_spared(Fault::RefusalAsComplete).unwrap_err();
}

fn long_work_ejects_nobody(fault: Fault) -> Result<(), String> {
    let mut bench = Bench::new(fault);
    for _second in 0..30 {
        bench.run(100, Duration::from_secs(1), 0.03);
        if !bench.ejected().is_empty() {
            return Err(format!("ejected: {:?}", bench.ejected()));
        }
    }
    let short = bench
        .table
        .latency(bench.keys[0], &Bytes::from_static(SHORT), bench.now)
        .unwrap();
    if short > Duration::from_millis(100) {
        Err(format!("short estimate {short:?}"))
    } else {
        Ok(())
    }
}

/// Guards against downloads in progress making a server look slow for short work.
#[test]
fn lanes_are_not_mixed() {
    long_work_ejects_nobody(Fault::None).unwrap();
}

#[test]
fn mixed_lanes_are_objected_to() {
    long_work_ejects_nobody(Fault::OneClass).unwrap_err();
}

fn distant_server_is_no_straggler(fault: Fault) -> Result<(), String> {
    let places = [
        ("east", 1, 1.0),
        ("east", 1, 1.0),
        ("east", 2, 1.0),
        ("west", 3, 60.0),
        ("west", 4, 60.0),
    ];
    let mut bench = Bench::at(&places, fault);
    // Near servers are full now and then, so calls also reach the other region.
    for _round in 0..300 {
        bench.run(200, Duration::from_millis(100), 0.0);
        let near: Vec<ServerKey> = bench.keys[..3].to_vec();
        let class = Bytes::from_static(SHORT);
        for key in near {
            let call = bench.table.begin(key, &class, RouteLane::Short, bench.now).unwrap();
            bench
                .table
                .finish(call, RouteResult::Refused(RefusalReason::QueueFull), bench.now);
        }
        if !bench.ejected().is_empty() {
            return Err(format!("ejected: {:?}", bench.ejected()));
        }
    }
    if bench.calls[3] < 100 {
        Err(format!("the case does not reach the far region: {:?}", bench.calls))
    } else {
        Ok(())
    }
}

/// Guards against a server of another region being ejected for its distance.
#[test]
fn distance_is_no_straggling() {
    distant_server_is_no_straggler(Fault::None).unwrap();
}

#[test]
fn unknown_distance_is_objected_to() {
    distant_server_is_no_straggler(Fault::NoDelay).unwrap_err();
}

fn lone_near_straggler(fault: Fault) -> Result<(), String> {
    let places = [0, 1, 2, 3, 4, 5].map(|place| ("east", place, if place == 0 { 0.0 } else { 1.0 }));
    let mut bench = Bench::at(&places, fault);
    bench.run(100, Duration::from_secs(10), 0.0);
    bench.behaviours[0] = Behaviour::Mean(50.0);
    let taken = bench.until_ejected(0, 100, Duration::from_secs(1));
    println!("lone server of its data centre: ejected after {taken:?}");
    taken.ok_or("not ejected")?;
    let before = bench.calls[0];
    bench.run(100, Duration::from_secs(10), 0.0);
    if bench.calls[0] - before > 20 {
        return Err(format!("{} of 1000 calls", bench.calls[0] - before));
    }
    bench.behaviours[0] = Behaviour::Mean(5.0);
    bench.run(100, Duration::from_secs(20), 0.0);
    if bench.ejected().contains(&0) {
        Err("did not return".to_owned())
    } else {
        Ok(())
    }
}

/// Guards against a straggler without peers in its data centre, which only its own past can show.
#[test]
fn lone_server_is_measured_against_its_past() {
    lone_near_straggler(Fault::None).unwrap();
}

#[test]
fn ignored_ejection_of_a_lone_server_is_objected_to() {
    lone_near_straggler(Fault::IgnoreEjection).unwrap_err();
}

/// Guards against a server with refused connections getting calls, and against its staying away after its return.
#[test]
fn unreachable_server_is_ejected_at_once() {
    let mut bench = Bench::new(Fault::None);
    bench.run(350, Duration::from_secs(2), 0.0);
    let class = Bytes::from_static(SHORT);
    for result in [
        RouteResult::Silent,
        RouteResult::Refused(RefusalReason::BackendServerDown),
    ] {
        let call = bench
            .table
            .begin(bench.keys[1], &class, RouteLane::Short, bench.now)
            .unwrap();
        bench.table.finish(call, result, bench.now);
        assert_eq!(bench.ejected(), vec![1]);
        let before = bench.calls[1];
        bench.run(350, Duration::from_millis(900), 0.0);
        assert_eq!(bench.calls[1], before, "called while ejected");
        bench.run(350, Duration::from_secs(5), 0.0);
        assert!(bench.ejected().is_empty(), "a good probe did not return it");
    }
}

/// Three of six servers are slow; `third` ejects one more than the limit by other means.
fn at_most_a_third_is_ejected(third: bool) -> Result<(), String> {
    let mut bench = Bench::new(Fault::None);
    bench.run(350, Duration::from_secs(5), 0.0);
    bench.behaviours[3..].fill(Behaviour::Mean(200.0));
    let mut most = 0;
    for round in 0..200 {
        bench.run(350, Duration::from_millis(50), 0.0);
        if third && round == 100 {
            for key in bench.keys.clone() {
                let call = bench
                    .table
                    .begin(key, &Bytes::from_static(SHORT), RouteLane::Short, bench.now)
                    .unwrap();
                bench.table.finish(call, RouteResult::Silent, bench.now);
            }
        }
        most = most.max(bench.ejected().len());
    }
    if most == 2 {
        Ok(())
    } else {
        Err(format!("{most} of 6 ejected"))
    }
}

/// Guards against the fast servers being left alone with the whole load.
#[test]
fn stragglers_are_ejected_up_to_a_third() {
    at_most_a_third_is_ejected(false).unwrap();
}

#[test]
fn more_than_a_third_is_objected_to() {
    at_most_a_third_is_ejected(true).unwrap_err();
}

/// Guards against the whole service being ejected when all of it is slow.
#[test]
fn overload_of_all_servers_ejects_nobody_for_long() {
    let mut bench = Bench::new(Fault::None);
    bench.run(350, Duration::from_secs(5), 0.0);
    bench.behaviours = vec![Behaviour::Mean(100.0); 6];
    for _second in 0..20 {
        bench.run(350, Duration::from_secs(1), 0.0);
        assert!(bench.ejected().len() <= 2, "{:?}", bench.ejected());
    }
}
