//! Places kept for large jobs that can't start yet, and who may use them meanwhile.
//!
//! The first large jobs of the queue get a place in the future: where enough running work is
//! expected to have ended first. Others start there only if nearly all runs of their kind end
//! before that. Work of a class that goes first is not held up.

use std::collections::BTreeSet;

use crate::core::account;
use crate::core::ids;
use crate::core::placement::capacity;
use crate::core::placement::decide;
use crate::core::placement::estimate;
use crate::core::placement::job_state;
use crate::core::placement::planner::Planner;
use crate::core::time;
use crate::macros;

/// Accelerators from which a single task counts as large.
const LARGE: u32 = 4;

/// The least time between two looks at the same future place.
const REVIEW: time::Millis = time::Millis::from_secs(1);

macros::value_types! {
    /// A place kept for a job that can't start yet.
    pub struct Future {
        /// Whether it is kept for the job that has waited longest, or for the first of the queue.
        pub for_oldest: bool,
        /// The job.
        pub job: ids::JobKey,
        /// Its class.
        pub class: account::Class,
        /// When it is expected to start there.
        pub at: time::Tick,
        /// When this was worked out.
        pub planned: time::Tick,
        /// The workers.
        pub workers: BTreeSet<usize>,
    }
}

impl Future {
    /// Whether the place has a part on this worker.
    pub fn holds(&self, worker: usize) -> bool {
        self.workers.contains(&worker)
    }
}

impl Planner {
    /// The kept places that a job must leave alone, because it might not end in time.
    pub(super) fn futures_against(&self, now: time::Tick, work: &job_state::Work) -> Vec<&Future> {
        let runs = &self.catalog.kinds[work.kind].runs;
        let class = decide::effective_class(now, work);
        let end = now + runs.quantile(estimate::LONG, work.declared, 100);
        self.futures
            .iter()
            .filter(|future| future.job != work.key && future.class <= class)
            .filter(|future| self.goes_first(future, work))
            .filter(|future| future.at < end)
            .collect()
    }

    /// Whether the job of a kept place comes before this one. A place kept for a later job must
    /// not hold up an earlier one: each would wait for the other.
    fn goes_first(&self, future: &Future, work: &job_state::Work) -> bool {
        self.jobs.get(&future.job).is_some_and(|other| self.comes_before(other, work).is_lt())
    }

    /// Keeps a place for a large job that was just found to have none.
    pub(super) fn plan_future(&mut self, now: time::Tick, key: ids::JobKey) {
        let Some(work) = self.jobs.get(&key) else { return };
        let large = work.shape.tasks > 1 || work.shape.accelerators >= LARGE;
        if !large || work.class == account::Class::Idle {
            return;
        }
        self.futures
            .retain(|future| self.jobs.get(&future.job).is_some_and(|work| work.is_waiting()));
        let old = self.futures.iter().position(|future| future.job == key);
        if let Some(old) = old {
            if now.0 >= self.futures[old].planned.0 + REVIEW.0 {
                let old = self.futures.remove(old);
                self.futures.extend(self.review(now, old));
            }
            return;
        }
        let Some(for_oldest) = self.entitled(key) else { return };
        self.futures.retain(|future| future.for_oldest != for_oldest);
        self.futures.extend(self.earliest(now, key, for_oldest));
    }

    /// Looks at a kept place again. It is given up only for one that is open in half the time, so
    /// that work does not drain from one place after another.
    fn review(&self, now: time::Tick, old: Future) -> Option<Future> {
        let work = self.jobs.get(&old.job)?;
        let region: Vec<_> = old.workers.iter().copied().collect();
        let same = self.start_in(now, work, &region);
        let best = self.earliest(now, old.job, old.for_oldest);
        match (same, best) {
            (Some((at, _)), Some(best)) if (best.at - now).0 * 2 < (at - now).0 => Some(best),
            (Some((at, _)), _) => Some(Future { at, planned: now, ..old }),
            (None, best) => best,
        }
    }

    /// Which of the two kept places a job is entitled to, if any: that of the first job of the
    /// queue, or that of the job that has waited longest.
    fn entitled(&self, key: ids::JobKey) -> Option<bool> {
        let work = &self.jobs[&key];
        let holder = |for_oldest: bool| {
            let future = self.futures.iter().find(|future| future.for_oldest == for_oldest)?;
            self.jobs.get(&future.job)
        };
        if holder(false).is_none_or(|other| self.comes_before(work, other).is_lt()) {
            return Some(false);
        }
        let older =
            |other: &job_state::Work| (work.submitted, work.key) < (other.submitted, other.key);
        holder(true).is_none_or(older).then_some(true)
    }

    /// The region in which the job could start first, as far as run times are known.
    fn earliest(&self, now: time::Tick, key: ids::JobKey, for_oldest: bool) -> Option<Future> {
        let work = self.jobs.get(&key)?;
        let best = self
            .regions(work.shape)
            .into_iter()
            .filter_map(|region| self.start_in(now, work, &region))
            .min_by(|a, b| a.0.cmp(&b.0))?;
        let (at, workers) = best;
        let class = decide::effective_class(now, work);
        Some(Future { for_oldest, job: key, class, at, planned: now, workers })
    }

    /// When the tasks of a job would all have room in a region, and on which workers.
    fn start_in(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        region: &[usize],
    ) -> Option<(time::Tick, BTreeSet<usize>)> {
        let mut openings: Vec<_> =
            region.iter().flat_map(|&worker| self.openings(now, work, worker)).collect();
        openings.sort_unstable();
        let mut left = work.shape.tasks;
        let mut workers = BTreeSet::new();
        for (at, worker, tasks) in openings {
            workers.insert(worker);
            left = left.saturating_sub(tasks);
            if left == 0 {
                return Some((at, workers));
            }
        }
        None
    }

    /// When a worker gets room for more tasks of a job: the time, the worker, and how many.
    fn openings(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        worker: usize,
    ) -> Vec<(time::Tick, usize, u32)> {
        let usable = self.fleet.usable(worker) && self.fleet.offers(worker, Some(work.service));
        let taken = self.futures.iter().any(|future| future.holds(worker));
        if !usable || taken {
            return Vec::new();
        }
        let mut ends: Vec<_> = self.fleet.workers[worker]
            .jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .map(|running| (self.expected_end(now, running), running))
            .collect();
        ends.sort_by_key(|(end, running)| (*end, running.key));
        let mut room = self.fleet.room(worker, capacity::Room::Free);
        let mut tasks = room.tasks(work.shape.accelerators);
        let mut openings = Vec::new();
        if tasks > 0 {
            openings.push((now, worker, tasks));
        }
        for (end, running) in ends {
            for &(_, held) in running.place.iter().filter(|(other, _)| *other == worker) {
                room = room.plus(capacity::Amount::of(held, running.shape.accelerators));
            }
            let more = room.tasks(work.shape.accelerators);
            if more > tasks {
                openings.push((end, worker, more - tasks));
                tasks = more;
            }
        }
        openings
    }

    fn expected_end(&self, now: time::Tick, work: &job_state::Work) -> time::Tick {
        let runs = &self.catalog.kinds[work.kind].runs;
        let (speed, elapsed) = (self.speed(&work.place), work.elapsed(now));
        now + runs.remaining(estimate::USUAL, work.declared, speed, elapsed)
    }
}
