//! `hemlockcleat job`: lists, shows and cancels jobs.

use std::time;

use actix_http::Method;
use clap::Args as _;

use crate::cli;
use crate::cli::client;
use crate::cli::error;
use crate::cli::print;
use crate::core::time::Wall;
use crate::entry::view;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// List jobs that have not ended, and the latest that have
    List(client::Filter),
    /// Show a job
    Show {
        /// The job's number
        job: u64,
    },
    /// Cancel a job as its caller would
    Cancel {
        /// The job's number
        job: u64,
    },
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    Args::augment_args(clap::Command::new("job").about("Show and cancel jobs"))
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    match args.action {
        Action::List(filter) => list(context, &filter).await,
        Action::Show { job } => {
            let value = context.client.get(&format!("/v1/jobs/{job}")).await?;
            show(context, value)
        }
        Action::Cancel { job } => {
            let path = format!("/v1/jobs/{job}");
            let wait = time::Duration::ZERO;
            let value = context.client.json(Method::DELETE, &path, Vec::new(), wait).await?;
            show(context, value)
        }
    }
}

#[derive(serde::Deserialize)]
struct List {
    jobs: Vec<view::Job>,
}

async fn list(context: &cli::Context, filter: &client::Filter) -> Result<(), error::Error> {
    let value = context.client.get(&filter.path("/v1/jobs")).await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let list: List = cli::read(value)?;
    let headers =
        ["JOB", "ACCOUNT", "KEY", "SERVICE", "KIND", "SHAPE", "PHASE", "TRIES", "DUE", "END"];
    let rows: Vec<_> = list.jobs.iter().map(row).collect();
    print::table(&headers, &rows)
}

fn row(job: &view::Job) -> Vec<String> {
    vec![
        job.job.to_string(),
        job.account.clone(),
        job.key.clone(),
        job.service.clone(),
        job.kind.clone(),
        shape(job),
        job.phase.clone(),
        job.attempts.to_string(),
        Wall(job.due).format_utc(),
        end(job),
    ]
}

fn shape(job: &view::Job) -> String {
    format!("{}x{}@{}", job.tasks, job.accelerators, job.adjacency)
}

fn end(job: &view::Job) -> String {
    match &job.end {
        None => "-".to_owned(),
        Some(view::End::Done { length, .. }) => format!("done, {length} bytes"),
        Some(view::End::Refused(refusal)) => format!("{}: {}", refusal.verdict, refusal.message),
    }
}

/// Prints a job from the entry's JSON.
pub fn show(context: &cli::Context, value: serde_json::Value) -> Result<(), error::Error> {
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let job: view::Job = cli::read(value)?;
    let placement = |place: &view::Placement| {
        let (center, rack) = (&place.data_center, &place.rack);
        format!("{} ({center}/{rack}): {} tasks", place.worker, place.tasks)
    };
    let places: Vec<_> = job.places.iter().map(placement).collect();
    print::pairs(&[
        ("job", job.job.to_string()),
        ("account", job.account.clone()),
        ("key", job.key.clone()),
        ("service", job.service.clone()),
        ("kind", job.kind.clone()),
        ("shape", shape(&job)),
        ("submitted", Wall(job.submitted).format_utc()),
        ("due", Wall(job.due).format_utc()),
        ("phase", job.phase.clone()),
        ("attempts", job.attempts.to_string()),
        ("places", places.join(", ")),
        ("end", end(&job)),
    ])
}
