//! The damasktrack command line for operators.

fn main() {}
