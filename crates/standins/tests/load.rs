//! Tests of the load generator against the backend server stand-in.

use std::net;
use std::time;

use damasktrack_standins::{backend_server, backend_state, load_mix, load_run, load_summary};
use serde_json::json;

fn run(address: net::SocketAddr, mix: &serde_json::Value) -> load_summary::LoadSummary {
    let mix: load_mix::LoadMix = serde_json::from_value(mix.clone()).unwrap();
    let steps = load_mix::parse_steps("1000:0.2").unwrap();
    let arrivals = load_mix::schedule(&mix, &steps, 3).unwrap();
    let options = load_run::LoadOptions {
        addresses: vec![address],
        mix,
        arrivals,
        concurrency: 16,
        run_id: "t".to_owned(),
        window: time::Duration::from_secs(1),
    };
    load_run::run(&options, |_| {})
}

fn backend() -> backend_server::BackendServer {
    let options = backend_state::BackendOptions {
        slots: 16,
        service_time: time::Duration::ZERO,
        ..backend_state::BackendOptions::default()
    };
    backend_server::BackendServer::start("127.0.0.1:0".parse().unwrap(), options).unwrap()
}

/// Guards against requests that are missing from the summary, and against complete responses that count as wrong.
#[test]
fn every_request_is_counted() {
    let server = backend();
    // Without a daemon, the backend server receives the path with the service segment, so its body pattern differs from
    // the expected one and only truncation is checked.
    let mix = json!({ "entries": [
        { "name": "a", "path": "/a?bytes=300", "key": "unique", "weight": 3, "check": "length" },
        { "name": "b", "path": "/b", "method": "POST", "body": "{}", "check": "length" },
    ]});
    let summary = run(server.address(), &mix);
    assert_eq!(summary.requests(None), 200);
    assert_eq!(
        summary.count(None, load_summary::RequestEnd::Whole),
        200,
        "{}",
        summary.to_json()
    );
    assert!(summary.requests(Some("a")) > summary.requests(Some("b")));
    let report = server.state().execution_report(None);
    assert_eq!(
        (&report["total"], &report["paths"]["/a"]["max"]),
        (&json!(200), &json!(1))
    );
}

/// Guards against a check that accepts the response to another path, and a truncated response that counts as whole.
#[test]
fn wrong_and_truncated_responses_are_detected() {
    let server = backend();
    let mix = json!({ "entries": [{ "name": "a", "path": "/a/b?bytes=300", "key": "unique" }] });
    let summary = run(server.address(), &mix);
    assert_eq!(summary.count(None, load_summary::RequestEnd::Wrong), 200);
    let cut = json!({ "kind": "cut_body", "next": 7 });
    server.state().add_fault(serde_json::from_value(cut).unwrap());
    let mix = json!({ "entries": [{ "name": "a", "path": "/a?bytes=300", "check": "length" }] });
    let summary = run(server.address(), &mix);
    assert_eq!(summary.count(None, load_summary::RequestEnd::Cut), 7);
}

/// Guards against retries with a new request id, whose executions would count as those of another request.
#[test]
fn retries_keep_the_request_id() {
    let server = backend();
    let fault = json!({ "kind": "status", "value": 500, "next": 20 });
    server.state().add_fault(serde_json::from_value(fault).unwrap());
    let mix = json!({ "entries": [
        { "name": "a", "path": "/a", "key": "unique", "check": "length", "retries": 20, "retry_delay_ms": 0 },
    ]});
    let summary = run(server.address(), &mix);
    assert_eq!(summary.requests(None), 200);
    let report = server.state().execution_report(None);
    assert_eq!((&report["total"], &report["ids"]), (&json!(220), &json!(200)));
}

/// Guards against latencies that are clamped to the initial range of an auto-resizing histogram.
#[test]
fn quantiles_are_not_clamped() {
    let mut summary = load_summary::LoadSummary::new(time::Duration::from_secs(1));
    for latency_us in [1_000, 2_000, 5_000_000] {
        summary.add(&load_summary::RequestRecord {
            entry: "a".to_owned(),
            request_id: String::new(),
            due_us: 0,
            late_us: 0,
            latency_us,
            attempts: 1,
            status: 200,
            outcome: "done".to_owned(),
            end: load_summary::RequestEnd::Whole,
            bytes: 0,
            error: String::new(),
        });
    }
    let entry = &summary.to_json()["entries"]["a"];
    let near = |name: &str, expected: f64| (entry[name].as_f64().unwrap() / expected - 1.0).abs() < 0.01;
    assert!(near("p50_ms", 2.0) && near("p99_ms", 5_000.0), "{entry}");
}
