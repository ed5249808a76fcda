//! `hemlockcleat ticket`: plans, applies and shows numbered change tickets.

use std::fs;
use std::path;
use std::time;

use actix_http::Method;
use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::core::time::Wall;
use crate::entry::plan;
use crate::entry::view;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// Show what a ticket would change; changes nothing
    Plan {
        /// The ticket's file (JSON)
        file: path::PathBuf,
    },
    /// Apply a ticket; safe to run again with the same file
    Apply {
        /// The ticket's file (JSON)
        file: path::PathBuf,
    },
    /// Show what became of a ticket's number
    Show {
        /// The ticket's number
        number: u64,
    },
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("ticket").about("Plan, apply and show tickets").after_help(
        "A ticket's file holds its number and the whole new state of each object it touches.\n\n\
         Examples:\n  hemlockcleat ticket plan 0007-accounts.json\n  \
         hemlockcleat ticket apply 0007-accounts.json\n  hemlockcleat ticket show 7",
    );
    Args::augment_args(command)
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    match args.action {
        Action::Plan { file } => plan(context, read(&file)?).await,
        Action::Apply { file } => apply(context, read(&file)?).await,
        Action::Show { number } => show(context, number).await,
    }
}

fn read(file: &path::Path) -> Result<Vec<u8>, error::Error> {
    fs::read(file).map_err(|source| error::Error::File(file.to_path_buf(), source))
}

async fn post(
    context: &cli::Context,
    path: &str,
    body: Vec<u8>,
) -> Result<serde_json::Value, error::Error> {
    context.client.json(Method::POST, path, body, time::Duration::ZERO).await
}

async fn plan(context: &cli::Context, body: Vec<u8>) -> Result<(), error::Error> {
    let value = post(context, "/v1/tickets/plan", body).await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let plan: plan::Plan = cli::read(value)?;
    let heading = format!("ticket {} against revision {}", plan.number, plan.revision);
    print::line(&heading)?;
    for object in &plan.objects {
        print::line(&format!("{:7} {}", object.action.as_str(), object.object))?;
        if object.action == plan::Action::Change {
            print::line(&format!("  before {}", object.before))?;
        }
        if matches!(object.action, plan::Action::Change | plan::Action::Create) {
            print::line(&format!("  after  {}", object.after))?;
        }
    }
    Ok(())
}

/// Applies a ticket and prints the result.
pub async fn apply(context: &cli::Context, body: Vec<u8>) -> Result<(), error::Error> {
    let value = post(context, "/v1/tickets", body).await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let accepted: view::Accepted = cli::read(value)?;
    let (number, revision) = (accepted.number, accepted.revision);
    print::line(&format!("ticket {number} is in force at revision {revision}"))
}

async fn show(context: &cli::Context, number: u64) -> Result<(), error::Error> {
    let value = context.client.get(&format!("/v1/tickets/{number}")).await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let record: view::TicketRecord = cli::read(value)?;
    print::pairs(&[
        ("ticket", record.number.to_string()),
        ("digest", record.digest.clone()),
        ("revision", record.revision.to_string()),
        ("at", Wall(record.at).format_utc()),
        ("objects", record.objects.join(", ")),
    ])
}
