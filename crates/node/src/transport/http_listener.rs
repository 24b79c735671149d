//! `tiny_http` servers on listeners with `TCP_NODELAY`, and their responses.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

/// Maximum number of connections that the system queues until they are accepted.
const BACKLOG: i32 = 1024;
/// Number of idle connection threads that `tiny_http` starts with and retains.
const TINY_HTTP_IDLE_THREADS: usize = 4;
/// Path of the request on each connection that occupies one of these threads.
const OCCUPY_PATH: &str = "/occupy-idle-thread";
/// Bound on each step of the exchange on these connections.
const OCCUPY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Interval of the connections that wake a thread; bounds the time for which a connection can wait behind a busy
/// thread.
const WAKE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A `tiny_http` server.
///
/// `tiny_http` 0.12 queues a new connection whenever its count of idle threads is above zero, and lowers that count
/// only when a thread wakes up. Connections that arrive in a burst can thus be queued behind one thread, which takes
/// the first of them; the others wait until some connection ends. Two measures bound that wait: connections of the
/// process to itself occupy the idle threads that the library retains, so that nearly every connection gets a thread of
/// its own, and a connection that is opened and closed at intervals wakes a thread, which then takes from the queue.
pub struct HttpServer {
    server: tiny_http::Server,
    /// Connections of the process to itself. One request was served on each, so none of the library's retained threads
    /// counts as idle.
    _occupied: Vec<net::TcpStream>,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpServer").finish_non_exhaustive()
    }
}

/// Result of a wait for a request.
#[derive(Debug)]
pub enum Received {
    /// A request arrived.
    Request(Box<tiny_http::Request>),
    /// No request arrived within the timeout.
    TimedOut,
    /// The listener failed; the server can't receive further requests.
    Failed,
}

impl HttpServer {
    /// Waits for a request for at most `timeout`.
    #[must_use]
    pub fn receive(&self, timeout: time::Duration) -> Received {
        match self.server.recv_timeout(timeout) {
            Ok(Some(request)) => Received::Request(Box::new(request)),
            Ok(None) => Received::TimedOut,
            Err(error) => {
                log::error!(error:% = error; "listener failed");
                Received::Failed
            }
        }
    }
}

/// Opens a listener whose connections inherit `TCP_NODELAY` and a write timeout. Without `TCP_NODELAY`, responses over
/// 1 KB are delayed by 40 ms, until an acknowledgement arrives.
///
/// # Errors
/// Returns an error if a socket option can't be set, or if the address can't be listened on.
pub fn listen(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    // Not set for port 0: with this option, the system may assign the port of a socket that does not listen yet to a
    // second one.
    socket.set_reuse_address(address.port() != 0)?;
    socket.set_tcp_nodelay(true)?;
    // Connections inherit the timeout as well; without it, a client that stops reading blocks its thread indefinitely.
    socket.set_write_timeout(Some(stall_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts a server and returns it with its address, which differs from `address` if that has port 0.
///
/// # Errors
/// Returns an error if the address can't be listened on, or if the server or its threads can't be started.
pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<(HttpServer, net::SocketAddr)> {
    let listener = listen(address, stall_timeout)?;
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
    let occupied = occupy_idle_threads(&server, address)?;
    thread::Builder::new()
        .name("release".to_owned())
        .spawn(move || wake_threads(address))?;
    let server = HttpServer {
        server,
        _occupied: occupied,
    };
    Ok((server, address))
}

/// Opens a connection for each idle thread of the library and completes one request on it.
fn occupy_idle_threads(server: &tiny_http::Server, address: net::SocketAddr) -> io::Result<Vec<net::TcpStream>> {
    let connections: io::Result<Vec<_>> = (0..TINY_HTTP_IDLE_THREADS)
        .map(|_| {
            let mut connection = net::TcpStream::connect(address)?;
            connection.set_read_timeout(Some(OCCUPY_TIMEOUT))?;
            let head = format!("GET {OCCUPY_PATH} HTTP/1.1\r\nHost: self\r\n\r\n");
            connection.write_all(head.as_bytes())?;
            Ok(connection)
        })
        .collect();
    let mut connections = connections?;
    let mut completed = 0;
    while completed < connections.len() {
        match server.recv_timeout(OCCUPY_TIMEOUT)? {
            Some(request) if request.url() == OCCUPY_PATH => {
                completed += 1;
                respond_empty(request);
            }
            Some(request) => respond_text(request, 503, "starting"),
            None => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
    for connection in &mut connections {
        connection.read_exact(&mut [0])?;
    }
    Ok(connections)
}

/// Opens and closes a connection at intervals, until the listener is closed.
fn wake_threads(address: net::SocketAddr) {
    while net::TcpStream::connect(address).is_ok() {
        thread::sleep(WAKE_INTERVAL);
    }
}

/// Responds with status 204 and no body.
pub fn respond_empty(request: tiny_http::Request) {
    respond(
        request,
        tiny_http::Response::from_data(Vec::new()).with_status_code(204),
    );
}

/// Responds with a text and the given status.
pub fn respond_text(request: tiny_http::Request, status: u16, text: &str) {
    respond(request, tiny_http::Response::from_string(text).with_status_code(status));
}

/// Responds with bytes and status 200.
pub fn respond_bytes(request: tiny_http::Request, bytes: Vec<u8>) {
    respond(request, tiny_http::Response::from_data(bytes));
}

fn respond(request: tiny_http::Request, response: tiny_http::Response<io::Cursor<Vec<u8>>>) {
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "client closed its connection before the response");
    }
}
