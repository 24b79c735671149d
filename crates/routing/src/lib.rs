//! Load balancing over backend servers, outlier ejection, hedging, and the retry and region budgets.
//!
//! All types are state machines without I/O: events and the current time `now` are passed in, and nothing here opens a
//! socket or reads a clock.

pub mod cold_ramp;
pub mod completion_choice;
pub mod completion_estimate;
pub mod hedge_policy;
pub mod latency_estimate;
pub mod load_reports;
pub mod region_budget;
pub mod region_window;
pub mod request_hold;
pub mod retry_budget;
pub mod retry_turns;
pub mod round_policy;
pub mod route_candidate;
mod route_queries;
pub mod route_table;
mod server_state;
pub mod straggler_ejection;
