//! The operations behind the subcommands.

pub mod check_settings;
pub mod daemon;
pub mod demo;
pub mod exposition;
pub mod local;
pub mod standin;
pub mod store;
pub mod trace;
