//! `hemlockcleat trace`: reports on one request from the logs of all processes.

use std::fs;
use std::io;
use std::path;

use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::ops::trace::line;
use crate::ops::trace::story;

#[derive(Debug, clap::Args)]
struct Args {
    /// The request's identifier, or a trace of 32 hexadecimal digits
    id: String,
    /// Logs, one a process; without any, lines are read from standard input
    files: Vec<path::PathBuf>,
}

const AFTER_HELP: &str = "\
Lines are JSON or plain. What stands before a line's time, such as the file name that grep adds, names
its process; otherwise the file's name does.

Examples:
  hemlockcleat trace 6ba73df7eb6b6ba1 logs/*.log
  grep -h 'E[24-5]' logs/*.log | hemlockcleat trace --output json 6ba73df7eb6b6ba1";

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("trace").after_help(AFTER_HELP);
    Args::augment_args(command).about("Tell the story of a request from the logs of all processes")
}

/// Runs the subcommand.
pub fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    let story = story::Story::tell(read(&args.files)?, &args.id);
    if story.lines.is_empty() {
        return Err(error::Error::NotInLogs(args.id));
    }
    match context.output {
        print::Output::Json => print::json(&story.to_json()),
        print::Output::Table => print::text(&story.to_text()),
    }
}

fn read(files: &[path::PathBuf]) -> Result<Vec<line::Line>, error::Error> {
    if files.is_empty() {
        return Ok(line::read(io::stdin().lock(), None)?);
    }
    let mut lines = Vec::new();
    for file in files {
        let failed = |source| error::Error::File(file.clone(), source);
        let name = file.file_stem().map(|name| name.to_string_lossy());
        let input = io::BufReader::new(fs::File::open(file).map_err(failed)?);
        lines.extend(line::read(input, name.as_deref()).map_err(failed)?);
    }
    Ok(lines)
}
