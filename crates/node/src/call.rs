//! What is known of one call: its class, its caller, and the bytes that it moves.

pub mod byte_count;
pub mod call_class;
pub mod call_watch;
pub mod control_traffic;
