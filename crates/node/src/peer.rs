//! Client of other daemons, and the configuration messages that daemons exchange.

pub mod config_message;
pub mod peer_client;
