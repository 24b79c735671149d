//! Tests of the commands against a scripted API, as specified in `docs/api.md`.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;

use serde_json::{Value, json};

/// Request that the scripted API received.
#[derive(Debug)]
struct RecordedRequest {
    method: String,
    url: String,
    /// Header `Authorization`.
    authorization: String,
    /// Header `Idempotency-Key`.
    change_id: String,
    /// Header `damasktrack-tenant`.
    tenant: String,
    body: Value,
}

/// API that sends one given response after the other and records the requests. It ends after the last response.
#[derive(Debug)]
struct ScriptedApi {
    address: net::SocketAddr,
    thread: thread::JoinHandle<Vec<RecordedRequest>>,
}

impl ScriptedApi {
    fn start(responses: Vec<(u16, Value)>) -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let thread = thread::spawn(move || {
            let mut requests = Vec::new();
            for (status, body) in responses {
                let mut request = server.recv().unwrap();
                let mut text = String::new();
                request.as_reader().read_to_string(&mut text).unwrap();
                let header = |name: &'static str| {
                    let header = request.headers().iter().find(|header| header.field.equiv(name));
                    header.map(|header| header.value.to_string()).unwrap_or_default()
                };
                requests.push(RecordedRequest {
                    method: request.method().to_string(),
                    url: request.url().to_owned(),
                    authorization: header("Authorization"),
                    change_id: header("Idempotency-Key"),
                    tenant: header("damasktrack-tenant"),
                    body: serde_json::from_str(&text).unwrap_or_default(),
                });
                let response = tiny_http::Response::from_string(body.to_string()).with_status_code(status);
                request.respond(response).unwrap();
            }
            requests
        });
        Self { address, thread }
    }

    fn run(&self, arguments: &[&str]) -> CommandResult {
        let address = self.address.to_string();
        let mut all_arguments = vec!["--api", &address];
        all_arguments.extend(arguments);
        run(&all_arguments)
    }

    /// Waits for the last request and returns all requests.
    fn into_requests(self) -> Vec<RecordedRequest> {
        self.thread.join().unwrap()
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandResult {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the program with a bearer key in its environment.
fn run(arguments: &[&str]) -> CommandResult {
    let output = process::Command::new(env!("CARGO_BIN_EXE_damasktrack"))
        .args(arguments)
        .env("DAMASKTRACK_KEY", "secret-key")
        .env_remove("DAMASKTRACK_API")
        .output()
        .unwrap();
    CommandResult {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a temporary file with a unique name.
fn write_file(content: &Value) -> path::PathBuf {
    static NEXT_NUMBER: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, atomic::Ordering::SeqCst);
    let path = env::temp_dir().join(format!("damasktrack-cli-{}-{number}.json", process::id()));
    fs::write(&path, content.to_string()).unwrap();
    path
}

fn tenants() -> Value {
    json!({ "resources": [
        { "kind": "Tenant", "name": "viborg", "spec": { "weight": 2 } },
        { "kind": "Tenant", "name": "skive", "spec": { "weight": 0 } },
    ]})
}

/// Guards against a request whose method, path, headers or body deviate from the documentation of the API.
#[test]
fn apply_sends_all_resources_as_one_change() {
    let accepted = json!({ "id": "c1", "revision": 42, "dry_run": false, "results": [
        { "kind": "Tenant", "name": "viborg", "result": "created", "version": 42 },
    ]});
    let api = ScriptedApi::start(vec![(200, accepted)]);
    let path = write_file(&tenants());
    let result = api.run(&["apply", path.to_str().unwrap(), "--change-id", "c1"]);
    assert_eq!(result.code, Some(0), "{result:?}");
    assert_eq!(
        result.stdout,
        "Tenant viborg: created (version 42)\nrevision 42, change c1\n"
    );
    let request = &api.into_requests()[0];
    assert_eq!((request.method.as_str(), request.url.as_str()), ("POST", "/v1/apply"));
    assert_eq!(
        (request.authorization.as_str(), request.change_id.as_str()),
        ("Bearer secret-key", "c1")
    );
    assert_eq!(request.body, tenants());
    fs::remove_file(path).unwrap();
}

/// Guards against an `apply` that does not accept the output format of `get`.
#[test]
fn output_of_get_can_be_applied() {
    let resources = json!({ "revision": 3, "items": tenants()["resources"] });
    let accepted = json!({ "id": "c1", "revision": 4, "results": [] });
    let api = ScriptedApi::start(vec![(200, resources), (200, accepted)]);
    let result = api.run(&["get", "tenants"]);
    let path = write_file(&serde_json::from_str(&result.stdout).unwrap());
    assert_eq!(api.run(&["apply", path.to_str().unwrap()]).code, Some(0));
    let requests = api.into_requests();
    assert_eq!(
        (requests[0].url.as_str(), &requests[1].body),
        ("/v1/tenants", &tenants())
    );
    fs::remove_file(path).unwrap();
}

/// Guards against findings whose place refers to the request instead of the operator's file. A finding of a resource
/// that is not in the files keeps the place of the API.
#[test]
fn findings_refer_to_the_file() {
    let invalid = json!({ "error": "1 finding", "findings": [
        { "place": "Tenant/skive.weight", "expected": "1 or more", "found": 0 },
        { "place": "resources[0].spec", "message": "unknown field" },
        { "place": "Class/browse.chain", "message": "not declared" },
    ]});
    let api = ScriptedApi::start(vec![(422, invalid)]);
    let path = write_file(&tenants());
    let result = api.run(&["apply", "--dry-run", path.to_str().unwrap()]);
    let file = path.display();
    let findings = format!(
        "{file}: resources[1].weight (Tenant/skive): expected 1 or more, found 0\n\
         {file}: resources[0].spec: unknown field\n\
         Class/browse.chain: not declared\n"
    );
    assert_eq!(result.code, Some(1));
    assert!(result.stderr.starts_with(&findings), "{}", result.stderr);
    assert_eq!(api.into_requests()[0].url, "/v1/apply?dry_run=true");
    fs::remove_file(path).unwrap();
}

/// Guards against a change with an unknown outcome that is reported as accepted or refused. Status 504 leaves the
/// outcome open, and so does status 404 of the change log.
#[test]
fn unknown_outcome_of_a_change_is_queried() {
    let unknown_outcome = json!({ "error": "the store did not answer", "id": "c2" });
    let change = json!({ "id": "c2", "revision": 7, "operator": "maja", "changes": [
        { "action": "delete", "kind": "Tenant", "name": "skive" },
    ]});
    let api = ScriptedApi::start(vec![(504, unknown_outcome.clone()), (200, change)]);
    let result = api.run(&["delete", "tenant", "skive", "--version", "6", "--change-id", "c2"]);
    assert_eq!(
        (result.code, result.stdout.as_str()),
        (Some(0), "Tenant skive: deleted\nrevision 7, change c2\n")
    );
    let requests = api.into_requests();
    assert_eq!(
        (requests[0].method.as_str(), requests[0].url.as_str()),
        ("DELETE", "/v1/tenants/skive?version=6")
    );
    assert_eq!(requests[1].url, "/v1/changes/c2");

    let api = ScriptedApi::start(vec![
        (504, unknown_outcome),
        (404, json!({ "error": "no such change" })),
    ]);
    let result = api.run(&["delete", "tenant", "skive", "--change-id", "c2"]);
    assert_eq!(result.code, Some(3));
    assert!(result.stderr.contains("damasktrack changes c2"), "{}", result.stderr);
    api.into_requests();
}

/// Guards against failures that exit with 0, are reported without their reason, or print the bearer key.
#[test]
fn failures_are_reported() {
    let cases = [
        (401, json!({ "error": "unknown key" }), "no valid key"),
        (
            409,
            json!({ "error": "changed meanwhile", "current_version": 9 }),
            "the current version is 9",
        ),
        (
            503,
            json!({ "error": "the store is unreachable" }),
            "nothing was changed",
        ),
    ];
    for (status, body, expected) in cases {
        let api = ScriptedApi::start(vec![(status, body)]);
        let result = api.run(&["delete", "tenant", "skive"]);
        assert_eq!(result.code, Some(1), "{status}");
        assert!(result.stderr.contains(expected), "{}", result.stderr);
        assert!(!result.stderr.contains("secret-key"));
        api.into_requests();
    }
    let result = run(&["status"]);
    assert!(
        result.code == Some(1) && result.stderr.contains("no API address"),
        "{result:?}"
    );
    let result = run(&["--api", "127.0.0.1:1", "delete", "tenant", "../x"]);
    assert_eq!(result.code, Some(2), "{result:?}");
}

/// Guards against a `watch` that repeats or skips revisions. After status 410 it starts again at the revision in force.
#[test]
fn watch_continues_after_the_last_revision() {
    let event = |revision: u64| {
        json!({ "id": format!("c{revision}"), "revision": revision, "operator": "maja", "changes": [
            { "action": "put", "kind": "Tenant", "name": "viborg", "version": revision, "spec": { "weight": 2 } },
            { "action": "delete", "kind": "Class", "name": "old" },
        ]})
    };
    let api = ScriptedApi::start(vec![
        (200, json!({ "revision": 5, "events": [] })),
        (410, json!({ "error": "change log truncated" })),
        (200, json!({ "revision": 8, "events": [event(8)] })),
        (200, json!({ "revision": 9, "events": [event(9)] })),
    ]);
    let result = api.run(&["watch", "tenants", "--after", "3", "--count", "2"]);
    assert_eq!(result.code, Some(0), "{result:?}");
    let lines: Vec<Value> = result
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let revisions: Vec<&Value> = lines.iter().map(|line| &line["revision"]).collect();
    assert_eq!(revisions, [&json!(8), &json!(9)]);
    let urls: Vec<String> = api.into_requests().into_iter().map(|request| request.url).collect();
    let after = |text: &str| format!("/v1/watch?{text}timeout_ms=25000");
    assert_eq!(
        urls,
        [after("after=3&"), after("after=5&"), after(""), after("after=8&")]
    );
}

/// Guards against a `status` that exits with 0 while the daemon is not ready, since scripts evaluate the exit code.
#[test]
fn status_fails_while_the_daemon_is_not_ready() {
    let daemons = json!({ "revision": 3, "items": [
        { "kind": "Daemon", "name": "d1", "spec": { "service": "permits", "region": "lahore", "data_centre": "l1" },
          "status": { "state": "up" } },
    ]});
    let not_ready = json!({ "ready": false, "revision": 3, "reasons": ["the configuration is not known yet"] });
    let api = ScriptedApi::start(vec![(503, not_ready), (200, daemons)]);
    let result = api.run(&["status"]);
    assert_eq!(result.code, Some(1));
    assert!(
        result.stdout.contains("not ready: the configuration is not known yet"),
        "{}",
        result.stdout
    );
    assert!(result.stdout.contains("daemons: 1 (1 up)"), "{}", result.stdout);
    api.into_requests();
}

/// Guards against settings findings that are omitted or printed without their place.
#[test]
fn settings_findings_are_printed_one_per_line() {
    let path = write_file(&json!({ "daemon_id": "d1", "region": "r", "entry_listen": "here" }));
    let result = run(&["check-settings", path.to_str().unwrap()]);
    assert_eq!(result.code, Some(1));
    for place in ["data_centre", "entry_listen", "peer_listen", "api_listen"] {
        let start = format!("{}: {place}: ", path.display());
        assert!(
            result.stderr.lines().any(|line| line.starts_with(&start)),
            "{}",
            result.stderr
        );
    }
    fs::remove_file(path).unwrap();
    assert!(run(&["explain-settings"]).stdout.contains("peer_listen"));
}

/// Guards against a view of the quotas without the figures of the daemon, or that sends the operator's key to the
/// metrics endpoint, which needs none.
#[test]
fn quotas_prints_limits_credits_and_refusals() {
    let tenant = json!({
        "name": "viborg", "rate_per_s": 20.0, "burst": 30.0, "window_bound": 163.0, "coordinator": "vm-2",
        "origin": "coordinator", "held": 7, "refused": 12, "last_refusal_s": 3.2,
        "coordinated": { "share": 0.75, "granted": 9, "available": 4.25, "holders": 3 },
    });
    let document = |tenants: Value, matches: u32, left_out: u32| json!({ "daemon": "vm-1", "share": 0.25, "matches": matches, "left_out": left_out, "tenants": tenants });
    let api = ScriptedApi::start(vec![
        (200, document(json!([tenant]), 1, 0)),
        (200, document(json!([]), 1003, 3)),
        (200, document(json!([]), 0, 0)),
        (404, Value::Null),
    ]);
    let address = api.address.to_string();
    let result = run(&["quotas", "--metrics", &address, "viborg"]);
    assert_eq!(result.code, Some(0), "{result:?}");
    let lines: Vec<Vec<&str>> = result
        .stdout
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(
        lines[0].join(" "),
        "daemon vm-1: 1 tenants with a limit, share of the limits 0.2500"
    );
    assert_eq!(lines[2].join(" "), "viborg 20.0 30.0 163 7 12 3 s ago coordinator vm-2");
    assert_eq!(
        lines[3].join(" "),
        "coordinated here: share 0.7500, 9 credits granted to 3 daemons, 4.2 available"
    );
    let result = run(&["quotas", "--metrics", &address]);
    assert!(result.stdout.contains("3 tenants left out"), "{result:?}");
    let result = run(&["quotas", "--metrics", &address, "skive"]);
    assert!(
        result.code == Some(1) && result.stderr.contains("no tenant 'skive'"),
        "{result:?}"
    );
    let result = run(&["quotas", "--metrics", &address]);
    assert!(
        result.code == Some(1) && result.stderr.contains("no bounds for quotas"),
        "{result:?}"
    );
    let requests = api.into_requests();
    assert_eq!(
        (requests[0].url.as_str(), requests[0].tenant.as_str()),
        ("/tenants", "viborg")
    );
    assert!(requests.iter().all(|request| request.authorization.is_empty()));
    assert_eq!(requests[1].tenant, "");
}
