//! `hemlockcleat worker`: lists and drains workers.

use clap::Args as _;

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::cli::ticket;
use crate::entry::view;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// List the workers
    List,
    /// Give a worker no new work, by a ticket of its own
    Drain {
        /// The worker's name
        name: String,
        /// The ticket's number; above the one that last set this worker
        #[arg(long, value_name = "NUMBER")]
        ticket: u64,
        /// Give it work again
        #[arg(long)]
        undo: bool,
    },
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("worker").about("Show and drain workers").after_help(
        "Examples:\n  hemlockcleat worker list\n  hemlockcleat worker drain w3 --ticket 19",
    );
    Args::augment_args(command)
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    match args.action {
        Action::List => list(context).await,
        Action::Drain { name, ticket, undo } => {
            let body = serde_json::json!({
                "number": ticket,
                "workers": {name: {"drain": !undo}},
            });
            ticket::apply(context, body.to_string().into_bytes()).await
        }
    }
}

#[derive(serde::Deserialize)]
struct List {
    workers: Vec<view::Worker>,
}

async fn list(context: &cli::Context) -> Result<(), error::Error> {
    let value = context.client.get("/v1/workers").await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let list: List = cli::read(value)?;
    let headers = [
        "WORKER",
        "CENTRE",
        "RACK",
        "ALIVE",
        "LEAVING",
        "DRAIN",
        "TASKS",
        "ACCELERATORS",
        "HEALTH",
        "REVISION",
    ];
    let rows: Vec<_> = list.workers.iter().map(row).collect();
    print::table(&headers, &rows)
}

fn row(worker: &view::Worker) -> Vec<String> {
    vec![
        worker.worker.clone(),
        worker.data_center.clone(),
        worker.rack.clone(),
        print::yes_or_no(worker.alive),
        print::yes_or_no(worker.leaving),
        print::yes_or_no(worker.drain),
        format!("{}/{}", worker.tasks_granted, worker.slots),
        format!("{}/{}", worker.accelerators_granted, worker.accelerators),
        worker.health.clone(),
        worker.revision.to_string(),
    ]
}
