//! Handlers for operators that list, show and cancel workflows, and their JSON responses.

use std::net;

use crate::entry::operator;
use crate::entry::state;
use crate::net::http;
use crate::telemetry::trace;
use crate::wire::entry as wire;
use crate::wire::workflow as wire_workflow;

/// The response body of `GET /v1/workflows`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct List {
    /// Active workflows, followed by ended ones; each group starts with the latest.
    pub workflows: Vec<Workflow>,
}

/// The response body of `GET /v1/workflows/{number}`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Detail {
    /// The workflow.
    #[serde(flatten)]
    pub workflow: Workflow,
    /// The workflow's tasks that are not done, those with a run first; at most 1000.
    pub tasks: Vec<Task>,
}

/// A workflow.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Workflow {
    /// The number of the workflow.
    pub workflow: u64,
    /// The identifier that the caller chose.
    pub id: String,
    /// The address of the workflow's queue.
    pub queue: String,
    /// The client account; empty if the queue is public.
    pub account: String,
    /// The pool that runs the workflow.
    pub pool: String,
    /// The rank of the queue when the workflow was accepted; 0 is urgent.
    pub rank: u32,
    /// `pending`, `running`, `completed`, `failed` or `cancelled`.
    pub phase: String,
    /// When the workflow was accepted, in milliseconds since 1970.
    pub accepted: u64,
    /// When the workflow ended, in milliseconds since 1970; absent while it is active.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ended: Option<u64>,
    /// The number of occurrences in the workflow's schedule.
    pub occurrences: u32,
    /// The number of occurrences that are done.
    pub finished: u32,
    /// The workflow's steps; each sums up all occurrences that are not done.
    pub steps: Vec<Step>,
}

/// A step with the number of its tasks in each state.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Step {
    /// Whether the step's tasks form a gang.
    pub gang: bool,
    /// The number of tasks that wait to be placed or for earlier steps.
    pub waiting: u32,
    /// The number of tasks with a run that may be in progress.
    pub placed: u32,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of runs that failed.
    pub failures: u32,
}

/// A task that is not done.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Task {
    /// The task's occurrence, step and index, as in the logs of agents.
    pub task: String,
    /// The number of the task's last run; 0 before the first.
    pub run: u32,
    /// The number of the task's runs that failed.
    pub failures: u32,
    /// The incarnation of the task's worker as `HOST@BORN`, as in the logs; absent while the task
    /// waits.
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

/// `GET /v1/workflows`: lists workflows.
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

/// `GET /v1/workflows/{number}`: shows a workflow.
pub async fn show(state: &state::State, number: u64, hop: &trace::Hop) -> HandlerResult {
    detail(state, wire::Call::WorkflowShow(number), hop).await
}

/// `DELETE /v1/workflows/{number}`: cancels a workflow in the same way as its caller can.
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
