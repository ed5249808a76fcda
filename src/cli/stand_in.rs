//! `hemlockcleat stand-in`: runs a backend server with simulated work, for experiments and tests.

use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::ops::standin;

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("stand-in").about("Run a stand-in backend server");
    standin::Args::augment_args(command)
}

/// Runs the subcommand until SIGTERM or SIGINT.
pub async fn exec(args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: standin::Args = cli::parse(args)?;
    standin::exec(args).await.map_err(|error| error::Error::StandIn(error.to_string()))
}
