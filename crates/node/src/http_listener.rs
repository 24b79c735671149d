//! `tiny_http` servers on listeners with `TCP_NODELAY`.

use std::io;
use std::net;
use std::time;

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 1024;

/// A `tiny_http` server.
pub struct HttpServer {
    server: tiny_http::Server,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpServer").finish_non_exhaustive()
    }
}

/// What a server received.
#[derive(Debug)]
pub enum Received {
    /// A request.
    Request(Box<tiny_http::Request>),
    /// Nothing in the given time.
    Nothing,
    /// The listener failed.
    Closed,
}

impl HttpServer {
    /// Waits for a request.
    #[must_use]
    pub fn receive(&self, timeout: time::Duration) -> Received {
        match self.server.recv_timeout(timeout) {
            Ok(Some(request)) => Received::Request(Box::new(request)),
            Ok(None) => Received::Nothing,
            Err(error) => {
                log::error!(error:% = error; "listener failed");
                Received::Closed
            }
        }
    }
}

/// Opens a listener whose connections inherit `TCP_NODELAY`; without it, responses over 1 KB wait 40 ms for an
/// acknowledgement.
///
/// # Errors
/// Returns an error if the address can't be listened on.
pub fn listen(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    // Connections inherit it as well; without it, a client that stops reading holds its thread for as long as it likes.
    socket.set_write_timeout(Some(stall_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens a server and returns it with the address in use.
///
/// # Errors
/// Returns an error if the address can't be listened on.
pub fn bind(address: net::SocketAddr, stall_timeout: time::Duration) -> io::Result<(HttpServer, net::SocketAddr)> {
    let listener = listen(address, stall_timeout)?;
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
    Ok((HttpServer { server }, address))
}

/// Answers with status 204.
pub fn respond_empty(request: tiny_http::Request) {
    finish(
        request,
        tiny_http::Response::from_data(Vec::new()).with_status_code(204),
    );
}

/// Answers with a text.
pub fn respond_text(request: tiny_http::Request, status: u16, text: &str) {
    finish(request, tiny_http::Response::from_string(text).with_status_code(status));
}

/// Answers with bytes and status 200.
pub fn respond_bytes(request: tiny_http::Request, bytes: Vec<u8>) {
    finish(request, tiny_http::Response::from_data(bytes));
}

fn finish(request: tiny_http::Request, response: tiny_http::Response<io::Cursor<Vec<u8>>>) {
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "client closed its connection before the response");
    }
}
