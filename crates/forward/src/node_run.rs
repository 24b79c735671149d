//! Startup, main loop and graceful shutdown of a daemon.

use std::io;
use std::rc;
use std::time;

use bytes::Bytes;
use damasktrack_pipeline::byte_account;
use damasktrack_pipeline::request_order;
use damasktrack_pipeline::server_connection;
use hyper::header;
use rand::RngExt;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio::task;

use crate::config_check;
use crate::core_handle;
use crate::crash_watch;
use crate::entry_call;
use crate::forward_core;
use crate::forward_metrics;
use crate::forward_settings;
use crate::http_server;
use crate::member_tasks;
use crate::message_body;
use crate::node_context;
use crate::peer_server;
use crate::quarantine_tasks;
use crate::quota_view;
use crate::stall_watch;
use crate::stop_schedule;
use crate::store_port;

/// Interval at which a stopping daemon polls whether all requests have ended.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval at which idle connections are closed and gauges are updated.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Shortest time between two log lines about the bounds of the account.
const BOUND_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Limits of callers' connections while no configuration is in force.
const DEFAULT_LIMITS: server_connection::ConnectionLimits = server_connection::ConnectionLimits {
    idle_timeout: time::Duration::from_mins(1),
    header_timeout: time::Duration::from_secs(10),
    max_header_bytes: 64 * 1024,
};

/// Why a daemon can't run.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum RunError {
    /// The runtime, a socket or a signal handler can't be set up.
    #[display("daemon can't start: {_0}")]
    Io(io::Error),
    /// The metrics exporter can't be built.
    #[display("{_0}")]
    Metrics(forward_metrics::MetricsError),
}

/// Runs a daemon until SIGTERM or until another process with its id supersedes it. `serve_platform` starts further
/// tasks, such as the listener for heartbeats.
///
/// # Errors
/// Returns an error if the runtime, the metrics, a socket or a signal handler can't be set up.
pub fn run(
    settings: forward_settings::ForwardSettings,
    port: store_port::StorePort,
    serve_platform: impl FnOnce(&rc::Rc<node_context::NodeContext>) -> io::Result<()>,
) -> Result<(), RunError> {
    // A `LocalSet` would poll the main task, with its signals, on each wake-up of any other task.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())?;
    runtime.block_on(start(settings, port, serve_platform))
}

async fn start(
    settings: forward_settings::ForwardSettings,
    port: store_port::StorePort,
    serve_platform: impl FnOnce(&rc::Rc<node_context::NodeContext>) -> io::Result<()>,
) -> Result<(), RunError> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let settings = rc::Rc::new(settings);
    let started_ms = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
    let (effects, effect_queue) = mpsc::unbounded_channel();
    let incarnation = rand::rng().random();
    let now = time::Instant::now();
    let core = forward_core::ForwardCore::new(
        rc::Rc::clone(&settings),
        effects,
        started_ms,
        incarnation,
        now,
        stall_watch::boot_time(),
    );
    let core = core_handle::start(core);
    let metrics = forward_metrics::ForwardMetrics::new()?;
    let node = node_context::NodeContext::new(rc::Rc::clone(&settings), core, metrics);
    let socket = rc::Rc::new(tokio::net::UdpSocket::bind(settings.peer_listen).await?);
    let callers = http_server::ServerControl::default();
    serve_callers(&node, &callers)?;
    serve_peers(&node)?;
    serve_status(&node)?;
    serve_platform(&node)?;
    let port = rc::Rc::new(port);
    let core = node.core.clone();
    task::spawn_local(async move { core.drive().await });
    task::spawn_local(member_tasks::receive_gossip(
        rc::Rc::clone(&node),
        rc::Rc::clone(&socket),
    ));
    task::spawn_local(store_port::follow_config(rc::Rc::clone(&node), rc::Rc::clone(&port)));
    task::spawn_local(config_check::run(rc::Rc::clone(&node)));
    task::spawn_local(quarantine_tasks::spread(rc::Rc::clone(&node)));
    task::spawn_local(quarantine_tasks::keep_rows(rc::Rc::clone(&node), rc::Rc::clone(&port)));
    let own_row = store_port::OwnRow::default();
    let members = store_port::sync_members(rc::Rc::clone(&node), rc::Rc::clone(&port), rc::Rc::clone(&own_row));
    let members = task::spawn_local(members);
    task::spawn_local(run_maintenance(rc::Rc::clone(&node)));
    node.core.ask(|core, now| core.contact(&settings.seeds, now));
    log::info!(entry:% = settings.entry_listen, peer:% = settings.peer_listen; "daemon started");
    let mut superseded = task::spawn_local(member_tasks::run_effects(
        rc::Rc::clone(&node),
        socket,
        rc::Rc::clone(&port),
        effect_queue,
    ));
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            _signal = hangup.recv() => log::info!("settings are fixed for the life of the process; SIGHUP ignored"),
            _ended = &mut superseded => return Ok(()),
        }
    }
    shut_down(&node, &callers).await;
    // `sync_members` writes a missing row again, so it is stopped before the row is removed.
    members.abort();
    store_port::remove_own_row(&node, &port, &own_row).await;
    Ok(())
}

fn serve_callers(node: &rc::Rc<node_context::NodeContext>, control: &http_server::ServerControl) -> io::Result<()> {
    let listener = http_server::listen(node.settings.entry_listen)?;
    let (node, phases) = (rc::Rc::clone(node), control.phases());
    let account = node.account.clone();
    let serve = move |stream, hold| {
        let [planning, serving, rejecting] = [&node; 3].map(rc::Rc::clone);
        let handlers = server_connection::ConnectionHandlers {
            plan: move |parts: &mut _| entry_call::plan(&planning, parts),
            // The future has several KiB, which its way into the connection's list would copy four times.
            serve: move |request| Box::pin(entry_call::serve(rc::Rc::clone(&serving), request)),
            reject: move |fault| entry_call::reject(&rejecting, fault),
        };
        server_connection::serve(stream, caller_limits(&node), phases.clone(), handlers, hold)
    };
    task::spawn_local(http_server::accept(
        listener,
        control.clone(),
        account,
        byte_account::ListenerKind::Caller,
        serve,
    ));
    Ok(())
}

/// Returns the limits of a new connection, which the configuration may change.
fn caller_limits(node: &node_context::NodeContext) -> server_connection::ConnectionLimits {
    let configured = node.core.ask(|core, _now| core.config().map(|config| config.limits));
    configured.map_or(DEFAULT_LIMITS, |limits| server_connection::ConnectionLimits {
        idle_timeout: limits.idle_timeout,
        header_timeout: limits.header_timeout,
        max_header_bytes: limits.max_header_bytes,
    })
}

fn serve_peers(node: &rc::Rc<node_context::NodeContext>) -> io::Result<()> {
    let address = node.settings.peer_listen;
    let node = rc::Rc::clone(node);
    let account = node.account.clone();
    http_server::serve_internal(
        address,
        &account,
        byte_account::ListenerKind::Internal,
        move |request, hold| {
            // Hyper moves the future, which has several KiB.
            Box::pin(peer_server::serve(rc::Rc::clone(&node), request, hold))
        },
    )
}

/// Starts the readiness listener, and the metrics listener if it is configured.
fn serve_status(node: &rc::Rc<node_context::NodeContext>) -> io::Result<()> {
    let core = node.core.clone();
    http_server::serve_internal(
        node.settings.ready_listen,
        &node.account,
        byte_account::ListenerKind::Control,
        move |_request, _hold| {
            let ready = core.ask(|core, now| core.is_ready(now));
            let status = if ready {
                hyper::StatusCode::OK
            } else {
                hyper::StatusCode::SERVICE_UNAVAILABLE
            };
            std::future::ready(http_server::empty_response(status))
        },
    )?;
    let Some(address) = node.settings.metrics_listen else {
        return Ok(());
    };
    let served = rc::Rc::clone(node);
    http_server::serve_internal(
        address,
        &node.account,
        byte_account::ListenerKind::Internal,
        move |request, _hold| {
            let response = if request.uri().path() == quota_view::TENANTS_PATH {
                let name = request.headers().get(quota_view::TENANT_HEADER);
                tenants_response(&served, name.map(header::HeaderValue::as_bytes))
            } else {
                metrics_response(&served)
            };
            std::future::ready(response)
        },
    )
}

fn metrics_response(node: &node_context::NodeContext) -> http_server::ServerResponse {
    match node.metrics.text() {
        Ok(text) => hyper::Response::new(message_body::ReplyBody::whole(Bytes::from(text))),
        Err(error) => {
            log::warn!(error:% = error; "metrics can't be written");
            http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns the quotas of the tenants; status 404 if the settings have no bounds for quotas.
fn tenants_response(node: &node_context::NodeContext, name: Option<&[u8]>) -> http_server::ServerResponse {
    let Some(document) = quota_view::document(node, name) else {
        return http_server::empty_response(hyper::StatusCode::NOT_FOUND);
    };
    match serde_json::to_vec(&document) {
        Ok(bytes) => hyper::Response::new(message_body::ReplyBody::whole(Bytes::from(bytes))),
        Err(error) => {
            log::warn!(error:% = error; "quotas can't be written");
            http_server::empty_response(hyper::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn run_maintenance(node: rc::Rc<node_context::NodeContext>) {
    let (mut logged, mut logged_at) = ((0, 0, 0), None);
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        node.account.ask(|account| node.metrics.record_account(account));
        node.metrics.record_links(&node.server_links, &node.peer_links);
        let (requests, connections) = node.account.ask(byte_account::ByteAccount::given_up);
        let calls = node.server_links.refused() + node.peer_links.refused();
        let given_up = (requests, connections, calls);
        let due = logged_at.is_none_or(|at: time::Instant| at.elapsed() >= BOUND_LOG_INTERVAL);
        if given_up != logged && due {
            let (bytes, forwarded) = node.account.ask(byte_account::ByteAccount::held_bytes);
            log::warn!(
                requests = requests - logged.0, connections = connections - logged.1, calls = calls - logged.2,
                bytes = bytes, forwarded = forwarded;
                "bound of memory or connections reached; incomplete requests or calls were refused, or connections closed"
            );
            (logged, logged_at) = (given_up, Some(time::Instant::now()));
        }
        node.close_idle_links(time::Instant::now());
        crash_watch::review(&node);
        let (counts, version, request_limit) = node.core.ask(|core, _now| {
            let version = core.config().map_or(0, |config| config.version);
            (core.gate_counts(), version, core.server().request_limit())
        });
        node.metrics.record_state(counts.running, counts.queued, version);
        node.metrics.record_request_limit(request_limit);
        if let Some(quota) = node.quota.as_ref().filter(|quota| quota.is_running.get()) {
            let (held, granted) = quota.totals(stall_watch::boot_time());
            node.metrics.record_quota(held, granted);
        }
    }
}

/// Shuts down gracefully: accepts requests until the platform has stopped routing to this daemon, waits for running
/// requests, and leaves the membership. Requests that run until the end get a response before it.
async fn shut_down(node: &node_context::NodeContext, callers: &http_server::ServerControl) {
    let paused = node.core.ask(|core, _now| core.longest_wait(stall_watch::boot_time()));
    let schedule = stop_schedule::StopSchedule::new(time::Instant::now(), paused, node.settings.stop_grace);
    node.stop.begin(schedule);
    log::info!(paused_ms = paused.as_millis(); "stopping: no new work for the backend server");
    node.core.ask(forward_core::ForwardCore::stop);
    callers.enter(request_order::ConnectionPhase::Closing);
    tokio::time::sleep_until(schedule.closes_at.into()).await;
    callers.enter(request_order::ConnectionPhase::Closed);
    loop {
        let running = node.core.ask(|core, _now| core.gate_counts().running);
        // A response is sent after its request has left `in_flight`.
        let idle = running == 0 && node.in_flight.get() == 0 && callers.open_sockets() == 0;
        if idle || time::Instant::now() >= schedule.ends_at {
            log::info!(requests = node.in_flight.get(), work = running, connections = callers.open_sockets(); "stopped");
            break;
        }
        let next = time::Instant::now() + STOP_POLL_INTERVAL;
        tokio::time::sleep_until(next.min(schedule.ends_at).into()).await;
    }
    node.stop.end_requests();
    node.core.ask(forward_core::ForwardCore::leave);
    // Lets the connection tasks and the gossip socket send the last responses and datagrams.
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
}
