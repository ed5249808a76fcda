//! Views of the workflows in the registry for operators.

use crate::core::ids;
use crate::core::workflow::job;
use crate::core::workflow::registry;
use crate::wire::workflow as wire;

/// Limit of tasks shown of one workflow. A screen shows no more, and the reply has to stay small, as
/// it shares its stream with callers' replies.
const MAX_SHOWN_TASKS: usize = 1000;

/// Returns the latest workflows of an account or, if it is empty, of all; active ones come first.
pub fn list(registry: &registry::Registry, account: &str, limit: usize) -> Vec<wire::Workflow> {
    let by_state = |active: bool| {
        let jobs = registry.jobs.iter().rev().filter(move |(_, job)| job.is_active() == active);
        jobs.filter(move |(_, job)| account.is_empty() || job.submission.account == account)
    };
    let all = by_state(true).chain(by_state(false)).take(limit);
    all.map(|(key, job)| workflow(*key, job)).collect()
}

/// Returns a workflow and its unfinished tasks.
pub fn show(
    registry: &registry::Registry,
    key: ids::JobKey,
) -> Option<(wire::Workflow, Vec<wire::Task>)> {
    let job = registry.jobs.get(&key)?;
    Some((workflow(key, job), tasks(job).take(MAX_SHOWN_TASKS).collect()))
}

fn workflow(key: ids::JobKey, job: &job::Job) -> wire::Workflow {
    let submission = &job.submission;
    let steps = (0..submission.workflow.steps.len()).map(|step| count_tasks(job, step));
    wire::Workflow {
        number: key.0,
        id: submission.id.clone(),
        queue: submission.queue.clone(),
        account: submission.account.clone(),
        pool: submission.pool.clone(),
        rank: submission.priority,
        phase: match job.phase {
            job::Phase::Pending => 0,
            job::Phase::Running => 1,
            job::Phase::Completed => 2,
            job::Phase::Failed => 3,
            job::Phase::Cancelled => 4,
        },
        accepted: job.accepted,
        ended: job.ended,
        occurrences: submission.workflow.occurrences(),
        finished: job.finished,
        steps: steps.collect(),
    }
}

fn count_tasks(job: &job::Job, step: usize) -> wire::Step {
    let gang = job.submission.workflow.steps[step].gang;
    let mut count = wire::Step { gang, waiting: 0, placed: 0, done: 0, failures: 0 };
    let active = job.occurrences.values().filter_map(|occurrence| occurrence.steps.get(step));
    for task in active.flatten() {
        match task.state {
            job::TaskState::Waiting => count.waiting += 1,
            job::TaskState::At(_) => count.placed += 1,
            job::TaskState::Done => count.done += 1,
        }
        count.failures += task.failures;
    }
    count
}

/// Returns the unfinished tasks; placed tasks come first.
fn tasks(job: &job::Job) -> impl Iterator<Item = wire::Task> {
    let all = job.occurrences.iter().flat_map(|(number, occurrence)| {
        occurrence.steps.iter().zip(0..).flat_map(move |(tasks, step)| {
            tasks.iter().zip(0..).map(move |(task, index)| (*number, step, index, task))
        })
    });
    let placed = all.clone().filter(|(.., task)| task.is_placed());
    let waiting = all.filter(|(.., task)| task.state == job::TaskState::Waiting);
    placed.chain(waiting).map(|(occurrence, step, index, task)| {
        let incarnation = match task.state {
            job::TaskState::At(incarnation) => Some((incarnation.host, incarnation.started)),
            job::TaskState::Waiting | job::TaskState::Done => None,
        };
        wire::Task { occurrence, step, index, run: task.run, failures: task.failures, incarnation }
    })
}
