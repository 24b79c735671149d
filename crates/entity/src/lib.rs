//! Ids, call context, outcomes and levels shared by all damasktrack crates.
//!
//! The crate defines the values that other crates exchange, and their text forms. It holds no state and uses no
//! sockets, clocks or threads.

pub mod admission_level;
pub mod call_context;
pub mod call_outcome;
pub mod ids;
pub mod request_identity;
pub mod server_location;
