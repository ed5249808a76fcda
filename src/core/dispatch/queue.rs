//! Which steps wait for room, and which of them goes first.
//!
//! Urgent jobs within their client account's guarantee come first, then other urgent jobs, then
//! the queues by their rank. Within a rank the job that is due first goes first: at the end of its
//! objective as a whole, and sooner the less of its work waits.
//!
//! Answers bursts in which not all can be served in time: a job that can't make its objective any
//! more lets those pass that still can, and one that is past any use goes behind all others of its
//! rank. Without that, the first late job makes all behind it late.
//!
//! Answers jobs of which displacement, failures or a full pool have left out a few tasks: a job is of
//! use only once it is complete, so what has begun is ended before more is begun beside it, and a job
//! that is late by its estimate keeps its turn if only a rest of it waits.

use std::cell;
use std::collections::BTreeMap;

use crate::core::dispatch::order;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;
use crate::macros;

/// The rank of urgent jobs within their client account's guarantee.
pub const GUARANTEED_RANK: u32 = 0;

/// The rank of other urgent jobs.
pub const URGENT_RANK: u32 = 1;

/// How many objectives after its acceptance a job is of no use any more.
const SPENT_AFTER: u64 = 3;

/// The part of its estimate, in percent, that a job takes at least: it counts as late once not
/// even that fits into the rest of its objective. Callers' estimates are wrong by a factor of two.
const MIN_ESTIMATE_PERCENT: u64 = 60;

/// The largest part of its work, in percent, that waits of a job of which only a rest is left.
const MAX_REMAINDER_PERCENT: u64 = 50;

macros::copy_types! {
    /// What a step that starts now can still achieve for its job.
    pub enum Prospect {
        /// It may end within its objective.
        InTime,
        /// It ends late.
        Late,
        /// It is past any use.
        Spent,
    }
}

/// A step with tasks that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingStep {
    /// The rank of its job; lower goes first.
    pub rank: u32,
    /// The prospect that decides its turn: a job that is late, but of which only a rest waits, lets
    /// no others of its rank pass.
    pub sort_prospect: Prospect,
    /// When the job is due, in civil time: the end of its objective, sooner if a part is placed.
    pub due: u64,
    /// What it can still achieve.
    pub prospect: Prospect,
    /// The first of its tasks.
    pub first_task: model::TaskKey,
}

/// The steps that are due and have tasks that wait, in the order in which they are to be served.
pub fn waiting(registry: &registry::Registry, now: order::Timestamp) -> Vec<WaitingStep> {
    let ranks = guaranteed_ranks(registry);
    let mut found = Vec::new();
    for (key, job) in registry.active_jobs() {
        let rank = ranks.get(&key).copied().unwrap_or_else(|| base_rank(job));
        for (number, occurrence) in &job.occurrences {
            let due = job.due(*number);
            if due > now.wall.0 {
                continue;
            }
            let waiting_percent = cell::LazyCell::new(|| waiting_percent(job, occurrence));
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                let waits = tasks.iter().any(|task| task.state == job::TaskState::Waiting);
                if !waits || !job.is_ready(occurrence, step as u32) {
                    continue;
                }
                let since = due.max(job.accepted);
                let span = objective(registry, job);
                let remaining = critical_path(&job.submission.workflow, step);
                let first_task =
                    model::TaskKey { job: key, occurrence: *number, step: step as u32, index: 0 };
                let prospect = prospect(rank, now.wall.0, (since, span.0), remaining);
                let waiting_percent = if rank == GUARANTEED_RANK { 100 } else { *waiting_percent };
                let is_remainder =
                    prospect == Prospect::Late && waiting_percent <= MAX_REMAINDER_PERCENT;
                found.push(WaitingStep {
                    rank,
                    sort_prospect: if is_remainder { Prospect::InTime } else { prospect },
                    due: since + span.0 * waiting_percent / 100,
                    prospect,
                    first_task,
                });
            }
        }
    }
    found.sort();
    found
}

/// What a step can still achieve that starts now, whose job is due at a time and is to end within
/// a span of that, and after whose start `rest` is left by the estimates. Guaranteed work starts in
/// its order whatever it achieves.
fn prospect(rank: u32, now: u64, (since, span): (u64, u64), remaining: u64) -> Prospect {
    if rank == GUARANTEED_RANK {
        return Prospect::InTime;
    }
    if now > since + span * SPENT_AFTER {
        return Prospect::Spent;
    }
    let ends = now + remaining * MIN_ESTIMATE_PERCENT / 100;
    if ends > since + span { Prospect::Late } else { Prospect::InTime }
}

/// The part of a job's work that waits, in percent, by its estimates.
fn waiting_percent(job: &job::Job, occurrence: &job::Occurrence) -> u64 {
    // A task's work is a product of two 32-bit numbers, and a job has many tasks.
    let (mut waits, mut all) = (0, 0);
    for (step, tasks) in job.submission.workflow.steps.iter().zip(&occurrence.steps) {
        let work = u128::from(step.estimate) * u128::from(step.accelerators.max(1));
        let waiting = tasks.iter().filter(|task| task.state == job::TaskState::Waiting).count();
        waits += work * waiting as u128;
        all += work * tasks.len() as u128;
    }
    (waits * 100 / all.max(1)) as u64
}

/// The rank of a job whatever guarantees its client account has.
pub fn base_rank(job: &job::Job) -> u32 {
    URGENT_RANK + job.submission.priority
}

/// The ranks of urgent jobs that lie within their account's guarantee, first accepted first.
fn guaranteed_ranks(registry: &registry::Registry) -> BTreeMap<ids::JobKey, u32> {
    let Some(directory) = &registry.directory else { return BTreeMap::new() };
    let mut used: BTreeMap<&str, u32> = BTreeMap::new();
    let mut ranks = BTreeMap::new();
    for (key, job) in registry.active_jobs() {
        if job.submission.priority > 0 {
            continue;
        }
        let account = job.submission.account.as_str();
        let used = used.entry(account).or_default();
        *used = used.saturating_add(peak_accelerators(job));
        if *used <= directory.guarantee(account) {
            ranks.insert(key, GUARANTEED_RANK);
        }
    }
    ranks
}

/// The most accelerators that a job needs at once.
fn peak_accelerators(job: &job::Job) -> u32 {
    let steps = job.submission.workflow.steps.iter();
    steps.map(|step| step.count.saturating_mul(step.accelerators)).max().unwrap_or(0)
}

/// The span from its acceptance within which a job is to end.
fn objective(registry: &registry::Registry, job: &job::Job) -> time::Millis {
    let directory = registry.directory.as_ref();
    let queue = directory.and_then(|directory| directory.queue_at(&job.submission.queue));
    let (stretch, latency) = queue.map_or((1000, 0), stretch_and_latency);
    time::Millis(
        whole_critical_path(&job.submission.workflow).saturating_mul(stretch) / 1000 + latency,
    )
}

fn stretch_and_latency(queue: &directory::Queue) -> (u64, u64) {
    (u64::from(queue.stretch), u64::from(queue.latency))
}

/// The longest chain of estimates from a step on, in milliseconds.
fn critical_path(workflow: &model::Workflow, from: usize) -> u64 {
    let mut ends: Vec<Option<u64>> = vec![None; workflow.steps.len()];
    for (number, step) in workflow.steps.iter().enumerate().skip(from) {
        let before = step.after.iter().filter_map(|earlier| ends[*earlier as usize]).max();
        if before.is_some() || number == from {
            ends[number] = Some(before.unwrap_or(0) + u64::from(step.estimate));
        }
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}

/// The longest chain of estimates through all steps, in milliseconds.
fn whole_critical_path(workflow: &model::Workflow) -> u64 {
    (0..workflow.steps.len()).map(|step| critical_path(workflow, step)).max().unwrap_or(0)
}
