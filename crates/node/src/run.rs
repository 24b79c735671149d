//! Execution of calls: attempts at peers and at the backend server, retries and hedges.

pub mod call_begin;
pub mod call_hedge;
pub mod call_runner;
pub mod callee_runner;
