//! `hemlockcleat store`: inspects the data folder of a stopped control replica.

use std::io;
use std::path;

use clap::Subcommand as _;

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::ops::store;

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Show what a data folder of a stopped replica holds
    #[command(after_help = "Example:\n  hemlockcleat store inspect /var/lib/hemlockcleat")]
    Inspect(Folder),
    /// Check every file of a data folder of a stopped replica; ends with 1 if one is damaged
    #[command(after_help = "Example:\n  hemlockcleat store verify /var/lib/hemlockcleat")]
    Verify(Folder),
}

#[derive(Debug, clap::Args)]
struct Folder {
    /// The data folder
    dir: path::PathBuf,
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("store")
        .about("Look into the data folder of a stopped control replica")
        .subcommand_required(true);
    Command::augment_subcommands(command)
}

/// Runs the subcommand.
pub fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let command: Command = cli::parse(args)?;
    let (Command::Inspect(folder) | Command::Verify(folder)) = &command;
    let report = store::inspect(&folder.dir).map_err(io::Error::other)?;
    match (context.output, &command) {
        (print::Output::Json, _) => print::json(&store::to_json(&report)),
        (print::Output::Table, Command::Inspect(_)) => print::line(&store::to_text(&report)),
        (print::Output::Table, Command::Verify(_)) => print::line(&store::verdict(&report)),
    }
}
