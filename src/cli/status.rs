//! `hemlockcleat status`: shows the control group, and which processes lag behind its revision.

use crate::cli;
use crate::cli::error;
use crate::cli::print;
use crate::entry::view;

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    clap::Command::new("status").about("Show the control group and who lags behind")
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context) -> Result<(), error::Error> {
    let value = context.client.get("/v1/status").await?;
    if context.output == print::Output::Json {
        return print::json(&value);
    }
    let status: view::Status = cli::read(value)?;
    print::pairs(&[
        ("leader", status.leader.to_string()),
        ("term", status.term.to_string()),
        ("revision", status.revision.to_string()),
        ("revision of this entry", status.entry_revision.to_string()),
        ("entries committed", status.committed.to_string()),
        ("jobs waiting", status.queued.to_string()),
        ("jobs released", status.running.to_string()),
    ])?;
    replicas(&status)?;
    lagging(&status)?;
    shortfall(&status)
}

fn replicas(status: &view::Status) -> Result<(), error::Error> {
    let row = |replica: &view::Replica| {
        vec![
            replica.replica.to_string(),
            replica.addr.clone(),
            print::yes_or_no(replica.voter),
            replica.behind.to_string(),
        ]
    };
    let rows: Vec<_> = status.replicas.iter().map(row).collect();
    print::line("")?;
    print::table(&["REPLICA", "ADDRESS", "VOTES", "BEHIND"], &rows)
}

fn lagging(status: &view::Status) -> Result<(), error::Error> {
    if status.lagging.is_empty() {
        return Ok(());
    }
    let row = |lagging: &view::Lagging| vec![lagging.name.clone(), lagging.revision.to_string()];
    let rows: Vec<_> = status.lagging.iter().map(row).collect();
    print::line("")?;
    print::table(&["LAGGING", "REVISION"], &rows)
}

fn shortfall(status: &view::Status) -> Result<(), error::Error> {
    if status.shortfall.is_empty() {
        return Ok(());
    }
    let row =
        |shortfall: &view::Shortfall| vec![shortfall.account.clone(), shortfall.missing.clone()];
    let rows: Vec<_> = status.shortfall.iter().map(row).collect();
    print::line("")?;
    print::table(&["GUARANTEE SHORT", "MISSING"], &rows)
}
