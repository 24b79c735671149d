//! Prints the cost of membership as JSON lines: `cargo run --release -p damasktrack-membership --example control_cost`.
//!
//! Messages and bytes are counted in virtual time. Processor time is measured and depends on the hardware.
//! An argument `--members N` limits the run to one member count; `--seed N` sets the seed.

#[path = "../tests/virtual_network/mod.rs"]
mod virtual_network;

use std::env;
use std::time::{Duration, Instant};

use damasktrack_membership::gossip_context::GossipContext;
use damasktrack_membership::gossip_message;
use damasktrack_membership::member_record::MemberState;
use damasktrack_membership::traffic_count::TrafficCount;
use virtual_network::{Fault, Network};

const MEMBER_COUNTS: [usize; 6] = [16, 64, 128, 256, 512, 760];
/// Virtual time over which the traffic of a steady state is counted.
const STEADY_DURATION: Duration = Duration::from_mins(1);
/// Virtual time after which a change has spread and is no longer transmitted.
const SPREAD_DURATION: Duration = Duration::from_mins(1);

struct Report {
    members: usize,
    seed: u64,
}

impl Report {
    fn print(&self, metric: &str, value: f64, unit: &str) {
        let line = serde_json::json!({
            "scenario": "membership", "metric": metric, "members": self.members,
            "value": (value * 1000.0).round() / 1000.0, "unit": unit, "seed": self.seed,
        });
        println!("{line}");
    }
}

fn main() {
    let argument = |name: &str| {
        let mut arguments = env::args().skip_while(|argument| argument != name);
        arguments.nth(1).and_then(|value| value.parse::<u64>().ok())
    };
    let seed = argument("--seed").unwrap_or(1);
    let only = argument("--members").and_then(|members| usize::try_from(members).ok());
    for members in MEMBER_COUNTS
        .into_iter()
        .filter(|size| only.is_none_or(|only| only == *size))
    {
        measure(&Report { members, seed });
    }
}

fn measure(report: &Report) {
    let members = report.members;
    let count = members as f64;
    let mut network = Network::steady(members, report.seed);
    network.fault = Fault::None;
    // The start queues one update per member, which must have spread before the state is steady.
    network.run(Duration::from_secs(30) + Duration::from_millis(400) * u32::try_from(members).unwrap_or(0));
    let table = network.nodes[0].context.table();
    report.print("state", table.heap_bytes() as f64, "bytes");
    report.print("state_per_member", table.heap_bytes() as f64 / count, "bytes");
    let record = network.nodes[0].context.own_record();
    report.print("record_size", gossip_message::record_length(record) as f64, "bytes");
    let request = network.nodes[0].context.exchange_request();
    report.print(
        "exchange_request_size",
        virtual_network::encoded(&request) as f64,
        "bytes",
    );

    let (traffic, processor) = span(&mut network, STEADY_DURATION);
    let node_seconds = count * STEADY_DURATION.as_secs_f64();
    let sent = traffic.datagrams_sent as f64;
    report.print("steady_message_size", traffic.bytes_sent as f64 / sent, "bytes");
    report.print("steady_messages_sent", sent / node_seconds, "1/s");
    report.print("steady_bytes_sent", traffic.bytes_sent as f64 / node_seconds, "bytes/s");
    report.print("steady_bytes", traffic.total_bytes() as f64 / node_seconds, "bytes/s");
    // The measurement includes the test harness around the contexts, so it is an upper bound.
    report.print(
        "steady_processor_per_period",
        processor.as_secs_f64() * 1e6 / node_seconds,
        "us",
    );
    let steady = traffic.total_bytes() as f64 / node_seconds;

    network.command(3, damasktrack_membership::gossip_context::GossipContext::drain);
    let start = network.now;
    let known = network.periods_until(60, |network| network.candidate_count(3) == 0);
    report.print(
        "drain_known_everywhere",
        f64::from(known.unwrap_or(u32::MAX)),
        "periods",
    );
    let rest = SPREAD_DURATION.saturating_sub(network.now - start);
    let (_traffic, _processor) = span(&mut network, rest);
    let before = totals(&network);
    network.command(4, damasktrack_membership::gossip_context::GossipContext::drain);
    let (_change, processor) = span(&mut network, SPREAD_DURATION);
    let after = totals(&network);
    let bytes = (after.total_bytes() - before.total_bytes()) as f64 / count;
    report.print(
        "bytes_per_change",
        bytes - steady * SPREAD_DURATION.as_secs_f64(),
        "bytes",
    );
    let periods = count * SPREAD_DURATION.as_secs_f64();
    report.print(
        "change_processor_per_period",
        processor.as_secs_f64() * 1e6 / periods,
        "us",
    );

    network.nodes[5].running = false;
    let dead = network.periods_until(60, |network| network.all_see(5, MemberState::Dead));
    report.print("death_known_everywhere", f64::from(dead.unwrap_or(u32::MAX)), "periods");

    measure_herd(report);

    let mut network = Network::steady(members, report.seed + 1);
    network.cut = true;
    let before = totals(&network);
    network.run(Duration::from_mins(1));
    let after = totals(&network);
    let bytes = (after.total_bytes() - before.total_bytes()) as f64;
    report.print("first_minute_of_partition_bytes", bytes / count / 60.0, "bytes/s");
    network.run(Duration::from_mins(2));
    network.cut = false;
    let before = totals(&network);
    let start = network.now;
    let healed = network.periods_until(300, Network::all_up);
    report.print("partition_healed", f64::from(healed.unwrap_or(u32::MAX)), "periods");
    let after = totals(&network);
    let healing = count * (network.now - start).as_secs_f64().max(1.0);
    let bytes = (after.total_bytes() - before.total_bytes()) as f64;
    report.print("healing_bytes", bytes / healing, "bytes/s");
    let exchanges = (after.exchanges_started - before.exchanges_started) as f64;
    report.print("healing_exchanges_per_member", exchanges / count, "1");
}

/// Measures a thundering herd: all members start at once and join through three seeds, as with the store unavailable.
fn measure_herd(report: &Report) {
    let count = report.members as f64;
    let mut network = Network::empty(report.seed);
    for index in 0..report.members {
        network.add(virtual_network::record(index, 1000));
    }
    for index in 0..report.members {
        let seeds = [0, 1, 2].map(virtual_network::address);
        network.command(index, |context, now| context.join(&seeds, now));
        network.command(index, GossipContext::set_up);
    }
    let start = network.now;
    let known = network.periods_until(300, Network::all_up);
    report.print("herd_known_everywhere", f64::from(known.unwrap_or(u32::MAX)), "periods");
    let seconds = count * (network.now - start).as_secs_f64().max(1.0);
    let traffic = totals(&network);
    report.print("herd_bytes", traffic.total_bytes() as f64 / seconds, "bytes/s");
    report.print(
        "herd_exchanges_per_member",
        traffic.exchanges_started as f64 / count,
        "1",
    );
}

/// Runs the network for a span of virtual time; returns the traffic in it and the processor time taken.
fn span(network: &mut Network, duration: Duration) -> (TrafficCount, Duration) {
    let before = totals(network);
    let start = Instant::now();
    network.run(duration);
    let processor = start.elapsed();
    let mut traffic = totals(network);
    traffic.datagrams_sent -= before.datagrams_sent;
    traffic.bytes_sent -= before.bytes_sent;
    traffic.bytes_received -= before.bytes_received;
    traffic.exchange_bytes_sent -= before.exchange_bytes_sent;
    traffic.exchange_bytes_received -= before.exchange_bytes_received;
    (traffic, processor)
}

fn totals(network: &Network) -> TrafficCount {
    let mut total = TrafficCount::default();
    for node in &network.nodes {
        let traffic = node.context.traffic();
        total.datagrams_sent += traffic.datagrams_sent;
        total.bytes_sent += traffic.bytes_sent;
        total.bytes_received += traffic.bytes_received;
        total.exchanges_started += traffic.exchanges_started;
        total.exchange_bytes_sent += traffic.exchange_bytes_sent;
        total.exchange_bytes_received += traffic.exchange_bytes_received;
    }
    total
}
