//! State shared by the threads around the core.

pub mod node_shared;
