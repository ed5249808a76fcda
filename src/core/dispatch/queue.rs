//! Which steps wait for room, and which of them goes first.
//!
//! Urgent jobs within their client account's guarantee come first, then other urgent jobs, then
//! the queues by their rank. Within a rank the job whose objective ends first goes first; one that
//! is past any use goes behind all others of its rank.

use std::collections::BTreeMap;

use crate::core::dispatch::order;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::book;
use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;

/// The rank of urgent jobs within their client account's guarantee.
pub const GUARANTEED: u32 = 0;

/// The rank of other urgent jobs.
pub const URGENT: u32 = 1;

/// How many objectives after its acceptance a job is of no use any more.
const LAST_USE: u64 = 3;

/// A step with tasks that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// The rank of its job; lower goes first.
    pub rank: u32,
    /// Whether its job is past any use.
    pub spent: bool,
    /// When the job's objective ends, in civil time.
    pub objective: u64,
    /// The first of its tasks.
    pub first: model::TaskKey,
}

/// The steps that are due and have tasks that wait, in the order in which they are to be served.
pub fn waiting(book: &book::Book, now: order::Moment) -> Vec<Waiting> {
    let ranks = ranks(book);
    let mut found = Vec::new();
    for (key, job) in book.open() {
        let rank = ranks.get(&key).copied().unwrap_or_else(|| plain_rank(job));
        for (number, occurrence) in &job.occurrences {
            let due = job.due(*number);
            if due > now.wall.0 {
                continue;
            }
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                let waits = tasks.iter().any(|task| task.place == job::Place::Waiting);
                if !waits || !job.is_ready(occurrence, step as u32) {
                    continue;
                }
                let since = due.max(job.accepted);
                let span = objective(book, job);
                let first =
                    model::TaskKey { job: key, occurrence: *number, step: step as u32, index: 0 };
                found.push(Waiting {
                    rank,
                    spent: now.wall.0 > since + span.0 * LAST_USE,
                    objective: since + span.0,
                    first,
                });
            }
        }
    }
    found.sort();
    found
}

/// The rank of a job whatever guarantees its client account has.
pub fn plain_rank(job: &job::Job) -> u32 {
    URGENT + job.submission.priority
}

/// The ranks of urgent jobs that lie within their account's guarantee, first accepted first.
fn ranks(book: &book::Book) -> BTreeMap<ids::JobKey, u32> {
    let Some(directory) = &book.directory else { return BTreeMap::new() };
    let mut used: BTreeMap<&str, u32> = BTreeMap::new();
    let mut ranks = BTreeMap::new();
    for (key, job) in book.open() {
        if job.submission.priority > 0 {
            continue;
        }
        let account = job.submission.account.as_str();
        let used = used.entry(account).or_default();
        *used += demand(job);
        if *used <= directory.guarantee(account) {
            ranks.insert(key, GUARANTEED);
        }
    }
    ranks
}

/// The most accelerators that a job needs at once.
fn demand(job: &job::Job) -> u32 {
    let steps = job.submission.workflow.steps.iter();
    steps.map(|step| step.count.saturating_mul(step.accelerators)).max().unwrap_or(0)
}

/// The span from its acceptance within which a job is to end.
fn objective(book: &book::Book, job: &job::Job) -> time::Millis {
    let directory = book.directory.as_ref();
    let queue = directory.and_then(|directory| directory.queue_at(&job.submission.place));
    let (stretch, latency) = queue.map_or((1000, 0), span_of);
    time::Millis(chain(&job.submission.workflow) * stretch / 1000 + latency)
}

fn span_of(queue: &directory::Queue) -> (u64, u64) {
    (u64::from(queue.stretch), u64::from(queue.latency))
}

/// The longest chain of estimates through the steps, in milliseconds.
fn chain(workflow: &model::Workflow) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(workflow.steps.len());
    for step in &workflow.steps {
        let before = step.after.iter().map(|earlier| ends[*earlier as usize]).max().unwrap_or(0);
        ends.push(before + u64::from(step.estimate));
    }
    ends.into_iter().max().unwrap_or(0)
}
