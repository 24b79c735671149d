//! Class of a call, bounds on its blocking reads, and counters of control traffic.

pub mod byte_count;
pub mod call_class;
pub mod call_watch;
pub mod class_snapshot;
pub mod control_traffic;
