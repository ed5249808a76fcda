//! The operator command: a file a subcommand, each with `cli()` and `exec()`.

pub mod store;
