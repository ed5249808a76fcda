//! The health of workers, from the outcomes of what ran there.
//!
//! A worker is convicted by failures of several jobs, of several kinds or accounts where there are
//! several. A job that failed on two workers convicts itself: what it did counts against no
//! worker. A kind of work that fails everywhere convicts no worker either. A convicted worker is
//! excluded, and probed with repeatable work after a back-off.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::core::ids;
use crate::core::placement::capacity;
use crate::core::time;

/// Outcomes remembered for a worker and for a kind of work.
const MEMORY: usize = 16;

/// Failed jobs that convict a worker when they come from several sources.
const FEW_JOBS: usize = 3;

/// Failed jobs that convict a worker when all come from one source.
const MANY_JOBS: usize = 5;

/// Failed jobs that are remembered.
const MAX_FAILED: usize = 10_000;

/// Workers on which a kind of work must fail before the kind itself is doubted.
const KIND_WORKERS: usize = 3;

/// Probes that must end well before a worker is good again.
const GOOD_PROBES: u32 = 2;

/// Losses within [`FLAP_SPAN`] that make a worker suspect.
const FLAPS: usize = 3;

/// How long the loss of a worker counts against it.
const FLAP_SPAN: time::Millis = time::Millis::from_secs(600);

/// The first back-off before a probe.
const BACK_OFF: time::Millis = time::Millis::from_secs(15);

/// The longest back-off before a probe.
const MAX_BACK_OFF: time::Millis = time::Millis::from_secs(600);

/// One worker in this many may be excluded at once.
const EXCLUDED_SHARE: usize = 4;

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
    due: time::Tick,
    probe: Option<ids::JobKey>,
    good_probes: u32,
}

/// The health of all workers, by their position in the fleet.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: BTreeMap<usize, Record>,
    kinds: BTreeMap<usize, VecDeque<(usize, bool)>>,
    failed_on: BTreeMap<ids::JobKey, BTreeSet<usize>>,
    excluded: BTreeSet<usize>,
}

impl Health {
    /// A job ended well on these workers. Returns the workers whose trust may have changed.
    pub fn succeeded(
        &mut self,
        job: ids::JobKey,
        source: (usize, usize),
        workers: impl IntoIterator<Item = usize>,
    ) {
        self.failed_on.remove(&job);
        for worker in workers {
            self.note_kind(source.1, worker, false);
            let record = self.records.entry(worker).or_default();
            push(&mut record.outcomes, Outcome { job, source, failed: false });
            if record.probe.take_if(|probe| *probe == job).is_some() {
                record.good_probes += 1;
            }
        }
    }

    /// A job failed on this worker.
    pub fn failed(
        &mut self,
        now: time::Tick,
        job: ids::JobKey,
        source: (usize, usize),
        worker: usize,
    ) {
        self.note_kind(source.1, worker, true);
        let record = self.records.entry(worker).or_default();
        push(&mut record.outcomes, Outcome { job, source, failed: true });
        if record.probe.take_if(|probe| *probe == job).is_some() {
            record.good_probes = 0;
            record.back_off = (record.back_off + record.back_off).min(MAX_BACK_OFF);
            record.due = now + record.back_off;
        }
        let workers = self.failed_on.entry(job).or_default();
        workers.insert(worker);
        if workers.len() > 1 {
            self.acquit(job);
        }
        if self.failed_on.len() > MAX_FAILED {
            self.failed_on.pop_first();
        }
    }

    /// A worker was lost with all that ran there.
    pub fn lost(&mut self, now: time::Tick, worker: usize) {
        let losses = &mut self.records.entry(worker).or_default().losses;
        if losses.len() == FLAPS {
            losses.pop_front();
        }
        losses.push_back(now);
    }

    /// A job is gone for good; whether it failed somewhere no longer matters.
    pub fn forget(&mut self, job: ids::JobKey) {
        self.failed_on.remove(&job);
    }

    /// Whether a job failed on this worker before.
    pub fn failed_there(&self, job: ids::JobKey, worker: usize) -> bool {
        self.failed_on.get(&job).is_some_and(|workers| workers.contains(&worker))
    }

    /// The workers on which a job failed.
    pub fn failed_on(&self, job: ids::JobKey) -> Vec<usize> {
        self.failed_on.get(&job).into_iter().flatten().copied().collect()
    }

    /// Whether a job failed anywhere before.
    pub fn has_failed(&self, job: ids::JobKey) -> bool {
        self.failed_on.contains_key(&job)
    }

    /// Judges a worker anew, with `known` workers in all. Returns its trust if that has changed.
    pub fn judge(
        &mut self,
        now: time::Tick,
        worker: usize,
        known: usize,
    ) -> Option<capacity::Trust> {
        let guilty = self.guilty(worker);
        let room = self.excluded.len() < known / EXCLUDED_SHARE;
        let record = self.records.get_mut(&worker)?;
        let old = record.trust.unwrap_or(capacity::Trust::Good);
        let new = match old {
            capacity::Trust::Probation if record.good_probes >= GOOD_PROBES => {
                record.outcomes.clear();
                capacity::Trust::Good
            }
            capacity::Trust::Probation => old,
            _ if guilty && room => capacity::Trust::Probation,
            _ if guilty || doubtful(&record.outcomes) || flaps(now, &record.losses) => {
                capacity::Trust::Suspect
            }
            _ => capacity::Trust::Good,
        };
        if new == old {
            return None;
        }
        record.trust = Some(new);
        if new == capacity::Trust::Probation {
            record.back_off = BACK_OFF;
            record.due = now + BACK_OFF;
            record.good_probes = 0;
            self.excluded.insert(worker);
        } else {
            self.excluded.remove(&worker);
        }
        Some(new)
    }

    /// The excluded workers that are due for a probe; urgent work waits twice as long.
    pub fn probes(&self, now: time::Tick, urgent: bool) -> impl Iterator<Item = usize> + '_ {
        self.excluded.iter().copied().filter(move |worker| {
            self.records.get(worker).is_some_and(|record| {
                let late = if urgent { record.back_off } else { time::Millis(0) };
                record.probe.is_none() && record.due + late <= now
            })
        })
    }

    /// A probe was sent to an excluded worker.
    pub fn probing(&mut self, worker: usize, job: ids::JobKey) {
        if let Some(record) = self.records.get_mut(&worker) {
            record.probe = Some(job);
        }
    }

    /// A job no longer runs on these workers, and its outcome says nothing of them.
    pub fn inconclusive(&mut self, job: ids::JobKey, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            if let Some(record) = self.records.get_mut(&worker) {
                record.probe.take_if(|probe| *probe == job);
            }
        }
    }

    fn guilty(&self, worker: usize) -> bool {
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
        jobs.len() >= MANY_JOBS || jobs.len() >= FEW_JOBS && sources.len() > 1
    }

    /// Whether a kind of work fails on other workers than this one as well.
    fn fails_everywhere(&self, kind: usize, worker: usize) -> bool {
        let Some(outcomes) = self.kinds.get(&kind) else { return false };
        let others: Vec<_> = outcomes.iter().filter(|(other, _)| *other != worker).collect();
        let failed: BTreeSet<_> =
            others.iter().filter(|(_, failed)| *failed).map(|(other, _)| *other).collect();
        let failures = others.iter().filter(|(_, failed)| *failed).count();
        failed.len() >= KIND_WORKERS && failures * 4 >= others.len() * 3
    }

    fn note_kind(&mut self, kind: usize, worker: usize, failed: bool) {
        let outcomes = self.kinds.entry(kind).or_default();
        if outcomes.len() == MEMORY {
            outcomes.pop_front();
        }
        outcomes.push_back((worker, failed));
    }

    fn acquit(&mut self, job: ids::JobKey) {
        for worker in &self.failed_on[&job] {
            if let Some(record) = self.records.get_mut(worker) {
                record.outcomes.retain(|outcome| outcome.job != job);
            }
        }
    }
}

fn doubtful(outcomes: &VecDeque<Outcome>) -> bool {
    outcomes.iter().rev().take(2).any(|outcome| outcome.failed)
}

fn flaps(now: time::Tick, losses: &VecDeque<time::Tick>) -> bool {
    losses.len() == FLAPS && losses.iter().all(|at| now - *at <= FLAP_SPAN)
}

fn push(outcomes: &mut VecDeque<Outcome>, outcome: Outcome) {
    if outcomes.len() == MEMORY {
        outcomes.pop_front();
    }
    outcomes.push_back(outcome);
}
