//! HTTP server of the backend server stand-in: calls, `/health`, `/load`, `/cancel`, `/drain` and `/control`.

use std::io;
use std::net;
use std::process;
use std::sync;
use std::thread;
use std::time;

use serde_json::json;

use crate::backend_call;
use crate::backend_faults;
use crate::backend_state;
use crate::http_exchange;
use crate::http_query;
use crate::store_server;

/// Stack size of a connection's thread; small, because a backend server has hundreds of connections.
const STACK_BYTES: usize = 256 * 1024;
/// Time between two samples of the load.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Bound on the time in which a client reads no bytes of a response.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A running server.
#[derive(Debug)]
pub struct BackendServer {
    address: net::SocketAddr,
    state: sync::Arc<backend_state::BackendState>,
}

impl BackendServer {
    /// Starts the server; its threads end with the process.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
    pub fn start(address: net::SocketAddr, options: backend_state::BackendOptions) -> io::Result<Self> {
        let listener = store_server::listener(address)?;
        let address = listener.local_addr()?;
        let state = sync::Arc::new(backend_state::BackendState::new(options));
        let sampled = sync::Arc::clone(&state);
        thread::spawn(move || {
            loop {
                sampled.sample();
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        let shared = sync::Arc::clone(&state);
        thread::spawn(move || accept(&listener, &shared));
        Ok(Self { address, state })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the state that all connections share.
    #[must_use]
    pub fn state(&self) -> &backend_state::BackendState {
        &self.state
    }

    /// Refuses new calls and waits for the queued and running ones, at most for the drain timeout. Returns how many of
    /// them are left.
    #[must_use]
    pub fn drain(&self) -> usize {
        self.state.slots.drain();
        let deadline = time::Instant::now() + self.state.options.drain_timeout;
        loop {
            let counts = self.state.slots.counts();
            let left = counts.running + counts.queued;
            if left == 0 || time::Instant::now() >= deadline {
                return left;
            }
            thread::sleep(time::Duration::from_millis(5));
        }
    }
}

fn accept(listener: &net::TcpListener, state: &sync::Arc<backend_state::BackendState>) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            continue;
        };
        let state = sync::Arc::clone(state);
        let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(move || {
            // An error ends only this connection: the client closed it, a request was malformed or a write timed out.
            drop(serve(&stream, &state));
        });
        if let Err(error) = spawned {
            eprintln!("standin-backend: thread for a connection can't be started: {error}");
        }
    }
}

fn serve(stream: &net::TcpStream, state: &backend_state::BackendState) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut reader = io::BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = http_exchange::read_request(&mut reader)? {
        let arrived = time::Instant::now();
        let closes = request.closes();
        let path = http_query::split(&request.target).0;
        if !path.starts_with("/control/") {
            wait_while_frozen(state);
        }
        let call = match handle_endpoint(state, &request) {
            Some(response) => backend_call::CallResponse { response, ticket: None },
            None => backend_call::run(state, &request, arrived),
        };
        if !path.starts_with("/control/") {
            wait_while_frozen(state);
        }
        let written = http_exchange::write_response(&mut writer, &call.response);
        if let Some(ticket) = call.ticket {
            let complete = written.is_ok() && call.response.truncate_after.is_none();
            state.count(|counts| match complete {
                true if call.response.status < 400 => counts.completed += 1,
                true => {}
                false => counts.answers_cut += 1,
            });
            state.slots.release(ticket);
        }
        if written? == http_exchange::ConnectionStep::Close || closes {
            return stream.shutdown(net::Shutdown::Both);
        }
    }
    Ok(())
}

fn wait_while_frozen(state: &backend_state::BackendState) {
    loop {
        let left = state.frozen_for();
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(time::Duration::from_millis(20)));
    }
}

/// Handles the paths that are not calls; `None` for a call.
fn handle_endpoint(
    state: &backend_state::BackendState,
    request: &http_exchange::HttpRequest,
) -> Option<http_exchange::HttpResponse> {
    let (path, query) = http_query::split(&request.target);
    let response = match (request.method.as_str(), path) {
        ("GET", "/health") => {
            let status = state.health_status();
            let text = if status == 200 { "ok" } else { "unavailable" };
            http_exchange::HttpResponse::json(status, &json!({ "status": text }))
        }
        ("GET", "/load") => http_exchange::HttpResponse::json(200, &state.load_report()),
        ("POST", "/drain") => {
            state.slots.drain();
            http_exchange::HttpResponse::json(200, &json!({ "running": state.slots.counts().running }))
        }
        ("POST", "/cancel") => {
            let call = http_query::value(query, "call").and_then(|call| u64::from_str_radix(&call, 16).ok());
            match call {
                Some(call) => http_exchange::HttpResponse::json(200, &json!({ "cancelled": state.slots.cancel(call) })),
                None => http_exchange::HttpResponse::json(400, &json!({ "error": "'call' is not a hexadecimal id" })),
            }
        }
        ("POST", "/control/fault") => add_fault(state, &request.body),
        ("GET", "/control/fault") => http_exchange::HttpResponse::json(200, &json!({ "rules": state.fault_rules() })),
        ("GET", "/control/executions") => {
            let request_id = http_query::value(query, "id");
            http_exchange::HttpResponse::json(200, &state.execution_report(request_id.as_deref()))
        }
        ("GET", "/control/execution-list") => http_exchange::HttpResponse::json(200, &json!(state.execution_list())),
        _ => return None,
    };
    Some(response)
}

fn add_fault(state: &backend_state::BackendState, body: &[u8]) -> http_exchange::HttpResponse {
    let fault: backend_faults::BackendFault = match serde_json::from_slice(body) {
        Ok(fault) => fault,
        Err(error) => return http_exchange::HttpResponse::json(400, &json!({ "error": error.to_string() })),
    };
    if fault.kind == backend_faults::BackendFaultKind::Die {
        // The fault simulates a crash, so calls in flight get no response and are not drained.
        process::exit(137);
    }
    state.add_fault(fault);
    http_exchange::HttpResponse::json(200, &json!({ "rules": state.fault_rules() }))
}
