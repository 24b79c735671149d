//! Cluster of three daemons with the stand-ins for the store and the backend server, all as processes.

use std::io;
use std::io::BufRead;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use serde_json::json;

use crate::support;

/// Key of the operator in the settings of all daemons.
const KEY: &str = "operator-key";
/// SHA-256 digest of [`KEY`], as the settings hold it.
pub const KEY_SHA256: &str = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

/// Stand-in process; killed when dropped.
pub struct StandIn {
    child: process::Child,
    pub address: net::SocketAddr,
}

impl StandIn {
    pub fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = process::Command::new(program_path(program))
            .arg("--listen")
            .arg("127.0.0.1:0")
            .args(arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        io::BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        Self { child, address }
    }

    pub fn fault(&self, rule: &serde_json::Value) {
        let response = exchange(self.address, "POST", "/control/fault", "", &rule.to_string());
        assert!(response.0 < 300, "{response:?}");
    }

    pub fn get(&self, path: &str) -> serde_json::Value {
        exchange(self.address, "GET", path, "", "").1
    }

    /// Returns the highest number of executions that any pair of request id and path has.
    pub fn max_executions(&self) -> u64 {
        self.get("/control/executions")["max"].as_u64().unwrap()
    }

    /// Returns the number of executions of a request id, over all paths.
    pub fn executions_of(&self, id: &str) -> u64 {
        let report = self.get(&format!("/control/executions?id={id}"));
        let paths = report["request"].as_object().unwrap();
        paths.values().map(|count| count.as_u64().unwrap()).sum()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Builds the stand-ins once and returns the path of one. Cargo builds only the programs of the tested package for its
/// tests, and the stand-ins belong to another package.
fn program_path(program: &str) -> path::PathBuf {
    static BUILT: sync::Once = sync::Once::new();
    let daemon = path::Path::new(env!("CARGO_BIN_EXE_damasktrackd"));
    BUILT.call_once(|| {
        let mut build = process::Command::new(env!("CARGO"));
        build.args([
            "build",
            "--locked",
            "--quiet",
            "--bins",
            "--package",
            "damasktrack-standins",
        ]);
        if daemon.parent().is_some_and(|parent| parent.ends_with("release")) {
            build.arg("--release");
        }
        build.current_dir(env!("CARGO_MANIFEST_DIR"));
        assert!(build.status().unwrap().success());
    });
    daemon.with_file_name(program)
}

/// Sends a request on a new connection and returns the status and the JSON body, or null if the body is not JSON.
pub fn exchange(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    header: &str,
    body: &str,
) -> (u16, serde_json::Value) {
    let response = support::Caller::open(address)
        .exchange(method, path, header, body.as_bytes())
        .unwrap();
    let body = serde_json::from_slice(&response.body).unwrap_or(serde_json::Value::Null);
    (response.status, body)
}

/// Sends a request to the API of a daemon with the key of the operator. A non-empty `id` is the change id.
pub fn operate(daemon: &support::Daemon, method: &str, path: &str, id: &str, body: &str) -> (u16, serde_json::Value) {
    exchange(daemon.api, method, path, &operator_header(id), body)
}

pub fn operator_header(id: &str) -> String {
    let key = format!("Authorization: Bearer {KEY}\r\n");
    if id.is_empty() {
        key
    } else {
        format!("{key}Idempotency-Key: {id}\r\n")
    }
}

/// Returns the revision in force at a daemon.
pub fn revision(daemon: &support::Daemon) -> u64 {
    exchange(daemon.api, "GET", "/ready", "", "").1["revision"]
        .as_u64()
        .unwrap()
}

/// Returns the JSON of a tenant resource.
pub fn tenant(name: &str, weight: u64) -> serde_json::Value {
    json!({"kind": "Tenant", "name": name, "spec": {"weight": weight}})
}

/// Result of a filing for its caller. If the connection fails, the status is 0 and the outcome `broken`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilingResult {
    pub status: u16,
    pub outcome: String,
    pub body: Vec<u8>,
}

/// Store, backend server of the service `permits`, and daemons. The first daemon is the callee daemon of the backend
/// server.
pub struct Cluster {
    pub store: StandIn,
    pub backend: StandIn,
    pub daemons: Vec<support::Daemon>,
    peers: Vec<net::SocketAddr>,
}

impl Cluster {
    /// Starts three daemons, declares the resources and waits until they are in force everywhere.
    pub fn start(service_ms: u64, deadline_ms: u64) -> Self {
        let mut cluster = Self {
            store: StandIn::start("standin-store", &[]),
            backend: StandIn::start(
                "standin-backend",
                &["--service-ms", &service_ms.to_string(), "--slots", "40"],
            ),
            daemons: Vec::new(),
            peers: peer_addresses(4),
        };
        for index in 0..3 {
            let daemon = cluster.start_daemon(index);
            cluster.daemons.push(daemon);
        }
        for daemon in &cluster.daemons {
            wait_ready(daemon);
            support::wait_for("the daemons to list each other", || {
                let list = operate(daemon, "GET", "/v1/daemons", "", "").1;
                (list["items"].as_array()?.len() == 3).then_some(())
            });
        }
        let class = |name: &str, method: &str, critical: bool| {
            json!({"kind": "Class", "name": name, "spec": {
                "importance": if critical { 15 } else { 5 }, "critical": critical, "idempotent": !critical,
                "chain": "short", "routes": [{"service": "permits", "method": method, "path_prefix": "/"}]}})
        };
        let resources = json!({"resources": [
            {"kind": "Service", "name": "permits", "spec": {"slots": 40}},
            {"kind": "Chain", "name": "short",
             "spec": {"max_depth": 4, "deadline_ms": deadline_ms, "retry_allowance": 2}},
            class("filing", "POST", true), class("query", "GET", false)]});
        let response = operate(
            &cluster.daemons[0],
            "POST",
            "/v1/apply",
            "declare",
            &resources.to_string(),
        );
        assert_eq!(response.0, 200, "{response:?}");
        cluster.wait_revision(1);
        cluster.wait_members();
        cluster
    }

    /// Starts the daemon with this index; its seeds are the first three daemons without itself.
    pub fn start_daemon(&self, index: usize) -> support::Daemon {
        let seeds: Vec<_> = (0..3)
            .filter(|other| *other != index)
            .map(|other| self.peers[other].to_string())
            .collect();
        let peer = self.peers[index].to_string();
        let operators = json!([{"name": "maja", "role": "admin", "key_sha256": KEY_SHA256}]);
        let mut extra = format!(
            r#","seeds":{},"store_address":"{}","operators":{operators}"#,
            json!(seeds),
            self.store.address
        );
        if index == 0 {
            let address = self.backend.address;
            let backend = json!({"address": address.to_string(), "slots": 40});
            extra = format!(r#"{extra},"service":"permits","backend_server":{backend}"#);
        }
        support::Daemon::start_at(&format!("d{index}"), &peer, &extra)
    }

    /// Waits until all daemons list all others as up and have written their rows of the table `members`, so that faults of
    /// a test affect none of these writes.
    fn wait_members(&self) {
        let count = self.daemons.len();
        for daemon in &self.daemons {
            support::wait_for("all members to be up", || {
                let list = operate(daemon, "GET", "/v1/daemons", "", "").1;
                let items = list["items"].as_array().into_iter().flatten();
                (items.filter(|item| item["status"]["state"] == "up").count() == count).then_some(())
            });
        }
        support::wait_for("the rows of all members", || {
            let list = self.store.get("/table/list?table=members&prefix=&after=&limit=100");
            (list["rows"].as_array()?.len() == count).then_some(())
        });
    }

    pub fn wait_revision(&self, wanted: u64) {
        for daemon in &self.daemons {
            support::wait_for("the revision to be in force", || {
                (revision(daemon) >= wanted).then_some(())
            });
        }
    }

    /// Returns a request id issued by a daemon.
    pub fn issue(&self, daemon: usize) -> String {
        let entry = self.daemons[daemon].entry;
        let response = exchange(entry, "POST", "/damasktrack/v1/request-ids", "", "");
        assert_eq!(response.0, 200);
        response.1["request_id"].as_str().unwrap().to_owned()
    }

    /// Sends a filing with a request id through a daemon.
    pub fn send_filing(&self, daemon: usize, id: &str) -> FilingResult {
        send_filing(self.daemons[daemon].entry, id)
    }

    /// Sends filings with the same request id through several daemons concurrently.
    pub fn send_filings(&self, daemons: &[usize], id: &str) -> Vec<FilingResult> {
        let filings: Vec<_> = daemons
            .iter()
            .map(|daemon| start_filing(self.daemons[*daemon].entry, id))
            .collect();
        filings.into_iter().map(|filing| filing.join().unwrap()).collect()
    }

    pub fn wait_execution(&self, id: &str) {
        support::wait_for("the execution to start", || {
            (self.backend.executions_of(id) > 0).then_some(())
        });
    }
}

pub fn wait_ready(daemon: &support::Daemon) {
    support::wait_for("the daemon to be ready", || {
        (exchange(daemon.api, "GET", "/ready", "", "").0 == 200).then_some(())
    });
}

/// Sends a filing on a new thread.
pub fn start_filing(entry: net::SocketAddr, id: &str) -> thread::JoinHandle<FilingResult> {
    let id = id.to_owned();
    thread::spawn(move || send_filing(entry, &id))
}

fn send_filing(entry: net::SocketAddr, id: &str) -> FilingResult {
    let header = format!("Idempotency-Key: {id}\r\n");
    let response = support::Caller::open(entry).exchange("POST", "/permits/file", &header, b"calf 7");
    match response {
        Ok(response) => FilingResult {
            status: response.status,
            outcome: support::header_value(&response.header, "damasktrack-outcome")
                .unwrap_or_default()
                .to_owned(),
            body: response.body,
        },
        Err(_failed) => FilingResult {
            status: 0,
            outcome: "broken".to_owned(),
            body: Vec::new(),
        },
    }
}

/// Returns free peer addresses, for daemons whose seeds are set before any of them starts. Each call uses its own
/// loopback address, so that no other socket takes one of the ports before its daemon does.
pub fn peer_addresses(count: usize) -> Vec<net::SocketAddr> {
    static NEXT_HOST: atomic::AtomicU8 = atomic::AtomicU8::new(2);
    let [_, _, high, low] = process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, atomic::Ordering::Relaxed);
    let address = net::Ipv4Addr::new(127, high, low, host);
    let listeners: Vec<_> = (0..count)
        .map(|_| net::TcpListener::bind((address, 0)).unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}
