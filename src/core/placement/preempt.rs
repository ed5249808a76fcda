//! Preemption of jobs: for claims on guarantees, for jobs of earlier classes, and for large gangs
//! that starve.

use std::collections::BTreeSet;

use crate::core::account;
use crate::core::ids;
use crate::core::placement::capacity;
use crate::core::placement::estimate;
use crate::core::placement::fit;
use crate::core::placement::job_state;
use crate::core::placement::plan;
use crate::core::placement::planner::Planner;
use crate::core::shape;
use crate::core::time;

/// Maximum number of preemptible jobs considered for an urgent job.
const MAX_CANDIDATES: usize = 64;

/// How long a gang waits before running jobs are preempted for it.
const STARVATION_TIME: time::Millis = time::Millis::from_secs(20);

/// Minimum ratio of the gain from a preemption to its cost.
const MIN_GAIN_FACTOR: u64 = 2;

/// Minimum ratio of the size of a gang to the size of a job of its class that is preempted for it.
const MIN_SIZE_RATIO: i64 = 4;

/// Maximum number of regions searched for a placement.
const MAX_REGIONS: usize = 64;

/// Number of workers considered in a region for each task of a gang.
const REGION_WORKERS_PER_TASK: usize = 2;

/// Number of workers considered in a region in addition to those for the tasks.
const EXTRA_REGION_WORKERS: usize = 64;

/// Maximum number of workers considered in all regions together.
const MAX_REGION_WORKERS: usize = 4096;

/// Base cost of stopping a job, whatever work is lost, in accelerator milliseconds.
const BASE_STOP_COST: u64 = 500;

/// The cost of stopping jobs in accelerator milliseconds, and the jobs.
type Victims = (u64, BTreeSet<ids::JobKey>);

impl Planner {
    /// Claims the account's guarantee and preempts the jobs that occupy its capacity.
    pub(super) fn reclaim(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let mut candidates: Vec<_> = self
            .guarantees
            .of_account(job.account)
            .filter_map(|(key, gang)| {
                let claims = self.guarantees.claims(&self.fleet, key, job.service, job.shape)?;
                Some((gang.shape != job.shape, claims))
            })
            .collect();
        if candidates.is_empty() {
            let (account, service) = (job.account, job.service);
            let across = self.guarantees.claims_across(&self.fleet, account, service, job.shape);
            candidates.extend(across.map(|claims| (true, claims)));
        }
        let best = candidates
            .into_iter()
            .filter_map(|(differs, claims)| {
                let placement = self.guarantees.placement(&claims);
                let (cost, victims) = self.victims(now, job, &placement, &|_| true)?;
                Some((differs, cost, claims, placement, victims))
            })
            .min_by_key(|(differs, cost, ..)| (*differs, *cost));
        let Some((_, _, claims, placement, victims)) = best else { return false };
        self.allocate(job.key, placement, job_state::Allocation::Guaranteed(claims), victims, out);
        true
    }

    /// Places the job by preempting jobs of later classes, or jobs whose restart costs less than
    /// the job gains.
    pub(super) fn preempt_others(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        preemptible: bool,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if job.class == account::Class::Idle || self.preemptible.is_empty() {
            return false;
        }
        let found = self
            .idle_victims(now, job, preemptible)
            .or_else(|| self.later_class_victims(now, job, preemptible))
            .or_else(|| self.movable_victims(now, job, preemptible));
        let Some((placement, victims)) = found else { return false };
        let allocation = if preemptible {
            job_state::Allocation::Preemptible
        } else {
            job_state::Allocation::NonPreemptible
        };
        self.allocate(job.key, placement, allocation, victims, out);
        true
    }

    /// A placement that becomes free when jobs of class idle are stopped.
    fn idle_victims(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        preemptible: bool,
    ) -> Option<(fit::Placement, BTreeSet<ids::JobKey>)> {
        let placement = self.find_placement(now, job, capacity::Availability::Reclaimable)?;
        if !preemptible && !self.leaves_guarantees(job, &placement) {
            return None;
        }
        let idle = |victim: &job_state::JobState| victim.class == account::Class::Idle;
        let (_, victims) = self.victims(now, job, &placement, &idle)?;
        Some((placement, victims))
    }

    /// A placement on one worker for an urgent job with one task that becomes free when jobs of
    /// later classes are stopped.
    fn later_class_victims(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        preemptible: bool,
    ) -> Option<(fit::Placement, BTreeSet<ids::JobKey>)> {
        if job.class != account::Class::Urgent || job.shape.tasks > 1 {
            return None;
        }
        let later = |victim: &job_state::JobState| victim.class > job.class;
        let ranked = self
            .preemptible
            .iter()
            .take(MAX_CANDIDATES)
            .filter_map(|(_, _, key)| self.jobs.get(key));
        let mut seen = BTreeSet::new();
        let mut found = Vec::new();
        for victim in ranked.take_while(|victim| later(victim)) {
            for &(worker, _) in &victim.placement {
                if !seen.insert(worker) {
                    continue;
                }
                let placement = vec![(worker, 1)];
                let suitable = self.fleet.usable(worker)
                    && self.fleet.offers(worker, Some(job.service))
                    && (preemptible || self.leaves_guarantees(job, &placement));
                if let Some((cost, victims)) = self.victims(now, job, &placement, &later)
                    && suitable
                {
                    found.push((cost, placement, victims));
                }
            }
        }
        let best = found.into_iter().min_by_key(|(cost, ..)| *cost)?;
        Some((best.1, best.2))
    }

    /// A placement for a starving gang that becomes free when jobs that checkpoint are stopped,
    /// where the gang gains more than the preemptions cost.
    fn movable_victims(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        preemptible: bool,
    ) -> Option<(fit::Placement, BTreeSet<ids::JobKey>)> {
        let large = job.shape.tasks > 1 || job.shape.accelerators > 1;
        let waited = now - job.submitted;
        if !large || waited < STARVATION_TIME {
            return None;
        }
        let movable = |victim: &job_state::JobState| {
            let kind = &self.catalog.kinds[victim.kind];
            let small = victim.accelerators() * MIN_SIZE_RATIO <= job.accelerators();
            victim.class >= job.class
                && (small || victim.class > job.class || self.straggler_yields(now, victim, job))
                && kind.repeatable
                && kind.checkpoint.is_some()
        };
        let gain = self.expected_wait(now, job).0.saturating_mul(job.shape.total());
        let mut best: Option<(u64, fit::Placement, BTreeSet<ids::JobKey>)> = None;
        for region in self.regions(job.shape) {
            let Some(placement) = self.movable_placement(job, &region, &movable) else { continue };
            if !preemptible && !self.leaves_guarantees(job, &placement) {
                continue;
            }
            let Some((cost, victims)) = self.victims(now, job, &placement, &movable) else {
                continue;
            };
            let better = best.as_ref().is_none_or(|(least, ..)| cost < *least);
            if better && cost.saturating_mul(MIN_GAIN_FACTOR) < gain {
                best = Some((cost, placement, victims));
            }
        }
        best.map(|(_, placement, victims)| (placement, victims))
    }

    /// Whether a straggler is expected to run so much longer that the job should run first.
    fn straggler_yields(
        &self,
        now: time::Tick,
        victim: &job_state::JobState,
        job: &job_state::JobState,
    ) -> bool {
        let elapsed = victim.elapsed(now);
        let run_times = &self.catalog.kinds[victim.kind].run_times;
        let speed = self.slowest_speed(&victim.placement);
        let left = run_times.remaining(estimate::MEDIAN_PERCENT, victim.run_time, speed, elapsed);
        let run_times = &self.catalog.kinds[job.kind].run_times;
        let run_time = run_times.quantile(estimate::MEDIAN_PERCENT, job.run_time, speed);
        victim.is_preemptible() && left.0 > run_time.0.saturating_mul(MIN_GAIN_FACTOR)
    }

    /// Spreads a gang over a region as if all movable jobs were gone, on the workers with the most
    /// free capacity first.
    fn movable_placement(
        &self,
        job: &job_state::JobState,
        region: &[usize],
        movable: &dyn Fn(&job_state::JobState) -> bool,
    ) -> Option<fit::Placement> {
        let mut candidates: Vec<_> = region
            .iter()
            .filter(|&&worker| self.fleet.usable(worker))
            .filter(|&&worker| self.fleet.offers(worker, Some(job.service)))
            .filter_map(|&worker| {
                let free = self.fleet.available(worker, capacity::Availability::Free);
                let stopping = self.fleet.workers[worker].stopping;
                let available = self
                    .preemptible_on(worker)
                    .filter(|victim| movable(victim))
                    .map(|victim| amount_on(victim, worker))
                    .fold(free.plus(stopping), capacity::Amount::plus);
                let tasks = available.max_tasks(job.shape.accelerators);
                (tasks > 0).then_some((worker, tasks, free.max_tasks(job.shape.accelerators)))
            })
            .collect();
        candidates.sort_by_key(|&(worker, _, free)| (std::cmp::Reverse(free), worker));
        let mut left = job.shape.tasks;
        let mut placement = Vec::new();
        for (worker, tasks, _) in candidates {
            let tasks = tasks.min(left);
            if tasks > 0 {
                placement.push((worker, tasks));
                left -= tasks;
            }
        }
        (left == 0).then_some(placement)
    }

    /// Sets of workers within which a shape may be placed, the emptiest racks first. The numbers of
    /// workers in each set and in all of them are bounded, so that looking at every worker stays
    /// cheap.
    pub(super) fn regions(&self, shape: shape::Shape) -> Vec<Vec<usize>> {
        let max_workers = shape.tasks as usize * REGION_WORKERS_PER_TASK + EXTRA_REGION_WORKERS;
        let mut left = MAX_REGION_WORKERS;
        let mut regions = Vec::new();
        for mut region in self.all_regions(shape.adjacency) {
            region.truncate(max_workers.min(left));
            left -= region.len();
            regions.push(region);
            if left == 0 || regions.len() == MAX_REGIONS {
                break;
            }
        }
        regions
    }

    fn all_regions(&self, adjacency: shape::Adjacency) -> Vec<Vec<usize>> {
        let racks_of =
            |center: usize| self.fleet.racks_with(center, capacity::Availability::Free, 0).rev();
        let workers_of = |rack: usize| self.fleet.racks[rack].workers.iter().copied();
        let centers = 0..self.fleet.centers.len();
        let per_center = MAX_REGIONS / self.fleet.centers.len().max(1) + 1;
        let racks = centers.clone().flat_map(|center| racks_of(center).take(per_center));
        let workers_in =
            |center: usize| racks_of(center).flat_map(|(_, rack)| workers_of(rack)).collect();
        match adjacency {
            shape::Adjacency::Worker => {
                racks.flat_map(|(_, rack)| workers_of(rack)).map(|worker| vec![worker]).collect()
            }
            shape::Adjacency::Rack => racks.map(|(_, rack)| workers_of(rack).collect()).collect(),
            shape::Adjacency::DataCenter => centers.map(workers_in).collect(),
            shape::Adjacency::Cell => {
                let all = centers.flat_map(|center| workers_in(center) as Vec<usize>);
                vec![all.collect()]
            }
        }
    }

    /// Whether a placement for a non-preemptible job leaves capacity for every guarantee.
    fn leaves_guarantees(&self, job: &job_state::JobState, placement: &fit::Placement) -> bool {
        placement.iter().all(|&(worker, tasks)| {
            let available = self.fleet.available(worker, capacity::Availability::Reservable);
            available.max_tasks(job.shape.accelerators) >= tasks
        })
    }

    /// The cheapest permitted jobs to stop so that the placement becomes free; none if they don't
    /// suffice.
    fn victims(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        placement: &fit::Placement,
        permitted: &dyn Fn(&job_state::JobState) -> bool,
    ) -> Option<Victims> {
        let mut victims = BTreeSet::new();
        let mut total = 0;
        for &(worker, tasks) in placement {
            let state = &self.fleet.workers[worker];
            let need = capacity::Amount::for_tasks(tasks, job.shape.accelerators);
            let mut available =
                self.fleet.available(worker, capacity::Availability::Free).plus(state.stopping);
            for victim in self.preemptible_on(worker).filter(|victim| victims.contains(&victim.key))
            {
                available = available.plus(amount_on(victim, worker));
            }
            let mut candidates: Vec<_> = self
                .preemptible_on(worker)
                .filter(|victim| !victims.contains(&victim.key) && permitted(victim))
                .map(|victim| (victim.class, self.stop_cost(now, victim), victim))
                .collect();
            candidates
                .sort_by_key(|&(class, cost, victim)| (std::cmp::Reverse(class), cost, victim.key));
            let mut chosen = Vec::new();
            for (_, cost, victim) in candidates {
                if available.minus(need).is_non_negative() {
                    break;
                }
                available = available.plus(amount_on(victim, worker));
                chosen.push((cost, victim));
            }
            if !available.minus(need).is_non_negative() {
                return None;
            }
            for (cost, victim) in chosen {
                let amount = amount_on(victim, worker);
                if available.minus(amount).minus(need).is_non_negative() {
                    available = available.minus(amount);
                } else {
                    victims.insert(victim.key);
                    total += cost;
                }
            }
        }
        Some((total, victims))
    }

    /// The jobs on a worker that can be preempted now.
    fn preemptible_on(&self, worker: usize) -> impl Iterator<Item = &job_state::JobState> {
        let jobs = self.fleet.workers[worker].jobs.iter();
        jobs.filter_map(|key| self.jobs.get(key)).filter(|job| job.is_preemptible())
    }

    /// The cost of stopping a job in accelerator milliseconds: the work that is lost and the time
    /// to stop, multiplied by one plus the number of its earlier preemptions.
    fn stop_cost(&self, now: time::Tick, job: &job_state::JobState) -> u64 {
        if matches!(job.stage, job_state::Stage::AwaitingPreemption(_)) {
            return 0;
        }
        let kind = &self.catalog.kinds[job.kind];
        let lost = match kind.checkpoint {
            Some(_) => kind.grace(),
            None => job.elapsed(now),
        };
        let accelerators = job.shape.total().max(1);
        let cost = lost.0.saturating_mul(accelerators).saturating_add(BASE_STOP_COST);
        cost.saturating_mul(1 + u64::from(job.preemptions))
    }

    /// How long a gang is expected to wait if no job is preempted for it.
    fn expected_wait(&self, now: time::Tick, job: &job_state::JobState) -> time::Millis {
        let reservation = self.reservations.iter().find(|reservation| reservation.job == job.key);
        match reservation {
            Some(reservation) => reservation.start - now,
            None => self.catalog.kinds[job.kind].run_times.quantile(
                estimate::MEDIAN_PERCENT,
                job.run_time,
                100,
            ),
        }
    }
}

/// The capacity that a job takes on one worker.
fn amount_on(job: &job_state::JobState, worker: usize) -> capacity::Amount {
    job.placement
        .iter()
        .filter(|(other, _)| *other == worker)
        .map(|&(_, tasks)| capacity::Amount::for_tasks(tasks, job.shape.accelerators))
        .fold(capacity::Amount::default(), capacity::Amount::plus)
}
