//! Processor time, memory and traffic that a daemon uses for control, idle and under load.

use std::thread;
use std::time;

use serde_json::json;

use crate::bench_fleet;
use crate::bench_report;
use crate::load_mix;

/// Upper bounds of a daemon's resource usage for control.
const BUDGET_CPU_PERCENT: f64 = 1.2;
const BUDGET_RSS_MB: f64 = 64.0;
const BUDGET_BYTES_PER_S: f64 = 3_000.0;
/// Calls per second at the entry of the busy daemon: its share at the target size.
const BUSY_RATE: f64 = 342.0;
/// Daemons besides the observed one.
const PEERS: usize = 3;
/// Names of the threads that do only control work.
const CONTROL_THREADS: [&str; 5] = ["seeds", "config", "health", "gossip", "api"];
/// Warm-up that is excluded from the measurement, in which the daemons discover each other.
const SETTLE: time::Duration = time::Duration::from_secs(3);

/// Measures and prints an idle and a busy daemon.
///
/// The processor time of the idle daemon is that of the whole process. That of the busy one is that of the threads in
/// [`CONTROL_THREADS`], which leaves out the share of the threads that also serve calls; the whole is printed beside it
/// as `total_cpu_percent`. Its memory is always that of the whole process.
///
/// # Errors
/// Returns what failed.
pub fn run(options: &bench_fleet::FleetOptions, seed: u64, length: time::Duration) -> Result<(), String> {
    let options = bench_fleet::FleetOptions {
        daemons: PEERS + 1,
        counted: true,
        ..options.clone()
    };
    let mut fleet = bench_fleet::BenchFleet::start(&options)?;
    let report = bench_report::BenchReport::new("control", seed);
    for (arm, rate) in [("idle", 0.0), ("busy", BUSY_RATE)] {
        thread::sleep(SETTLE);
        let before = fleet.usage(0)?;
        let (bytes_before, _) = fleet.control_bytes();
        let threads_before = fleet.thread_processor(0, &CONTROL_THREADS);
        let begin = time::Instant::now();
        let load = bench_fleet::FleetLoad {
            address: fleet.addresses(0).entry,
            method: "GET",
            path: format!("/{}/page?bytes=200", bench_fleet::SERVICE),
            key: load_mix::KeyMode::None,
            rate,
            length,
            concurrency: 32,
        };
        let mut whole = 0;
        if rate > 0.0 {
            whole = fleet.load(&load).latencies.len();
        } else {
            thread::sleep(length);
        }
        let seconds = begin.elapsed().as_secs_f64();
        let after = fleet.usage(0)?;
        let (bytes, source) = fleet.control_bytes();
        let total = after.processor.saturating_sub(before.processor).as_secs_f64();
        let threads = fleet
            .thread_processor(0, &CONTROL_THREADS)
            .saturating_sub(threads_before);
        let (control, cpu_of) = if rate > 0.0 {
            (threads.as_secs_f64(), "control threads")
        } else {
            (total, "process")
        };
        let lines = [
            (
                "control_cpu_percent",
                100.0 * control / seconds,
                "%",
                BUDGET_CPU_PERCENT,
            ),
            ("control_rss_mb", after.resident as f64 / 1e6, "MB", BUDGET_RSS_MB),
            (
                "control_bytes_per_s",
                (bytes - bytes_before) / seconds,
                "bytes/s",
                BUDGET_BYTES_PER_S,
            ),
        ];
        for (metric, value, unit, target) in lines {
            let fields = json!({
                "target": target, "reached": value <= target, "seconds": seconds.round(), "daemons": PEERS + 1,
                "calls": whole, "threads": after.threads, "bytes_from": source, "cpu_of": cpu_of,
            });
            report.value(arm, metric, value, unit, &fields);
        }
        let fields = json!({"seconds": seconds.round(), "calls": whole});
        report.value(arm, "total_cpu_percent", 100.0 * total / seconds, "%", &fields);
    }
    let findings = fleet.stop();
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.join("; "))
    }
}
