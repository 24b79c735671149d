//! Daemon that runs on one single-threaded event loop.
//!
//! [`entry_call`] handles a caller's request: it matches a route, selects a server and sends the request over an
//! [`http_link`] to the daemon beside that server. There [`peer_server`] passes it to [`callee_call`], which admits it
//! and sends it to the backend server. All decisions are made by [`forward_core`], whose state is owned by one stakker
//! actor; tasks call it through [`core_handle`].
//!
//! [`store_port`], [`server_report`], [`server_notice`] and [`header_names`] are the interface to the platform. The
//! platform's names and formats are defined outside this crate.

pub mod bounded_stream;
pub mod call_identity;
pub mod callee_call;
pub mod caller_key;
pub mod capacity_log;
pub mod config_check;
pub mod config_confirmation;
pub mod config_text;
pub mod core_handle;
pub mod crash_watch;
pub mod departure_log;
pub mod entry_call;
pub mod feed_schedule;
pub mod forward_core;
pub mod forward_metrics;
pub mod forward_settings;
pub mod header_names;
pub mod http_link;
pub mod http_server;
pub mod internal_body;
pub mod link_budget;
pub mod local_reply;
pub mod log_limiter;
pub mod log_output;
pub mod member_tasks;
pub mod message_body;
pub mod node_context;
pub mod node_logs;
pub mod node_run;
pub mod peer_call;
pub mod peer_client;
pub mod peer_server;
pub mod process_limits;
pub mod quarantine_state;
pub mod quarantine_tasks;
pub mod quota_gate;
pub mod quota_state;
pub mod quota_tasks;
pub mod quota_view;
pub mod request_end;
pub mod retry_share;
pub mod route_config;
pub mod server_hint;
pub mod server_notice;
pub mod server_report;
pub mod stall_watch;
pub mod stop_schedule;
pub mod store_port;
pub mod tenant_config;
pub mod weighted_choice;
