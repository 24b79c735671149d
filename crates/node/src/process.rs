//! Start-up, logging and planned stop of the process.

pub mod graceful_shutdown;
pub mod node_logs;
pub mod node_run;
