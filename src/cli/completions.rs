//! `hemlockcleat completions`: prints completions for a shell on standard output.

use std::io;

use clap::Args as _;

use crate::cli;
use crate::cli::error;

#[derive(Debug, clap::Args)]
struct Args {
    /// The shell
    #[arg(value_enum)]
    shell: clap_complete::Shell,
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    Args::augment_args(clap::Command::new("completions").about("Print completions for a shell"))
}

/// Runs the subcommand.
pub fn exec(args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    let mut text = Vec::new();
    clap_complete::generate(args.shell, &mut cli::cli(), "hemlockcleat", &mut text);
    io::Write::write_all(&mut io::stdout().lock(), &text)?;
    Ok(())
}
