//! The daemon on one event loop.
//!
//! A caller's request enters at [`entry_call`], which finds its route, chooses a server and sends the request over a
//! [`http_link`] to the daemon beside that server. There [`peer_server`] hands it to [`callee_call`], which admits it
//! and sends it to the backend server. All decisions are steps of [`forward_core`], which one stakker actor owns; tasks
//! reach it through [`core_handle`].
//!
//! The platform is met through [`store_port`], [`server_report`] and [`header_names`]; this crate knows none of its
//! names or formats.

pub mod callee_call;
pub mod core_handle;
pub mod decision_log;
pub mod entry_call;
pub mod forward_core;
pub mod forward_metrics;
pub mod forward_settings;
pub mod header_names;
pub mod http_link;
pub mod http_server;
pub mod log_output;
pub mod member_tasks;
pub mod message_body;
pub mod node_context;
pub mod node_logs;
pub mod node_run;
pub mod peer_call;
pub mod peer_server;
pub mod retry_share;
pub mod route_config;
pub mod server_report;
pub mod store_port;
pub mod weighted_choice;
