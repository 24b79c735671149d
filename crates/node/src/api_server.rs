//! Server for operators: health, readiness and metrics. The resource API adds its paths in [`answer`].

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::core_command;
use crate::http_listener;
use crate::node_shared;

/// Threads that answer; requests of operators are few.
const THREADS: usize = 2;
const IDLE_TIME: time::Duration = time::Duration::from_secs(30);

/// Running server.
#[derive(Debug)]
pub struct ApiServer {
    address: net::SocketAddr,
    server: sync::Arc<http_listener::HttpServer>,
}

impl ApiServer {
    /// Opens the listener.
    ///
    /// # Errors
    /// Returns an error if the address can't be listened on.
    pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<Self> {
        let (server, address) = http_listener::bind(address, stall_timeout)?;
        Ok(Self {
            address,
            server: sync::Arc::new(server),
        })
    }

    /// Returns the address in use.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Starts to answer.
    ///
    /// # Errors
    /// Returns an error if a thread can't be started.
    pub fn start(&self, shared: &sync::Arc<node_shared::NodeShared>) -> io::Result<()> {
        for _ in 0..THREADS {
            let server = sync::Arc::clone(&self.server);
            let shared = sync::Arc::clone(shared);
            thread::Builder::new().name("api".to_owned()).spawn(move || {
                loop {
                    match server.receive(IDLE_TIME) {
                        http_listener::Received::Request(request) => answer(&shared, *request),
                        http_listener::Received::Nothing => {}
                        http_listener::Received::Closed => return,
                    }
                }
            })?;
        }
        Ok(())
    }
}

fn answer(shared: &node_shared::NodeShared, request: tiny_http::Request) {
    let path = request.url().split('?').next().unwrap_or_default();
    match path {
        "/health" => http_listener::respond_text(request, 200, "ok\n"),
        "/ready" => {
            let counts = shared.core.ask(core_command::CoreCommand::Counts);
            if counts.is_some_and(|counts| counts.ready) {
                http_listener::respond_text(request, 200, "ready\n");
            } else {
                http_listener::respond_text(request, 503, "not ready\n");
            }
        }
        "/metrics" => http_listener::respond_bytes(request, shared.metrics.render()),
        _ => http_listener::respond_text(request, 404, "no such path\n"),
    }
}
