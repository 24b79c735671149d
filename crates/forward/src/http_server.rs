//! HTTP/1.1 listeners of the daemon: for callers, other daemons, readiness and metrics.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use damasktrack_pipeline::account_handle;
use damasktrack_pipeline::byte_account;
use damasktrack_pipeline::request_order;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;
use tokio::task;

use crate::http_link;
use crate::internal_body;
use crate::message_body;

/// Maximum connections that wait to be accepted. A full backlog drops the SYN, which is retransmitted after a second.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);
/// Longest time for which a connection of another daemon or of the platform may be idle or send one request head.
const INTERNAL_IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Largest request head of another daemon or of the platform, in bytes.
const INTERNAL_HEADER_BYTES: usize = 64 * 1024;

/// Receive buffer of a caller's connection where memory is limited, in bytes. The kernel keeps what callers send
/// behind requests that are not answered yet, and grows the buffer to several MiB otherwise. At a round trip of 16 ms
/// the buffer allows 8 MB/s.
const CALLER_RECEIVE_BYTES: usize = 128 * 1024;

/// Response of a request handler.
pub type ServerResponse = hyper::Response<message_body::ReplyBody>;

/// Phase of a listener and its connections, with the number of the sockets that are open.
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

    /// Returns the number of open connections, and of the listener while it accepts.
    #[must_use]
    pub fn open_sockets(&self) -> usize {
        self.open.get()
    }

    async fn closed(&self) {
        let mut phases = self.phases();
        let closed = phases.wait_for(|phase| *phase == request_order::ConnectionPhase::Closed);
        // The sender is a part of `self`.
        let _phase = closed.await;
    }
}

/// Counts an open socket until it is dropped.
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

/// Accepts connections and serves each with `serve` until `control` enters the phase `Closed`. All connections in the
/// accept queue are served then as well, since closing the socket resets them. Only one that arrives in the
/// microseconds between the last accept and the close is still reset.
pub async fn accept<F>(
    listener: tokio::net::TcpListener,
    control: ServerControl,
    account: account_handle::AccountHandle,
    kind: byte_account::ListenerKind,
    serve: impl Fn(tokio::net::TcpStream, account_handle::ConnectionHold) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let _listening = OpenGuard::new(&control.open);
    let serve_stream = |stream: tokio::net::TcpStream| {
        http_link::set_server_options(&stream);
        let open = OpenGuard::new(&control.open);
        if kind == byte_account::ListenerKind::Caller && account.ask(byte_account::ByteAccount::is_bounded) {
            // Without the option, the buffer has the size that the kernel chooses.
            let _failed = socket2::SockRef::from(&stream).set_recv_buffer_size(CALLER_RECEIVE_BYTES);
        }
        let connection = serve(stream, account.open(kind));
        task::spawn_local(async move {
            connection.await;
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = control.closed() => break,
        };
        match accepted {
            Ok((stream, _from)) => serve_stream(stream),
            Err(error) => {
                log::warn!(error:% = error; "connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let queued = take_queued(&listener);
    drop(listener);
    log::info!(accepted = queued.len(); "listener closed");
    queued.into_iter().for_each(serve_stream);
}

/// Accepts the connections in the accept queue. `TcpListener::accept` of tokio reports only those that arrived before
/// the last poll of the event loop; under load, others were reset by the close.
fn take_queued(listener: &tokio::net::TcpListener) -> Vec<tokio::net::TcpStream> {
    let socket = socket2::SockRef::from(listener);
    let mut queued = Vec::new();
    loop {
        match socket.accept().and_then(|(stream, _from)| into_stream(stream)) {
            Ok(stream) => queued.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return queued,
            // The caller has given the connection up, or a signal arrived.
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
                ) => {}
            Err(error) => {
                log::warn!(error:% = error; "connections in the accept queue can't be accepted and are reset");
                return queued;
            }
        }
    }
}

fn into_stream(socket: socket2::Socket) -> io::Result<tokio::net::TcpStream> {
    socket.set_nonblocking(true)?;
    tokio::net::TcpStream::from_std(socket.into())
}

/// Listens at an address and serves the requests of other daemons, of the backend server or of the platform, which are
/// not pipelined, for the life of the process.
///
/// # Errors
/// Returns an error if the socket can't be bound.
pub fn serve_internal<H, F>(
    address: net::SocketAddr,
    account: &account_handle::AccountHandle,
    kind: byte_account::ListenerKind,
    handler: H,
) -> io::Result<()>
where
    H: Fn(hyper::Request<Incoming>, rc::Rc<internal_body::InternalHold>) -> F + Clone + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let listener = listen(address)?;
    let serve = move |stream, hold| serve_connection(stream, hold, handler.clone());
    task::spawn_local(accept(listener, ServerControl::default(), account.clone(), kind, serve));
    Ok(())
}

async fn serve_connection<H, F>(stream: tokio::net::TcpStream, hold: account_handle::ConnectionHold, handler: H)
where
    H: Fn(hyper::Request<Incoming>, rc::Rc<internal_body::InternalHold>) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let bounded = hold.account().ask(byte_account::ByteAccount::is_bounded);
    let hold = internal_body::InternalHold::new(hold);
    let served = rc::Rc::clone(&hold);
    let service = service::service_fn(move |request| {
        served.begin();
        let response = handler(request, rc::Rc::clone(&served));
        let replied = rc::Rc::clone(&served);
        async move {
            let response = response.await;
            Ok::<_, std::convert::Infallible>(response.map(|body| internal_body::HeldReply::new(body, replied)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(INTERNAL_IDLE_TIMEOUT)
        .max_header_size(INTERNAL_HEADER_BYTES);
    if bounded {
        builder.max_buf_size(internal_body::READ_BUFFER_BYTES);
    }
    let served = tokio::select! {
        biased;
        () = hold.closed() => return,
        served = builder.serve_connection(TokioIo::new(stream), service) => served,
    };
    if let Err(error) = served {
        log::debug!(error:% = error; "inbound connection ended");
    }
}

/// Returns a response without a body.
#[must_use]
pub fn empty_response(code: hyper::StatusCode) -> ServerResponse {
    let mut response = hyper::Response::new(message_body::ReplyBody::whole(bytes::Bytes::new()));
    *response.status_mut() = code;
    response
}
