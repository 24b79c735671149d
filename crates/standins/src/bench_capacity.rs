//! Slopes of the resource usage of daemons, measured with real processes: over the number of daemons, and over calls,
//! connections, request ids and resources of one pair.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use serde_json::json;

use crate::bench_fleet;
use crate::bench_report;
use crate::load_mix;
use crate::process_usage;

/// Time after the start that is excluded from the measurement.
const WARM_UP: time::Duration = time::Duration::from_secs(3);
/// Configuration changes that are timed for each number of daemons.
const CHANGES_PER_SIZE: usize = 3;
/// Steps of the slopes of one pair of daemons.
const CONNECTION_COUNTS: [usize; 4] = [0, 200, 400, 800];
const IN_FLIGHT_COUNTS: [usize; 4] = [0, 50, 100, 200];
const REQUEST_ID_COUNTS: [usize; 4] = [0, 5_000, 10_000, 20_000];
const RESOURCE_COUNTS: [usize; 4] = [0, 512, 1_024, 2_048];
const CALL_RATES: [f64; 5] = [0.0, 200.0, 400.0, 800.0, 1_600.0];
/// Requests with new request ids per second.
const REQUEST_ID_RATE: f64 = 2_000.0;
/// Maximum number of resources in one change; the API accepts no more.
const MAX_CHANGE_RESOURCES: usize = 256;
/// Delay before memory is read; buffers of finished work stay in use for less time.
const MEMORY_SETTLE_DELAY: time::Duration = time::Duration::from_secs(1);

/// Selection of the slopes to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPart {
    /// Slopes of both parts.
    All,
    /// Slopes over the number of daemons.
    Daemons,
    /// Slopes of one pair of daemons, an entry and a callee.
    Pair,
}

/// Measures and prints slopes; returns them as a Markdown table.
///
/// # Errors
/// Returns an error if the processes can't be started or measured, a change is rejected, a call in flight is
/// incomplete, or a process doesn't end cleanly.
pub fn run(
    options: &bench_fleet::FleetOptions,
    seed: u64,
    length: time::Duration,
    sizes: &[usize],
    part: CapacityPart,
) -> Result<String, String> {
    let mut report = bench_report::BenchReport::new("capacity", seed);
    if part != CapacityPart::Pair {
        measure_sizes(options, &mut report, length, sizes)?;
    }
    if part != CapacityPart::Daemons {
        measure_pair(options, &mut report, length)?;
    }
    Ok(report.table().to_owned())
}

fn measure_pair(
    options: &bench_fleet::FleetOptions,
    report: &mut bench_report::BenchReport,
    length: time::Duration,
) -> Result<(), String> {
    // All slopes use the same pair. Those after which memory stays in use come last, so that they don't affect the
    // earlier ones.
    let options = bench_fleet::FleetOptions {
        daemons: 2,
        ..options.clone()
    };
    let mut fleet = bench_fleet::BenchFleet::start(&options)?;
    measure_calls(&fleet, report, length)?;
    measure_connections(&fleet, report)?;
    measure_in_flight(&fleet, report)?;
    measure_request_ids(&fleet, report)?;
    measure_resources(&mut fleet, report)?;
    stop_fleet(&mut fleet)
}

fn stop_fleet(fleet: &mut bench_fleet::BenchFleet) -> Result<(), String> {
    let findings = fleet.stop();
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.join("; "))
    }
}

/// Selects one value of a point.
type ValueSelector = fn(&SizePoint) -> f64;

/// Values measured with one number of daemons. Processor time, memory, threads and reads per hour are means per daemon;
/// bytes are those of the first daemon.
#[derive(Clone, Copy, Debug)]
struct SizePoint {
    daemons: f64,
    cpu_percent: f64,
    rss_mb: f64,
    bytes_per_s: f64,
    threads: f64,
    reads_per_hour: f64,
    change_s: f64,
    reads_per_change: f64,
    writes_per_change: f64,
    reads_per_restart: f64,
    writes_per_restart: f64,
}

fn measure_sizes(
    options: &bench_fleet::FleetOptions,
    report: &mut bench_report::BenchReport,
    length: time::Duration,
    sizes: &[usize],
) -> Result<(), String> {
    let mut points = Vec::new();
    for daemons in sizes {
        let options = bench_fleet::FleetOptions {
            daemons: *daemons,
            count_control_bytes: true,
            ..options.clone()
        };
        let mut fleet = bench_fleet::BenchFleet::start(&options)?;
        let point = measure_size(&mut fleet, report, *daemons, length)?;
        stop_fleet(&mut fleet)?;
        points.push(point);
    }
    let slopes: [(&str, &str, ValueSelector); 10] = [
        ("control_cpu_percent", "% per daemon", |point| point.cpu_percent),
        ("control_rss_mb", "MB per daemon", |point| point.rss_mb),
        ("control_bytes_per_s", "bytes/s per daemon", |point| point.bytes_per_s),
        ("threads", "threads per daemon", |point| point.threads),
        ("store_reads_per_hour", "reads/h per daemon", |point| {
            point.reads_per_hour
        }),
        ("change_in_force_s", "s per daemon", |point| point.change_s),
        ("store_reads_per_change", "reads per daemon", |point| {
            point.reads_per_change
        }),
        ("store_writes_per_change", "writes per daemon", |point| {
            point.writes_per_change
        }),
        ("store_reads_per_restart", "reads per daemon", |point| {
            point.reads_per_restart
        }),
        ("store_writes_per_restart", "writes per daemon", |point| {
            point.writes_per_restart
        }),
    ];
    for (metric, unit, select) in slopes {
        let values: Vec<(f64, f64)> = points.iter().map(|point| (point.daemons, select(point))).collect();
        report.slope("daemons", metric, &values, unit);
    }
    Ok(())
}

fn measure_size(
    fleet: &mut bench_fleet::BenchFleet,
    report: &bench_report::BenchReport,
    daemons: usize,
    length: time::Duration,
) -> Result<SizePoint, String> {
    thread::sleep(WARM_UP);
    let count = daemons as f64;
    let fields = json!({ "daemons": daemons });
    let usage = |fleet: &bench_fleet::BenchFleet| -> Result<Vec<process_usage::ProcessUsage>, String> {
        (0..daemons).map(|index| fleet.usage(index)).collect()
    };
    let (before, bytes_before, stats_before) = (usage(fleet)?, fleet.control_bytes().0, fleet.store_stats());
    let begin = time::Instant::now();
    thread::sleep(length);
    let seconds = begin.elapsed().as_secs_f64();
    let (after, (bytes, source), stats) = (usage(fleet)?, fleet.control_bytes(), fleet.store_stats());
    let pairs = after.iter().zip(&before);
    let spent: f64 = pairs
        .map(|(after, before)| after.processor.saturating_sub(before.processor).as_secs_f64())
        .sum();
    let resident: f64 = after.iter().map(|usage| usage.resident as f64).sum();
    let threads: f64 = after.iter().map(|usage| usage.threads as f64).sum();

    let mut in_force = Vec::new();
    let stats_change = fleet.store_stats();
    for change in 0..CHANGES_PER_SIZE {
        let begin = time::Instant::now();
        let (revision, _) = fleet.apply(&[tenant(0, change + 1)])?;
        fleet.wait_for_revision(revision)?;
        in_force.push(begin.elapsed().as_secs_f64());
    }
    let stats_changed = fleet.store_stats();
    report.median("daemons", "change_in_force_s", &in_force, Some(13.0), "s", &fields);
    fleet.restart(1)?;
    // Includes work that a started daemon does after it is ready, such as writing its member row.
    thread::sleep(MEMORY_SETTLE_DELAY);
    let stats_restarted = fleet.store_stats();
    let per_change = 1.0 / CHANGES_PER_SIZE as f64;
    let point = SizePoint {
        daemons: count,
        cpu_percent: 100.0 * spent / seconds / count,
        rss_mb: resident / 1e6 / count,
        bytes_per_s: (bytes - bytes_before) / seconds,
        threads: threads / count,
        reads_per_hour: (stats.0 - stats_before.0) * 3_600.0 / seconds / count,
        change_s: in_force.iter().copied().fold(0.0, f64::max),
        reads_per_change: (stats_changed.0 - stats_change.0) * per_change,
        writes_per_change: (stats_changed.1 - stats_change.1) * per_change,
        reads_per_restart: stats_restarted.0 - stats_changed.0,
        writes_per_restart: stats_restarted.1 - stats_changed.1,
    };
    let lines = [
        ("control_cpu_percent", point.cpu_percent, "%"),
        ("control_rss_mb", point.rss_mb, "MB"),
        ("control_bytes_per_s", point.bytes_per_s, "bytes/s"),
        ("threads", point.threads, "threads"),
        ("store_reads_per_hour", point.reads_per_hour, "1/h"),
        ("store_reads_per_change", point.reads_per_change, "reads"),
        ("store_writes_per_change", point.writes_per_change, "writes"),
        ("store_reads_per_restart", point.reads_per_restart, "reads"),
        ("store_writes_per_restart", point.writes_per_restart, "writes"),
    ];
    let fields = json!({"daemons": daemons, "seconds": seconds.round(), "bytes_from": source});
    for (metric, value, unit) in lines {
        report.value("daemons", metric, value, unit, &fields);
    }
    Ok(point)
}

fn tenant(index: usize, weight: usize) -> serde_json::Value {
    json!({"kind": "Tenant", "name": format!("tenant-{index}"), "spec": {"weight": weight}})
}

fn page_load(fleet: &bench_fleet::BenchFleet, method: &'static str, path: &str) -> bench_fleet::FleetLoad {
    bench_fleet::FleetLoad {
        address: fleet.addresses(0).entry,
        method,
        path: format!("/{}{path}", bench_fleet::SERVICE),
        key: load_mix::KeyMode::None,
        rate: 400.0,
        length: time::Duration::from_secs(1),
        concurrency: 32,
    }
}

fn measure_calls(
    fleet: &bench_fleet::BenchFleet,
    report: &mut bench_report::BenchReport,
    length: time::Duration,
) -> Result<(), String> {
    let length = length.min(time::Duration::from_secs(5));
    let (mut entry, mut callee) = (Vec::new(), Vec::new());
    for rate in CALL_RATES {
        let before = [fleet.usage(0)?, fleet.usage(1)?];
        let begin = time::Instant::now();
        let load = bench_fleet::FleetLoad {
            rate,
            length,
            ..page_load(fleet, "GET", "/page?bytes=3000")
        };
        let reached = if rate > 0.0 {
            fleet.load(&load).rate
        } else {
            thread::sleep(length);
            0.0
        };
        let seconds = begin.elapsed().as_secs_f64();
        for (index, points) in [&mut entry, &mut callee].into_iter().enumerate() {
            let spent = fleet.usage(index)?.processor.saturating_sub(before[index].processor);
            // A slope of microseconds per second over calls per second is in microseconds per call.
            points.push((reached, spent.as_secs_f64() * 1e6 / seconds));
        }
    }
    report.slope("entry", "processor_per_call", &entry, "us/call");
    report.slope("callee", "processor_per_call", &callee, "us/call");
    Ok(())
}

fn measure_connections(fleet: &bench_fleet::BenchFleet, report: &mut bench_report::BenchReport) -> Result<(), String> {
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in CONNECTION_COUNTS {
        while open.len() < count {
            open.push(idle_connection(fleet.addresses(0).entry).map_err(|error| format!("connection: {error}"))?);
        }
        thread::sleep(MEMORY_SETTLE_DELAY);
        points.push((count as f64, fleet.usage(0)?.resident as f64 / 1e3));
    }
    report.slope("entry", "memory_per_idle_connection", &points, "KB/connection");
    Ok(())
}

/// Opens a connection and keeps it open after one response.
fn idle_connection(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(time::Duration::from_secs(5)))?;
    write!(stream, "GET /undeclared/ HTTP/1.1\r\nHost: bench\r\n\r\n")?;
    let mut block = [0; 4_096];
    if stream.read(&mut block)? == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(stream)
}

fn measure_in_flight(fleet: &bench_fleet::BenchFleet, report: &mut bench_report::BenchReport) -> Result<(), String> {
    let (mut entry, mut callee) = (Vec::new(), Vec::new());
    for count in IN_FLIGHT_COUNTS {
        let load = bench_fleet::FleetLoad {
            rate: count as f64,
            length: time::Duration::from_secs(1),
            concurrency: count.max(1),
            ..page_load(fleet, "GET", "/slow?bytes=200")
        };
        let (usages, incomplete) = thread::scope(|scope| {
            let running = (count > 0).then(|| scope.spawn(|| fleet.load(&load)));
            // All calls start within the first second and last for the service time, so all are in flight after 3 s.
            thread::sleep(time::Duration::from_secs(3));
            let usages = [fleet.usage(0), fleet.usage(1)];
            let incomplete = running.map_or(0, |running| running.join().map_or(1, |result| result.incomplete));
            (usages, incomplete)
        });
        if incomplete > 0 {
            return Err(format!(
                "{incomplete} of {count} calls in flight had no complete response"
            ));
        }
        let [first, second] = usages;
        entry.push((count as f64, first?.resident as f64 / 1e3));
        callee.push((count as f64, second?.resident as f64 / 1e3));
    }
    report.slope("entry", "memory_per_call_in_flight", &entry, "KB/call");
    report.slope("callee", "memory_per_call_in_flight", &callee, "KB/call");
    Ok(())
}

fn measure_request_ids(fleet: &bench_fleet::BenchFleet, report: &mut bench_report::BenchReport) -> Result<(), String> {
    let mut points = Vec::new();
    let mut used = 0;
    for count in REQUEST_ID_COUNTS {
        let load = bench_fleet::FleetLoad {
            rate: REQUEST_ID_RATE,
            length: time::Duration::from_secs_f64((count - used) as f64 / REQUEST_ID_RATE),
            ..page_load(fleet, "POST", "/action?bytes=200")
        };
        if count > used {
            // A refused request may or may not leave a stored id, so only complete responses count.
            used += fleet.load(&load).latencies.len();
        }
        thread::sleep(MEMORY_SETTLE_DELAY);
        points.push((used as f64, fleet.usage(0)?.resident as f64));
    }
    report.slope("owner", "memory_per_request_id", &points, "bytes/id");
    Ok(())
}

fn measure_resources(
    fleet: &mut bench_fleet::BenchFleet,
    report: &mut bench_report::BenchReport,
) -> Result<(), String> {
    let (mut points, mut times) = (Vec::new(), Vec::new());
    let mut declared = 0;
    for count in RESOURCE_COUNTS {
        while declared < count {
            let last = (declared + MAX_CHANGE_RESOURCES).min(count);
            let resources: Vec<_> = (declared..last).map(|index| tenant(index, 1)).collect();
            let (revision, time) = fleet.apply(&resources)?;
            times.push((declared as f64, time.as_secs_f64() * 1e3));
            fleet.wait_for_revision(revision)?;
            declared = last;
        }
        thread::sleep(MEMORY_SETTLE_DELAY);
        points.push((count as f64, fleet.usage(1)?.resident as f64));
    }
    report.slope("daemon", "memory_per_resource", &points, "bytes/resource");
    report.slope("api", "change_of_256_ms_by_resources", &times, "ms/resource");
    Ok(())
}
