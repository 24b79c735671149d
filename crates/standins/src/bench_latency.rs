//! Latency that daemons add to a call, against direct calls to the same backend server.

use std::time;

use serde_json::json;

use crate::bench_fleet;
use crate::bench_report;
use crate::load_mix;
use crate::process_usage;

/// Rates of calls per second: a daemon's share at the target size, and about six times as much.
const RATES: [f64; 2] = [350.0, 2_000.0];
/// Sizes of responses in bytes.
const SIZES: [u64; 3] = [200, 3_000, 200_000];
/// Arms in the order of the first repeat; the order rotates so that drift of the background load affects all equally.
const ARMS: [&str; 3] = ["direct", "entry-only", "damasktrack"];
/// Target for the added 99th percentile latency.
const TARGET_P99_MS: f64 = 1.4;
/// Size of the large response.
const LARGE_BYTES: u64 = 50_000_000;
/// Maximum number of concurrent requests of the load generator.
const CONCURRENCY: usize = 32;

/// Measures and prints all cells.
///
/// # Errors
/// Returns what failed.
pub fn run(
    options: &bench_fleet::FleetOptions,
    seed: u64,
    slice: time::Duration,
    repeats: usize,
) -> Result<(), String> {
    let options = bench_fleet::FleetOptions {
        daemons: 2,
        counted: false,
        ..options.clone()
    };
    let mut fleet = bench_fleet::BenchFleet::start(&options)?;
    let report = bench_report::BenchReport::new("latency", seed);
    // Warm-up: connections are opened and adaptive state settles before the measurement.
    for arm in ARMS {
        load(&fleet, arm, 350.0, 200, time::Duration::from_secs(1));
    }
    for rate in RATES {
        for bytes in SIZES {
            measure_cell(&fleet, &report, rate, bytes, slice, repeats);
        }
    }
    measure_large(&fleet, &report)?;
    let findings = fleet.stop();
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.join("; "))
    }
}

fn load(
    fleet: &bench_fleet::BenchFleet,
    arm: &str,
    rate: f64,
    bytes: u64,
    length: time::Duration,
) -> bench_fleet::LoadResult {
    let (address, prefix) = match arm {
        "direct" => (fleet.backend(), String::new()),
        // The second daemon stands beside the backend server and uses it itself.
        "entry-only" => (fleet.addresses(1).entry, format!("/{}", bench_fleet::SERVICE)),
        _ => (fleet.addresses(0).entry, format!("/{}", bench_fleet::SERVICE)),
    };
    fleet.load(&bench_fleet::FleetLoad {
        address,
        method: "GET",
        path: format!("{prefix}/page?bytes={bytes}"),
        key: load_mix::KeyMode::None,
        rate,
        length,
        concurrency: CONCURRENCY,
    })
}

fn measure_cell(
    fleet: &bench_fleet::BenchFleet,
    report: &bench_report::BenchReport,
    rate: f64,
    bytes: u64,
    slice: time::Duration,
    repeats: usize,
) {
    let mut results = vec![Vec::new(); ARMS.len()];
    for repeat in 0..repeats {
        for offset in 0..ARMS.len() {
            let arm = (repeat + offset) % ARMS.len();
            results[arm].push(load(fleet, ARMS[arm], rate, bytes, slice));
        }
    }
    for (arm, name) in ARMS.iter().enumerate() {
        let others: u64 = results[arm].iter().map(|result| result.others).sum();
        let reached: Vec<f64> = results[arm].iter().map(|result| result.rate).collect();
        let fields = json!({"rate": rate, "bytes": bytes, "not_whole": others});
        report.median(name, "whole_per_s", &reached, None, "1/s", &fields);
        for (share, label) in [(0.5, "p50"), (0.99, "p99")] {
            let own: Vec<f64> = results[arm].iter().map(|result| result.percentile(share)).collect();
            report.median(name, &format!("{label}_ms"), &own, None, "ms", &fields);
            if arm == 0 {
                continue;
            }
            let pairs = results[arm].iter().zip(&results[0]);
            let added: Vec<f64> = pairs
                .map(|(with, direct)| with.percentile(share) - direct.percentile(share))
                .collect();
            let target = (label == "p99").then_some(TARGET_P99_MS);
            report.median(name, &format!("added_{label}_ms"), &added, target, "ms", &fields);
        }
    }
}

/// Downloads one large response through both daemons and prints by how much their memory rose.
fn measure_large(fleet: &bench_fleet::BenchFleet, report: &bench_report::BenchReport) -> Result<(), String> {
    for (index, role) in [(0, "entry"), (1, "callee")] {
        process_usage::reset_peak(fleet.id(index)).map_err(|error| format!("{role}: peak memory: {error}"))?;
    }
    let before = [fleet.usage(0)?, fleet.usage(1)?];
    let address = fleet.addresses(0).entry;
    let result = fleet.load(&bench_fleet::FleetLoad {
        address,
        method: "GET",
        path: format!("/{}/file?bytes={LARGE_BYTES}", bench_fleet::SERVICE),
        key: load_mix::KeyMode::None,
        rate: 1.0,
        length: time::Duration::from_millis(500),
        concurrency: 1,
    });
    if result.others > 0 {
        return Err("the large response was not whole".to_owned());
    }
    let fields = json!({"bytes": LARGE_BYTES});
    report.value("damasktrack", "download_ms", result.percentile(0.5), "ms", &fields);
    for (index, role) in [(0, "entry"), (1, "callee")] {
        let peak = fleet.usage(index)?.peak;
        let rise = peak.saturating_sub(before[index].resident);
        let fields = json!({"bytes": LARGE_BYTES, "role": role, "rise_mb": rise as f64 / 1e6});
        report.value("damasktrack", "peak_rss_mb", peak as f64 / 1e6, "MB", &fields);
    }
    Ok(())
}
