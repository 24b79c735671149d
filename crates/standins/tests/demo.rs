//! Tests of the demonstration's checks and of its example files.

use std::fs;
use std::path;

use damasktrack_standins::{demo_check, demo_plan, load_summary, next_call};
use serde_json::Value;

fn read(name: &str) -> String {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(directory.join(name)).unwrap()
}

fn record(entry: &str, id: &str, end: load_summary::RequestEnd) -> load_summary::RequestRecord {
    load_summary::RequestRecord {
        entry: entry.to_owned(),
        request_id: id.to_owned(),
        due_us: 0,
        late_us: 0,
        latency_us: 0,
        attempts: 1,
        status: 200,
        outcome: "done".to_owned(),
        end,
        bytes: 0,
        error: String::new(),
    }
}

/// Guards against a demonstration that passes although an action ran twice, a refused request ran or a
/// request was lost.
#[test]
fn violations_are_detected() {
    let plan: demo_plan::DemoPlan = serde_json::from_str(&read("trinfast-demo.json")).unwrap();
    let mut executions = demo_check::ExecutionTable::new();
    let execution = |id: &str, path: &str| (id.to_owned(), path.to_owned(), 1);
    demo_check::add_executions(
        &mut executions,
        vec![
            execution("a", "/requests"),
            execution("b", "/requests"),
            execution("c", "/dancers"),
        ],
    );
    // A second backend server ran the same action (a violation), and a retried idempotent request (which is allowed).
    demo_check::add_executions(
        &mut executions,
        vec![execution("a", "/requests"), execution("c", "/dancers")],
    );
    let records = [
        record("pairing-request", "a", load_summary::RequestEnd::Whole),
        record("pairing-request", "b", load_summary::RequestEnd::Refused),
        record("profile-browse", "c", load_summary::RequestEnd::Whole),
        record("profile-browse", "d", load_summary::RequestEnd::Whole),
        record("profile-browse", "e", load_summary::RequestEnd::NoAnswer),
        record("profile-browse", "f", load_summary::RequestEnd::Refused),
    ];
    let findings = demo_check::check(&plan, &records, &executions);
    assert_eq!(findings.len(), 4, "{findings:?}");
    for part in [
        "a ran 2 times",
        "b: was refused but ran",
        "d: was completed but",
        "e: got no response",
    ] {
        assert!(
            findings.iter().any(|finding| finding.contains(part)),
            "{part}: {findings:?}"
        );
    }
}

/// Guards against examples that call services or paths which their resources do not declare.
#[test]
fn examples_call_declared_routes() {
    for name in ["trinfast", "authority"] {
        let resources: Value = serde_json::from_str(&read(&format!("{name}.json"))).unwrap();
        let plan: demo_plan::DemoPlan = serde_json::from_str(&read(&format!("{name}-demo.json"))).unwrap();
        let mut routes = Vec::new();
        for resource in resources["resources"].as_array().unwrap() {
            for route in resource["spec"]["routes"].as_array().into_iter().flatten() {
                let text = |field: &str| route[field].as_str().unwrap().to_owned();
                routes.push((text("service"), text("method"), text("path_prefix")));
            }
        }
        let declared = |service: &str, method: &str, target: &str| {
            let mut matching = routes.iter().filter(|route| route.0 == service && route.1 == method);
            matching.any(|route| target.starts_with(&route.2))
        };
        for entry in &plan.mix.entries {
            let (service, rest) = entry.path[1..].split_once('/').unwrap();
            assert!(
                declared(service, &entry.method, &format!("/{rest}")),
                "{name}: {}",
                entry.name
            );
        }
        for text in plan.servers.iter().flat_map(|server| &server.next) {
            let call = next_call::parse_rule(text).unwrap().call;
            assert!(declared(&call.service, &call.method, &call.target), "{name}: {text}");
        }
    }
}
