//! What the threads around the core share.

pub mod node_shared;
