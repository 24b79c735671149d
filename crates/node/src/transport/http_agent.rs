//! Construction of the HTTP clients.

use std::net;
use std::time;

use ureq::unversioned::resolver;
use ureq::unversioned::transport;
use ureq::unversioned::transport::Connector;

use crate::call::call_watch;
use crate::transport::peer_connector;

/// Time for a connection to open; half of the silence bound, so that a dead VM is noticed within it.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Idle time of a pooled connection, below the idle timeouts that servers commonly have.
const IDLE_TIME: time::Duration = time::Duration::from_secs(10);
/// Input buffer of a connection; one frame of the greatest size.
const INPUT_BUFFER_BYTES: usize = 64 << 10;
/// Output buffer of a connection.
const OUTPUT_BUFFER_BYTES: usize = 16 << 10;

/// Creates a client whose reads obey [`call_watch`]; it sets `TCP_NODELAY` and sends no headers of its own.
#[must_use]
pub fn new_agent(max_idle_connections: usize) -> ureq::Agent {
    let connector = ().chain(transport::TcpConnector::default()).chain(call_watch::WatchConnector);
    ureq::Agent::with_parts(new_config(max_idle_connections), connector, AddressResolver)
}

/// Creates a client of a peer, as [`new_agent`]; it uses no connection that the peer does not serve.
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
        .max_idle_age(IDLE_TIME)
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections)
        .input_buffer_size(INPUT_BUFFER_BYTES)
        .output_buffer_size(OUTPUT_BUFFER_BYTES)
        .build()
}

/// Resolver of IP numbers; the daemon looks up no host names.
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
