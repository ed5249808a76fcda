//! The health of workers, derived from the outcomes of the jobs that ran on them.
//!
//! A worker is considered faulty after failures of several jobs, fewer if they come from several
//! kinds or accounts. A job that failed on two workers is itself considered faulty, and its
//! failures count against no worker. A kind of work that fails on many workers counts against none
//! either. A faulty worker is excluded and is probed with repeatable jobs after a back-off.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::core::ids;
use crate::core::placement::capacity;
use crate::core::time;

/// Maximum number of outcomes kept for a worker and for a kind of work.
const MAX_OUTCOMES: usize = 16;

/// Number of failed jobs that make a worker faulty if they come from several sources.
const MIXED_SOURCE_FAILURES: usize = 3;

/// Number of failed jobs that make a worker faulty if all come from one source.
const SINGLE_SOURCE_FAILURES: usize = 5;

/// Maximum number of failed jobs that are remembered.
const MAX_FAILED_JOBS: usize = 10_000;

/// Number of workers on which a kind of work must fail before the failures are attributed to the
/// kind.
const KIND_FAILURE_WORKERS: usize = 3;

/// Number of successful probes after which a worker is good again.
const PROBES_TO_RECOVER: u32 = 2;

/// Number of losses within [`FLAP_WINDOW`] that make a worker suspect.
const FLAP_LOSSES: usize = 3;

/// How long the loss of a worker counts against it.
const FLAP_WINDOW: time::Millis = time::Millis::from_secs(600);

/// First back-off before a probe.
const FIRST_PROBE_BACK_OFF: time::Millis = time::Millis::from_secs(15);

/// Maximum back-off before a probe.
const MAX_PROBE_BACK_OFF: time::Millis = time::Millis::from_secs(600);

/// One in this many workers may be excluded at a time.
const WORKERS_PER_EXCLUDED: usize = 4;

/// One outcome on a worker: the job, its source (account and kind), and whether it failed.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    job: ids::JobKey,
    source: (usize, usize),
    failed: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    outcomes: VecDeque<Outcome>,
    losses: VecDeque<time::Tick>,
    trust: Option<capacity::Trust>,
    back_off: time::Millis,
    probe_due: time::Tick,
    probe: Option<ids::JobKey>,
    successful_probes: u32,
}

/// The health of all workers, by their position in the fleet.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<usize, Record>,
    kinds: BTreeMap<usize, VecDeque<(usize, bool)>>,
    failed_workers: BTreeMap<ids::JobKey, BTreeSet<usize>>,
    excluded: BTreeSet<usize>,
}

impl Health {
    /// Records that a job succeeded on these workers.
    pub fn succeeded(
        &mut self,
        job: ids::JobKey,
        source: (usize, usize),
        workers: impl IntoIterator<Item = usize>,
    ) {
        self.failed_workers.remove(&job);
        for worker in workers {
            self.record_kind(source.1, worker, false);
            let record = self.records.entry(worker).or_default();
            push_outcome(&mut record.outcomes, Outcome { job, source, failed: false });
            if record.probe.take_if(|probe| *probe == job).is_some() {
                record.successful_probes += 1;
            }
        }
    }

    /// Records that a job failed on this worker.
    pub fn failed(
        &mut self,
        now: time::Tick,
        job: ids::JobKey,
        source: (usize, usize),
        worker: usize,
    ) {
        self.record_kind(source.1, worker, true);
        let record = self.records.entry(worker).or_default();
        push_outcome(&mut record.outcomes, Outcome { job, source, failed: true });
        if record.probe.take_if(|probe| *probe == job).is_some() {
            record.successful_probes = 0;
            record.back_off = (record.back_off + record.back_off).min(MAX_PROBE_BACK_OFF);
            record.probe_due = now + record.back_off;
        }
        let workers = self.failed_workers.entry(job).or_default();
        workers.insert(worker);
        if workers.len() > 1 {
            self.discard_failures(job);
        }
        if self.failed_workers.len() > MAX_FAILED_JOBS {
            self.failed_workers.pop_first();
        }
    }

    /// Records that a worker was lost.
    pub fn lost(&mut self, now: time::Tick, worker: usize) {
        let losses = &mut self.records.entry(worker).or_default().losses;
        if losses.len() == FLAP_LOSSES {
            losses.pop_front();
        }
        losses.push_back(now);
    }

    /// Forgets the failures of a job that will not run again.
    pub fn forget_job(&mut self, job: ids::JobKey) {
        self.failed_workers.remove(&job);
    }

    /// Whether a job failed on this worker before.
    pub fn failed_on_worker(&self, job: ids::JobKey, worker: usize) -> bool {
        self.failed_workers.get(&job).is_some_and(|workers| workers.contains(&worker))
    }

    /// The workers on which a job failed.
    pub fn failed_workers(&self, job: ids::JobKey) -> Vec<usize> {
        self.failed_workers.get(&job).into_iter().flatten().copied().collect()
    }

    /// Whether a job failed on any worker before.
    pub fn has_failed(&self, job: ids::JobKey) -> bool {
        self.failed_workers.contains_key(&job)
    }

    /// Evaluates a worker anew, given the total number of known workers. Returns its trust if that
    /// has changed.
    pub fn update_trust(
        &mut self,
        now: time::Tick,
        worker: usize,
        known: usize,
    ) -> Option<capacity::Trust> {
        let faulty = self.is_faulty(worker);
        let may_exclude = self.excluded.len() < known / WORKERS_PER_EXCLUDED;
        let record = self.records.get_mut(&worker)?;
        let old = record.trust.unwrap_or(capacity::Trust::Good);
        let new = match old {
            capacity::Trust::Probation if record.successful_probes >= PROBES_TO_RECOVER => {
                record.outcomes.clear();
                capacity::Trust::Good
            }
            capacity::Trust::Probation => old,
            _ if faulty && may_exclude => capacity::Trust::Probation,
            _ if faulty
                || failed_recently(&record.outcomes)
                || is_flapping(now, &record.losses) =>
            {
                capacity::Trust::Suspect
            }
            _ => capacity::Trust::Good,
        };
        if new == old {
            return None;
        }
        record.trust = Some(new);
        if new == capacity::Trust::Probation {
            record.back_off = FIRST_PROBE_BACK_OFF;
            record.probe_due = now + FIRST_PROBE_BACK_OFF;
            record.successful_probes = 0;
            self.excluded.insert(worker);
        } else {
            self.excluded.remove(&worker);
        }
        Some(new)
    }

    /// The excluded workers that are due for a probe. Urgent jobs probe a worker only after twice
    /// the back-off.
    pub fn due_probes(&self, now: time::Tick, urgent: bool) -> impl Iterator<Item = usize> + '_ {
        self.excluded.iter().copied().filter(move |worker| {
            self.records.get(worker).is_some_and(|record| {
                let extra = if urgent { record.back_off } else { time::Millis(0) };
                record.probe.is_none() && record.probe_due + extra <= now
            })
        })
    }

    /// Records that a probe was sent to an excluded worker.
    pub fn probe_started(&mut self, worker: usize, job: ids::JobKey) {
        if let Some(record) = self.records.get_mut(&worker) {
            record.probe = Some(job);
        }
    }

    /// Records that a job no longer runs on these workers and that its outcome is no evidence for
    /// or against them.
    pub fn inconclusive(&mut self, job: ids::JobKey, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            if let Some(record) = self.records.get_mut(&worker) {
                record.probe.take_if(|probe| *probe == job);
            }
        }
    }

    fn is_faulty(&self, worker: usize) -> bool {
        let Some(record) = self.records.get(&worker) else { return false };
        let streak: Vec<_> = record
            .outcomes
            .iter()
            .rev()
            .take_while(|outcome| outcome.failed)
            .filter(|outcome| !self.fails_everywhere(outcome.source.1, worker))
            .collect();
        let jobs: BTreeSet<_> = streak.iter().map(|outcome| outcome.job).collect();
        let sources: BTreeSet<_> = streak.iter().map(|outcome| outcome.source).collect();
        jobs.len() >= SINGLE_SOURCE_FAILURES
            || jobs.len() >= MIXED_SOURCE_FAILURES && sources.len() > 1
    }

    /// Whether a kind of work also fails on workers other than this one.
    fn fails_everywhere(&self, kind: usize, worker: usize) -> bool {
        let Some(outcomes) = self.kinds.get(&kind) else { return false };
        let others: Vec<_> = outcomes.iter().filter(|(other, _)| *other != worker).collect();
        let failed: BTreeSet<_> =
            others.iter().filter(|(_, failed)| *failed).map(|(other, _)| *other).collect();
        let failures = others.iter().filter(|(_, failed)| *failed).count();
        failed.len() >= KIND_FAILURE_WORKERS && failures * 4 >= others.len() * 3
    }

    fn record_kind(&mut self, kind: usize, worker: usize, failed: bool) {
        let outcomes = self.kinds.entry(kind).or_default();
        if outcomes.len() == MAX_OUTCOMES {
            outcomes.pop_front();
        }
        outcomes.push_back((worker, failed));
    }

    fn discard_failures(&mut self, job: ids::JobKey) {
        for worker in &self.failed_workers[&job] {
            if let Some(record) = self.records.get_mut(worker) {
                record.outcomes.retain(|outcome| outcome.job != job);
            }
        }
    }
}

fn failed_recently(outcomes: &VecDeque<Outcome>) -> bool {
    outcomes.iter().rev().take(2).any(|outcome| outcome.failed)
}

fn is_flapping(now: time::Tick, losses: &VecDeque<time::Tick>) -> bool {
    losses.len() == FLAP_LOSSES && losses.iter().all(|at| now - *at <= FLAP_WINDOW)
}

fn push_outcome(outcomes: &mut VecDeque<Outcome>, outcome: Outcome) {
    if outcomes.len() == MAX_OUTCOMES {
        outcomes.pop_front();
    }
    outcomes.push_back(outcome);
}
