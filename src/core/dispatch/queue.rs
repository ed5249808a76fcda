//! Waiting steps and the order in which they are served.
//!
//! Urgent jobs within their client account's guarantee come first, then other urgent jobs, then the
//! queues by rank. Within a rank, the job with the earliest due time comes first: the end of its
//! objective if all of its work waits, and earlier the less of its work waits.
//!
//! In a burst in which not all jobs can meet their objectives, a job that cannot meet its objective
//! any more lets those pass that still can, and a job that is of no use any more goes behind all
//! others of its rank. Otherwise the first late job makes all jobs behind it late.
//!
//! After preemption, failures or in a full pool, a job may lack a few tasks. A job is of use only
//! once it is complete, so started jobs are completed before others are started beside them, and a
//! job that is late by its estimate keeps its position if only a small remainder of it waits.

use std::cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops;

use crate::core::dispatch::order;
use crate::core::dispatch::ranks;
use crate::core::ids;
use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;
use crate::macros;

/// The rank of urgent jobs within their client account's guarantee.
pub const GUARANTEED_RANK: u32 = 0;

/// The rank of other urgent jobs.
pub const URGENT_RANK: u32 = 1;

/// The number of objectives after its acceptance from which a job is of no use any more.
const SPENT_AFTER_OBJECTIVES: u64 = 3;

/// The least part of its estimate that a job takes, in percent: a job counts as late once not even
/// that fits into the remainder of its objective. Callers' estimates are wrong by a factor of up to
/// two.
const MIN_ESTIMATE_PERCENT: u64 = 60;

/// The largest waiting part of a job's work, in percent, that counts as a small remainder.
const MAX_REMAINDER_PERCENT: u64 = 50;

macros::copy_types! {
    /// The outcome that a step that starts now can still achieve for its job.
    pub enum Prospect {
        /// The step may end within the objective.
        InTime,
        /// The step ends after the objective.
        Late,
        /// The job is of no use any more.
        Spent,
    }
}

/// A step with waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingStep {
    /// The rank of the job; lower ranks come first.
    pub rank: u32,
    /// The prospect that determines the position: a late job of which only a small remainder waits
    /// is sorted as if in time.
    pub sort_prospect: Prospect,
    /// The wall-clock time at which the job is due: the end of its objective, earlier if a part is
    /// placed.
    pub due: u64,
    /// The outcome that the step can still achieve.
    pub prospect: Prospect,
    /// The first task of the step.
    pub first_task: model::TaskKey,
}

/// What the position of a job's steps depends on, apart from time and tasks.
#[derive(Debug)]
struct Estimates {
    /// The objective, in milliseconds from the time at which an occurrence is due.
    span: u64,
    /// The time from the start of each step to the end of the job, in milliseconds of estimates.
    remaining: Vec<u64>,
}

/// The state of an active job in the queue.
#[derive(Debug)]
struct Entry {
    estimates: Estimates,
    /// The job's steps in the order.
    heads: Vec<WaitingStep>,
    /// The wall-clock time at which the entry changes by itself.
    changes_at: u64,
}

/// The due steps with waiting tasks, in the order in which they are served.
///
/// A change costs by the jobs that it concerns and by what has begun of these. Of the occurrences of
/// a job that have not begun, only the first of each prospect is in the order;
/// [`Queue::successor`] returns the next one.
#[derive(Debug, Default)]
pub struct Queue {
    ranks: ranks::Ranks,
    entries: BTreeMap<ids::JobKey, Entry>,
    order: BTreeSet<WaitingStep>,
    /// The jobs in `entries`, by the time at which they change by themselves.
    changes: BTreeSet<(u64, ids::JobKey)>,
    /// The jobs that have changed since the last refresh.
    stale: BTreeSet<ids::JobKey>,
    /// The number of jobs with a step in the order.
    waiting_jobs: usize,
    /// The wall-clock time of the last refresh.
    refreshed: u64,
}

impl Queue {
    /// Creates the queue of a new leader.
    pub fn new(registry: &registry::Registry) -> Self {
        let mut queue = Self::default();
        queue.invalidate_all(registry);
        queue
    }

    /// Records a change of a job, or of one of its tasks.
    pub fn invalidate(&mut self, job: ids::JobKey) {
        self.stale.insert(job);
    }

    /// Records a change that concerns all jobs, such as one of the configuration.
    pub fn invalidate_all(&mut self, registry: &registry::Registry) {
        self.entries.clear();
        self.order.clear();
        self.changes.clear();
        self.waiting_jobs = 0;
        self.ranks = ranks::Ranks::default();
        self.stale = registry.active_jobs().map(|(key, _)| key).collect();
    }

    /// Brings the order up to date with the registry and the time.
    pub fn refresh(&mut self, registry: &registry::Registry, now: order::Timestamp) {
        let wall = now.wall.0;
        if wall < self.refreshed {
            // The clock was set back, so that occurrences may not be due any more.
            self.invalidate_all(registry);
        }
        self.refreshed = wall;
        while let Some((_, job)) = self.changes.first().copied().filter(|(at, _)| *at <= wall) {
            self.remove(job);
            self.stale.insert(job);
        }
        let reranked = self.ranks.refresh(registry, &self.stale);
        self.stale.extend(reranked);
        for key in std::mem::take(&mut self.stale) {
            self.remove(key);
            let job = registry.jobs.get(&key).filter(|job| job.is_active());
            let known = self.entries.remove(&key).map(|entry| entry.estimates);
            let Some(job) = job else { continue };
            let estimates = known.unwrap_or_else(|| Estimates::new(registry, job));
            let entry = self.entry(key, job, estimates, wall);
            self.order.extend(&entry.heads);
            self.waiting_jobs += usize::from(!entry.heads.is_empty());
            self.changes.insert((entry.changes_at, key));
            self.entries.insert(key, entry);
        }
    }

    /// Removes a job from the order, but not its estimates.
    fn remove(&mut self, job: ids::JobKey) {
        let Some(entry) = self.entries.get_mut(&job) else { return };
        self.changes.remove(&(entry.changes_at, job));
        self.waiting_jobs -= usize::from(!entry.heads.is_empty());
        for head in entry.heads.drain(..) {
            self.order.remove(&head);
        }
    }

    fn entry(&self, key: ids::JobKey, job: &job::Job, estimates: Estimates, wall: u64) -> Entry {
        let ranks = &self.ranks;
        let position = Position { ranks, key, job, estimates: &estimates, wall };
        let mut heads = Vec::new();
        for (number, occurrence) in &job.occurrences {
            if job.due(*number) > wall {
                continue;
            }
            let percent = cell::LazyCell::new(|| waiting_percent(job, occurrence));
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                if tasks.has_waiting() && job.is_ready(occurrence, step as u32) {
                    heads.push(position.waiting(*number, step, *percent));
                }
            }
        }
        let steps = job.submission.workflow.steps.iter().enumerate();
        for (step, _) in steps.filter(|(_, step)| step.after.is_empty()) {
            heads.extend(position.new_heads(step));
        }
        let next_due = job.next_due(wall).unwrap_or(u64::MAX);
        let changes = heads.iter().map(|head| position.changes_at(head));
        let changes_at = changes.fold(next_due, u64::min);
        Entry { estimates, heads, changes_at }
    }

    /// Returns the ranks of the active jobs.
    pub fn ranks(&self) -> &ranks::Ranks {
        &self.ranks
    }

    /// Returns whether the steps in the order belong to one job at most.
    pub fn is_single_job(&self) -> bool {
        self.waiting_jobs <= 1
    }

    /// Returns the steps in the order.
    pub fn steps(&self) -> impl Iterator<Item = &WaitingStep> {
        self.order.iter()
    }

    /// Returns the first step in the order after another one; `None` starts at the front.
    pub fn after(&self, last: Option<WaitingStep>) -> Option<WaitingStep> {
        let from = last.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.order.range((from, ops::Bound::Unbounded)).next().copied()
    }

    /// Returns the same step of the next occurrence that has not begun, if the step is of one that
    /// has not, and both have the same rank and prospect.
    pub fn successor(
        &self,
        registry: &registry::Registry,
        step: &WaitingStep,
    ) -> Option<WaitingStep> {
        let key = step.first_task.job;
        let (job, entry) = (registry.jobs.get(&key)?, self.entries.get(&key)?);
        if !job.has_not_begun(step.first_task.occurrence) {
            return None;
        }
        let next = job.next_new(step.first_task.occurrence + 1);
        if next >= job.due_count(self.refreshed) {
            return None;
        }
        let estimates = &entry.estimates;
        let (ranks, wall) = (&self.ranks, self.refreshed);
        let position = Position { ranks, key, job, estimates, wall };
        let next = position.waiting(next, step.first_task.step as usize, ALL_WAITS);
        ((next.rank, next.prospect) == (step.rank, step.prospect)).then_some(next)
    }
}

impl Estimates {
    fn new(registry: &registry::Registry, job: &job::Job) -> Self {
        let workflow = &job.submission.workflow;
        let remaining = (0..workflow.steps.len()).map(|step| critical_path(workflow, step));
        let remaining: Vec<_> = remaining.collect();
        let whole = remaining.iter().copied().max().unwrap_or(0);
        Self { span: objective(registry, job, whole), remaining }
    }
}

/// The part of a job's work that waits while nothing of it has begun, in percent.
const ALL_WAITS: u64 = 100;

/// What the positions of a job's steps have in common.
struct Position<'a> {
    ranks: &'a ranks::Ranks,
    key: ids::JobKey,
    job: &'a job::Job,
    estimates: &'a Estimates,
    wall: u64,
}

impl Position<'_> {
    /// Returns the begin of the objective of an occurrence: the time at which it is due, however long
    /// before the acceptance of the job.
    fn since(&self, occurrence: u32) -> u64 {
        match self.job.submission.workflow.schedule {
            Some(_) => self.job.due(occurrence),
            None => self.job.accepted,
        }
    }

    fn first_task(&self, occurrence: u32, step: usize) -> model::TaskKey {
        model::TaskKey { job: self.key, occurrence, step: step as u32, index: 0 }
    }

    fn prospect(&self, occurrence: u32, step: usize) -> Prospect {
        let rank = self.ranks.of(self.first_task(occurrence, step));
        let objective = (self.since(occurrence), self.estimates.span);
        prospect(rank, self.wall, objective, self.estimates.remaining[step])
    }

    fn waiting(&self, occurrence: u32, step: usize, waiting_percent: u64) -> WaitingStep {
        let first_task = self.first_task(occurrence, step);
        let (rank, prospect) = (self.ranks.of(first_task), self.prospect(occurrence, step));
        let waiting_percent = if rank == GUARANTEED_RANK { ALL_WAITS } else { waiting_percent };
        let is_remainder = prospect == Prospect::Late && waiting_percent <= MAX_REMAINDER_PERCENT;
        let part = self.estimates.span.saturating_mul(waiting_percent) / 100;
        WaitingStep {
            rank,
            sort_prospect: if is_remainder { Prospect::InTime } else { prospect },
            due: self.since(occurrence).saturating_add(part),
            prospect,
            first_task,
        }
    }

    /// Returns the first occurrence of each prospect that has not begun, for a step that depends on no
    /// other: the one that is covered by a guarantee, and of the others, whose prospect is the better
    /// the later they are due.
    fn new_heads(&self, step: usize) -> Vec<WaitingStep> {
        let (mut heads, mut first) = (Vec::new(), self.job.first_not_done());
        let end = self.job.due_count(self.wall);
        if first < end && self.ranks.of(self.first_task(first, step)) == GUARANTEED_RANK {
            let is_new = self.job.has_not_begun(first);
            heads.extend(is_new.then(|| self.waiting(first, step, ALL_WAITS)));
            first += 1;
        }
        for prospect in [Prospect::Spent, Prospect::Late, Prospect::InTime] {
            let behind = |occurrence: u32| self.prospect(occurrence, step) >= prospect;
            let last = partition_point(first, end, behind);
            let head = self.job.next_new(first);
            if head < last {
                heads.push(self.waiting(head, step, ALL_WAITS));
            }
            first = last;
        }
        heads
    }

    /// Returns the first time at which the prospect of a waiting step is another.
    fn changes_at(&self, waiting: &WaitingStep) -> u64 {
        if waiting.rank == GUARANTEED_RANK {
            return u64::MAX;
        }
        let model::TaskKey { occurrence, step, .. } = waiting.first_task;
        let (since, span) = (self.since(occurrence), self.estimates.span);
        let spent = since.saturating_add(span.saturating_mul(SPENT_AFTER_OBJECTIVES));
        let least = least_time(self.estimates.remaining[step as usize]);
        let late = since.saturating_add(span).saturating_sub(least);
        match waiting.prospect {
            Prospect::InTime => late.min(spent).saturating_add(1),
            Prospect::Late => spent.saturating_add(1),
            Prospect::Spent => u64::MAX,
        }
    }
}

/// Returns the first number in the range for which the condition does not hold. It holds for all
/// numbers before that one.
fn partition_point(mut first: u32, mut end: u32, holds: impl Fn(u32) -> bool) -> u32 {
    while first < end {
        let middle = first + (end - first) / 2;
        match holds(middle) {
            true => first = middle + 1,
            false => end = middle,
        }
    }
    first
}

/// Returns the outcome that a step can achieve if it starts now. The objective of its job begins at
/// `since` and lasts for `span`; `remaining` is the estimated time from the start of the step to the
/// end of the job. Guaranteed work is served in order whatever it achieves.
fn prospect(rank: u32, now: u64, (since, span): (u64, u64), remaining: u64) -> Prospect {
    if rank == GUARANTEED_RANK {
        return Prospect::InTime;
    }
    if now > since + span * SPENT_AFTER_OBJECTIVES {
        return Prospect::Spent;
    }
    if now + least_time(remaining) > since + span { Prospect::Late } else { Prospect::InTime }
}

/// Returns the waiting part of a job's work in percent, by its estimates.
fn waiting_percent(job: &job::Job, occurrence: &job::Occurrence) -> u64 {
    // The work of a task is a product of two 32-bit numbers, and a job has many tasks.
    let (mut waits, mut all) = (0, 0);
    for (step, tasks) in job.submission.workflow.steps.iter().zip(&occurrence.steps) {
        let work = u128::from(step.estimate) * u128::from(step.accelerators.max(1));
        waits += work * u128::from(tasks.waiting_count());
        all += work * u128::from(tasks.count());
    }
    (waits * 100 / all.max(1)) as u64
}

/// Returns the rank of a job without regard to guarantees.
pub fn base_rank(job: &job::Job) -> u32 {
    URGENT_RANK + job.submission.priority
}

/// Returns the least time that some work takes by its estimate, in milliseconds.
fn least_time(remaining: u64) -> u64 {
    remaining * MIN_ESTIMATE_PERCENT / 100
}

/// Returns the time within which an occurrence of a job has to end, in milliseconds from when it is
/// due. `whole` is the length of the critical path.
fn objective(registry: &registry::Registry, job: &job::Job, whole: u64) -> u64 {
    let directory = registry.directory.as_ref();
    let queue = directory.and_then(|directory| directory.queue_at(&job.submission.queue));
    let (stretch, latency) = queue.map_or((1000, 0), stretch_and_latency);
    whole.saturating_mul(stretch) / 1000 + latency
}

fn stretch_and_latency(queue: &directory::Queue) -> (u64, u64) {
    (u64::from(queue.stretch), u64::from(queue.latency))
}

/// Returns the length of the critical path from a step on, in milliseconds of estimates.
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
