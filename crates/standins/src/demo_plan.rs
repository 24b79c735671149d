//! What a demonstration starts: servers, their settings and the load.

use std::collections;
use std::io;
use std::net;

use serde_json::json;

use crate::load_mix;

/// A server: a daemon with its backend server.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoServer {
    /// Service of the backend server.
    pub service: String,
    /// Region of the VM.
    pub region: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Slots of the backend server.
    pub slots: u32,
    /// Minimum service time in milliseconds.
    pub service_ms: f64,
    /// Maximum time in milliseconds that is added to the service time.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Service times of classes that differ.
    #[serde(default)]
    pub class_ms: collections::BTreeMap<String, f64>,
    /// Calls to the next services.
    #[serde(default)]
    pub next: Vec<String>,
}

/// Rate and length of the load.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoLoad {
    /// Requests per second.
    pub rate: f64,
    /// Length of the run.
    pub seconds: f64,
}

/// A demonstration, as `examples/*-demo.json` describe them.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemoPlan {
    /// The servers.
    pub servers: Vec<DemoServer>,
    /// Paths at backend servers whose requests may run at most once.
    pub actions: Vec<String>,
    /// Rate and length of the load.
    pub load: DemoLoad,
    /// Requests of the load.
    pub mix: load_mix::LoadMix,
}

/// Addresses of one server.
#[derive(Clone, Copy, Debug)]
pub struct DemoAddresses {
    /// Entry of the daemon, for callers and the local backend server.
    pub entry: net::SocketAddr,
    /// Peer port of the daemon, for TCP and UDP.
    pub peer: net::SocketAddr,
    /// API of the daemon, for operators.
    pub api: net::SocketAddr,
    /// Backend server.
    pub backend: net::SocketAddr,
}

/// Finds free ports. All sockets stay bound until every port is found, so that no port is returned twice.
///
/// # Errors
/// Returns the error of a socket.
pub fn find_addresses(count: usize) -> io::Result<Vec<DemoAddresses>> {
    let mut held = Vec::new();
    let mut all = Vec::new();
    for _ in 0..count {
        let mut found = Vec::new();
        while found.len() < 4 {
            let tcp = net::TcpListener::bind("127.0.0.1:0")?;
            let address = tcp.local_addr()?;
            // The peer port is used for TCP and UDP.
            if let Ok(udp) = net::UdpSocket::bind(address) {
                found.push(address);
                held.push((tcp, udp));
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

/// Returns the settings of a server's daemon. It names no seeds: the daemons find each other through the store.
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

/// Returns the name of a server's daemon.
#[must_use]
pub fn name(plan: &DemoPlan, index: usize) -> String {
    format!("{}-{index}", plan.servers[index].service)
}

/// Returns the arguments of a server's backend server.
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
