//! All decision state, owned by one thread.

pub mod admission_control;
pub mod call_table;
pub mod config_signal;
pub(crate) mod core_calls;
pub mod core_command;
pub mod core_config;
pub mod core_hedges;
pub(crate) mod core_members;
pub(crate) mod core_owner;
pub mod core_routes;
pub mod core_thread;
pub(crate) mod core_work;
pub mod member_sync;
pub mod node_core;
pub mod node_effects;
pub mod node_metrics;
pub mod peer_directory;
pub mod request_owner;
