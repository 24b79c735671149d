//! Listeners of the daemon: for callers, other daemons, readiness and metrics.

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

/// Connections that wait to be accepted. A full queue drops the opening packet, which is sent again after a second.
const ACCEPT_QUEUE: u32 = 1024;
/// Pause after a failed accept, for example when descriptors are used up.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Response of a listener.
pub type ServerResponse = hyper::Response<message_body::ReplyBody>;

/// Bounds of the connections to a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Time for which a connection may be idle or send one request head. The library has one timer for both, and a
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

/// Ends a listener and tells its connections to finish.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    stopped: rc::Rc<cell::Cell<bool>>,
    notify: rc::Rc<sync::Notify>,
}

impl ServerStop {
    /// Closes the listening socket and idle connections, and the other connections after their response.
    ///
    /// A caller whose connection is refused knows that its request was not read, and may send it again.
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
/// Returns an error if the address is in use.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Accepts connections and serves their requests until `stop` ends it.
///
/// `limits` is asked for each connection, since the configuration may change them.
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
                http_link::watch_silence(&stream);
                task::spawn_local(serve(stream, limits(), stop.clone(), handler.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "connection can't be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
        let answer = handler(request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
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
        log::debug!(error:% = error; "connection of a caller ended");
    }
}
