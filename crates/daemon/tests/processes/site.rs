//! Scripted backend servers of several services, a daemon beside each, an entry daemon and a store.

use std::net;
use std::sync;
use std::thread;

use serde_json::json;

use crate::cluster;
use crate::support;

/// Backend server of a service.
pub struct SiteServer {
    pub service: &'static str,
    pub slots: u32,
    pub backend: support::BackendServer,
}

/// Daemons that know each other, with resources in force.
pub struct Site {
    _store: cluster::StandIn,
    pub backends: Vec<support::BackendServer>,
    /// Daemon beside each backend server.
    pub daemons: Vec<support::Daemon>,
    pub entry: support::Daemon,
}

impl Site {
    /// Starts all daemons, declares the resources and waits until they are in force.
    pub fn start(servers: Vec<SiteServer>, resources: &serde_json::Value) -> Self {
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
        let start = |index: usize, server: &SiteServer| {
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
            support::wait_for("all daemons to be known", || {
                let listed = cluster::operate(daemon, "GET", "/v1/daemons", "", "").1;
                let count = listed["items"].as_array().map_or(0, Vec::len);
                (count == peers.len()).then_some(())
            });
        }
        let answer = cluster::operate(&entry, "POST", "/v1/apply", "declare", &resources.to_string());
        assert_eq!(answer.0, 200, "{answer:?}");
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

    /// Returns the sum of a metric of the entry daemon.
    pub fn metric(&self, name: &str) -> f64 {
        let response = support::Caller::open(self.entry.api).exchange("GET", "/metrics", "", b"");
        let text = String::from_utf8(response.unwrap().body).unwrap();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
            .sum()
    }
}

/// A class, as a resource.
pub fn class(name: &str, importance: u8, idempotent: bool, lane: &str, routes: &[(&str, &str)]) -> serde_json::Value {
    let routes: Vec<_> = routes
        .iter()
        .map(|(service, prefix)| json!({"service": service, "method": "*", "path_prefix": prefix}))
        .collect();
    json!({"kind": "Class", "name": name, "spec": {
        "importance": importance, "critical": importance == 15, "idempotent": idempotent, "lane": lane,
        "chain": "chain", "routes": routes}})
}

/// Services, the chain and classes, as the body of an apply request.
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

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    pub path: String,
    pub status: u16,
    pub outcome: String,
}

/// Makes one call.
pub fn call(caller: &mut support::Caller, method: &str, path: &str) -> CallEnd {
    let response = caller.exchange(method, path, "", b"").unwrap();
    CallEnd {
        path: path.to_owned(),
        status: response.status,
        outcome: support::header_value(&response.header, "damasktrack-outcome")
            .unwrap_or_default()
            .to_owned(),
    }
}

/// Makes calls from several threads, each on a connection of its own and one after the other; `path` gets the numbers
/// of thread and call.
pub fn call_all(
    entry: net::SocketAddr,
    threads: usize,
    calls: usize,
    method: &'static str,
    path: impl Fn(usize, usize) -> String + Send + Sync + 'static,
) -> Vec<thread::JoinHandle<Vec<CallEnd>>> {
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

pub fn join_all(threads: Vec<thread::JoinHandle<Vec<CallEnd>>>) -> Vec<CallEnd> {
    threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}
