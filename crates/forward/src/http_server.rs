//! HTTP/1.1 listeners of the daemon: for callers, other daemons, readiness and metrics.

use std::cell;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::time;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::sync;
use tokio::task;

use crate::http_link;
use crate::message_body;

/// Maximum connections that wait to be accepted. A full backlog drops the SYN, which is retransmitted after a second.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// Response of a request handler.
pub type ServerResponse = hyper::Response<message_body::ReplyBody>;

/// Limits of the connections to a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest time for which a connection may be idle or send one request head. hyper has one timer for both, and a
    /// caller may reuse a connection up to four fifths of the idle timeout.
    pub idle_timeout: time::Duration,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            idle_timeout: time::Duration::from_mins(1),
            max_header_bytes: 64 * 1024,
        }
    }
}

/// Stops a listener and shuts down its connections gracefully.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    stopped: rc::Rc<cell::Cell<bool>>,
    notify: rc::Rc<sync::Notify>,
}

impl ServerStop {
    /// Closes the listening socket and idle connections, and the other connections after their response.
    ///
    /// A refused connection shows the caller that its request was not read and is safe to send again.
    pub fn finish_connections(&self) {
        self.stopped.set(true);
        self.notify.notify_waiters();
    }

    async fn wait(&self) {
        let notified = self.notify.notified();
        if !self.stopped.get() {
            notified.await;
        }
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

/// Accepts connections and serves their requests until `stop` is signalled.
///
/// `limits` is called for each connection, since the configuration may change them.
pub async fn accept<H, F>(
    listener: tokio::net::TcpListener,
    limits: impl Fn() -> ServerLimits,
    stop: ServerStop,
    handler: H,
) where
    H: Fn(hyper::Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return,
        };
        match accepted {
            Ok((stream, _from)) => {
                http_link::set_socket_options(&stream);
                task::spawn_local(serve(stream, limits(), stop.clone(), handler.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<H, F>(stream: tokio::net::TcpStream, limits: ServerLimits, stop: ServerStop, handler: H)
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
        .header_read_timeout(limits.idle_timeout)
        .max_header_size(limits.max_header_bytes);
    let mut connection = pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "inbound connection ended");
    }
}
