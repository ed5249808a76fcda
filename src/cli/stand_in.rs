//! `hemlockcleat stand-in`: a backend server that pretends to work, for trials and tests.

use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::ops::standin;

/// The subcommand's arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("stand-in").about("Run a stand-in backend server");
    standin::Args::augment_args(command)
}

/// Runs the subcommand until the process is asked to stop.
pub async fn exec(args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: standin::Args = cli::parse(args)?;
    standin::exec(args).await.map_err(|error| error::Error::StandIn(error.to_string()))
}
