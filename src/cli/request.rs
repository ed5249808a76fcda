//! `hemlockcleat request`: submits, awaits and cancels a caller's requests, and fetches answers.

use std::fs;
use std::io;
use std::io::Write as _;
use std::path;
use std::time;

use actix_http::Method;
use clap::Args as _;
use sha2::Digest as _;

use crate::cli;
use crate::cli::client;
use crate::cli::error;
use crate::cli::job;
use crate::entry::document;
use crate::entry::view;

#[derive(Debug, clap::Args)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, clap::Subcommand)]
enum Action {
    /// Submit a request; safe to run again with the same key
    Submit(Submit),
    /// Wait for a request's end
    Wait {
        #[command(flatten)]
        target: Target,
        /// How long to wait, in milliseconds
        #[arg(long, default_value_t = 60_000, value_name = "MS")]
        wait: u64,
    },
    /// Fetch a request's whole answer
    Answer {
        #[command(flatten)]
        target: Target,
        /// How long to wait for the answer, in milliseconds
        #[arg(long, default_value_t = 0, value_name = "MS")]
        wait: u64,
        /// Write the answer to this file instead of standard output
        #[arg(long, value_name = "FILE")]
        file: Option<path::PathBuf>,
    },
    /// Cancel a request
    Cancel {
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Debug, clap::Args)]
struct Target {
    /// The client account
    #[arg(long)]
    account: String,
    /// The request's idempotency key
    key: String,
}

#[derive(Debug, clap::Args)]
struct Submit {
    #[command(flatten)]
    target: Target,
    /// The service
    #[arg(long)]
    service: String,
    /// The kind of work
    #[arg(long)]
    kind: String,
    /// Tasks, all of which run together
    #[arg(long, default_value_t = 1)]
    tasks: u32,
    /// Accelerators for each task
    #[arg(long, default_value_t = 0)]
    accelerators: u32,
    /// How close together the tasks must run
    #[arg(long, default_value = "cell", value_parser = ["cell", "data-center", "rack", "worker"])]
    adjacency: String,
    /// The declared run time, in milliseconds
    #[arg(long, value_name = "MS")]
    run_time_ms: u64,
    /// The deadline, in milliseconds from now; the kind's own where it is absent
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// What the backend server gets
    #[arg(long, default_value = "", conflicts_with = "payload_file")]
    payload: String,
    /// A text file with what the backend server gets
    #[arg(long, value_name = "FILE")]
    payload_file: Option<path::PathBuf>,
    /// How long to wait for the end, in milliseconds
    #[arg(long, default_value_t = 0, value_name = "MS")]
    wait: u64,
    /// An earlier send under this key is unanswered
    #[arg(long)]
    resend: bool,
}

/// Defines the subcommand and its arguments.
pub fn cli() -> clap::Command {
    let command = clap::Command::new("request").about("Submit and follow requests").after_help(
        "Examples:\n  hemlockcleat request submit --account swan-coast --service booking \\\n      \
         --kind rebuild --run-time-ms 60000 --payload 'round 7' round-7\n  \
         hemlockcleat request answer --account swan-coast --wait 30000 round-7",
    );
    Args::augment_args(command)
}

/// Runs the subcommand.
pub async fn exec(context: &cli::Context, args: &clap::ArgMatches) -> Result<(), error::Error> {
    let args: Args = cli::parse(args)?;
    match args.action {
        Action::Submit(submit) => self::submit(context, submit).await,
        Action::Wait { target, wait } => self::wait(context, &target, wait).await,
        Action::Answer { target, wait, file } => answer(context, &target, wait, file).await,
        Action::Cancel { target } => {
            let wait = time::Duration::ZERO;
            let path = target.path();
            let value = context.client.json(Method::DELETE, &path, Vec::new(), wait).await?;
            job::show(context, value)
        }
    }
}

impl Target {
    fn path(&self) -> String {
        let (account, key) = (client::escape(&self.account), client::escape(&self.key));
        format!("/v1/accounts/{account}/requests/{key}")
    }
}

async fn submit(context: &cli::Context, submit: Submit) -> Result<(), error::Error> {
    let payload = match &submit.payload_file {
        Some(file) => {
            fs::read_to_string(file).map_err(|source| error::Error::File(file.clone(), source))?
        }
        None => submit.payload.clone(),
    };
    let body = serde_json::json!({
        "service": submit.service,
        "kind": submit.kind,
        "tasks": submit.tasks,
        "accelerators": submit.accelerators,
        "adjacency": submit.adjacency,
        "run_time_ms": submit.run_time_ms,
        "deadline_ms": submit.deadline_ms,
        "payload": payload,
    });
    let query = format!("?wait={}&resend={}", submit.wait, submit.resend);
    let path = submit.target.path() + &query;
    let wait = time::Duration::from_millis(submit.wait);
    let body = body.to_string().into_bytes();
    let value = context.client.json(Method::PUT, &path, body, wait).await?;
    job::show(context, value.clone())?;
    check_end(value)
}

async fn wait(context: &cli::Context, target: &Target, wait: u64) -> Result<(), error::Error> {
    let path = format!("{}?wait={wait}", target.path());
    let wait = time::Duration::from_millis(wait);
    let value = context.client.json(Method::GET, &path, Vec::new(), wait).await?;
    job::show(context, value.clone())?;
    let job: view::Job = cli::read(value.clone())?;
    if job.end.is_none() {
        return Err(error::Error::Pending(job.phase));
    }
    check_end(value)
}

/// Fails with the refusal of a request that ended without an answer.
fn check_end(value: serde_json::Value) -> Result<(), error::Error> {
    let job: view::Job = cli::read(value)?;
    match job.end {
        Some(view::End::Refused(refusal)) => Err(error::Error::Refused(200, refusal)),
        _ => Ok(()),
    }
}

async fn answer(
    context: &cli::Context,
    target: &Target,
    wait: u64,
    file: Option<path::PathBuf>,
) -> Result<(), error::Error> {
    let path = format!("{}/answer?wait={wait}", target.path());
    let wait = time::Duration::from_millis(wait);
    let response = context.client.send(Method::GET, &path, Vec::new(), wait).await?;
    match response.status {
        200 => check_digest(&response)?,
        409 => return Err(pending_error(&response)),
        _ => return Err(client::refusal_error(&response)),
    }
    match file {
        Some(file) => {
            fs::write(&file, &response.body).map_err(|source| error::Error::File(file, source))
        }
        None => Ok(io::stdout().lock().write_all(&response.body)?),
    }
}

fn pending_error(response: &client::Response) -> error::Error {
    match client::parse::<view::Job>(response.status, &response.body) {
        Ok(job) => error::Error::Pending(job.phase),
        Err(_) => client::refusal_error(response),
    }
}

/// Verifies the digest of an answer, before any of the answer is written.
fn check_digest(response: &client::Response) -> Result<(), error::Error> {
    let digest = document::hex(&sha2::Sha256::digest(&response.body));
    if response.digest.as_deref() != Some(digest.as_str()) {
        let detail = "the answer does not match its digest".to_owned();
        return Err(error::Error::Response(response.status, detail));
    }
    Ok(())
}
