//! `hemlockcleat demo`: runs a complete deployment on loopback in one process.

use crate::cli::error;
use crate::ops::demo;

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    clap::Command::new("demo").about("Run a whole deployment on loopback and show its answers")
}

/// Runs the subcommand.
pub async fn exec() -> Result<(), error::Error> {
    demo::exec().await.map_err(|error| error::Error::Demo(error.to_string()))
}
