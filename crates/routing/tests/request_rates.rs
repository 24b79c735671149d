//! Choice of servers while some of them take only a limited number of requests per second, on virtual time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::call_outcome::RefusalReason;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::region_window::RegionPolicy;
use damasktrack_routing::request_hold;
use damasktrack_routing::round_policy::{self, RoundStep};
use damasktrack_routing::route_candidate::{
    CallKey, CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult, ServerKey,
};
use damasktrack_routing::route_table::RouteTable;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVICE: Bytes = Bytes::from_static(b"tagtrace");
const CLASS: Bytes = Bytes::from_static(b"tag-lookup");
const REGIONS: [&str; 3] = ["lahore", "multan", "rawalpindi"];
const ENTRIES: usize = 24;
const SERVERS: usize = 6;
const TRIES: usize = 4;
const TIME_LIMIT: Duration = Duration::from_secs(6);
const SERVICE_TIME: Duration = Duration::from_millis(100);

struct Server {
    /// Requests per second; `None` if it takes all.
    rate: Option<f64>,
    tokens: f64,
}

struct Entry {
    table: RouteTable,
    keys: Vec<ServerKey>,
    running: Vec<(Instant, CallKey)>,
}

/// Result of a replay.
struct Replay {
    calls: usize,
    tries: usize,
    refused: usize,
    /// Requests that each server took.
    taken: [usize; SERVERS],
}

fn location(index: usize) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(REGIONS[index % REGIONS.len()]),
        data_centre: Bytes::from_static(b"a"),
    }
}

fn entry(index: usize) -> Entry {
    let mut table = RouteTable::new(location(index));
    table.set_region_policy(RegionPolicy::Windowed);
    let keys = (0..SERVERS).map(|server| {
        table.upsert(RouteCandidate {
            daemon_id: Bytes::from(format!("vm-{server}")),
            incarnation: 1,
            service: SERVICE,
            address: ([10, 0, 0, 1], 7000).into(),
            location: location(server),
            slots: 42,
            state: CandidateState::Ready,
            ready_since: None,
        })
    });
    let keys = keys.collect();
    Entry {
        table,
        keys,
        running: Vec::new(),
    }
}

/// Sends a call to one server after the other, and returns whether one of them took it.
fn send(
    entry: &mut Entry,
    servers: &mut [Server; SERVERS],
    result: &mut Replay,
    now: Instant,
    rng: &mut StdRng,
) -> bool {
    let mut tried = Vec::new();
    while tried.len() < TRIES {
        let request = RouteRequest {
            service: &SERVICE,
            class: &CLASS,
            lane: RouteLane::Short,
            cross_region: true,
            may_probe: false,
            exclude: &tried,
            latency_objective: None,
        };
        let RouteChoice::Use { key, .. } = entry.table.choose(&request, now, rng) else {
            return false;
        };
        tried.push(key);
        result.tries += 1;
        let call = entry.table.begin(key, &CLASS, RouteLane::Short, now).unwrap();
        let index = entry.keys.iter().position(|other| *other == key).unwrap();
        let server = &mut servers[index];
        if let Some(rate) = server.rate
            && server.tokens < 1.0
        {
            let reached = RouteResult::Refused(RefusalReason::RateReached);
            entry.table.finish(call, reached, now);
            entry.table.hold(key, now + request_hold::duration(rate, ENTRIES));
            continue;
        }
        server.tokens -= 1.0;
        result.taken[index] += 1;
        entry.running.push((now + SERVICE_TIME, call));
        return true;
    }
    false
}

/// Sends `load` calls per second from all entries for 20 s to servers with these request rates.
fn replay(rates: [Option<f64>; SERVERS], load: f64) -> Replay {
    let mut rng = StdRng::seed_from_u64(26);
    let mut now = Instant::now();
    let mut entries: Vec<Entry> = (0..ENTRIES).map(entry).collect();
    let mut servers = rates.map(|rate| Server { rate, tokens: 0.0 });
    let mut result = Replay {
        calls: 0,
        tries: 0,
        refused: 0,
        taken: [0; SERVERS],
    };
    let mut due = 0.0;
    // When the next round of attempts of a call is due, its entry, and when it arrived.
    let mut pending: Vec<(Instant, usize, Instant)> = Vec::new();
    for _step in 0..20_000 {
        now += Duration::from_millis(1);
        for server in &mut servers {
            let rate = server.rate.unwrap_or(0.0);
            server.tokens = (server.tokens + rate / 1_000.0).min((rate / 4.0).max(1.0));
        }
        for entry in &mut entries {
            let ended: Vec<CallKey> = entry
                .running
                .extract_if(.., |call| call.0 <= now)
                .map(|call| call.1)
                .collect();
            for call in ended {
                entry.table.finish(call, RouteResult::Completed, now);
            }
        }
        due += load / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            result.calls += 1;
            pending.push((now, result.calls % ENTRIES, now));
        }
        let rounds: Vec<_> = pending.extract_if(.., |round| round.0 <= now).collect();
        for (_due, index, arrived) in rounds {
            if send(&mut entries[index], &mut servers, &mut result, now, &mut rng) {
                continue;
            }
            match round_policy::next_round(RefusalReason::RateReached, now - arrived, TIME_LIMIT, 0.5) {
                RoundStep::Pause(pause) => pending.push((now + pause, index, arrived)),
                RoundStep::GiveUp => result.refused += 1,
            }
        }
    }
    result
}

/// Guards against refused requests while servers of another region have room, since a few servers with a low request
/// rate make all other regions look overloaded.
#[test]
fn calls_reach_the_servers_without_a_limit() {
    let result = replay([Some(8.0), Some(8.0), None, Some(8.0), Some(8.0), None], 105.0);
    assert_eq!(result.refused, 0, "of {} calls, {} tries", result.calls, result.tries);
    assert!(
        result.tries * 2 < result.calls * 3,
        "{} tries of {} calls",
        result.tries,
        result.calls
    );
}

/// Guards against servers with a limit that are left unused for longer than needed.
#[test]
fn limited_servers_are_used_up_to_their_rate() {
    let result = replay([Some(8.0); SERVERS], 105.0);
    for taken in result.taken {
        assert!(taken as f64 > 8.0 * 20.0 * 0.9, "{:?} requests in 20 s", result.taken);
    }
}
