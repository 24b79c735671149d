//! Choice of a backend server, its health as observed, and the retry and region budgets.
//!
//! All types are plain state driven by events and the caller's `now`; nothing here opens a socket or reads a clock.

pub mod cold_ramp;
pub mod hedge_policy;
pub mod latency_estimate;
pub mod region_budget;
pub mod region_window;
pub mod retry_budget;
pub mod route_candidate;
mod route_queries;
pub mod route_table;
mod server_state;
pub mod straggler_ejection;
