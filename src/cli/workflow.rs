//! `hemlockcleat workflow`: lists, shows and cancels workflows.

use std::time;

use actix_http::Method;
use clap::Args as _;

use crate::cli;
use crate::cli::client;
use crate::cli::error;
use crate::cli::print;
use crate::core::time::Wall;
use crate::entry::workflow;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// List workflows that have not ended, and the latest that have
    List(client::Filter),
    /// Show a workflow with its steps, and where its tasks run
    Show {
        /// The workflow's number
        number: u64,
    },
    /// Cancel a workflow as its caller would
    Cancel {
        /// The workflow's number
        number: u64,
    },
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    Args::augment_args(clap::Command::new("workflow").about("Show and cancel workflows"))
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    let path = |number: u64| format!("/v1/workflows/{number}");
    let value = match args.action {
        Action::List(filter) => return list(context, &filter).await,
        Action::Show { number } => context.client.get(&path(number)).await?,
        Action::Cancel { number } => {
            let wait = time::Duration::ZERO;
            context.client.json(Method::DELETE, &path(number), Vec::new(), wait).await?
        }
    };
    show(context, value)
}

async fn list(context: &cli::Context, filter: &client::Filter) -> Result<(), error::Error> {
    let value = context.client.get(&filter.path("/v1/workflows")).await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let list: workflow::List = cli::read(value)?;
    let headers = ["WORKFLOW", "ID", "ACCOUNT", "QUEUE", "RANK", "PHASE", "ACCEPTED", "TASKS"];
    let rows: Vec<_> = list.workflows.iter().map(row).collect();
    print::table(&headers, &rows)
}

fn row(workflow: &workflow::Workflow) -> Vec<String> {
    vec![
        workflow.workflow.to_string(),
        workflow.id.clone(),
        workflow.account.clone(),
        workflow.queue.clone(),
        workflow.rank.to_string(),
        workflow.phase.clone(),
        Wall(workflow.accepted).format_utc(),
        progress(workflow),
    ]
}

fn progress(workflow: &workflow::Workflow) -> String {
    let sum = |part: fn(&workflow::Step) -> u32| workflow.steps.iter().map(part).sum::<u32>();
    let (done, placed, waiting) = (sum(|s| s.done), sum(|s| s.placed), sum(|s| s.waiting));
    format!("{done} done, {placed} placed, {waiting} waiting")
}

fn show(context: &cli::Context, value: serde_json::Value) -> Result<(), error::Error> {
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let detail: workflow::Detail = cli::read(value)?;
    let workflow = &detail.workflow;
    print::pairs(&[
        ("workflow", workflow.workflow.to_string()),
        ("id", workflow.id.clone()),
        ("account", workflow.account.clone()),
        ("queue", workflow.queue.clone()),
        ("pool", workflow.pool.clone()),
        ("rank", workflow.rank.to_string()),
        ("phase", workflow.phase.clone()),
        ("accepted", Wall(workflow.accepted).format_utc()),
        ("ended", workflow.ended.map_or("-".to_owned(), |ended| Wall(ended).format_utc())),
        ("occurrences", format!("{} of {} done", workflow.finished, workflow.occurrences)),
    ])?;
    print::line("")?;
    let rows: Vec<_> = workflow.steps.iter().zip(0..).map(step).collect();
    print::table(&["STEP", "KIND", "DONE", "PLACED", "WAITING", "FAILURES"], &rows)?;
    if detail.tasks.is_empty() {
        return Ok(());
    }
    print::line("")?;
    let rows: Vec<_> = detail.tasks.iter().map(task).collect();
    print::table(&["TASK", "RUN", "FAILURES", "WORKER"], &rows)
}

fn step((step, number): (&workflow::Step, usize)) -> Vec<String> {
    vec![
        number.to_string(),
        if step.gang { "gang" } else { "tasks" }.to_owned(),
        step.done.to_string(),
        step.placed.to_string(),
        step.waiting.to_string(),
        step.failures.to_string(),
    ]
}

fn task(task: &workflow::Task) -> Vec<String> {
    vec![
        task.task.clone(),
        task.run.to_string(),
        task.failures.to_string(),
        task.worker.clone().unwrap_or_else(|| "-".to_owned()),
    ]
}
