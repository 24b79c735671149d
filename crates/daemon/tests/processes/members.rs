//! Membership of daemons: discovery through the store or seeds, failure detection and departure.

use serde_json::json;

use crate::cluster;
use crate::support;

fn start_store() -> cluster::StandIn {
    cluster::StandIn::start("standin-store", &[])
}

/// Returns further settings of a daemon that uses the store, with a leading comma.
fn settings(store: &cluster::StandIn) -> String {
    let operators = json!([{"name": "maja", "role": "admin", "key_sha256": cluster::KEY_SHA256}]);
    format!(r#","store_address":"{}","operators":{operators}"#, store.address)
}

/// Returns the number of rows in the table `members` of the store.
fn count_rows(store: &cluster::StandIn) -> usize {
    let list = store.get("/table/list?table=members&prefix=&after=&limit=100");
    list["rows"].as_array().unwrap().len()
}

/// Declares the service `s` and waits until all daemons have it in force.
fn declare(daemons: &[&support::Daemon]) {
    let resources = json!({"resources": [
        {"kind": "Service", "name": "s", "spec": {"slots": 16}},
        {"kind": "Chain", "name": "short", "spec": {"max_depth": 4, "deadline_ms": 5000, "retry_allowance": 2}},
        {"kind": "Class", "name": "echo", "spec": {"importance": 5, "critical": false, "idempotent": true,
            "chain": "short", "routes": [{"service": "s", "method": "POST", "path_prefix": "/"}]}}]});
    let response = cluster::operate(daemons[0], "POST", "/v1/apply", "declare", &resources.to_string());
    assert_eq!(response.0, 200, "{response:?}");
    for daemon in daemons {
        support::wait_for("the service to be declared", || {
            (cluster::revision(daemon) >= 1).then_some(())
        });
    }
}

/// Starts a backend server whose responses repeat the body of the request.
fn echo() -> support::BackendServer {
    support::BackendServer::start(|request, stream| support::respond(stream, &request.body))
}

/// Returns the number of members that a daemon lists in a state.
fn count_state(daemon: &support::Daemon, state: &str) -> usize {
    let list = cluster::operate(daemon, "GET", "/v1/daemons", "", "").1;
    let items = list["items"].as_array().unwrap().iter();
    items.filter(|item| item["status"]["state"] == state).count()
}

/// Waits until a daemon lists exactly `count` members in a state.
fn wait_state(daemon: &support::Daemon, state: &str, count: usize) {
    support::wait_for("the expected number of members in the state", || {
        (count_state(daemon, state) == count).then_some(())
    });
}

/// Sends a request to `/s/echo` and returns the status. A response with status 200 must repeat the body.
fn call(daemon: &support::Daemon, body: &str) -> u16 {
    let response = support::Caller::open(daemon.entry)
        .exchange("POST", "/s/echo", "", body.as_bytes())
        .unwrap();
    assert!(response.status != 200 || response.body == body.as_bytes());
    response.status
}

/// Returns the number of calls that reached a backend server since the previous count.
fn count_calls(backend: &support::BackendServer) -> usize {
    let requests = backend.requests.try_iter();
    requests.filter(|request| request.path == "/echo").count()
}

/// Starts two callee daemons and an entry daemon without seeds, which find each other only through the store.
fn start_daemons(store: &cluster::StandIn, backends: [&support::BackendServer; 2]) -> [support::Daemon; 3] {
    let settings = settings(store);
    let daemons = [
        support::Daemon::start_callee(backends[0], &settings),
        support::Daemon::start_callee(backends[1], &settings),
        support::Daemon::start("entry", &settings),
    ];
    for daemon in &daemons {
        wait_state(daemon, "up", 3);
    }
    declare(&[&daemons[0], &daemons[1], &daemons[2]]);
    daemons
}

/// Guards against daemons that need seeds although the store is up, against calls to a killed daemon after the entry
/// daemon has marked it dead, and against a frozen daemon that other members still list as dead after it resumes.
#[test]
fn daemons_find_each_other_through_the_store() {
    let store = start_store();
    let (first, second) = (echo(), echo());
    let [mut killed, frozen, entry] = start_daemons(&store, [&first, &second]);
    assert_eq!(count_rows(&store), 3);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("before {number}")), 200);
    }
    assert_eq!(count_calls(&first) + count_calls(&second), 20);
    killed.kill();
    wait_state(&entry, "dead", 1);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("after {number}")), 200);
    }
    assert_eq!((count_calls(&first), count_calls(&second)), (0, 20));
    frozen.signal("STOP");
    wait_state(&entry, "dead", 2);
    assert_eq!(call(&entry, "frozen"), 503);
    frozen.signal("CONT");
    wait_state(&entry, "up", 2);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("back {number}")), 200);
    }
    assert_eq!((count_calls(&first), count_calls(&second)), (0, 20));
}

/// Guards against a join that depends on the store although a seed is given, against calls to a leaving server while
/// the store is down, and against a planned stop after which the daemon is not listed as `left`.
#[test]
fn seeds_replace_a_store_that_is_down() {
    let store = start_store();
    let (first, second) = (echo(), echo());
    let mut leaving = support::Daemon::start_callee(&first, &settings(&store));
    leaving.wait_ready();
    declare(&[&leaving]);
    store.fault(&json!({"kind": "down"}));
    let with_seed = format!(r#"{},"seeds":["{}"]"#, settings(&store), leaving.peer);
    let remaining = support::Daemon::start_callee(&second, &with_seed);
    let entry = support::Daemon::start("entry", &with_seed);
    for daemon in [&leaving, &remaining, &entry] {
        wait_state(daemon, "up", 3);
    }
    leaving.terminate();
    wait_state(&entry, "up", 2);
    count_calls(&first);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("{number}")), 200);
    }
    assert_eq!((count_calls(&first), count_calls(&second)), (0, 20));
    assert_eq!(leaving.exit_code(), Some(0));
    wait_state(&entry, "left", 1);
}
