//! The operator command.

fn main() {}
