//! Client of the system: requests on kept or new connections.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Wire;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    pub body: usize,
}

/// What a client saw of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status, whether the server's seal is there, and the body.
    Whole(u16, bool, Vec<u8>),
    /// The connection ended or failed before a complete answer.
    Broken(String),
    /// Nothing came until the client gave up.
    Silent,
    /// No connection.
    Refused(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole(status, ..) => *status,
            _ => 0,
        }
    }
}

/// A connection that is kept open.
pub struct Connection {
    address: SocketAddr,
    wire: Option<Wire>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, wire: None }
    }

    /// Sends a request and waits for its answer until `wait` has passed. Returns whether the connection was a kept one.
    pub fn call(&mut self, call: &Call, wait: Duration) -> (bool, Answer) {
        let end = Instant::now() + wait;
        let kept = self.wire.is_some();
        let wire = match self.wire.take() {
            Some(wire) => wire,
            None => match TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                Ok(stream) => Wire::new(stream),
                Err(error) => return (false, Answer::Refused(error.to_string())),
            },
        };
        let mut wire = wire;
        match exchange(&mut wire, call, end) {
            Ok((answer, keep)) => {
                if keep {
                    self.wire = Some(wire);
                }
                (kept, answer)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                (kept, Answer::Silent)
            }
            Err(error) => (kept, Answer::Broken(error.to_string())),
        }
    }
}

fn exchange(wire: &mut Wire, call: &Call, end: Instant) -> io::Result<(Answer, bool)> {
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    wire.stream.set_read_timeout(Some(left))?;
    wire.stream.set_write_timeout(Some(left))?;
    let length = if call.method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", call.body)
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nDamasktrack-Attempt-Id: {}\r\nDamasktrack-Deadline-Ms: {}\r\n{length}\r\n",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline.as_millis()
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + call.body, b'b');
    wire.write(&bytes)?;
    drop(bytes);
    let head = wire
        .read_head()?
        .ok_or_else(|| io::Error::other("closed without an answer"))?;
    let body = wire.read_body(&head, None)?;
    let keep = !head
        .get("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let sealed = head.get("damasktrack-response-seal").is_some();
    Ok((Answer::Whole(head.status(), sealed, body), keep))
}

/// Sends one request on a connection of its own.
pub fn call_once(address: SocketAddr, call: &Call, wait: Duration) -> Answer {
    Connection::new(address).call(call, wait).1
}
