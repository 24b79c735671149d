//! Latency that daemons add to a call, against direct calls to the same backend server.

use std::time;

use serde_json::json;

use crate::bench_fleet;
use crate::bench_report;
use crate::load_mix;
use crate::process_usage;

/// Calls per second: the load of one daemon at the target deployment size, and about six times as much.
const CALL_RATES: [f64; 2] = [350.0, 2_000.0];
/// Sizes of responses in bytes.
const RESPONSE_SIZES: [u64; 3] = [200, 3_000, 200_000];
/// Arms in the order of the first repeat. The order rotates, so that changing background load affects all arms equally.
const ARMS: [&str; 3] = ["direct", "entry-only", "damasktrack"];
/// Upper bound of the added latency at the 99th percentile.
const TARGET_P99_MS: f64 = 1.4;
/// Size of the response of the download.
const LARGE_BYTES: u64 = 50_000_000;
/// Maximum number of concurrent requests of the load generator.
const CONCURRENCY: usize = 32;

/// Measures and prints the latency for each rate and size, then the download of a large response.
///
/// # Errors
/// Returns an error if the processes can't be started or measured, the download is incomplete, or a process doesn't end
/// cleanly.
pub fn run(
    options: &bench_fleet::FleetOptions,
    seed: u64,
    slice: time::Duration,
    repeats: usize,
) -> Result<(), String> {
    let options = bench_fleet::FleetOptions {
        daemons: 2,
        count_control_bytes: false,
        ..options.clone()
    };
    let mut fleet = bench_fleet::BenchFleet::start(&options)?;
    let report = bench_report::BenchReport::new("latency", seed);
    // Warm-up: opens connections and lets adaptive state settle before the measurement.
    for arm in ARMS {
        load(&fleet, arm, 350.0, 200, time::Duration::from_secs(1));
    }
    for rate in CALL_RATES {
        for bytes in RESPONSE_SIZES {
            measure_case(&fleet, &report, rate, bytes, slice, repeats);
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
        // The second daemon belongs to the backend server and forwards to it without another daemon.
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

fn measure_case(
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
        let incomplete: u64 = results[arm].iter().map(|result| result.incomplete).sum();
        let reached: Vec<f64> = results[arm].iter().map(|result| result.rate).collect();
        let fields = json!({"rate": rate, "bytes": bytes, "not_whole": incomplete});
        report.median(name, "whole_per_s", &reached, None, "1/s", &fields);
        for (quantile, label) in [(0.5, "p50"), (0.99, "p99")] {
            let latencies: Vec<f64> = results[arm].iter().map(|result| result.percentile(quantile)).collect();
            report.median(name, &format!("{label}_ms"), &latencies, None, "ms", &fields);
            if arm == 0 {
                continue;
            }
            let pairs = results[arm].iter().zip(&results[0]);
            let added: Vec<f64> = pairs
                .map(|(through, direct)| through.percentile(quantile) - direct.percentile(quantile))
                .collect();
            let target = (label == "p99").then_some(TARGET_P99_MS);
            report.median(name, &format!("added_{label}_ms"), &added, target, "ms", &fields);
        }
    }
}

/// Downloads one large response through both daemons and prints the peak and the increase of their memory.
fn measure_large(fleet: &bench_fleet::BenchFleet, report: &bench_report::BenchReport) -> Result<(), String> {
    for (index, role) in [(0, "entry"), (1, "callee")] {
        process_usage::reset_peak(fleet.process_id(index)).map_err(|error| format!("{role}: peak memory: {error}"))?;
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
    if result.incomplete > 0 {
        return Err("the download of the large response was incomplete".to_owned());
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
