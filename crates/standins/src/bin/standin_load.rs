//! Load generator.

fn main() {}
