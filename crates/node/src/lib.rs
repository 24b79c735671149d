//! The daemon as a library: actor, servers, clients, metrics, logs and shutdown.
//!
//! [`node_run::run`] starts a daemon. Decisions live in [`call_class`], [`admission_control`], [`core_routes`],
//! [`request_owner`], [`member_sync`] and [`peer_directory`]; only [`node_core`] calls them, on the one thread of
//! [`core_thread`]. All other modules move bytes.

pub mod admission_control;
pub mod api_changes;
pub mod api_documents;
pub mod api_queries;
pub mod api_response;
pub mod api_server;
pub mod backend_client;
pub mod background_checks;
pub mod byte_count;
pub mod call_begin;
pub mod call_class;
pub mod call_hedge;
pub mod call_runner;
pub mod call_table;
pub mod call_watch;
pub mod callee_runner;
pub mod config_signal;
pub mod config_sync;
pub mod control_traffic;
mod core_calls;
pub mod core_command;
pub mod core_config;
pub mod core_hedges;
mod core_members;
mod core_owner;
pub mod core_routes;
pub mod core_thread;
mod core_work;
pub mod entry_body;
pub mod entry_request;
pub mod entry_response;
pub mod entry_server;
pub mod frame_sink;
pub mod frame_writer;
pub mod gossip_socket;
pub mod graceful_shutdown;
pub mod header_filter;
pub mod http_agent;
pub mod http_listener;
pub mod member_jobs;
pub mod member_sync;
pub mod node_core;
pub mod node_effects;
pub mod node_logs;
pub mod node_metrics;
pub mod node_run;
pub mod node_shared;
pub mod peer_client;
mod peer_connector;
pub mod peer_directory;
pub mod peer_server;
pub mod request_owner;
pub mod store_circuit;
pub mod store_client;
mod store_worker;
pub mod worker_pool;
