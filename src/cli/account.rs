//! `hemlockcleat account`: client accounts in force.

use clap::Args as _;

use crate::cli;
use crate::cli::client;
use crate::cli::error;
use crate::cli::print;
use crate::entry::document;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// List the client accounts
    List,
    /// Show a client account, in the form that a ticket sets it
    Show {
        /// The account's name
        name: String,
    },
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    Args::augment_args(clap::Command::new("account").about("Show client accounts in force"))
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    match args.action {
        Action::List => list(context).await,
        Action::Show { name } => {
            let path = format!("/v1/accounts/{}", client::escape(&name));
            // JSON in both output formats, since a ticket takes the account's state in this form.
            print::json(&context.client.get(&path).await?)
        }
    }
}

#[derive(serde::Deserialize)]
struct List {
    revision: u64,
    accounts: document::UniqueMap<document::Account>,
}

async fn list(context: &cli::Context) -> Result<(), error::Error> {
    let value = context.client.get("/v1/accounts").await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let list: List = cli::read(value)?;
    let row = |(name, account): (&String, &document::Account)| {
        vec![
            name.clone(),
            account.weight.to_string(),
            account.queue_limit.to_string(),
            account.tokens.len().to_string(),
            account.guarantees.iter().map(shape).collect::<Vec<_>>().join(" "),
        ]
    };
    let rows: Vec<_> = list.accounts.0.iter().map(row).collect();
    print::table(&["ACCOUNT", "WEIGHT", "QUEUE", "TOKENS", "GUARANTEES"], &rows)?;
    print::line(&format!("revision {}", list.revision))
}

fn shape(guarantee: &document::Guarantee) -> String {
    let adjacency = crate::core::shape::Adjacency::from(guarantee.adjacency).as_str();
    let (count, tasks) = (guarantee.count, guarantee.tasks);
    format!("{count}*{tasks}x{}@{adjacency}", guarantee.accelerators)
}
