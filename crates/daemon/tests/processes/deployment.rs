//! Deployment of scripted backend servers of several services, a callee daemon for each, an entry daemon and a store.

use std::net;
use std::sync;
use std::thread;

use serde_json::json;

use crate::cluster;
use crate::support;

/// Backend server to deploy, with its service and its number of slots.
pub struct DeployedServer {
    pub service: &'static str,
    pub slots: u32,
    pub backend: support::BackendServer,
}

/// Daemons that list each other as members and have the declared resources in force.
pub struct Deployment {
    _store: cluster::StandIn,
    pub backends: Vec<support::BackendServer>,
    /// Callee daemons, in the order of `backends`.
    pub daemons: Vec<support::Daemon>,
    pub entry: support::Daemon,
}

impl Deployment {
    /// Starts all daemons, declares the resources and waits until they are in force.
    pub fn start(servers: Vec<DeployedServer>, resources: &serde_json::Value) -> Self {
        let store = cluster::StandIn::start("standin-store", &[]);
        let peers = cluster::peer_addresses(servers.len() + 1);
        let settings = |own: usize| {
            let seeds: Vec<_> = peers.iter().filter(|peer| **peer != peers[own]).collect();
            let operators = json!([{"name": "maja", "role": "admin", "key_sha256": cluster::KEY_SHA256}]);
            format!(
                r#","seeds":{},"store_address":"{}","operators":{operators},"drain_notice_ms":100"#,
                json!(seeds),
                store.address
            )
        };
        let start = |index: usize, server: &DeployedServer| {
            let (service, slots, address) = (server.service, server.slots, server.backend.address);
            let extra = settings(index);
            let extra =
                format!(r#"{extra},"service":"{service}","backend_server":{{"address":"{address}","slots":{slots}}}"#);
            support::Daemon::start_at(&format!("d{index}"), &peers[index].to_string(), &extra)
        };
        let daemons: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| start(index, server))
            .collect();
        let last = servers.len();
        let entry = support::Daemon::start_at("entry", &peers[last].to_string(), &settings(last));
        for daemon in daemons.iter().chain([&entry]) {
            cluster::wait_ready(daemon);
            support::wait_for("the daemons to list each other", || {
                let members = cluster::operate(daemon, "GET", "/v1/daemons", "", "").1;
                let count = members["items"].as_array().map_or(0, Vec::len);
                (count == peers.len()).then_some(())
            });
        }
        let response = cluster::operate(&entry, "POST", "/v1/apply", "declare", &resources.to_string());
        assert_eq!(response.0, 200, "{response:?}");
        for daemon in daemons.iter().chain([&entry]) {
            support::wait_for("the resources to be in force", || {
                (cluster::revision(daemon) >= 1).then_some(())
            });
        }
        Self {
            _store: store,
            backends: servers.into_iter().map(|server| server.backend).collect(),
            daemons,
            entry,
        }
    }

    /// Returns the sum of all series of the entry daemon whose name starts with `name`.
    pub fn metric(&self, name: &str) -> f64 {
        let response = support::Caller::open(self.entry.api).exchange("GET", "/metrics", "", b"");
        let text = String::from_utf8(response.unwrap().body).unwrap();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
            .sum()
    }
}

/// Returns the JSON of a class resource. Importance 15 makes the class critical.
pub fn class(name: &str, importance: u8, idempotent: bool, lane: &str, routes: &[(&str, &str)]) -> serde_json::Value {
    let routes: Vec<_> = routes
        .iter()
        .map(|(service, prefix)| json!({"service": service, "method": "*", "path_prefix": prefix}))
        .collect();
    json!({"kind": "Class", "name": name, "spec": {
        "importance": importance, "critical": importance == 15, "idempotent": idempotent, "lane": lane,
        "chain": "chain", "routes": routes}})
}

/// Returns the body of an apply request that declares the services, the chain `chain` and the classes.
pub fn resources(services: &[(&str, u32)], classes: &[serde_json::Value]) -> serde_json::Value {
    let mut list: Vec<_> = services
        .iter()
        .map(|(name, slots)| json!({"kind": "Service", "name": name, "spec": {"slots": slots}}))
        .collect();
    let chain = json!({"max_depth": 8, "deadline_ms": 10_000, "retry_allowance": 2});
    list.push(json!({"kind": "Chain", "name": "chain", "spec": chain}));
    list.extend_from_slice(classes);
    json!({ "resources": list })
}

/// Result of a call for its caller. The outcome is empty if the response has no outcome header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    pub path: String,
    pub status: u16,
    pub outcome: String,
}

/// Makes a call with an empty body. Panics if the connection fails or the response is truncated.
pub fn call(caller: &mut support::Caller, method: &str, path: &str) -> CallResult {
    let response = caller.exchange(method, path, "", b"").unwrap();
    CallResult {
        path: path.to_owned(),
        status: response.status,
        outcome: support::header_value(&response.header, "damasktrack-outcome")
            .unwrap_or_default()
            .to_owned(),
    }
}

/// Makes calls on several threads. Each thread has its own connection and sends its calls in sequence; `path` is given
/// the indexes of the thread and of the call.
pub fn call_all(
    entry: net::SocketAddr,
    threads: usize,
    calls: usize,
    method: &'static str,
    path: impl Fn(usize, usize) -> String + Send + Sync + 'static,
) -> Vec<thread::JoinHandle<Vec<CallResult>>> {
    let path = sync::Arc::new(path);
    (0..threads)
        .map(|thread| {
            let path = sync::Arc::clone(&path);
            thread::spawn(move || {
                let mut caller = support::Caller::open(entry);
                (0..calls)
                    .map(|number| call(&mut caller, method, &path(thread, number)))
                    .collect()
            })
        })
        .collect()
}

pub fn join_all(threads: Vec<thread::JoinHandle<Vec<CallResult>>>) -> Vec<CallResult> {
    threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}
