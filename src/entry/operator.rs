//! Handlers for operators: tickets, accounts, workers, jobs and the state of the control group.

use std::collections::BTreeMap;

use actix_http::StatusCode;

use crate::core::account;
use crate::core::ledger::command;
use crate::core::verdict;
use crate::entry::caller;
use crate::entry::document;
use crate::entry::input;
use crate::entry::plan;
use crate::entry::reply;
use crate::entry::state;
use crate::entry::view;
use crate::net::http;
use crate::telemetry::trace;
use crate::wire::common;
use crate::wire::entry as wire;

/// The length of a list of jobs or workflows if the query gives no limit.
const DEFAULT_LIST_LIMIT: u32 = 100;

/// The largest limit of a list of jobs or workflows.
const MAX_LIST_LIMIT: u32 = 1000;

/// The query parameters of a list of jobs or workflows.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Query {
    account: String,
    limit: Option<u32>,
}

/// Reads the account filter (empty for all accounts) and the limit of a list of jobs or workflows.
pub(super) fn list_filter(request: &http::Request) -> Result<(String, u32), http::Response> {
    let query: Query = input::query(request).map_err(|refusal| reply::refused(&refusal))?;
    let limit = query.limit.unwrap_or(DEFAULT_LIST_LIMIT);
    if limit == 0 || limit > MAX_LIST_LIMIT {
        return Err(bad_request(format!("limit: must be 1 to {MAX_LIST_LIMIT}")));
    }
    Ok((query.account, limit))
}

/// The response body of `GET /v1/accounts`.
#[derive(serde::Serialize)]
struct Accounts {
    revision: u64,
    accounts: BTreeMap<String, document::Account>,
}

/// The response body of `GET /v1/workers`.
#[derive(serde::Serialize)]
struct Workers {
    workers: Vec<view::Worker>,
}

/// The response body of `GET /v1/jobs`.
#[derive(serde::Serialize)]
struct Jobs {
    jobs: Vec<view::Job>,
}

type HandlerResult = Result<http::Response, http::Response>;

fn bad_request(detail: impl Into<String>) -> http::Response {
    reply::refused(&verdict::Refusal::not_run(verdict::Reason::BadRequest, detail))
}

pub(super) fn ok(value: &impl serde::Serialize) -> HandlerResult {
    Ok(reply::json(StatusCode::OK, value))
}

async fn ticket(
    state: &state::State,
    request: &mut http::Request,
) -> Result<command::Ticket, http::Response> {
    let document: document::Ticket =
        input::json(request, input::MAX_TICKET_BYTES, state.body_timeout())
            .await
            .map_err(|refusal| reply::refused(&refusal))?;
    command::Ticket::try_from(document).map_err(|error| bad_request(error.to_string()))
}

/// `POST /v1/tickets`: applies a ticket.
pub async fn apply(
    state: &state::State,
    mut request: http::Request,
    hop: &trace::Hop,
) -> HandlerResult {
    let ticket = ticket(state, &mut request).await?;
    let (number, digest) = (ticket.number.0, document::hex(&ticket.digest));
    let call = wire::Call::Ticket(common::Ticket::from(ticket));
    match state.ask(hop.context(), call, state.call_timeout()).await? {
        wire::Reply::Ticket { revision } => ok(&view::Accepted { number, digest, revision }),
        _ => Err(state::unexpected_reply("ticket")),
    }
}

/// `POST /v1/tickets/plan`: shows the changes that a ticket would make.
pub async fn plan(
    state: &state::State,
    mut request: http::Request,
    hop: &trace::Hop,
) -> HandlerResult {
    let ticket = ticket(state, &mut request).await?;
    let config = config(state, hop).await?;
    let group = group_status(state, hop).await?;
    ok(&plan::plan(&ticket, &config, &group))
}

async fn config(state: &state::State, hop: &trace::Hop) -> Result<account::Config, http::Response> {
    match state.ask(hop.context(), wire::Call::Config, state.call_timeout()).await? {
        wire::Reply::Config(config) => {
            account::Config::try_from(config).map_err(|_| state::unexpected_reply("config"))
        }
        _ => Err(state::unexpected_reply("config")),
    }
}

async fn group_status(
    state: &state::State,
    hop: &trace::Hop,
) -> Result<wire::Status, http::Response> {
    match state.ask(hop.context(), wire::Call::Status, state.call_timeout()).await? {
        wire::Reply::Status(status) => Ok(status),
        _ => Err(state::unexpected_reply("status")),
    }
}

/// `GET /v1/tickets/{number}`: shows the record of an accepted ticket.
pub async fn ticket_record(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    match state.ask(hop.context(), wire::Call::TicketShow(number), state.call_timeout()).await? {
        wire::Reply::TicketRecord(record) => ok(&view::TicketRecord::from(&record)),
        _ => Err(state::unexpected_reply("ticket record")),
    }
}

/// `GET /v1/accounts`: lists all client accounts.
pub async fn accounts(state: &state::State, hop: &trace::Hop) -> HandlerResult {
    let config = config(state, hop).await?;
    let accounts = config.accounts.values();
    let named = accounts.map(|account| (account.name.clone(), account.into()));
    ok(&Accounts { revision: config.revision.0, accounts: named.collect() })
}

/// `GET /v1/accounts/{name}`: shows a client account.
pub async fn account(state: &state::State, name: &str, hop: &trace::Hop) -> HandlerResult {
    let config = config(state, hop).await?;
    match config.accounts.get(name) {
        Some(account) => ok(&document::Account::from(account)),
        None => Err(unknown(format!("account {name}"))),
    }
}

fn unknown(what: String) -> http::Response {
    reply::refused(&verdict::Refusal::not_run(verdict::Reason::Unknown, what))
}

/// `GET /v1/workers`: lists all workers.
pub async fn workers(state: &state::State, hop: &trace::Hop) -> HandlerResult {
    match state.ask(hop.context(), wire::Call::Workers, state.call_timeout()).await? {
        wire::Reply::Workers(workers) => {
            ok(&Workers { workers: workers.iter().map(view::Worker::from).collect() })
        }
        _ => Err(state::unexpected_reply("workers")),
    }
}

/// `GET /v1/jobs`: lists jobs.
pub async fn jobs(state: &state::State, request: http::Request, hop: &trace::Hop) -> HandlerResult {
    let (account, limit) = list_filter(&request)?;
    let call = wire::Call::Jobs { account, limit };
    match state.ask(hop.context(), call, state.call_timeout()).await? {
        wire::Reply::Jobs(jobs) => ok(&Jobs { jobs: jobs.iter().map(view::Job::from).collect() }),
        _ => Err(state::unexpected_reply("jobs")),
    }
}

async fn find_job(
    state: &state::State,
    number: u64,
    hop: &trace::Hop,
) -> Result<wire::Job, http::Response> {
    match state.ask(hop.context(), wire::Call::JobShow(number), state.call_timeout()).await? {
        wire::Reply::Job(job) if job.job == number => Ok(job),
        _ => Err(state::unexpected_reply("job")),
    }
}

/// `GET /v1/jobs/{number}`: shows a job.
pub async fn job(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    ok(&view::Job::from(&find_job(state, number, hop).await?))
}

/// `DELETE /v1/jobs/{number}`: cancels a job in the same way as its caller can.
pub async fn cancel(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    let job = find_job(state, number, hop).await?;
    let target = caller::Target { account: job.account, key: job.key };
    Ok(caller::cancel_target(state, target, hop).await)
}

/// `GET /v1/status`: shows the control group and the processes with an older configuration.
pub async fn status(state: &state::State, hop: &trace::Hop) -> HandlerResult {
    let status = group_status(state, hop).await?;
    let entry_revision = state.link.config().map_or(0, |config| config.revision.0);
    ok(&view::Status::new(&status, entry_revision))
}
