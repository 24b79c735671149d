//! Starts a daemon and runs it until a signal arrives.

use std::hint;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;

use damasktrack_entity::request_identity;
use damasktrack_settings::daemon_settings;

use crate::api::api_server;
use crate::backend::backend_client;
use crate::call::control_traffic;
use crate::core::core_command;
use crate::core::core_thread;
use crate::core::member_sync;
use crate::core::node_core;
use crate::core::node_effects;
use crate::core::node_metrics;
use crate::core::request_owner;
use crate::entry::entry_server;
use crate::entry::peer_server;
use crate::members::background_checks;
use crate::members::config_sync;
use crate::members::member_jobs;
use crate::members::store_worker;
use crate::peer::peer_client;
use crate::process::graceful_shutdown;
use crate::process::node_logs;
use crate::shared::node_shared;
use crate::store::store_client;
use crate::transport::gossip_socket;
use crate::transport::worker_pool;

/// Addresses on which the daemon listens. They differ from the settings where those specify port 0.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address for callers and the local backend server.
    pub entry: net::SocketAddr,
    /// Address for peers.
    pub peer: net::SocketAddr,
    /// Address for operators.
    pub api: net::SocketAddr,
}

/// Why a daemon can't start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum NodeError {
    /// A listener, thread or signal handler can't be set up.
    #[display("{_0}")]
    Io(io::Error),
    /// The metrics can't be set up.
    #[display("{_0}")]
    Metrics(node_metrics::MetricsError),
}

/// Maximum number of ports that are tried if the settings specify port 0.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Size of the block with which [`keep_freed_memory`] raises the thresholds of the allocator; larger than the buffers
/// of one response.
const THRESHOLD_BLOCK_BYTES: usize = 512 << 10;

/// Makes the C library retain up to 1 MiB of freed memory in each arena. glibc returns freed memory above a threshold
/// to the system. The threshold is initially 128 KiB, at which each response of 200 KB causes hundreds of page faults;
/// it becomes twice the size of the largest block that was mapped and freed.
fn keep_freed_memory() {
    let block: Vec<u8> = Vec::with_capacity(THRESHOLD_BLOCK_BYTES);
    drop(hint::black_box(block));
}

/// Runs a daemon until SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the daemon can't start.
pub fn run(settings: daemon_settings::DaemonSettings) -> Result<graceful_shutdown::ShutdownResult, NodeError> {
    run_with(settings, |_addresses| {})
}

/// Like [`run`], but calls `on_listening` with the addresses once all listeners are open.
///
/// # Errors
/// Returns an error if the daemon can't start.
pub fn run_with(
    settings: daemon_settings::DaemonSettings,
    on_listening: impl FnOnce(ListenAddresses),
) -> Result<graceful_shutdown::ShutdownResult, NodeError> {
    keep_freed_memory();
    node_logs::start(&settings.log_level);
    // The signal handler is installed before any listener opens, so that an early signal is not lost.
    let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    let (peer_server, gossip) = bind_peer(&settings)?;
    let api_server = api_server::ApiServer::bind(settings.api_listen, settings.stall_timeout)?;
    let entry_listener = entry_server::bind(settings.entry_listen, settings.stall_timeout)?;
    let (member_queue, member_work) = mpsc::channel();
    let members = MemberEndpoints {
        socket: gossip.clone(),
        jobs: member_queue,
    };
    let (shared, store_jobs) = build(settings, peer_server.address(), members)?;
    store_worker::start(&shared, &store_jobs)?;
    member_jobs::start(&shared, member_work)?;
    let core = shared.core.clone();
    gossip.start(move |datagram| {
        let command = member_sync::MemberCommand::Datagram(datagram);
        core.send(core_command::CoreCommand::Member(command));
    })?;
    peer_server.start(&shared);
    api_server.start(&shared)?;
    let entry = entry_server::EntryServer::start(entry_listener, sync::Arc::clone(&shared))?;
    background_checks::start(&shared)?;
    config_sync::start(&shared)?;
    let addresses = ListenAddresses {
        entry: entry.address(),
        peer: peer_server.address(),
        api: api_server.address(),
    };
    log::info!(entry:% = addresses.entry, peer:% = addresses.peer, api:% = addresses.api; "listening");
    on_listening(addresses);
    let _signal = signals.forever().next();
    Ok(graceful_shutdown::run(&shared, &entry))
}

/// I/O endpoints of the membership in the core.
struct MemberEndpoints {
    socket: gossip_socket::GossipSocket,
    jobs: mpsc::Sender<member_sync::MemberJob>,
}

/// Binds the listener for peers (TCP) and the gossip socket (UDP) to the same port.
fn bind_peer(
    settings: &daemon_settings::DaemonSettings,
) -> io::Result<(peer_server::PeerServer, gossip_socket::GossipSocket)> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let server = peer_server::PeerServer::bind(settings.peer_listen, settings.stall_timeout)?;
        match gossip_socket::GossipSocket::bind(server.address()) {
            Ok(gossip) => return Ok((server, gossip)),
            // The port that the system chose for TCP is in use for UDP.
            Err(_in_use) if settings.peer_listen.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}

fn build(
    settings: daemon_settings::DaemonSettings,
    peer_address: net::SocketAddr,
    members: MemberEndpoints,
) -> Result<(sync::Arc<node_shared::NodeShared>, request_owner::StoreJobs), NodeError> {
    let identity = request_identity::RequestOwner {
        daemon_id: settings.daemon_id.clone(),
        incarnation: request_owner::random_id(),
    };
    let store = settings
        .store_address
        .map(|address| sync::Arc::new(store_client::StoreClient::new(address)));
    let peers = sync::Arc::new(peer_client::PeerClient::default());
    let traffic = control_traffic::ControlTraffic {
        gossip: sync::Arc::clone(members.socket.bytes()),
        configuration: sync::Arc::clone(peers.config_bytes()),
        store: store
            .as_ref()
            .map_or_else(Default::default, |store| sync::Arc::clone(store.bytes())),
        exchange: sync::Arc::default(),
    };
    let metrics = node_metrics::NodeMetrics::new(&traffic)?;
    let backend = settings
        .backend_server
        .clone()
        .map(|backend| sync::Arc::new(backend_client::BackendClient::new(backend)));
    let effects = node_effects::NodeEffects::new(identity.clone(), sync::Arc::clone(&peers), backend.clone());
    let members = member_sync::MemberSync::new(&settings, &identity, peer_address, members.socket, members.jobs);
    let (queue, store_jobs) = request_owner::StoreQueue::new(store.is_some());
    let core = node_core::NodeCore::new(
        &settings,
        identity.clone(),
        effects.clone(),
        metrics.clone(),
        members,
        queue,
    );
    let shared = node_shared::NodeShared {
        pool: worker_pool::WorkerPool::new("call", settings.max_calls),
        settings,
        identity,
        peer_address,
        core: core_thread::start(core)?,
        effects,
        peers,
        backend,
        store,
        metrics,
        traffic,
        peer_requests: atomic::AtomicUsize::new(0),
        draining: atomic::AtomicBool::new(false),
        // The first id is below 2^63, so that the ids of a process never wrap.
        next_call: atomic::AtomicU64::new(request_owner::random_id() >> 1),
    };
    Ok((sync::Arc::new(shared), store_jobs))
}
