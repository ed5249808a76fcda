//! Conversion between core types and the messages of agents.

use crate::core::gang::step;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::ledger::state;
use crate::core::placement::plan;
use crate::wire::agent;
use crate::wire::common;

/// Returns the message that prepares a member's tasks; none if the job or its kind is unknown.
pub fn prepare(
    ledger: &state::Ledger,
    attempt: ids::AttemptKey,
    member: &job::Member,
    first: u32,
    trace: common::TraceContext,
) -> Option<agent::Prepare> {
    let job = ledger.table.jobs.get(&attempt.job)?;
    let kind = ledger.config.kind(&job.spec.service, &job.spec.kind)?;
    Some(agent::Prepare {
        attempt: attempt.into(),
        epoch: member.epoch.0,
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        key: job.spec.key.clone(),
        first_task: first,
        tasks: member.tasks,
        gang_tasks: job.spec.shape.tasks,
        accelerators: job.spec.shape.accelerators,
        answer_limit: kind.answer_limit,
        payload: job.spec.payload.clone(),
        trace,
    })
}

/// Converts the result of an attempt for the planner; `worker` caused a failure.
pub fn run_result(
    result: &command::AttemptResult,
    worker: Option<ids::WorkerKey>,
) -> plan::RunResult {
    match (result, worker) {
        (command::AttemptResult::Done(_), _) => plan::RunResult::Done,
        (command::AttemptResult::Failed(_), Some(worker)) => plan::RunResult::Failed(worker),
        (command::AttemptResult::Preempted, _) => plan::RunResult::Preempted,
        _ => plan::RunResult::Lost,
    }
}

/// Converts a member's result for the gang coordinator.
pub fn member_result(result: agent::TaskResult) -> step::MemberResult {
    match result {
        agent::TaskResult::Done(meta) => step::MemberResult::Done(meta.map(job::AnswerMeta::from)),
        agent::TaskResult::Failed(detail) => step::MemberResult::Failed(detail),
        agent::TaskResult::Stopped => step::MemberResult::Stopped,
        agent::TaskResult::NotStarted => step::MemberResult::NotStarted,
        agent::TaskResult::Unknown(detail) => step::MemberResult::Unknown(detail),
    }
}
