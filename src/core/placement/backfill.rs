//! Backfill: reservations for large jobs that can't start yet, and the jobs that may use the
//! reserved workers meanwhile.
//!
//! The first large jobs of the queue get a reservation where enough running jobs are expected to
//! end first. Other jobs may start there only if nearly all runs of their kind would end before the
//! reservation starts. Jobs of an earlier class are not held up.

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

/// Number of accelerators from which a job with one task counts as large.
const LARGE_TASK_ACCELERATORS: u32 = 4;

/// Minimum time between two reviews of the same reservation.
const REVIEW_INTERVAL: time::Millis = time::Millis::from_secs(1);

macros::value_types! {
    /// A reservation of workers for a job that can't start yet.
    pub struct Reservation {
        /// Whether the reservation is for the job that has waited longest; otherwise it is for the
        /// first job of the queue.
        pub for_oldest: bool,
        /// Key of the job.
        pub job: ids::JobKey,
        /// Effective class of the job.
        pub class: account::Class,
        /// Time at which the job is expected to start.
        pub start: time::Tick,
        /// Time at which the reservation was last planned or reviewed.
        pub planned_at: time::Tick,
        /// Positions of the reserved workers.
        pub workers: BTreeSet<usize>,
    }
}

impl Reservation {
    /// Whether a worker is part of the reservation.
    pub fn includes(&self, worker: usize) -> bool {
        self.workers.contains(&worker)
    }
}

impl Planner {
    /// The reservations that a job must not use because it might still run when they start.
    pub(super) fn conflicting_reservations(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
    ) -> Vec<&Reservation> {
        let run_times = &self.catalog.kinds[job.kind].run_times;
        let class = decide::effective_class(now, job);
        let end = now + run_times.quantile(estimate::LONG_RUN_PERCENT, job.run_time, 100);
        self.reservations
            .iter()
            .filter(|reservation| reservation.job != job.key && reservation.class <= class)
            .filter(|reservation| self.has_priority(reservation, job))
            .filter(|reservation| reservation.start < end)
            .collect()
    }

    /// Whether the job of a reservation comes before this one. A reservation for a later job must
    /// not hold up an earlier one: each would wait for the other.
    fn has_priority(&self, reservation: &Reservation, job: &job_state::JobState) -> bool {
        self.jobs.get(&reservation.job).is_some_and(|other| self.comes_before(other, job).is_lt())
    }

    /// Plans or reviews a reservation for a large job that has just found no placement.
    pub(super) fn plan_reservation(&mut self, now: time::Tick, key: ids::JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let large = job.shape.tasks > 1 || job.shape.accelerators >= LARGE_TASK_ACCELERATORS;
        if !large || job.class == account::Class::Idle {
            return;
        }
        self.reservations.retain(|reservation| {
            self.jobs.get(&reservation.job).is_some_and(|job| job.is_waiting())
        });
        let old = self.reservations.iter().position(|reservation| reservation.job == key);
        if let Some(old) = old {
            if now.0 >= self.reservations[old].planned_at.0 + REVIEW_INTERVAL.0 {
                let old = self.reservations.remove(old);
                self.reservations.extend(self.review_reservation(now, old));
            }
            return;
        }
        let Some(for_oldest) = self.eligible_reservation(key) else { return };
        self.reservations.retain(|reservation| reservation.for_oldest != for_oldest);
        self.reservations.extend(self.earliest_reservation(now, key, for_oldest));
    }

    /// Reviews a reservation. It is replaced only by one that starts in half the time, so that jobs
    /// are not drained from one region after another.
    fn review_reservation(&self, now: time::Tick, old: Reservation) -> Option<Reservation> {
        let job = self.jobs.get(&old.job)?;
        let region: Vec<_> = old.workers.iter().copied().collect();
        let current = self.start_in_region(now, job, &region);
        let best = self.earliest_reservation(now, old.job, old.for_oldest);
        match (current, best) {
            (Some((start, _)), Some(best)) if (best.start - now).0 * 2 < (start - now).0 => {
                Some(best)
            }
            (Some((start, _)), _) => Some(Reservation { start, planned_at: now, ..old }),
            (None, best) => best,
        }
    }

    /// The reservation that a job is entitled to, if any: false for that of the first job of the
    /// queue, true for that of the job that has waited longest.
    fn eligible_reservation(&self, key: ids::JobKey) -> Option<bool> {
        let job = &self.jobs[&key];
        let holder = |for_oldest: bool| {
            let reservation = self
                .reservations
                .iter()
                .find(|reservation| reservation.for_oldest == for_oldest)?;
            self.jobs.get(&reservation.job)
        };
        if holder(false).is_none_or(|other| self.comes_before(job, other).is_lt()) {
            return Some(false);
        }
        let older =
            |other: &job_state::JobState| (job.submitted, job.key) < (other.submitted, other.key);
        holder(true).is_none_or(older).then_some(true)
    }

    /// A reservation of the workers on which the job could start first, as far as run times are
    /// known.
    fn earliest_reservation(
        &self,
        now: time::Tick,
        key: ids::JobKey,
        for_oldest: bool,
    ) -> Option<Reservation> {
        let job = self.jobs.get(&key)?;
        let best = self
            .regions(job.shape)
            .into_iter()
            .filter_map(|region| self.start_in_region(now, job, &region))
            .min_by(|a, b| a.0.cmp(&b.0))?;
        let (start, workers) = best;
        let class = decide::effective_class(now, job);
        Some(Reservation { for_oldest, job: key, class, start, planned_at: now, workers })
    }

    /// The time at which a region has capacity for all tasks of a job, and the workers that provide
    /// it.
    fn start_in_region(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        region: &[usize],
    ) -> Option<(time::Tick, BTreeSet<usize>)> {
        let mut openings: Vec<_> =
            region.iter().flat_map(|&worker| self.openings(now, job, worker)).collect();
        openings.sort_unstable();
        let mut left = job.shape.tasks;
        let mut workers = BTreeSet::new();
        for (start, worker, tasks) in openings {
            workers.insert(worker);
            left = left.saturating_sub(tasks);
            if left == 0 {
                return Some((start, workers));
            }
        }
        None
    }

    /// The times at which a worker gains capacity for further tasks of a job: the time, the worker,
    /// and the number of further tasks.
    fn openings(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        worker: usize,
    ) -> Vec<(time::Tick, usize, u32)> {
        let usable = self.fleet.usable(worker) && self.fleet.offers(worker, Some(job.service));
        let reserved = self.reservations.iter().any(|reservation| reservation.includes(worker));
        if !usable || reserved {
            return Vec::new();
        }
        let mut ends: Vec<_> = self.fleet.workers[worker]
            .jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .map(|running| (self.expected_end(now, running), running))
            .collect();
        ends.sort_by_key(|(end, running)| (*end, running.key));
        let mut available = self.fleet.available(worker, capacity::Availability::Free);
        let mut tasks = available.max_tasks(job.shape.accelerators);
        let mut openings = Vec::new();
        if tasks > 0 {
            openings.push((now, worker, tasks));
        }
        for (end, running) in ends {
            for &(_, held) in running.placement.iter().filter(|(other, _)| *other == worker) {
                available =
                    available.plus(capacity::Amount::for_tasks(held, running.shape.accelerators));
            }
            let more = available.max_tasks(job.shape.accelerators);
            if more > tasks {
                openings.push((end, worker, more - tasks));
                tasks = more;
            }
        }
        openings
    }

    fn expected_end(&self, now: time::Tick, job: &job_state::JobState) -> time::Tick {
        let run_times = &self.catalog.kinds[job.kind].run_times;
        let (speed, elapsed) = (self.slowest_speed(&job.placement), job.elapsed(now));
        now + run_times.remaining(estimate::MEDIAN_PERCENT, job.run_time, speed, elapsed)
    }
}
