//! The operator command. Each subcommand has its own module with `cli()` and `exec()`.

use std::env;
use std::ffi;
use std::fs;
use std::path;
use std::process;

use clap::Args as _;

pub mod account;
pub mod check_settings;
pub mod client;
pub mod completions;
pub mod demo;
pub mod error;
pub mod job;
pub mod print;
pub mod request;
pub mod stand_in;
pub mod status;
pub mod store;
pub mod ticket;
pub mod trace;
pub mod worker;
pub mod workflow;

/// The entry's URL if neither an option nor the environment gives one.
const DEFAULT_ENTRY: &str = "http://127.0.0.1:8080";

/// Environment variable with the entry's URL.
const ENTRY_VARIABLE: &str = "HEMLOCKCLEAT_ENTRY";

/// Environment variable with the bearer token.
const TOKEN_VARIABLE: &str = "HEMLOCKCLEAT_TOKEN";

/// Options of every subcommand.
#[derive(Clone, Debug, clap::Args)]
struct Globals {
    /// The entry's URL [env: HEMLOCKCLEAT_ENTRY] [default: http://127.0.0.1:8080]
    #[arg(long, global = true, value_name = "URL")]
    entry: Option<String>,
    /// A file with the bearer token; without it the token is taken from HEMLOCKCLEAT_TOKEN
    #[arg(long, global = true, value_name = "FILE")]
    token_file: Option<path::PathBuf>,
    /// How results are printed
    #[arg(long, global = true, value_enum, default_value_t)]
    output: print::Output,
}

/// Values that all subcommands use.
#[derive(Clone, Debug)]
pub struct Context {
    /// Client of the entry.
    pub client: client::Client,
    /// The output format.
    pub output: print::Output,
}

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  failed in another way
  2  the arguments, a file or settings can't be used; nothing was sent
  3  refused: it did not run, or the ticket was not applied
  4  in doubt: it may have run, or the ticket may have been applied
  5  it ran, but there is no answer
  6  the entry can't be reached; nothing was sent
  7  the request has not ended yet

Examples:
  hemlockcleat demo
  hemlockcleat check-settings --role entry entry.json
  hemlockcleat ticket plan 0007-accounts.json
  hemlockcleat ticket apply 0007-accounts.json
  hemlockcleat --output json status
  hemlockcleat request submit --account swan-coast --service booking \\
      --kind rebuild --run-time-ms 60000 --payload 'round 7' --wait 30000 round-7";

/// Defines the complete command line.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("hemlockcleat")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(account::cli())
        .subcommand(check_settings::cli())
        .subcommand(completions::cli())
        .subcommand(demo::cli())
        .subcommand(job::cli())
        .subcommand(request::cli())
        .subcommand(stand_in::cli())
        .subcommand(status::cli())
        .subcommand(store::cli())
        .subcommand(ticket::cli())
        .subcommand(trace::cli())
        .subcommand(worker::cli())
        .subcommand(workflow::cli());
    // `about` comes last, since the doc comment of `Globals` would replace it.
    Globals::augment_args(command)
        .about("Operates hemlockcleat, a scheduler for multi-accelerator jobs")
}

/// Runs the command with the program's arguments.
pub fn main(args: impl IntoIterator<Item = ffi::OsString>) -> process::ExitCode {
    let matches = match cli().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let code = if error.use_stderr() { error::EXIT_USAGE } else { error::EXIT_OK };
            // If printing fails, there is no other output to report it on.
            let _ = error.print();
            return process::ExitCode::from(code);
        }
    };
    match actix_rt::System::new().block_on(exec(&matches)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            process::ExitCode::from(error.code())
        }
    }
}

/// Prints an error and its causes, except causes whose text is part of the line before.
fn report(error: &error::Error) {
    let mut above = error.to_string();
    eprintln!("error: {above}");
    let mut cause = std::error::Error::source(error);
    while let Some(source) = cause {
        let text = source.to_string();
        if !above.contains(&text) {
            eprintln!("  caused by: {text}");
        }
        above = text;
        cause = source.source();
    }
}

async fn exec(matches: &clap::ArgMatches) -> Result<(), error::Error> {
    let context = context(matches)?;
    match matches.subcommand() {
        Some(("account", args)) => account::exec(&context, args).await,
        Some(("check-settings", args)) => check_settings::exec(&context, args),
        Some(("completions", args)) => completions::exec(args),
        Some(("demo", _)) => demo::exec().await,
        Some(("job", args)) => job::exec(&context, args).await,
        Some(("request", args)) => request::exec(&context, args).await,
        Some(("stand-in", args)) => stand_in::exec(args).await,
        Some(("status", _)) => status::exec(&context).await,
        Some(("store", args)) => store::exec(&context, args),
        Some(("ticket", args)) => ticket::exec(&context, args).await,
        Some(("trace", args)) => trace::exec(&context, args),
        Some(("worker", args)) => worker::exec(&context, args).await,
        Some(("workflow", args)) => workflow::exec(&context, args).await,
        _ => Err(error::Error::Usage("name a subcommand; see --help".to_owned())),
    }
}

fn context(matches: &clap::ArgMatches) -> Result<Context, error::Error> {
    let globals: Globals = parse(matches)?;
    let token = match &globals.token_file {
        Some(file) => Some(read_token(file)?),
        None => env::var(TOKEN_VARIABLE).ok().filter(|token| !token.is_empty()),
    };
    let url = globals.entry.or_else(|| env::var(ENTRY_VARIABLE).ok());
    let url = url.unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
    Ok(Context { client: client::Client { url, token }, output: globals.output })
}

fn read_token(file: &path::Path) -> Result<String, error::Error> {
    let text = fs::read_to_string(file)
        .map_err(|source| error::Error::File(file.to_path_buf(), source))?;
    Ok(text.trim().to_owned())
}

/// Converts parsed arguments to a subcommand's type.
pub fn parse<T: clap::FromArgMatches>(matches: &clap::ArgMatches) -> Result<T, error::Error> {
    T::from_arg_matches(matches).map_err(|error| error::Error::Usage(error.to_string()))
}

/// Deserializes the entry's JSON to the expected type.
pub fn read<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, error::Error> {
    serde_json::from_value(value).map_err(|error| error::Error::Response(200, error.to_string()))
}
