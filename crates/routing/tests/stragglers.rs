//! Ejection and readmission in virtual time. Each check also runs with a fault injected and must then fail.

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

/// Fault in the use of the route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Calls are reported when they end, not when they begin.
    LateBegin,
    /// Cancelled calls are reported when they end, as completed ones without latency.
    CancelAsCompleted,
    /// Refused calls are reported as completed.
    RefusalAsCompleted,
    /// All calls are reported under one class.
    SingleClass,
    /// The network delay is set to zero.
    NoNetworkDelay,
    /// Choices are ignored: calls go to random servers, ejected ones included.
    IgnoreEjection,
}

/// Response of a server to calls of short work.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Latencies are exponential with this mean in milliseconds.
    Mean(f64),
    /// Every call takes this many milliseconds, so that none completes before the ejection is due.
    Fixed(f64),
    /// The server does not respond; the caller cancels each call after 60 ms.
    Hang,
    /// The server refuses each call after 0.2 ms.
    Refuse,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallEnd {
    due: Instant,
    sequence: u64,
    server: usize,
    started: Instant,
    long: bool,
    call: Option<CallKey>,
    cancelled: bool,
    refused: bool,
}

struct Fixture {
    table: RouteTable,
    keys: Vec<ServerKey>,
    behaviours: Vec<Behaviour>,
    network_delays: Vec<f64>,
    now: Instant,
    rng: StdRng,
    ends: BinaryHeap<Reverse<CallEnd>>,
    sequence: u64,
    fault: Fault,
    calls: Vec<u64>,
    latencies: Vec<f64>,
}

fn location(region: &'static [u8], data_centre: usize) -> ServerLocation {
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

impl Fixture {
    /// Creates six servers in the data centre of the caller.
    fn new(fault: Fault) -> Self {
        Self::at(&[("east", 0, 0.0); 6], fault)
    }

    fn at(places: &[(&'static str, usize, f64)], fault: Fault) -> Self {
        println!("seed {SEED}");
        let mut table = RouteTable::new(location(b"east", 0));
        let servers = places.iter().enumerate();
        let keys = servers.map(|(index, (region, data_centre, network_delay))| {
            let location = location(region.as_bytes(), *data_centre);
            let assumed_delay = if fault == Fault::NoNetworkDelay {
                0.0
            } else {
                *network_delay
            };
            table.set_network_delay(&location, Duration::from_secs_f64(assumed_delay / 1000.0));
            table.upsert(candidate(index, location))
        });
        Self {
            keys: keys.collect(),
            table,
            behaviours: vec![Behaviour::Mean(5.0); places.len()],
            network_delays: places.iter().map(|location| location.2).collect(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(SEED),
            ends: BinaryHeap::new(),
            sequence: 0,
            fault,
            calls: vec![0; places.len()],
            latencies: Vec::new(),
        }
    }

    /// Sends calls at a constant rate in calls per second; `long_share` is the share of long work.
    fn run(&mut self, rate: u32, duration: Duration, long_share: f64) {
        let end = self.now + duration;
        while self.now < end {
            let next = self.now + Duration::from_secs(1) / rate;
            self.finish_until(next);
            self.now = next;
            self.table.tick(next);
            let long = self.rng.random_bool(long_share);
            self.call(long);
        }
    }

    /// Runs until the server is ejected; returns the time until then, or `None` after `limit`.
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
            latency_objective: None,
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
            Behaviour::Hang => (millis, cancelled) = (60.0, true),
            Behaviour::Refuse => refused = true,
        }
        millis += self.network_delays[server];
        if !long && !refused {
            self.latencies.push(millis);
        }
        let begin_at_end = self.fault == Fault::LateBegin || (cancelled && self.fault == Fault::CancelAsCompleted);
        let call = if begin_at_end {
            None
        } else {
            self.table.begin(self.keys[server], &class, lane, self.now)
        };
        self.sequence += 1;
        self.ends.push(Reverse(CallEnd {
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

    fn finish_until(&mut self, until: Instant) {
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
                (true, _, Fault::CancelAsCompleted) => (RouteResult::Completed, end.started),
                (true, _, _) => (RouteResult::Cancelled, end.due),
                (_, true, Fault::RefusalAsCompleted) => (RouteResult::Completed, end.due),
                (_, true, _) => (RouteResult::Refused(RefusalReason::Overloaded), end.due),
                _ => (RouteResult::Completed, end.due),
            };
            self.table.finish(call, result, at);
        }
    }

    fn class(&self, long: bool) -> Bytes {
        Bytes::from_static(if long && self.fault != Fault::SingleClass {
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
    let mut fixture = Fixture::new(fault);
    fixture.run(rate, Duration::from_secs(5), 0.0);
    fixture.behaviours[2] = Behaviour::Fixed(3000.0);
    let elapsed = fixture.until_ejected(2, rate, Duration::from_secs(1));
    println!("{rate} calls/s: ejected after {elapsed:?}");
    elapsed.ok_or_else(|| "not ejected within 1 s".to_owned())
}

/// Guards against a slow server being detected only when its calls complete.
#[test]
fn calls_in_progress_reveal_a_straggler() {
    for rate in [60, 350, 2000] {
        slow_server_is_ejected(Fault::None, rate).unwrap();
    }
}

#[test]
fn late_begin_is_detected() {
    slow_server_is_ejected(Fault::LateBegin, 350).unwrap_err();
}

/// Guards against one server of six that is ten times slower raising the p99, and against its staying ejected once it
/// has recovered.
fn straggler_hardly_raises_p99(fault: Fault) -> Result<(), String> {
    let mut fixture = Fixture::new(fault);
    fixture.run(350, Duration::from_secs(30), 0.0);
    let p99 = |latencies: &mut Vec<f64>| {
        latencies.sort_unstable_by(f64::total_cmp);
        let value = latencies[latencies.len() * 99 / 100];
        latencies.clear();
        value
    };
    let healthy = p99(&mut fixture.latencies);
    fixture.behaviours[2] = Behaviour::Mean(50.0);
    let ejected_after = fixture.until_ejected(2, 350, Duration::from_secs(1));
    fixture.run(350, Duration::from_secs(30), 0.0);
    let slowed = p99(&mut fixture.latencies);
    println!("ejected after {ejected_after:?}; p99 {healthy:.1} ms healthy, {slowed:.1} ms with a straggler");
    if slowed / healthy > 1.3 {
        return Err(format!("p99 ratio {:.2}", slowed / healthy));
    }
    fixture.behaviours[2] = Behaviour::Mean(5.0);
    fixture.run(350, Duration::from_secs(20), 0.0);
    let before = fixture.calls[2];
    fixture.run(350, Duration::from_secs(20), 0.0);
    let share = (fixture.calls[2] - before) as f64 / (350.0 * 20.0);
    if share < 0.1 {
        Err(format!("share of the recovered server {share:.2}"))
    } else {
        Ok(())
    }
}

#[test]
fn straggler_is_ejected_and_returns() {
    straggler_hardly_raises_p99(Fault::None).unwrap();
}

#[test]
fn ignored_ejection_is_detected() {
    straggler_hardly_raises_p99(Fault::IgnoreEjection).unwrap_err();
}

fn hanging_server_is_avoided(fault: Fault) -> Result<(), String> {
    let mut fixture = Fixture::new(fault);
    fixture.run(350, Duration::from_secs(5), 0.0);
    fixture.behaviours[4] = Behaviour::Hang;
    fixture.run(350, Duration::from_secs(2), 0.0);
    let before = fixture.calls[4];
    fixture.run(350, Duration::from_secs(10), 0.0);
    let share = (fixture.calls[4] - before) as f64 / 3500.0;
    println!("share of the hanging server: {share:.4}");
    if share > 0.01 {
        Err(format!("share {share:.3}"))
    } else {
        Ok(())
    }
}

/// Guards against a hanging server attracting calls because cancelled calls count as fast ones.
#[test]
fn cancelled_calls_do_not_count_as_fast() {
    hanging_server_is_avoided(Fault::None).unwrap();
}

#[test]
fn cancellation_as_completion_is_detected() {
    hanging_server_is_avoided(Fault::CancelAsCompleted).unwrap_err();
}

fn refusing_server_is_avoided(fault: Fault) -> Result<(), String> {
    let mut fixture = Fixture::new(fault);
    fixture.run(350, Duration::from_secs(5), 0.0);
    fixture.behaviours[4] = Behaviour::Refuse;
    let before = fixture.calls[4];
    fixture.run(350, Duration::from_secs(10), 0.0);
    let share = (fixture.calls[4] - before) as f64 / 3500.0;
    println!("share of the refusing server: {share:.4}");
    if share > 0.05 {
        Err(format!("share {share:.3}"))
    } else {
        Ok(())
    }
}

/// Guards against an overloaded server attracting calls because fast refusals count as fast calls.
#[test]
fn refused_calls_do_not_count_as_fast() {
    refusing_server_is_avoided(Fault::None).unwrap();
}

#[test]
fn refusal_as_completion_is_detected() {
    refusing_server_is_avoided(Fault::RefusalAsCompleted).unwrap_err();
}

fn long_work_ejects_no_server(fault: Fault) -> Result<(), String> {
    let mut fixture = Fixture::new(fault);
    for _second in 0..30 {
        fixture.run(100, Duration::from_secs(1), 0.03);
        if !fixture.ejected().is_empty() {
            return Err(format!("ejected: {:?}", fixture.ejected()));
        }
    }
    let short = fixture
        .table
        .latency(fixture.keys[0], &Bytes::from_static(SHORT), fixture.now)
        .unwrap();
    if short > Duration::from_millis(100) {
        Err(format!("short estimate {short:?}"))
    } else {
        Ok(())
    }
}

/// Guards against long calls in progress raising the latency estimate for short work.
#[test]
fn long_work_does_not_affect_short_work() {
    long_work_ejects_no_server(Fault::None).unwrap();
}

#[test]
fn single_class_is_detected() {
    long_work_ejects_no_server(Fault::SingleClass).unwrap_err();
}

fn distant_server_is_not_ejected(fault: Fault) -> Result<(), String> {
    let places = [
        ("east", 1, 1.0),
        ("east", 1, 1.0),
        ("east", 2, 1.0),
        ("west", 3, 60.0),
        ("west", 4, 60.0),
    ];
    let mut fixture = Fixture::at(&places, fault);
    // Refusals make the servers of the region count as full at times, so that calls also go to the other region.
    for _round in 0..300 {
        fixture.run(200, Duration::from_millis(100), 0.0);
        let near: Vec<ServerKey> = fixture.keys[..3].to_vec();
        let class = Bytes::from_static(SHORT);
        for key in near {
            let call = fixture.table.begin(key, &class, RouteLane::Short, fixture.now).unwrap();
            fixture
                .table
                .finish(call, RouteResult::Refused(RefusalReason::QueueFull), fixture.now);
        }
        if !fixture.ejected().is_empty() {
            return Err(format!("ejected: {:?}", fixture.ejected()));
        }
    }
    if fixture.calls[3] < 100 {
        Err(format!("too few calls went to the other region: {:?}", fixture.calls))
    } else {
        Ok(())
    }
}

/// Guards against a server of another region being ejected because of its network delay.
#[test]
fn network_delay_is_subtracted() {
    distant_server_is_not_ejected(Fault::None).unwrap();
}

#[test]
fn missing_network_delay_is_detected() {
    distant_server_is_not_ejected(Fault::NoNetworkDelay).unwrap_err();
}

fn lone_straggler_is_ejected(fault: Fault) -> Result<(), String> {
    let places = [0, 1, 2, 3, 4, 5].map(|index| ("east", index, if index == 0 { 0.0 } else { 1.0 }));
    let mut fixture = Fixture::at(&places, fault);
    fixture.run(100, Duration::from_secs(10), 0.0);
    fixture.behaviours[0] = Behaviour::Mean(50.0);
    let elapsed = fixture.until_ejected(0, 100, Duration::from_secs(1));
    println!("only server of its data centre: ejected after {elapsed:?}");
    elapsed.ok_or("not ejected")?;
    let before = fixture.calls[0];
    fixture.run(100, Duration::from_secs(10), 0.0);
    if fixture.calls[0] - before > 20 {
        return Err(format!("{} of 1000 calls", fixture.calls[0] - before));
    }
    fixture.behaviours[0] = Behaviour::Mean(5.0);
    fixture.run(100, Duration::from_secs(20), 0.0);
    if fixture.ejected().contains(&0) {
        Err("the recovered server is still ejected".to_owned())
    } else {
        Ok(())
    }
}

/// Guards against a straggler that is alone in its data centre not being ejected. It gets nearly all calls, so its
/// latency can only be compared with its own past.
#[test]
fn lone_server_is_compared_with_its_past() {
    lone_straggler_is_ejected(Fault::None).unwrap();
}

#[test]
fn ignored_ejection_of_a_lone_server_is_detected() {
    lone_straggler_is_ejected(Fault::IgnoreEjection).unwrap_err();
}

/// Guards against calls to an unreachable server, and against its staying ejected once it is reachable again.
#[test]
fn unreachable_server_is_ejected_at_once() {
    let mut fixture = Fixture::new(Fault::None);
    fixture.run(350, Duration::from_secs(2), 0.0);
    let class = Bytes::from_static(SHORT);
    for result in [
        RouteResult::Silent,
        RouteResult::Refused(RefusalReason::BackendServerDown),
    ] {
        let call = fixture
            .table
            .begin(fixture.keys[1], &class, RouteLane::Short, fixture.now)
            .unwrap();
        fixture.table.finish(call, result, fixture.now);
        assert_eq!(fixture.ejected(), vec![1]);
        let before = fixture.calls[1];
        fixture.run(350, Duration::from_millis(900), 0.0);
        assert_eq!(fixture.calls[1], before, "called while ejected");
        fixture.run(350, Duration::from_secs(5), 0.0);
        assert!(fixture.ejected().is_empty(), "still ejected after a passed probe");
    }
}

/// Slows down three of six servers; `exceed_limit` also makes all servers unreachable, which exceeds the limit.
fn at_most_a_third_is_ejected(exceed_limit: bool) -> Result<(), String> {
    let mut fixture = Fixture::new(Fault::None);
    fixture.run(350, Duration::from_secs(5), 0.0);
    fixture.behaviours[3..].fill(Behaviour::Mean(200.0));
    let mut most_ejected = 0;
    for round in 0..200 {
        fixture.run(350, Duration::from_millis(50), 0.0);
        if exceed_limit && round == 100 {
            for key in fixture.keys.clone() {
                let call = fixture
                    .table
                    .begin(key, &Bytes::from_static(SHORT), RouteLane::Short, fixture.now)
                    .unwrap();
                fixture.table.finish(call, RouteResult::Silent, fixture.now);
            }
        }
        most_ejected = most_ejected.max(fixture.ejected().len());
    }
    if most_ejected == 2 {
        Ok(())
    } else {
        Err(format!("{most_ejected} of 6 ejected"))
    }
}

/// Guards against too few servers remaining for the whole load.
#[test]
fn stragglers_are_ejected_up_to_a_third() {
    at_most_a_third_is_ejected(false).unwrap();
}

#[test]
fn more_than_a_third_is_detected() {
    at_most_a_third_is_ejected(true).unwrap_err();
}

/// Guards against more than a third of the servers being ejected when all of them are slow.
#[test]
fn overload_of_all_servers_ejects_at_most_a_third() {
    let mut fixture = Fixture::new(Fault::None);
    fixture.run(350, Duration::from_secs(5), 0.0);
    fixture.behaviours = vec![Behaviour::Mean(100.0); 6];
    for _second in 0..20 {
        fixture.run(350, Duration::from_secs(1), 0.0);
        assert!(fixture.ejected().len() <= 2, "{:?}", fixture.ejected());
    }
}
