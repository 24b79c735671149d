//! Sockets, connections and threads, independent of the semantics of calls.

pub mod frame_sink;
pub mod frame_writer;
pub mod gossip_socket;
pub mod header_filter;
pub mod http_agent;
pub mod http_listener;
pub(crate) mod peer_connector;
pub mod worker_pool;
