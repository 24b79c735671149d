//! Ids, call context, outcomes and levels shared by all damasktrack crates.
//!
//! This crate holds values that cross crate borders and their text forms. It makes no decisions and knows nothing of
//! sockets, clocks or threads.

pub mod admission_level;
pub mod call_context;
pub mod call_outcome;
pub mod ids;
pub mod request_identity;
pub mod server_location;
