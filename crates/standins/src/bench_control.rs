//! Processor time, memory and traffic that a daemon uses for control, idle and under load.

use std::thread;
use std::time;

use serde_json::json;

use crate::bench_fleet;
use crate::bench_report;
use crate::load_mix;

/// Upper bounds of a daemon's resource usage for control, printed as targets.
const TARGET_CPU_PERCENT: f64 = 1.2;
const TARGET_RSS_MB: f64 = 64.0;
const TARGET_BYTES_PER_S: f64 = 3_000.0;
/// Calls per second at the entry of the busy daemon: the load of one daemon at the target deployment size.
const BUSY_RATE: f64 = 342.0;
/// Number of daemons besides the measured one.
const PEERS: usize = 3;
/// Names of the threads that do only control work.
const CONTROL_THREADS: [&str; 6] = ["members", "member", "config", "health", "gossip", "api"];
/// Time before each phase that is excluded from the measurement, in which the daemons discover each other.
const WARM_UP: time::Duration = time::Duration::from_secs(3);

/// Measures a daemon in an idle and in a busy phase and prints its resource usage.
///
/// When idle, the processor time of the whole process counts as control. When busy, only that of the threads in
/// [`CONTROL_THREADS`] counts, which omits control work of threads that also serve calls; the processor time of the
/// whole process is printed as `total_cpu_percent`. Memory is always that of the whole process.
///
/// # Errors
/// Returns an error if the processes can't be started or measured, or if a process doesn't end cleanly.
pub fn run(options: &bench_fleet::FleetOptions, seed: u64, length: time::Duration) -> Result<(), String> {
    let options = bench_fleet::FleetOptions {
        daemons: PEERS + 1,
        count_control_bytes: true,
        ..options.clone()
    };
    let mut fleet = bench_fleet::BenchFleet::start(&options)?;
    let report = bench_report::BenchReport::new("control", seed);
    for (arm, rate) in [("idle", 0.0), ("busy", BUSY_RATE)] {
        thread::sleep(WARM_UP);
        let before = fleet.usage(0)?;
        let (bytes_before, _) = fleet.control_bytes();
        let threads_before = fleet.thread_processor_time(0, &CONTROL_THREADS);
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
        let mut complete = 0;
        if rate > 0.0 {
            complete = fleet.load(&load).latencies.len();
        } else {
            thread::sleep(length);
        }
        let seconds = begin.elapsed().as_secs_f64();
        let after = fleet.usage(0)?;
        let (bytes, source) = fleet.control_bytes();
        let total = after.processor.saturating_sub(before.processor).as_secs_f64();
        let threads = fleet
            .thread_processor_time(0, &CONTROL_THREADS)
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
                TARGET_CPU_PERCENT,
            ),
            ("control_rss_mb", after.resident as f64 / 1e6, "MB", TARGET_RSS_MB),
            (
                "control_bytes_per_s",
                (bytes - bytes_before) / seconds,
                "bytes/s",
                TARGET_BYTES_PER_S,
            ),
        ];
        for (metric, value, unit, target) in lines {
            let fields = json!({
                "target": target, "reached": value <= target, "seconds": seconds.round(), "daemons": PEERS + 1,
                "calls": complete, "threads": after.threads, "bytes_from": source, "cpu_of": cpu_of,
            });
            report.value(arm, metric, value, unit, &fields);
        }
        let fields = json!({"seconds": seconds.round(), "calls": complete});
        report.value(arm, "total_cpu_percent", 100.0 * total / seconds, "%", &fields);
    }
    let findings = fleet.stop();
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.join("; "))
    }
}
