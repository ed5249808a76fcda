//! What operators see of workflows, from the registry.

use crate::core::ids;
use crate::core::workflow::job;
use crate::core::workflow::registry;
use crate::wire::workflow as wire;

/// The most tasks that are shown of one workflow: a screen shows no more, and a reply has to stay
/// small beside calls of callers.
const MAX_TASKS: usize = 1000;

/// Workflows that have not ended, then those that have, each from the latest on.
pub fn list(registry: &registry::Registry, account: &str, limit: usize) -> Vec<wire::Workflow> {
    let wanted = |open: bool| {
        let jobs = registry.jobs.iter().rev().filter(move |(_, job)| job.is_active() == open);
        jobs.filter(move |(_, job)| account.is_empty() || job.submission.account == account)
    };
    let all = wanted(true).chain(wanted(false)).take(limit);
    all.map(|(key, job)| workflow(*key, job)).collect()
}

/// A workflow, and its tasks that are not done.
pub fn show(
    registry: &registry::Registry,
    key: ids::JobKey,
) -> Option<(wire::Workflow, Vec<wire::Task>)> {
    let job = registry.jobs.get(&key)?;
    Some((workflow(key, job), tasks(job).take(MAX_TASKS).collect()))
}

fn workflow(key: ids::JobKey, job: &job::Job) -> wire::Workflow {
    let submission = &job.submission;
    let steps = (0..submission.workflow.steps.len()).map(|step| count(job, step));
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

fn count(job: &job::Job, step: usize) -> wire::Step {
    let gang = job.submission.workflow.steps[step].gang;
    let mut count = wire::Step { gang, waiting: 0, placed: 0, done: 0, failures: 0 };
    let open = job.occurrences.values().filter_map(|occurrence| occurrence.steps.get(step));
    for task in open.flatten() {
        match task.state {
            job::TaskState::Waiting => count.waiting += 1,
            job::TaskState::At(_) => count.placed += 1,
            job::TaskState::Done => count.done += 1,
        }
        count.failures += task.failures;
    }
    count
}

/// The tasks that are not done, those with a run first.
fn tasks(job: &job::Job) -> impl Iterator<Item = wire::Task> {
    let all = job.occurrences.iter().flat_map(|(occurrence, held)| {
        held.steps.iter().zip(0..).flat_map(move |(tasks, step)| {
            tasks.iter().zip(0..).map(move |(task, index)| (*occurrence, step, index, task))
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
