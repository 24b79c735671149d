//! Tests of the backend server stand-in over HTTP.

use std::io::Read;
use std::thread;
use std::time;

use damasktrack_standins::{answer_body, backend_server, backend_state, next_call};
use serde_json::{Value, json};

const CONTEXT: &str = "id=r1;attempt=1;class=a;tenant=default;left_ms=LEFT;retries=2;depth=0;call=be;level=3.4";

struct Fixture {
    server: backend_server::BackendServer,
    agent: ureq::Agent,
}

/// Status, `Damasktrack-Not-Run`, and the body (`None` if it was truncated).
type Response = (u16, bool, Option<Vec<u8>>);

impl Fixture {
    fn new(options: backend_state::BackendOptions) -> Self {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        Self {
            server: backend_server::BackendServer::start("127.0.0.1:0".parse().unwrap(), options).unwrap(),
            agent: ureq::Agent::new_with_config(config),
        }
    }

    fn call(&self, target: &str, left_ms: u64) -> Response {
        let url = format!("http://{}{target}", self.server.address());
        let context = CONTEXT.replace("LEFT", &left_ms.to_string());
        let response = self
            .agent
            .get(url)
            .header("Damasktrack-Context", context)
            .call()
            .unwrap();
        let mut body = Vec::new();
        let status = response.status().as_u16();
        let not_run = response.headers().contains_key("Damasktrack-Not-Run");
        let read = response.into_body().into_reader().read_to_end(&mut body);
        (status, not_run, read.is_ok().then_some(body))
    }

    fn post(&self, target: &str, body: &Value) -> Value {
        let url = format!("http://{}{target}", self.server.address());
        let mut response = self.agent.post(url).send(body.to_string()).unwrap();
        serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
    }

    fn executions(&self) -> Value {
        self.server.state().execution_report(Some("r1"))
    }
}

/// Guards against a body that the load generator can't distinguish from that of another request, with any framing.
#[test]
fn bodies_are_complete_and_specific_to_the_request() {
    let fixture = Fixture::new(backend_state::BackendOptions::default());
    for framing in ["length", "chunked", "close"] {
        let (status, _, body) = fixture.call(&format!("/x?bytes=200001&framing={framing}"), 5_000);
        let body = body.unwrap();
        assert_eq!((status, body.len()), (200, 200_001), "{framing}");
        assert!(answer_body::matches(answer_body::seed("r1", "/x"), 0, &body));
        assert!(!answer_body::matches(answer_body::seed("r2", "/x"), 0, &body));
    }
    fixture.post("/control/fault", &json!({ "kind": "cut_body", "next": 1 }));
    assert_eq!(fixture.call("/x?bytes=100000", 5_000).2, None);
    assert_eq!(fixture.executions()["request"], json!({ "/x": 4 }));
}

/// Guards against bodies that depend on how they are divided into reads.
#[test]
fn body_parts_match_at_every_offset() {
    let mut whole = [0; 40];
    answer_body::fill(9, 0, &mut whole);
    for start in 0..40 {
        for end in start..40 {
            assert!(
                answer_body::matches(9, start as u64, &whole[start..end]),
                "{start}..{end}"
            );
        }
    }
}

/// Guards against `Damasktrack-Not-Run` on a call that ran, and its absence on one that did not.
#[test]
fn only_calls_that_did_not_run_are_marked_not_run() {
    let fixture = Fixture::new(backend_state::BackendOptions {
        slots: 1,
        refuse_when_full: true,
        service_time: time::Duration::from_secs(20),
        ..backend_state::BackendOptions::default()
    });
    thread::scope(|scope| {
        let first = scope.spawn(|| fixture.call("/first", 60_000));
        while fixture.server.state().slots.counts().running == 0 {
            thread::yield_now();
        }
        let (status, not_run, _) = fixture.call("/second", 60_000);
        assert_eq!((status, not_run), (503, true), "full");
        assert_eq!(fixture.post("/cancel?call=be", &json!({})), json!({ "cancelled": 1 }));
        let (status, not_run, _) = first.join().unwrap();
        assert_eq!((status, not_run), (499, false), "cancelled while it ran");
    });
    let (status, not_run, _) = fixture.call("/late", 10);
    assert_eq!((status, not_run), (504, false), "deadline passed while it ran");
    fixture.post("/drain", &json!({}));
    let (status, not_run, _) = fixture.call("/drained", 60_000);
    assert_eq!((status, not_run), (503, true), "draining");
    assert_eq!(fixture.server.state().health_status(), 503);
    assert_eq!(fixture.executions()["request"], json!({ "/first": 1, "/late": 1 }));
}

/// Guards against a queue that starts work whose caller stopped waiting.
#[test]
fn queued_calls_are_dropped_at_their_deadline() {
    let fixture = Fixture::new(backend_state::BackendOptions {
        slots: 1,
        service_time: time::Duration::from_secs(20),
        ..backend_state::BackendOptions::default()
    });
    thread::scope(|scope| {
        scope.spawn(|| fixture.call("/first", 60_000));
        while fixture.server.state().slots.counts().running == 0 {
            thread::yield_now();
        }
        let (status, not_run, _) = fixture.call("/second", 20);
        assert_eq!((status, not_run), (503, true));
        fixture.server.state().slots.cancel(0xbe);
    });
    assert_eq!(fixture.executions()["request"], json!({ "/first": 1 }));
}

/// Guards against a chain of next calls that loses the calls after the first.
#[test]
fn next_calls_come_from_the_query_or_the_rules() {
    let rules = [next_call::parse_rule("/permits=POST@register:/lookup").unwrap()];
    let calls = next_call::calls_of("/permits/7", &rules).unwrap();
    assert_eq!(
        (calls[0].method.as_str(), calls[0].target.as_str()),
        ("POST", "/lookup")
    );
    assert_eq!(next_call::calls_of("/other", &rules), Ok(Vec::new()));
    let calls = next_call::calls_of("/permits?chain=a:/x?bytes%3D5,b:/y,c:/z", &rules).unwrap();
    assert_eq!(calls[0].service, "a");
    let calls = next_call::calls_of(&calls[0].target, &rules).unwrap();
    assert_eq!(
        (calls[0].service.as_str(), calls[0].target.as_str()),
        ("b", "/y?chain=c:/z")
    );
    assert!(next_call::parse_call("register").is_err());
}

/// Guards against faults that don't override the load and health reports, or that outlast `clear`.
#[test]
fn faults_override_reports() {
    let fixture = Fixture::new(backend_state::BackendOptions::default());
    assert_eq!(fixture.server.state().load_report()["load"], json!(0.0));
    fixture.post("/control/fault", &json!({ "kind": "load", "value": 0.25 }));
    fixture.post("/control/fault", &json!({ "kind": "health", "value": 503 }));
    assert_eq!(fixture.server.state().load_report()["load"], json!(0.25));
    assert_eq!(fixture.server.state().health_status(), 503);
    fixture.post("/control/fault", &json!({ "kind": "clear" }));
    assert_eq!(fixture.server.state().health_status(), 200);
}

/// Guards against cold, slow and long work that takes no longer than other work.
#[test]
fn service_times_follow_the_options() {
    let second = time::Duration::from_secs(1);
    let state = backend_state::BackendState::new(backend_state::BackendOptions {
        service_time: second,
        class_times: [("ledger".to_owned(), second * 60)].into(),
        // So long that the time since the start does not matter.
        cold_ramp: second * 1_000_000,
        cold_factor: 4.0,
        ..backend_state::BackendOptions::default()
    });
    let near = |time: time::Duration, expected: f64| (time.as_secs_f64() / expected - 1.0).abs() < 0.001;
    assert!(near(state.draw_service_time("query", 1.0), 4.0));
    assert!(near(state.draw_service_time("query", 10.0), 40.0));
    assert!(near(state.draw_service_time("ledger", 1.0), 240.0));
}

/// Guards against reports without the configured lag, and against a frozen server that responds.
#[test]
fn lagging_reports_and_freezes() {
    let fixture = Fixture::new(backend_state::BackendOptions {
        report_lag: time::Duration::from_hours(1),
        ..backend_state::BackendOptions::default()
    });
    fixture.post("/drain", &json!({}));
    fixture.server.state().sample();
    assert_eq!(fixture.server.state().health_status(), 200, "the state of an hour ago");
    let until = time::Instant::now() + time::Duration::from_millis(200);
    fixture.post("/control/fault", &json!({ "kind": "freeze", "value": 200 }));
    fixture.post("/cancel?call=1", &json!({}));
    assert!(time::Instant::now() >= until);
}
