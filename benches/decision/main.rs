//! The cost of one decision.

fn main() {}
