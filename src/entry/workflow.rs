//! Workflows for operators: their routes, and what these show.

use std::net;

use crate::entry::operator;
use crate::entry::state;
use crate::net::http;
use crate::telemetry::trace;
use crate::wire::entry as wire;
use crate::wire::workflow as wire_workflow;

/// `GET /v1/workflows`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct List {
    /// Those that have not ended, then those that have, each from the latest on.
    pub workflows: Vec<Workflow>,
}

/// `GET /v1/workflows/{number}`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Detail {
    /// The workflow.
    #[serde(flatten)]
    pub workflow: Workflow,
    /// Its tasks that are not done, those with a run first; at most 1000.
    pub tasks: Vec<Task>,
}

/// A workflow.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Workflow {
    /// Its number.
    pub workflow: u64,
    /// The caller's identifier.
    pub id: String,
    /// The place of its queue.
    pub queue: String,
    /// The client account; empty where the queue is open.
    pub account: String,
    /// The pool that runs it.
    pub pool: String,
    /// The queue's rank at acceptance; 0 is urgent.
    pub rank: u32,
    /// `pending`, `running`, `completed`, `failed` or `cancelled`.
    pub phase: String,
    /// When it was accepted, in ms since 1970.
    pub accepted: u64,
    /// When it ended, in ms since 1970; absent before.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ended: Option<u64>,
    /// How many occurrences its schedule has.
    pub occurrences: u32,
    /// How many of them are done.
    pub finished: u32,
    /// Its steps, over all occurrences that are not done.
    pub steps: Vec<Step>,
}

/// A step: how many tasks stand where.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Step {
    /// Whether its tasks are one gang.
    pub gang: bool,
    /// Tasks that wait, also for earlier steps.
    pub waiting: u32,
    /// Tasks with a run that may be going on.
    pub placed: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Runs that failed.
    pub failures: u32,
}

/// A task that is not done.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Task {
    /// Occurrence, step and index, as the logs of agents name it.
    pub task: String,
    /// The number of its last run; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// The incarnation of its worker, `HOST@BORN`, as logs name it; absent while it waits.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub worker: Option<String>,
}

impl From<wire_workflow::Workflow> for Workflow {
    fn from(workflow: wire_workflow::Workflow) -> Self {
        let step = |step: wire_workflow::Step| {
            let wire_workflow::Step { gang, waiting, placed, done, failures } = step;
            Step { gang, waiting, placed, done, failures }
        };
        Self {
            workflow: workflow.number,
            id: workflow.id,
            queue: workflow.queue,
            account: workflow.account,
            pool: workflow.pool,
            rank: workflow.rank,
            phase: phase(workflow.phase).to_owned(),
            accepted: workflow.accepted,
            ended: Some(workflow.ended).filter(|ended| *ended > 0),
            occurrences: workflow.occurrences,
            finished: workflow.finished,
            steps: workflow.steps.into_iter().map(step).collect(),
        }
    }
}

impl From<wire_workflow::Task> for Task {
    fn from(task: wire_workflow::Task) -> Self {
        let incarnation = |(host, born)| format!("{}@{born}", net::Ipv4Addr::from(host));
        Self {
            task: format!("{}.{}.{}", task.occurrence, task.step, task.index),
            run: task.run,
            failures: task.failures,
            worker: task.incarnation.map(incarnation),
        }
    }
}

fn phase(phase: u8) -> &'static str {
    match phase {
        0 => "pending",
        1 => "running",
        2 => "completed",
        3 => "failed",
        4 => "cancelled",
        _ => "unknown",
    }
}

type HandlerResult = Result<http::Response, http::Response>;

/// `GET /v1/workflows`.
pub async fn list(state: &state::State, request: http::Request, hop: &trace::Hop) -> HandlerResult {
    let (account, limit) = operator::list_filter(&request)?;
    let call = wire::Call::Workflows { account, limit };
    match state.ask(hop.context(), call, state.call_timeout()).await? {
        wire::Reply::Workflows(workflows) => {
            let workflows = workflows.into_iter().map(Workflow::from).collect();
            operator::ok(&List { workflows })
        }
        _ => Err(state::unexpected_reply("workflows")),
    }
}

/// `GET /v1/workflows/{number}`.
pub async fn show(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    detail(state, wire::Call::WorkflowShow(number), hop).await
}

/// `DELETE /v1/workflows/{number}`: cancels it as its caller would.
pub async fn cancel(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    detail(state, wire::Call::WorkflowCancel(number), hop).await
}

async fn detail(state: &state::State, call: wire::Call, hop: &trace::Hop) -> HandlerResult {
    match state.ask(hop.context(), call, state.call_timeout()).await? {
        wire::Reply::Workflow(workflow, tasks) => {
            let tasks = tasks.into_iter().map(Task::from).collect();
            operator::ok(&Detail { workflow: workflow.into(), tasks })
        }
        _ => Err(state::unexpected_reply("workflow")),
    }
}
