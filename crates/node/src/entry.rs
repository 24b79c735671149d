//! Servers for callers and for peers.

pub mod entry_body;
pub mod entry_request;
pub mod entry_response;
pub mod entry_server;
pub mod peer_server;
