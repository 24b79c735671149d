//! Tests of the computations behind the measurements: a wrong fit or count would distort published figures unnoticed.

use std::io::{Read, Write};
use std::net;
use std::process;
use std::thread;

use damasktrack_standins::{bench_fit, bench_fleet, bench_relay, process_usage};

fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() < 1e-9, "found {found}, expected {expected}");
}

/// Guards against a wrong slope, intercept or residual, and against a fit of points with fewer than two distinct x.
#[test]
fn fits_a_line_and_its_residual() {
    let exact = bench_fit::fit(&[(0.0, 1.0), (2.0, 5.0), (10.0, 21.0)]).unwrap();
    assert_near(exact.slope, 2.0);
    assert_near(exact.intercept, 1.0);
    assert_near(exact.residual, 0.0);
    let scattered = bench_fit::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    assert_near(scattered.slope, 0.0);
    assert_near(scattered.intercept, 1.0);
    assert_near(scattered.residual, 6.0_f64.sqrt());
    assert_eq!(bench_fit::fit(&[(1.0, 1.0)]), None);
    assert_eq!(bench_fit::fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

/// Guards against a wrong median of an even number of values, and against a failure on an empty slice.
#[test]
fn spread_returns_median_and_bounds() {
    let spread = bench_fit::spread(&[4.0, 1.0, 3.0, 2.0]).unwrap();
    assert_near(spread.median, 2.5);
    assert_near(spread.min, 1.0);
    assert_near(spread.max, 4.0);
    assert_eq!(bench_fit::spread(&[]), None);
}

/// Guards against field positions that shift if the program's name contains spaces or parentheses.
#[test]
fn parses_usage_with_any_program_name() {
    let stat = "7 (a) b) S 1 7 7 0 -1 4194560 100 0 0 0 150 25 0 0 20 0 9 0 100 1000 10";
    let status = "Name:\ta) b\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\nThreads:\t9\n";
    let usage = process_usage::parse(stat, status).unwrap();
    assert_eq!(usage.processor.as_millis(), 1_750);
    assert_eq!((usage.resident, usage.peak, usage.threads), (1 << 20, 2 << 20, 9));
    assert!(process_usage::read(process::id()).unwrap().resident > 0);
}

/// Guards against bytes that the relay loses, and against a count that omits one direction.
#[test]
fn relay_passes_and_counts_both_directions() {
    let server = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = bench_relay::BenchRelay::start(server.local_addr().unwrap()).unwrap();
    let server_thread = thread::spawn(move || {
        let (mut stream, _) = server.accept().unwrap();
        let mut request = [0; 3];
        stream.read_exact(&mut request).unwrap();
        stream.write_all(b"answer").unwrap();
        request
    });
    let mut client = net::TcpStream::connect(relay.address()).unwrap();
    client.write_all(b"ask").unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert_eq!((server_thread.join().unwrap(), text.as_str()), (*b"ask", "answer"));
    assert_eq!(relay.bytes(), 9);
}

/// Guards against percentiles that are off by one rank, which affects the p99 of short runs most.
#[test]
fn percentile_takes_the_nearest_rank() {
    let result = bench_fleet::LoadResult {
        latencies: (0..=100).map(f64::from).collect(),
        ..bench_fleet::LoadResult::default()
    };
    assert_near(result.percentile(0.5), 50.0);
    assert_near(result.percentile(0.99), 99.0);
    assert!(bench_fleet::LoadResult::default().percentile(0.99).is_nan());
}
