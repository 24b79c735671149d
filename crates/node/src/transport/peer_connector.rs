//! Opening of connections to peers.
//!
//! A call is sent on a new connection only after the peer has answered a greeting on it. Until then nothing of the call
//! has left this daemon, so a peer that is paused, or that accepts the connection and never serves it, costs a short
//! delay and not an unknown outcome. `tiny_http` 0.12 causes the latter: connections that arrive in a burst can be
//! queued behind an idle thread that takes only one of them, and the others wait until some connection closes.

use std::time;

use ureq::unversioned::transport;
use ureq::unversioned::transport::Transport;

/// Path of the greeting.
pub const GREETING_PATH: &str = "/peer/greeting";
const GREETING: &[u8] = b"GET /peer/greeting HTTP/1.1\r\nHost: peer\r\n\r\n";
/// Time for the answer to a greeting, above the round trip between regions.
const GREETING_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Connections that are tried; the second is served by a thread of its own where the first was queued.
const MAX_TRIES: u32 = 2;
/// Headers of the answer; the peer server sends four.
const MAX_HEADERS: usize = 16;

/// Connector that greets the peer on each new connection.
#[derive(Debug, Default)]
pub(crate) struct PeerConnector {
    tcp: transport::TcpConnector,
}

/// What came back on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Greeting {
    /// The peer serves the connection.
    Answered,
    /// Nothing, or something else.
    Unanswered,
}

impl transport::Connector<()> for PeerConnector {
    type Out = <transport::TcpConnector as transport::Connector<()>>::Out;

    fn connect(
        &self,
        details: &transport::ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        for _ in 0..MAX_TRIES {
            let Some(mut connection) = self.tcp.connect(details, None::<()>)? else {
                return Ok(None);
            };
            if greet(&mut connection) == Greeting::Answered {
                return Ok(Some(connection));
            }
            log::debug!(peer:% = details.uri; "new connection was not served");
        }
        Err(ureq::Error::Timeout(ureq::Timeout::Connect))
    }
}

fn greet(connection: &mut impl Transport) -> Greeting {
    connection.buffers().output()[..GREETING.len()].copy_from_slice(GREETING);
    if connection.transmit_output(GREETING.len(), timeout()).is_err() {
        return Greeting::Unanswered;
    }
    loop {
        match connection.await_input(timeout()) {
            Ok(true) => {}
            Ok(false) | Err(_) => return Greeting::Unanswered,
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(connection.buffers().input()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => continue,
            Err(_) => return Greeting::Unanswered,
        };
        if response.code != Some(204) {
            return Greeting::Unanswered;
        }
        connection.buffers().input_consume(length);
        return Greeting::Answered;
    }
}

fn timeout() -> transport::NextTimeout {
    transport::NextTimeout {
        after: transport::time::Duration::Exact(GREETING_TIMEOUT),
        reason: ureq::Timeout::Connect,
        ..transport::NextTimeout::default()
    }
}
