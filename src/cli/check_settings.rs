//! `hemlockcleat check-settings`: checks a settings file as its program does at start.

use std::path;

use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::ops::check_settings;

#[derive(Debug, clap::Args)]
struct Args {
    /// The program that the settings are for
    #[arg(long, value_enum)]
    role: check_settings::Role,
    /// The settings file (JSON)
    file: path::PathBuf,
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("check-settings").about("Check a settings file");
    Args::augment_args(command)
}

/// Runs the subcommand.
pub fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    check_settings::exec(args.role, &args.file)
        .map_err(|source| error::Error::Settings(args.file.clone(), source))?;
    match context.output {
        print::Output::Json => print::json(&serde_json::json!({"sound": true})),
        print::Output::Table => print::line(&format!("{}: sound", args.file.display())),
    }
}
