//! Construction of HTTP clients.

use std::net;
use std::time;

use ureq::unversioned::resolver;
use ureq::unversioned::transport;
use ureq::unversioned::transport::Connector;

use crate::call::call_watch;
use crate::transport::peer_connector;

/// Bound on opening a connection: half of the silence bound, so that a failed VM is detected within the latter.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Idle time after which a pooled connection is not reused; shorter than the idle timeouts that servers commonly have.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(10);
/// Size of a connection's input buffer; it holds one frame of maximum size.
const INPUT_BUFFER_BYTES: usize = 64 << 10;
/// Size of a connection's output buffer.
const OUTPUT_BUFFER_BYTES: usize = 16 << 10;

/// Creates a client whose reads are bounded by [`call_watch`]. It sets `TCP_NODELAY`, follows no redirects, and sends
/// no `User-Agent`, `Accept` or `Accept-Encoding` header of its own.
#[must_use]
pub fn new_agent(max_idle_connections: usize) -> ureq::Agent {
    let connector = ().chain(transport::TcpConnector::default()).chain(call_watch::WatchConnector);
    ureq::Agent::with_parts(new_config(max_idle_connections), connector, AddressResolver)
}

/// Creates a client of a peer, like [`new_agent`], that uses a new connection only after the peer has answered a
/// greeting on it.
#[must_use]
pub fn new_peer_agent(max_idle_connections: usize) -> ureq::Agent {
    let connector = peer_connector::PeerConnector::default().chain(call_watch::WatchConnector);
    ureq::Agent::with_parts(new_config(max_idle_connections), connector, AddressResolver)
}

fn new_config(max_idle_connections: usize) -> ureq::config::Config {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .no_delay(true)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .allow_non_standard_methods(true)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_age(MAX_IDLE_TIME)
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections)
        .input_buffer_size(INPUT_BUFFER_BYTES)
        .output_buffer_size(OUTPUT_BUFFER_BYTES)
        .build()
}

/// Resolver that accepts IP addresses only; the daemon looks up no host names.
#[derive(Debug)]
struct AddressResolver;

impl resolver::Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &ureq::http::Uri,
        _config: &ureq::config::Config,
        _timeout: transport::NextTimeout,
    ) -> Result<resolver::ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map(ureq::http::uri::Authority::as_str);
        let address = authority.and_then(|text| text.parse::<net::SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}
