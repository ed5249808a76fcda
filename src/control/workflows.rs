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
    let description = &job.submission.workflow.steps[step];
    let gang = description.gang;
    let mut count = wire::Step { gang, waiting: 0, placed: 0, done: 0, failures: 0 };
    let open = job.open().filter(|(_, number, ..)| *number as usize == step);
    for (.., task) in open {
        count.placed += u32::from(task.is_placed());
        count.failures += task.failures;
    }
    if job.is_active() {
        let begun = || job.occurrences.values().map(|occurrence| &occurrence.steps[step]);
        count.done = begun().map(job::Tasks::done_count).sum();
        let waiting: u32 = begun().map(job::Tasks::waiting_count).sum();
        count.waiting = waiting + job.new_count() * description.count;
    }
    count
}

/// Returns the unfinished tasks: placed tasks, then those that have begun, then the others.
fn tasks(job: &job::Job) -> impl Iterator<Item = wire::Task> {
    let shown = |(occurrence, step, index, task): (u32, u32, u32, &job::Task)| {
        let incarnation = match task.state {
            job::TaskState::At(incarnation) => Some((incarnation.host, incarnation.started)),
            job::TaskState::Waiting | job::TaskState::Done => None,
        };
        wire::Task { occurrence, step, index, run: task.run, failures: task.failures, incarnation }
    };
    let open_waiting = job.open().filter(|(.., task)| !task.is_placed());
    let new =
        new_tasks(job).map(|(occurrence, step, index)| (occurrence, step, index, &job::NEW_TASK));
    job.placed().chain(open_waiting).chain(new).map(shown)
}

/// Returns the tasks of an active job that have not begun: occurrence, step and index.
fn new_tasks(job: &job::Job) -> impl Iterator<Item = (u32, u32, u32)> {
    let begun = job.occurrences.iter().flat_map(|(number, occurrence)| {
        occurrence.steps.iter().zip(0..).flat_map(move |(tasks, step)| {
            tasks.new_tasks().map(move |index| (*number, step, index))
        })
    });
    let counts = job.submission.workflow.steps.iter().map(|step| step.count).zip(0..);
    let others = job.new_occurrences().flat_map(move |number| {
        counts.clone().flat_map(move |(count, step)| (0..count).map(move |i| (number, step, i)))
    });
    let all = job.is_active().then(|| begun.chain(others));
    all.into_iter().flatten()
}
