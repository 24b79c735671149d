//! HTTP server for callers and for the local backend server.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bytes::Bytes;
use damasktrack_ownership::action_step;
use damasktrack_pipeline::account_handle;
use damasktrack_pipeline::byte_account;
use damasktrack_pipeline::request_fault;
use damasktrack_pipeline::request_order;
use damasktrack_pipeline::server_connection;
use hyper::http::request;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::call::call_watch;
use crate::core::core_command;
use crate::entry::entry_body;
use crate::entry::entry_request;
use crate::entry::entry_response;
use crate::run::call_runner;
use crate::shared::node_shared;
use crate::transport::header_filter;
use crate::transport::http_listener;

/// Path at which the daemon issues request ids to callers.
const ISSUE_PATH: &str = "/damasktrack/v1/request-ids";
/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Handle of the entry server, which runs on its own thread.
#[derive(Debug)]
pub struct EntryServer {
    address: net::SocketAddr,
    phase: watch::Sender<request_order::ConnectionPhase>,
    connections: sync::Arc<atomic::AtomicUsize>,
}

impl EntryServer {
    /// Starts the server on its own thread.
    ///
    /// # Errors
    /// Returns an error if the listener can't be configured, or the runtime or the thread can't be started.
    pub fn start(listener: net::TcpListener, shared: sync::Arc<node_shared::NodeShared>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (phase, phases) = watch::channel(request_order::ConnectionPhase::Serving);
        let connections = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = sync::Arc::clone(&connections);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        thread::Builder::new()
            .name("entry".to_owned())
            .spawn(move || runtime.block_on(accept_all(listener, shared, phases, counter)))?;
        Ok(Self {
            address,
            phase,
            connections,
        })
    }
}

/// Commands.
impl EntryServer {
    /// Sets the phase.
    pub fn enter(&self, phase: request_order::ConnectionPhase) {
        self.phase.send_replace(phase);
    }
}

/// Queries.
impl EntryServer {
    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }
}

/// Guard that counts one open connection until it is dropped.
struct ConnectionCount(sync::Arc<atomic::AtomicUsize>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn accept_all(
    listener: net::TcpListener,
    shared: sync::Arc<node_shared::NodeShared>,
    mut phases: watch::Receiver<request_order::ConnectionPhase>,
    connections: sync::Arc<atomic::AtomicUsize>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:% = error; "entry listener can't be registered with the runtime");
            return;
        }
    };
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_closed(&mut phases) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let open = connections.fetch_add(1, atomic::Ordering::Relaxed);
                let count = ConnectionCount(sync::Arc::clone(&connections));
                if open >= shared.settings.max_connections {
                    log::warn!(caller:% = peer; "connection closed since max_connections are open");
                    continue;
                }
                let shared = sync::Arc::clone(&shared);
                let phases = phases.clone();
                tokio::spawn(async move {
                    serve_connection(stream, peer, shared, phases).await;
                    drop(count);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    // A return from here would drop the runtime and thereby its connections. The shutdown waits for them and then ends
    // the process.
    std::future::pending::<()>().await;
}

/// Waits for [`request_order::ConnectionPhase::Closed`], or until the [`EntryServer`] is dropped.
async fn wait_closed(phases: &mut watch::Receiver<request_order::ConnectionPhase>) {
    let _phase = phases
        .wait_for(|phase| *phase == request_order::ConnectionPhase::Closed)
        .await;
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    peer: net::SocketAddr,
    shared: sync::Arc<node_shared::NodeShared>,
    phases: watch::Receiver<request_order::ConnectionPhase>,
) {
    let _unsupported = stream.set_nodelay(true);
    let settings = &shared.settings;
    let limits = server_connection::ConnectionLimits {
        idle_timeout: settings.header_timeout,
        header_timeout: settings.header_timeout,
        max_header_bytes: settings.max_header_bytes,
    };
    let loopback = peer.ip().is_loopback();
    let handlers = server_connection::ConnectionHandlers {
        plan: |parts: &mut _| plan(&shared, parts),
        serve: |request| serve_request(sync::Arc::clone(&shared), request, loopback),
        reject: |fault| fault_response(read_fault(fault)),
    };
    let hold = account_handle::AccountHandle::default().open(byte_account::ListenerKind::Caller);
    server_connection::serve(stream, limits, phases, handlers, hold).await;
}

/// Plans how a request is read. Only calls that may run more than once start before earlier ones are answered.
fn plan(shared: &node_shared::NodeShared, parts: &request::Parts) -> server_connection::RequestPlan<()> {
    let (service, path) = entry_request::split_path(&parts.uri);
    let method = Bytes::copy_from_slice(parts.method.as_str().as_bytes());
    let order = if shared.effects.class_snapshot().is_idempotent(&service, &method, &path) {
        request_order::StartOrder::Ahead
    } else {
        request_order::StartOrder::InTurn
    };
    server_connection::RequestPlan {
        max_body_bytes: shared.settings.max_body_bytes,
        body_timeout: shared.settings.body_timeout,
        order,
        refused: false,
        route: (),
    }
}

async fn serve_request(
    shared: sync::Arc<node_shared::NodeShared>,
    request: server_connection::CallerRequest<()>,
    loopback: bool,
) -> hyper::Response<entry_body::EntryBody> {
    match answer(&shared, request, loopback).await {
        Ok(response) => response,
        Err(fault) => fault_response(fault),
    }
}

async fn answer(
    shared: &sync::Arc<node_shared::NodeShared>,
    request: server_connection::CallerRequest<()>,
    loopback: bool,
) -> Result<hyper::Response<entry_body::EntryBody>, entry_request::RequestFault> {
    let (arrived, parts, body) = (request.arrived, request.parts, request.body.into_bytes());
    let origin = entry_request::read_origin(&parts.headers, loopback)?;
    if parts.method == hyper::Method::POST && parts.uri.path() == ISSUE_PATH {
        return issue_id(shared).await;
    }
    let (service, path) = entry_request::split_path(&parts.uri);
    let cancelled = call_watch::CancelFlag::default();
    let call = shared.next_call();
    let entry = entry_request::EntryRequest {
        call,
        arrived,
        origin,
        outgoing: call_runner::OutgoingRequest {
            service,
            method: Bytes::copy_from_slice(parts.method.as_str().as_bytes()),
            path,
            headers: header_filter::request_headers(&parts.headers),
            body,
        },
        cancelled: sync::Arc::clone(&cancelled),
    };
    let mut guard = entry_body::CallerGuard::new(sync::Arc::clone(shared), call, cancelled);
    let (sender, response) = oneshot::channel();
    entry_request::begin(shared, entry, sender, &tokio::runtime::Handle::current());
    let response = response.await;
    if !matches!(response, Ok(entry_response::EntryResponse::Stream { .. })) {
        guard.disarm();
    }
    Ok(match response {
        Ok(entry_response::EntryResponse::Complete { head, body }) => {
            relayed_response(&head, entry_body::EntryBody::complete(body))
        }
        Ok(entry_response::EntryResponse::Stream { head, first, chunks }) => {
            relayed_response(&head, entry_body::EntryBody::stream(first, chunks, guard))
        }
        Ok(entry_response::EntryResponse::Refused { request_id, reason }) => refused_response(&request_id, reason),
        Ok(entry_response::EntryResponse::Unknown { request_id, reason }) => unknown_response(&request_id, reason),
        Ok(entry_response::EntryResponse::Incomplete {
            request_id,
            outcome,
            timed_out,
        }) => incomplete_response(&request_id, outcome, timed_out),
        // The response sender was dropped without a response; the call may have run.
        Err(_closed) => incomplete_response(
            &Bytes::new(),
            damasktrack_entity::call_outcome::CallOutcome::Unknown,
            false,
        ),
    })
}

fn read_fault(fault: request_fault::RequestFault) -> entry_request::RequestFault {
    let text = match fault {
        request_fault::RequestFault::Malformed => "the request is malformed\n",
        request_fault::RequestFault::HeadTooLarge => "the request head is too large\n",
        request_fault::RequestFault::BodyTooLarge => "the request body is too large\n",
        request_fault::RequestFault::UnsupportedCoding => "the transfer coding of the request is not supported\n",
        request_fault::RequestFault::HeadTimeout => "the request head did not arrive in time\n",
        request_fault::RequestFault::BodyTimeout => "the request body did not arrive in time\n",
        request_fault::RequestFault::Stopping => "the daemon stops; the request did not run\n",
        request_fault::RequestFault::NoRoom => "no memory for the request; it did not run\n",
    };
    entry_request::RequestFault {
        status: fault.status().as_u16(),
        text,
    }
}

async fn issue_id(
    shared: &sync::Arc<node_shared::NodeShared>,
) -> Result<hyper::Response<entry_body::EntryBody>, entry_request::RequestFault> {
    let (sender, issued) = oneshot::channel();
    let reply = core_command::ReplySender::new(move |id| match sender.send(id) {
        Ok(()) => core_command::ReplyStep::Delivered,
        Err(_) => core_command::ReplyStep::Dropped,
    });
    shared.core.send(core_command::CoreCommand::IssueId(reply));
    let Ok(id) = issued.await else {
        return Err(entry_request::RequestFault {
            status: 503,
            text: "no request id can be issued now\n",
        });
    };
    let text = format!("{{\"request_id\":\"{}\"}}\n", damasktrack_entity::ids::text(&id));
    let mut response = hyper::Response::new(entry_body::EntryBody::complete(vec![Bytes::from(text)]));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    Ok(response)
}

fn relayed_response(
    head: &entry_response::ResponseHead,
    body: entry_body::EntryBody,
) -> hyper::Response<entry_body::EntryBody> {
    let mut response = hyper::Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(head.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = hyper::header::HeaderName::from_bytes(name);
        let value = hyper::header::HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    set_outcome_headers(&mut response, &head.request_id, "done");
    response
}

fn refused_response(
    request_id: &Bytes,
    reason: damasktrack_entity::call_outcome::RefusalReason,
) -> hyper::Response<entry_body::EntryBody> {
    let text = format!("refused: {reason}\n");
    let mut response = hyper::Response::new(entry_body::EntryBody::complete(vec![Bytes::from(text)]));
    let status = entry_response::refusal_status(reason);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::SERVICE_UNAVAILABLE);
    if matches!(status, 429 | 503) {
        let seconds = hyper::header::HeaderValue::from_static("1");
        response.headers_mut().insert(hyper::header::RETRY_AFTER, seconds);
    }
    set_outcome_headers(&mut response, request_id, "refused");
    response
}

fn incomplete_response(
    request_id: &Bytes,
    outcome: damasktrack_entity::call_outcome::CallOutcome,
    timed_out: bool,
) -> hyper::Response<entry_body::EntryBody> {
    let text = format!("{outcome}: the call may have run and has no complete response\n");
    let mut response = hyper::Response::new(entry_body::EntryBody::complete(vec![Bytes::from(text)]));
    *response.status_mut() = if timed_out {
        hyper::StatusCode::GATEWAY_TIMEOUT
    } else {
        hyper::StatusCode::BAD_GATEWAY
    };
    set_outcome_headers(&mut response, request_id, &outcome.to_string());
    response
}

fn unknown_response(
    request_id: &Bytes,
    reason: Option<action_step::UnknownReason>,
) -> hyper::Response<entry_body::EntryBody> {
    let outcome = damasktrack_entity::call_outcome::CallOutcome::Unknown;
    let timed_out = reason == Some(action_step::UnknownReason::DeadlinePassed);
    let mut response = incomplete_response(request_id, outcome, timed_out);
    if let Some(reason) = reason {
        let text = format!("{outcome}: {reason}\n");
        *response.body_mut() = entry_body::EntryBody::complete(vec![Bytes::from(text)]);
    }
    if reason == Some(action_step::UnknownReason::StoreUnavailable) {
        // A repeat is always safe, and can succeed once the store is available again.
        *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        let seconds = hyper::header::HeaderValue::from_static("1");
        response.headers_mut().insert(hyper::header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the response to a request that can't be processed. Its outcome is `refused`, since the call did not run.
fn fault_response(fault: entry_request::RequestFault) -> hyper::Response<entry_body::EntryBody> {
    let mut response = hyper::Response::new(entry_body::EntryBody::complete(vec![Bytes::from_static(
        fault.text.as_bytes(),
    )]));
    *response.status_mut() = hyper::StatusCode::from_u16(fault.status).unwrap_or(hyper::StatusCode::BAD_REQUEST);
    set_outcome_headers(&mut response, &Bytes::new(), "refused");
    response
}

fn set_outcome_headers(response: &mut hyper::Response<entry_body::EntryBody>, request_id: &Bytes, outcome: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_bytes(request_id)
        && !request_id.is_empty()
    {
        response.headers_mut().insert(header_filter::REQUEST_ID_HEADER, value);
    }
    if let Ok(value) = hyper::header::HeaderValue::from_str(outcome) {
        response.headers_mut().insert(header_filter::OUTCOME_HEADER, value);
    }
}

/// Opens the listener for callers and the local backend server.
///
/// # Errors
/// Returns an error if the address can't be listened on.
pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<net::TcpListener> {
    http_listener::listen(address, stall_timeout)
}
