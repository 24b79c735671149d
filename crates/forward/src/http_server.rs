//! HTTP/1.1 listeners of the daemon: for callers, other daemons, readiness and metrics.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use damasktrack_pipeline::request_order;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;
use tokio::task;

use crate::http_link;
use crate::message_body;

/// Maximum connections that wait to be accepted. A full backlog drops the SYN, which is retransmitted after a second.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);
/// Longest time for which a connection of another daemon or of the platform may be idle or send one request head.
const INTERNAL_IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Largest request head of another daemon or of the platform, in bytes.
const INTERNAL_HEADER_BYTES: usize = 64 * 1024;

/// Response of a request handler.
pub type ServerResponse = hyper::Response<message_body::ReplyBody>;

/// Phase of a listener and its connections, with the number of the connections that are open.
#[derive(Clone, Debug)]
pub struct ServerControl {
    phase: watch::Sender<request_order::ConnectionPhase>,
    open: rc::Rc<cell::Cell<usize>>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(request_order::ConnectionPhase::Serving),
            open: rc::Rc::default(),
        }
    }
}

impl ServerControl {
    /// Sets the phase. `Closed` closes the listening socket as well; a refused connection shows the caller that its
    /// request was not read and is safe to send again.
    pub fn enter(&self, phase: request_order::ConnectionPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns the receiver that follows the phase.
    #[must_use]
    pub fn phases(&self) -> watch::Receiver<request_order::ConnectionPhase> {
        self.phase.subscribe()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    async fn closed(&self) {
        let mut phases = self.phases();
        let closed = phases.wait_for(|phase| *phase == request_order::ConnectionPhase::Closed);
        // The sender is a part of `self`.
        let _phase = closed.await;
    }
}

/// Counts an open connection until it is dropped.
struct OpenGuard(rc::Rc<cell::Cell<usize>>);

impl OpenGuard {
    fn new(open: &rc::Rc<cell::Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(rc::Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Opens a listening socket.
///
/// # Errors
/// Returns an error if the socket can't be bound, for example if the address is in use.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves each with `serve` until `control` enters the phase `Closed`. Connections that are known
/// to wait then are served as well, since closing the socket resets them. One that arrives after the last poll of the
/// socket is still reset.
pub async fn accept<F>(
    listener: tokio::net::TcpListener,
    control: ServerControl,
    serve: impl Fn(tokio::net::TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = control.closed() => return,
        };
        match accepted {
            Ok((stream, _from)) => {
                http_link::set_server_options(&stream);
                let open = OpenGuard::new(&control.open);
                let connection = serve(stream);
                task::spawn_local(async move {
                    connection.await;
                    drop(open);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens at an address and serves the requests of other daemons or of the platform, which are not pipelined, for the
/// life of the process.
///
/// # Errors
/// Returns an error if the socket can't be bound.
pub fn serve_internal<H, F>(address: net::SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(hyper::Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let listener = listen(address)?;
    let serve = move |stream| serve_connection(stream, handler.clone());
    task::spawn_local(accept(listener, ServerControl::default(), serve));
    Ok(())
}

async fn serve_connection<H, F>(stream: tokio::net::TcpStream, handler: H)
where
    H: Fn(hyper::Request<Incoming>) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let service = service::service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(INTERNAL_IDLE_TIMEOUT)
        .max_header_size(INTERNAL_HEADER_BYTES);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!(error:% = error; "inbound connection ended");
    }
}
