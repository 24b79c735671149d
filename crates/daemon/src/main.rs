//! The damasktrackd daemon.

fn main() {}
