//! Prints the processor time of routing as JSON lines:
//! `cargo run --release -p damasktrack-routing --example route_cost`.
//!
//! One call is a choice, a begin and a finish; a review covers all servers and classes of the service. The times depend
//! on the processor. The argument `--seed N` sets the seed.

use std::env;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_routing::route_candidate::{
    CandidateState, RouteCandidate, RouteChoice, RouteLane, RouteRequest, RouteResult,
};
use damasktrack_routing::route_table::RouteTable;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CALLS: u32 = 20_000;
const REVIEWS: u32 = 200;
const CLASSES: usize = 4;

fn main() {
    let mut arguments = env::args().skip_while(|argument| argument != "--seed");
    let seed = arguments.nth(1).and_then(|value| value.parse().ok()).unwrap_or(1);
    for servers in [6, 9, 60, 760] {
        measure(servers, seed);
    }
}

fn location(index: usize) -> ServerLocation {
    ServerLocation {
        region: Bytes::from(format!("region-{}", index % 2)),
        data_centre: Bytes::from(format!("dc-{}", index % 6)),
    }
}

fn measure(servers: usize, seed: u64) {
    let service = Bytes::from_static(b"profiles");
    let classes: Vec<Bytes> = (0..CLASSES)
        .map(|class| Bytes::from(format!("class-{class}")))
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut table = RouteTable::new(location(0));
    for index in 0..servers {
        table.upsert(RouteCandidate {
            daemon_id: Bytes::from(format!("vm-{index}")),
            incarnation: 1,
            service: service.clone(),
            address: ([10, 0, 0, 1], 7000).into(),
            location: location(index),
            slots: 70,
            state: CandidateState::Ready,
            ready_since: None,
        });
    }
    let mut spent = Duration::ZERO;
    for call in 0..CALLS {
        // Reviews are due every 50 ms; at 342 calls/s every 17th call includes one.
        now += Duration::from_secs(1) / 342;
        let request = RouteRequest {
            service: &service,
            class: &classes[call as usize % CLASSES],
            lane: RouteLane::Short,
            cross_region: true,
            may_probe: true,
            exclude: &[],
            latency_objective: None,
        };
        let latency = Duration::from_micros(rng.random_range(1000..9000));
        let start = Instant::now();
        let RouteChoice::Use { key, .. } = table.choose(&request, now, &mut rng) else {
            panic!("no candidate among {servers} servers");
        };
        if let Some(running) = table.begin(key, request.class, request.lane, now) {
            table.finish(running, RouteResult::Completed, now + latency);
        }
        spent += start.elapsed();
    }
    print_figure(
        "call_processor",
        servers,
        spent.as_secs_f64() * 1e6 / f64::from(CALLS),
        "us",
        seed,
    );
    let start = Instant::now();
    for _review in 0..REVIEWS {
        now += Duration::from_millis(100);
        table.tick(now);
    }
    let review = start.elapsed().as_secs_f64() * 1e6 / f64::from(REVIEWS);
    print_figure("review_processor", servers, review, "us", seed);
}

fn print_figure(metric: &str, servers: usize, value: f64, unit: &str, seed: u64) {
    println!(
        "{{\"scenario\":\"routing\",\"metric\":\"{metric}\",\"members\":{servers},\"value\":{value:.3},\"unit\":\"{unit}\",\"seed\":{seed}}}"
    );
}
