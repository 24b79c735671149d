//! Connector for peers, which verifies that a new connection is served.
//!
//! A call is sent on a new connection only after the peer has answered a greeting on it. Until then no byte of the call
//! has been sent, so a peer that is paused, or that accepts the connection and never serves it, causes a short delay
//! and not an unknown outcome. The second case occurs with `tiny_http` 0.12: connections that arrive in a burst can be
//! queued behind an idle thread that takes only one of them, and the others wait until some connection closes.

use std::time;

use ureq::unversioned::transport;
use ureq::unversioned::transport::Transport;

/// Path of the greeting, a `GET` request that the peer answers with status 204.
pub const GREETING_PATH: &str = "/peer/greeting";
const GREETING: &[u8] = b"GET /peer/greeting HTTP/1.1\r\nHost: peer\r\n\r\n";
/// Bound on the wait for the answer to a greeting; longer than the round trip between regions.
const GREETING_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Number of connections that are attempted. Where the first was queued behind a thread, the second gets its own
/// thread.
const MAX_ATTEMPTS: u32 = 2;
/// Maximum number of headers in the answer; the peer server sends four.
const MAX_HEADERS: usize = 16;

/// Connector that sends a greeting on each new connection before it returns it.
#[derive(Debug, Default)]
pub(crate) struct PeerConnector {
    tcp: transport::TcpConnector,
}

/// Result of a greeting on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GreetingResult {
    /// The peer serves the connection.
    Answered,
    /// No answer, or an unexpected one.
    Unanswered,
}

impl transport::Connector<()> for PeerConnector {
    type Out = <transport::TcpConnector as transport::Connector<()>>::Out;

    fn connect(
        &self,
        details: &transport::ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        for _ in 0..MAX_ATTEMPTS {
            let Some(mut connection) = self.tcp.connect(details, None::<()>)? else {
                return Ok(None);
            };
            if greet(&mut connection) == GreetingResult::Answered {
                return Ok(Some(connection));
            }
            log::debug!(peer:% = details.uri; "new connection was not served");
        }
        Err(ureq::Error::Timeout(ureq::Timeout::Connect))
    }
}

fn greet(connection: &mut impl Transport) -> GreetingResult {
    connection.buffers().output()[..GREETING.len()].copy_from_slice(GREETING);
    if connection.transmit_output(GREETING.len(), timeout()).is_err() {
        return GreetingResult::Unanswered;
    }
    loop {
        match connection.await_input(timeout()) {
            Ok(true) => {}
            Ok(false) | Err(_) => return GreetingResult::Unanswered,
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(connection.buffers().input()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => continue,
            Err(_) => return GreetingResult::Unanswered,
        };
        if response.code != Some(204) {
            return GreetingResult::Unanswered;
        }
        connection.buffers().input_consume(length);
        return GreetingResult::Answered;
    }
}

fn timeout() -> transport::NextTimeout {
    transport::NextTimeout {
        after: transport::time::Duration::Exact(GREETING_TIMEOUT),
        reason: ureq::Timeout::Connect,
        ..transport::NextTimeout::default()
    }
}
