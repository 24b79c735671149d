//! Configuration through the resource API of three daemons and a store.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use serde_json::json;

use crate::cluster;
use crate::support;

const DEADLINE_MS: u64 = 2_000;

fn put_tenant(
    daemon: &support::Daemon,
    id: &str,
    name: &str,
    weight: u64,
    version: Option<u64>,
) -> (u16, serde_json::Value) {
    let mut resource = cluster::tenant(name, weight);
    if let Some(version) = version {
        resource["version"] = json!(version);
    }
    let path = format!("/v1/tenants/{name}");
    cluster::operate(daemon, "PUT", &path, id, &resource.to_string())
}

fn get(daemon: &support::Daemon, path: &str) -> (u16, serde_json::Value) {
    cluster::operate(daemon, "GET", path, "", "")
}

/// Guards against two operators whose concurrent changes of the same version are both reported as accepted.
#[test]
fn concurrent_changes_get_one_acceptance_and_one_conflict() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let created = put_tenant(&cluster.daemons[0], "create", "viborg", 1, Some(0));
    assert_eq!(created.0, 200, "{created:?}");
    let mut version = created.1["results"][0]["version"].as_u64().unwrap();
    for round in 0..10 {
        let operators: Vec<_> = [0, 1]
            .map(|operator: usize| {
                let api = cluster.daemons[operator + round % 2].api;
                let mut resource = cluster::tenant("viborg", 10 + 2 * round as u64 + operator as u64);
                resource["version"] = json!(version);
                let header = cluster::operator_header(&format!("race-{round}-{operator}"));
                thread::spawn(move || {
                    cluster::exchange(api, "PUT", "/v1/tenants/viborg", &header, &resource.to_string())
                })
            })
            .into();
        let mut responses: Vec<_> = operators.into_iter().map(|operator| operator.join().unwrap()).collect();
        responses.sort_by_key(|response| response.0);
        assert_eq!([responses[0].0, responses[1].0], [200, 409], "{responses:?}");
        version = responses[0].1["results"][0]["version"].as_u64().unwrap();
        assert_eq!(
            responses[1].1["current_version"].as_u64(),
            Some(version),
            "{responses:?}"
        );
    }
    cluster.wait_revision(version);
    for daemon in &cluster.daemons {
        assert_eq!(get(daemon, "/v1/tenants/viborg").1["version"].as_u64(), Some(version));
        let changes = get(daemon, "/v1/changes?after=1").1;
        assert_eq!(changes["items"].as_array().unwrap().len(), 11, "{changes}");
    }
}

/// Guards against a change whose operator can't determine whether it was accepted, and against a change made twice.
#[test]
fn change_with_a_lost_response_is_found_by_its_id() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    // One response of the store to a write is lost. The daemon determines the result by reading its commit back.
    cluster
        .store
        .fault(&json!({"kind": "lose_answer", "scope": "writes", "next": 1}));
    let read_back = put_tenant(&cluster.daemons[0], "lost-1", "skive", 2, None);
    assert_eq!(
        (read_back.0, &read_back.1["revision"]),
        (200, &json!(2)),
        "{read_back:?}"
    );
    // The result of this change can't be read back until the store is up again.
    cluster.store.fault(&json!({"kind": "lose_answer", "scope": "writes"}));
    // The writes of the daemons to the table `members` count as commits as well.
    let commits = || cluster.store.get("/control/stats")["commits"].as_u64().unwrap();
    let commits_before = commits();
    let api = cluster.daemons[1].api;
    let header = cluster::operator_header("lost-2");
    let body = cluster::tenant("holstebro", 3).to_string();
    let change = thread::spawn(move || cluster::exchange(api, "PUT", "/v1/tenants/holstebro", &header, &body));
    support::wait_for("the commit", || (commits() > commits_before).then_some(()));
    cluster.store.fault(&json!({"kind": "lose_request"}));
    let unsettled = change.join().unwrap();
    assert_eq!(
        (unsettled.0, &unsettled.1["id"]),
        (504, &json!("lost-2")),
        "{unsettled:?}"
    );
    cluster.store.fault(&json!({"kind": "up"}));
    let found = support::wait_for("the change", || {
        Some(get(&cluster.daemons[2], "/v1/changes/lost-2")).filter(|response| response.0 == 200)
    });
    assert_eq!(found.1["revision"], json!(3), "{found:?}");
    assert_eq!(found.1["operator"], json!("maja"));
    let repeat = support::wait_for("the first result", || {
        let repeat = put_tenant(&cluster.daemons[0], "lost-2", "holstebro", 3, None);
        Some(repeat).filter(|response| response.0 == 200)
    });
    assert_eq!(repeat.1["revision"], json!(3), "{repeat:?}");
    let other = put_tenant(&cluster.daemons[0], "lost-2", "holstebro", 4, None);
    assert_eq!(other.0, 422, "{other:?}");
    cluster.wait_revision(3);
    assert_eq!(get(&cluster.daemons[1], "/v1/changes/never").0, 404);
}

/// Guards against a daemon that reverts to an older configuration, or that never receives an accepted one.
#[test]
fn revisions_never_decrease_and_reach_every_daemon() {
    let mut cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
    let start_monitor = |daemon: &support::Daemon| {
        let api = daemon.api;
        let stopped = sync::Arc::clone(&stopped);
        thread::spawn(move || {
            let mut highest = 0;
            while !stopped.load(atomic::Ordering::Relaxed) {
                let revision = cluster::exchange(api, "GET", "/ready", "", "").1["revision"]
                    .as_u64()
                    .unwrap();
                assert!(revision >= highest, "revision decreased from {highest} to {revision}");
                highest = revision;
                thread::sleep(time::Duration::from_millis(2));
            }
        })
    };
    let mut monitors: Vec<_> = cluster.daemons[..2].iter().map(start_monitor).collect();
    let mut accepted_revision = 1;
    let mut make_change = |cluster: &cluster::Cluster, weight: u64| {
        let daemon = usize::try_from(weight % 2).unwrap();
        let response = support::wait_for("the change to be accepted", || {
            let response = put_tenant(&cluster.daemons[daemon], &format!("w-{weight}"), "ikast", weight, None);
            Some(response).filter(|response| response.0 == 200)
        });
        accepted_revision = response.1["revision"].as_u64().unwrap();
        accepted_revision
    };
    for weight in 1..8 {
        make_change(&cluster, weight);
    }
    cluster
        .store
        .fault(&json!({"kind": "stale", "commits": 4, "probability": 0.5, "seed": 5}));
    for weight in 8..14 {
        make_change(&cluster, weight);
    }
    // A daemon restarts and another one joins while reads are stale.
    cluster.daemons[2].kill();
    cluster.daemons[2] = cluster.start_daemon(2);
    monitors.push(start_monitor(&cluster.daemons[2]));
    let joined = cluster.start_daemon(3);
    monitors.push(start_monitor(&joined));
    let before_outage = make_change(&cluster, 14);
    cluster.wait_revision(before_outage);
    cluster.store.fault(&json!({"kind": "down"}));
    assert_eq!(put_tenant(&cluster.daemons[0], "refused", "ikast", 99, None).0, 503);
    // During the outage, a restarted daemon fetches the configuration from its peers.
    cluster.daemons[2].kill();
    let killed_monitor = monitors.remove(2);
    cluster.daemons[2] = cluster.start_daemon(2);
    assert!(
        killed_monitor.join().is_err(),
        "the monitor of the killed daemon must fail when its connection closes"
    );
    monitors.push(start_monitor(&cluster.daemons[2]));
    cluster::wait_ready(&cluster.daemons[2]);
    assert_eq!(cluster::revision(&cluster.daemons[2]), before_outage);
    cluster.store.fault(&json!({"kind": "up"}));
    let last = make_change(&cluster, 15);
    cluster.daemons.push(joined);
    cluster.wait_revision(last);
    stopped.store(true, atomic::Ordering::Relaxed);
    for monitor in monitors {
        monitor.join().unwrap();
    }
    for daemon in &cluster.daemons {
        let tenant = get(daemon, "/v1/tenants/ikast").1;
        assert_eq!(
            (&tenant["spec"]["weight"], &tenant["version"]),
            (&json!(15), &json!(last))
        );
    }
    let status = get(&cluster.daemons[0], &format!("/v1/status?revision={last}")).1;
    assert_eq!(status["in_force_everywhere"], json!(true), "{status}");
}

/// Guards against changes that bypass authentication, validation or version conditions, and against a watch that misses
/// a change.
#[test]
fn api_validates_and_reports_changes() {
    let cluster = cluster::Cluster::start(5, DEADLINE_MS);
    let daemon = &cluster.daemons[1];
    assert_eq!(cluster::exchange(daemon.api, "GET", "/v1/classes", "", "").0, 401);
    let wrong = "Authorization: Bearer operator-kez\r\n";
    assert_eq!(cluster::exchange(daemon.api, "GET", "/v1/classes", wrong, "").0, 401);
    assert_eq!(cluster::operate(daemon, "POST", "/v1/apply", "", "{").0, 400);
    let faulty = json!({"resources": [
        {"kind": "Class", "name": "broken", "spec": {"importance": 16, "idempotent": true, "chain": "none", "routes": []}},
        {"kind": "Tenant", "name": "ikast", "spec": {"weight": 0}}]});
    let findings = cluster::operate(daemon, "POST", "/v1/apply", "", &faulty.to_string());
    assert_eq!(findings.0, 422);
    assert_eq!(findings.1["findings"].as_array().unwrap().len(), 4, "{findings:?}");
    let misspelt = json!({"kind": "Tenant", "name": "ikast", "spec": {"wait": 1}}).to_string();
    assert_eq!(
        cluster::operate(daemon, "PUT", "/v1/tenants/ikast", "", &misspelt).0,
        422
    );

    let tenants = json!({"resources": [cluster::tenant("ikast", 1), cluster::tenant("skive", 1)]}).to_string();
    let dry_run_response = cluster::operate(daemon, "POST", "/v1/apply?dry_run=true", "", &tenants);
    assert_eq!(
        (
            dry_run_response.0,
            &dry_run_response.1["dry_run"],
            &dry_run_response.1["revision"]
        ),
        (200, &json!(true), &json!(1)),
        "{dry_run_response:?}"
    );
    assert_eq!(get(daemon, "/v1/tenants/ikast").0, 404);
    let api = daemon.api;
    let watch = thread::spawn(move || {
        cluster::exchange(
            api,
            "GET",
            "/v1/watch?after=1&timeout_ms=20000",
            &cluster::operator_header(""),
            "",
        )
    });
    let applied = cluster::operate(daemon, "POST", "/v1/apply", "both", &tenants);
    assert_eq!(applied.1["results"][1]["result"], json!("created"), "{applied:?}");
    let event = watch.join().unwrap().1;
    assert_eq!(
        (&event["revision"], &event["events"][0]["id"]),
        (&json!(2), &json!("both")),
        "{event}"
    );
    let unchanged = cluster::operate(daemon, "POST", "/v1/apply", "again", &tenants);
    assert_eq!(unchanged.1["results"][0]["result"], json!("unchanged"), "{unchanged:?}");
    assert_eq!(unchanged.1["revision"], json!(2));

    let in_use = cluster::operate(daemon, "DELETE", "/v1/chains/short", "", "");
    assert_eq!(in_use.0, 422, "{in_use:?}");
    assert_eq!(
        cluster::operate(daemon, "DELETE", "/v1/tenants/skive?version=1", "", "").0,
        409
    );
    assert_eq!(
        cluster::operate(daemon, "DELETE", "/v1/tenants/skive?version=2", "", "").0,
        200
    );
    assert_eq!(cluster::operate(daemon, "DELETE", "/v1/tenants/skive", "", "").0, 404);
    cluster.wait_revision(3);

    // The configuration in force applies to calls: undeclared calls don't run, and the status of a class counts
    // its calls.
    let undeclared = support::Caller::open(daemon.entry)
        .exchange("DELETE", "/permits/1", "", b"")
        .unwrap();
    assert_eq!(undeclared.status, 404);
    assert_eq!(cluster.send_filing(1, &cluster.issue(1)).outcome, "done");
    let effect = support::wait_for("the status to count the admitted call", || {
        let class = get(daemon, "/v1/classes/filing").1;
        (class["status"]["admitted"] == json!(1)).then_some(class)
    });
    assert_eq!(effect["status"]["refused"], json!(0), "{effect}");
    let daemons = get(daemon, "/v1/daemons").1;
    let names: Vec<_> = daemons["items"]
        .as_array()
        .unwrap()
        .iter()
        .map(|item| item["name"].clone())
        .collect();
    assert_eq!(names, [json!("d0"), json!("d1"), json!("d2")], "{daemons}");
}
