//! Plan of a demonstration, and the settings and arguments of its processes.

use std::collections;
use std::io;
use std::net;

use serde_json::json;

use crate::load_mix;

/// Server of a demonstration: a daemon with its backend server.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoServer {
    /// Name of the service that the backend server provides.
    pub service: String,
    /// Region of the VM.
    pub region: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Number of slots of the backend server.
    pub slots: u32,
    /// Minimum service time in milliseconds.
    pub service_ms: f64,
    /// Maximum time in milliseconds that is added to the service time.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Service time by class, in milliseconds; replaces `service_ms` for that class.
    #[serde(default)]
    pub class_ms: collections::BTreeMap<String, f64>,
    /// Calls that the backend server makes to the next services, in the syntax of
    /// [`parse_rule`](crate::next_call::parse_rule).
    #[serde(default)]
    pub next: Vec<String>,
}

/// Rate and duration of the load.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoLoad {
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load in seconds.
    pub seconds: f64,
}

/// Plan of a demonstration, as in `examples/*-demo.json`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoPlan {
    /// Servers, each with its own daemon and backend server process.
    pub servers: Vec<DemoServer>,
    /// Paths at backend servers whose requests may run at most once.
    pub actions: Vec<String>,
    /// Rate and duration of the load.
    pub load: DemoLoad,
    /// Requests of the load; one of each kind is also sent before the load.
    pub mix: load_mix::LoadMix,
}

/// Loopback addresses of one server.
#[derive(Clone, Copy, Debug)]
pub struct DemoAddresses {
    /// Entry listener of the daemon, for callers and the local backend server.
    pub entry: net::SocketAddr,
    /// Peer port of the daemon, for TCP and UDP.
    pub peer: net::SocketAddr,
    /// API listener of the daemon, for operators.
    pub api: net::SocketAddr,
    /// Listener of the backend server.
    pub backend: net::SocketAddr,
}

/// Finds free ports for `count` servers. All sockets stay bound until the last port is found, so that no port is
/// returned twice.
///
/// # Errors
/// Returns an error if a TCP socket can't be bound.
pub fn find_addresses(count: usize) -> io::Result<Vec<DemoAddresses>> {
    let mut sockets = Vec::new();
    let mut all = Vec::new();
    for _ in 0..count {
        let mut found = Vec::new();
        while found.len() < 4 {
            let tcp = net::TcpListener::bind("127.0.0.1:0")?;
            let address = tcp.local_addr()?;
            // The peer port is used for TCP and UDP.
            if let Ok(udp) = net::UdpSocket::bind(address) {
                found.push(address);
                sockets.push((tcp, udp));
            }
        }
        all.push(DemoAddresses {
            entry: found[0],
            peer: found[1],
            api: found[2],
            backend: found[3],
        });
    }
    Ok(all)
}

/// Returns the settings of a server's daemon. They list no seeds: the daemons discover each other through the store.
#[must_use]
pub fn settings(
    plan: &DemoPlan,
    addresses: &[DemoAddresses],
    index: usize,
    store: net::SocketAddr,
    key_sha256: &str,
) -> serde_json::Value {
    let (server, own) = (&plan.servers[index], addresses[index]);
    json!({
        "daemon_id": name(plan, index),
        "region": server.region,
        "data_centre": server.data_centre,
        "service": server.service,
        "entry_listen": own.entry,
        "peer_listen": own.peer,
        "api_listen": own.api,
        "backend_server": { "address": own.backend, "slots": server.slots },
        "store_address": store,
        "operators": [{ "name": "demo", "role": "admin", "key_sha256": key_sha256 }],
        "drain_timeout_ms": 10_000,
    })
}

/// Returns the id of a server's daemon, which is also the name of its backend server.
#[must_use]
pub fn name(plan: &DemoPlan, index: usize) -> String {
    format!("{}-{index}", plan.servers[index].service)
}

/// Returns the command-line arguments of a server's backend server.
#[must_use]
pub fn backend_arguments(plan: &DemoPlan, addresses: &[DemoAddresses], index: usize) -> Vec<String> {
    let (server, own) = (&plan.servers[index], addresses[index]);
    let mut arguments = vec![
        format!("--listen={}", own.backend),
        format!("--daemon={}", own.entry),
        format!("--name={}", name(plan, index)),
        format!("--slots={}", server.slots),
        format!("--service-ms={}", server.service_ms),
        format!("--jitter-ms={}", server.jitter_ms),
        format!("--seed={index}"),
    ];
    arguments.extend(server.next.iter().map(|next| format!("--next={next}")));
    arguments.extend(
        server
            .class_ms
            .iter()
            .map(|(class, time)| format!("--class-ms={class}={time}")),
    );
    arguments
}
