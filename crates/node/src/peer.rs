//! Client of other daemons, and what daemons tell each other of the configuration.

pub mod config_message;
pub mod peer_client;
