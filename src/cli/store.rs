//! `hemlockcleat store`: look into a data folder.

use std::path;
use std::process;

use crate::ops::store;

/// The arguments of `hemlockcleat store`.
#[derive(Clone, Debug, clap::Args)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum Command {
    /// Show what a data folder of a stopped replica holds.
    #[command(after_help = "Example:\n  hemlockcleat store inspect /var/lib/hemlockcleat")]
    Inspect(Folder),
    /// Check every file of a data folder of a stopped replica; ends with 1 if one is damaged.
    #[command(after_help = "Example:\n  hemlockcleat store verify /var/lib/hemlockcleat")]
    Verify(Folder),
}

#[derive(Clone, Debug, clap::Args)]
struct Folder {
    /// The data folder.
    dir: path::PathBuf,
}

/// The subcommand's definition.
pub fn cli() -> clap::Command {
    <Cli as clap::Args>::augment_args(clap::Command::new("store"))
        .about("Look into the data folder of a stopped control replica")
}

/// Runs the subcommand and prints for people or as JSON.
pub fn exec(args: &Cli, json: bool) -> process::ExitCode {
    let printed = match &args.command {
        Command::Inspect(folder) => {
            store::inspect(&folder.dir).map(|report| store::show(&report, json))
        }
        Command::Verify(folder) => {
            store::inspect(&folder.dir).map(|report| store::verdict(&report, json))
        }
    };
    match printed {
        Ok(text) => {
            println!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
