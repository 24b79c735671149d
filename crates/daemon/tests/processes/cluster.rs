//! A store, a backend server and three daemons as processes that know each other.

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

/// Operator key, and its digest as the settings hold it.
const KEY: &str = "operator-key";
pub const KEY_SHA256: &str = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

/// Stand-in as a process; killed when dropped.
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
        let answer = exchange(self.address, "POST", "/control/fault", "", &rule.to_string());
        assert!(answer.0 < 300, "{answer:?}");
    }

    pub fn get(&self, path: &str) -> serde_json::Value {
        exchange(self.address, "GET", path, "", "").1
    }

    /// Returns the most executions of one request id and path.
    pub fn max_executions(&self) -> u64 {
        self.get("/control/executions")["max"].as_u64().unwrap()
    }

    /// Returns the executions of a request id.
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

/// Returns the path of a stand-in and builds it first, since cargo builds only the own programs of a package for its
/// tests.
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

/// Sends a request on a new connection and returns status and JSON body.
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

/// Sends a request of an operator.
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

/// Returns the revision in force.
pub fn revision(daemon: &support::Daemon) -> u64 {
    exchange(daemon.api, "GET", "/ready", "", "").1["revision"]
        .as_u64()
        .unwrap()
}

/// A tenant with a weight, as a resource.
pub fn tenant(name: &str, weight: u64) -> serde_json::Value {
    json!({"kind": "Tenant", "name": name, "spec": {"weight": weight}})
}

/// How a filing ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilingEnd {
    pub status: u16,
    pub outcome: String,
    pub body: Vec<u8>,
}

/// Store, backend server of the service `permits`, and daemons. The first daemon is beside the backend server.
pub struct Cluster {
    pub store: StandIn,
    pub backend: StandIn,
    pub daemons: Vec<support::Daemon>,
    peers: Vec<net::SocketAddr>,
}

impl Cluster {
    /// Starts three daemons, declares the service and waits until all have it in force.
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
            support::wait_for("the daemons to know each other", || {
                let known = operate(daemon, "GET", "/v1/daemons", "", "").1;
                (known["items"].as_array()?.len() == 3).then_some(())
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
        let answer = operate(
            &cluster.daemons[0],
            "POST",
            "/v1/apply",
            "declare",
            &resources.to_string(),
        );
        assert_eq!(answer.0, 200, "{answer:?}");
        cluster.wait_revision(1);
        cluster
    }

    /// Starts the daemon with this index, which knows the addresses of all.
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

    pub fn wait_revision(&self, wanted: u64) {
        for daemon in &self.daemons {
            support::wait_for("the revision to be in force", || {
                (revision(daemon) >= wanted).then_some(())
            });
        }
    }

    /// Returns a request id that a daemon issued.
    pub fn issue(&self, daemon: usize) -> String {
        let entry = self.daemons[daemon].entry;
        let answer = exchange(entry, "POST", "/damasktrack/v1/request-ids", "", "");
        assert_eq!(answer.0, 200);
        answer.1["request_id"].as_str().unwrap().to_owned()
    }

    /// Files under a request id through a daemon.
    pub fn file(&self, daemon: usize, id: &str) -> FilingEnd {
        file(self.daemons[daemon].entry, id)
    }

    /// Files through several daemons at once.
    pub fn file_through(&self, daemons: &[usize], id: &str) -> Vec<FilingEnd> {
        let filings: Vec<_> = daemons
            .iter()
            .map(|daemon| start_filing(self.daemons[*daemon].entry, id))
            .collect();
        filings.into_iter().map(|filing| filing.join().unwrap()).collect()
    }

    pub fn wait_execution(&self, id: &str) {
        support::wait_for("the execution to begin", || {
            (self.backend.executions_of(id) > 0).then_some(())
        });
    }
}

pub fn wait_ready(daemon: &support::Daemon) {
    support::wait_for("the daemon to be ready", || {
        (exchange(daemon.api, "GET", "/ready", "", "").0 == 200).then_some(())
    });
}

/// Starts a filing on a thread of its own.
pub fn start_filing(entry: net::SocketAddr, id: &str) -> thread::JoinHandle<FilingEnd> {
    let id = id.to_owned();
    thread::spawn(move || file(entry, &id))
}

fn file(entry: net::SocketAddr, id: &str) -> FilingEnd {
    let header = format!("Idempotency-Key: {id}\r\n");
    let response = support::Caller::open(entry).exchange("POST", "/permits/file", &header, b"calf 7");
    match response {
        Ok(response) => FilingEnd {
            status: response.status,
            outcome: support::header_value(&response.header, "damasktrack-outcome")
                .unwrap_or_default()
                .to_owned(),
            body: response.body,
        },
        Err(_broken) => FilingEnd {
            status: 0,
            outcome: "broken".to_owned(),
            body: Vec::new(),
        },
    }
}

/// Returns addresses for daemons that know each other from the start. They lie on a loopback address of their own, so
/// that no other socket takes one of the ports before its daemon does.
pub fn peer_addresses(count: usize) -> Vec<net::SocketAddr> {
    static CLUSTERS: atomic::AtomicU8 = atomic::AtomicU8::new(2);
    let [_, _, high, low] = process::id().to_be_bytes();
    let host = CLUSTERS.fetch_add(1, atomic::Ordering::Relaxed);
    let address = net::Ipv4Addr::new(127, high, low, host);
    let listeners: Vec<_> = (0..count)
        .map(|_| net::TcpListener::bind((address, 0)).unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}
