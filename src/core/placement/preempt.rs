//! Taking lent places back: for claims of guarantees, for classes that go first, and to open a
//! place for a large gang that starves.

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

/// Lent jobs looked at for a job that goes first.
const MAX_LENT: usize = 64;

/// How long a gang waits before running work is moved for it.
const STARVING: time::Millis = time::Millis::from_secs(20);

/// The gain of a move must be this many times its cost.
const MARGIN: u64 = 2;

/// How many times smaller than the gang moved work must be.
const SMALL_FACTOR: i64 = 4;

/// Regions looked at for a move.
const MAX_REGIONS: usize = 64;

/// Workers looked at in a region for each task of a gang.
const REGION_FACTOR: usize = 2;

/// Workers looked at in a region besides.
const REGION_MARGIN: usize = 64;

/// Workers looked at in all regions together.
const REGION_BUDGET: usize = 4096;

/// What stopping any job costs at least, in accelerator milliseconds.
const STOP_COST: u64 = 500;

/// Jobs to stop, and what that costs in accelerator milliseconds.
type Victims = (u64, BTreeSet<ids::JobKey>);

impl Planner {
    /// The account's guarantee, with lent work stopped where it stands in the way.
    pub(super) fn reclaim(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let mut candidates: Vec<_> = self
            .reserve
            .of(work.account)
            .filter_map(|(key, unit)| {
                let picks = self.reserve.picks(&self.fleet, key, work.service, work.shape)?;
                Some((unit.shape != work.shape, picks))
            })
            .collect();
        if candidates.is_empty() {
            let (account, service) = (work.account, work.service);
            let across = self.reserve.picks_across(&self.fleet, account, service, work.shape);
            candidates.extend(across.map(|picks| (true, picks)));
        }
        let best = candidates
            .into_iter()
            .filter_map(|(other, picks)| {
                let place = self.reserve.place(&picks);
                let (cost, victims) = self.victims(now, work, &place, &|_| true)?;
                Some((other, cost, picks, place, victims))
            })
            .min_by_key(|(other, cost, ..)| (*other, *cost));
        let Some((_, _, picks, place, victims)) = best else { return false };
        self.grant(work.key, place, job_state::Hold::Claim(picks), victims, out);
        true
    }

    /// The place of lent work that yields to this job's class, or that can be moved at a gain.
    pub(super) fn displace(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        stoppable: bool,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if work.class == account::Class::Idle || self.lent.is_empty() {
            return false;
        }
        let found = self
            .over_idle(now, work, stoppable)
            .or_else(|| self.over_lent(now, work, stoppable))
            .or_else(|| self.by_moving(now, work, stoppable));
        let Some((place, victims)) = found else { return false };
        let hold = if stoppable { job_state::Hold::Lent } else { job_state::Hold::Pinned };
        self.grant(work.key, place, hold, victims, out);
        true
    }

    /// A place over work of the class idle.
    fn over_idle(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        stoppable: bool,
    ) -> Option<(fit::Place, BTreeSet<ids::JobKey>)> {
        let place = self.search(now, work, capacity::Room::OverIdle)?;
        if !stoppable && !self.unreserved(work, &place) {
            return None;
        }
        let idle = |victim: &job_state::Work| victim.class == account::Class::Idle;
        let (_, victims) = self.victims(now, work, &place, &idle)?;
        Some((place, victims))
    }

    /// A place on one worker for urgent work, over lent work of later classes.
    fn over_lent(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        stoppable: bool,
    ) -> Option<(fit::Place, BTreeSet<ids::JobKey>)> {
        if work.class != account::Class::Urgent || work.shape.tasks > 1 {
            return None;
        }
        let later = |victim: &job_state::Work| victim.class > work.class;
        let lent = self.lent.iter().take(MAX_LENT).filter_map(|(_, _, key)| self.jobs.get(key));
        let mut seen = BTreeSet::new();
        let mut found = Vec::new();
        for victim in lent.take_while(|victim| later(victim)) {
            for &(worker, _) in &victim.place {
                if !seen.insert(worker) {
                    continue;
                }
                let place = vec![(worker, 1)];
                let open = self.fleet.usable(worker)
                    && self.fleet.offers(worker, Some(work.service))
                    && (stoppable || self.unreserved(work, &place));
                if let Some((cost, victims)) = self.victims(now, work, &place, &later)
                    && open
                {
                    found.push((cost, place, victims));
                }
            }
        }
        let best = found.into_iter().min_by_key(|(cost, ..)| *cost)?;
        Some((best.1, best.2))
    }

    /// A place for a starving gang from which smaller work that checkpoints can be moved, where
    /// the gang gains more than the moves cost.
    fn by_moving(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        stoppable: bool,
    ) -> Option<(fit::Place, BTreeSet<ids::JobKey>)> {
        let large = work.shape.tasks > 1 || work.shape.accelerators > 1;
        let waited = now - work.submitted;
        if !large || waited < STARVING {
            return None;
        }
        let movable = |victim: &job_state::Work| {
            let kind = &self.catalog.kinds[victim.kind];
            let small = victim.accelerators() * SMALL_FACTOR <= work.accelerators();
            victim.class >= work.class
                && (small || victim.class > work.class || self.yields(now, victim, work))
                && kind.repeatable
                && kind.checkpoint.is_some()
        };
        let gain = self.expected_wait(now, work).0.saturating_mul(work.shape.total());
        let mut best: Option<(u64, fit::Place, BTreeSet<ids::JobKey>)> = None;
        for region in self.regions(work.shape) {
            let Some(place) = self.movable_place(work, &region, &movable) else { continue };
            if !stoppable && !self.unreserved(work, &place) {
                continue;
            }
            let Some((cost, victims)) = self.victims(now, work, &place, &movable) else { continue };
            let better = best.as_ref().is_none_or(|(least, ..)| cost < *least);
            if better && cost.saturating_mul(MARGIN) < gain {
                best = Some((cost, place, victims));
            }
        }
        best.map(|(_, place, victims)| (place, victims))
    }

    /// Whether a straggler will run so much longer that the job had better run first.
    fn yields(&self, now: time::Tick, victim: &job_state::Work, work: &job_state::Work) -> bool {
        let elapsed = victim.elapsed(now);
        let runs = &self.catalog.kinds[victim.kind].runs;
        let speed = self.speed(&victim.place);
        let left = runs.remaining(estimate::USUAL, victim.declared, speed, elapsed);
        let runs = &self.catalog.kinds[work.kind].runs;
        let span = runs.quantile(estimate::USUAL, work.declared, speed);
        victim.is_lent() && left.0 > span.0.saturating_mul(MARGIN)
    }

    /// Spreads a gang over a region as if all movable work were gone, fullest workers last.
    fn movable_place(
        &self,
        work: &job_state::Work,
        region: &[usize],
        movable: &dyn Fn(&job_state::Work) -> bool,
    ) -> Option<fit::Place> {
        let mut able: Vec<_> = region
            .iter()
            .filter(|&&worker| self.fleet.usable(worker))
            .filter(|&&worker| self.fleet.offers(worker, Some(work.service)))
            .filter_map(|&worker| {
                let free = self.fleet.room(worker, capacity::Room::Free);
                let stopping = self.fleet.workers[worker].stopping;
                let room = self
                    .lent_on(worker)
                    .filter(|victim| movable(victim))
                    .map(|victim| on_worker(victim, worker))
                    .fold(free.plus(stopping), capacity::Amount::plus);
                let tasks = room.tasks(work.shape.accelerators);
                (tasks > 0).then_some((worker, tasks, free.tasks(work.shape.accelerators)))
            })
            .collect();
        able.sort_by_key(|&(worker, _, free)| (std::cmp::Reverse(free), worker));
        let mut left = work.shape.tasks;
        let mut place = Vec::new();
        for (worker, tasks, _) in able {
            let tasks = tasks.min(left);
            if tasks > 0 {
                place.push((worker, tasks));
                left -= tasks;
            }
        }
        (left == 0).then_some(place)
    }

    /// Sets of workers within which a shape may lie, the emptiest racks first, so many workers of
    /// each and in all that a look at every one of them stays cheap.
    pub(super) fn regions(&self, shape: shape::Shape) -> Vec<Vec<usize>> {
        let width = shape.tasks as usize * REGION_FACTOR + REGION_MARGIN;
        let mut left = REGION_BUDGET;
        let mut regions = Vec::new();
        for mut region in self.all_regions(shape.adjacency) {
            region.truncate(width.min(left));
            left -= region.len();
            regions.push(region);
            if left == 0 || regions.len() == MAX_REGIONS {
                break;
            }
        }
        regions
    }

    fn all_regions(&self, adjacency: shape::Adjacency) -> Vec<Vec<usize>> {
        let racks_of = |center: usize| self.fleet.racks_from(center, capacity::Room::Free, 0).rev();
        let workers_of = |rack: usize| self.fleet.racks[rack].workers.iter().copied();
        let centers = 0..self.fleet.centers.len();
        let per_center = MAX_REGIONS / self.fleet.centers.len().max(1) + 1;
        let racks = centers.clone().flat_map(|center| racks_of(center).take(per_center));
        let whole =
            |center: usize| racks_of(center).flat_map(|(_, rack)| workers_of(rack)).collect();
        match adjacency {
            shape::Adjacency::Worker => {
                racks.flat_map(|(_, rack)| workers_of(rack)).map(|worker| vec![worker]).collect()
            }
            shape::Adjacency::Rack => racks.map(|(_, rack)| workers_of(rack).collect()).collect(),
            shape::Adjacency::DataCenter => centers.map(whole).collect(),
            shape::Adjacency::Cell => {
                let all = centers.flat_map(|center| whole(center) as Vec<usize>);
                vec![all.collect()]
            }
        }
    }

    /// Whether a place for work that can't be stopped leaves room for every guarantee.
    fn unreserved(&self, work: &job_state::Work, place: &fit::Place) -> bool {
        place.iter().all(|&(worker, tasks)| {
            let room = self.fleet.room(worker, capacity::Room::Reservable);
            room.tasks(work.shape.accelerators) >= tasks
        })
    }

    /// The cheapest permitted jobs to stop so that the place comes free, if there are enough.
    fn victims(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        place: &fit::Place,
        permitted: &dyn Fn(&job_state::Work) -> bool,
    ) -> Option<Victims> {
        let mut victims = BTreeSet::new();
        let mut total = 0;
        for &(worker, tasks) in place {
            let state = &self.fleet.workers[worker];
            let need = capacity::Amount::of(tasks, work.shape.accelerators);
            let mut room = self.fleet.room(worker, capacity::Room::Free).plus(state.stopping);
            for victim in self.lent_on(worker).filter(|victim| victims.contains(&victim.key)) {
                room = room.plus(on_worker(victim, worker));
            }
            let mut choice: Vec<_> = self
                .lent_on(worker)
                .filter(|victim| !victims.contains(&victim.key) && permitted(victim))
                .map(|victim| (victim.class, self.stop_cost(now, victim), victim))
                .collect();
            choice
                .sort_by_key(|&(class, cost, victim)| (std::cmp::Reverse(class), cost, victim.key));
            let mut chosen = Vec::new();
            for (_, cost, victim) in choice {
                if room.minus(need).covered() {
                    break;
                }
                room = room.plus(on_worker(victim, worker));
                chosen.push((cost, victim));
            }
            if !room.minus(need).covered() {
                return None;
            }
            for (cost, victim) in chosen {
                let amount = on_worker(victim, worker);
                if room.minus(amount).minus(need).covered() {
                    room = room.minus(amount);
                } else {
                    victims.insert(victim.key);
                    total += cost;
                }
            }
        }
        Some((total, victims))
    }

    /// The lent work on a worker that could be stopped.
    fn lent_on(&self, worker: usize) -> impl Iterator<Item = &job_state::Work> {
        let jobs = self.fleet.workers[worker].jobs.iter();
        jobs.filter_map(|key| self.jobs.get(key)).filter(|work| work.is_lent())
    }

    /// What stopping a job costs, in accelerator milliseconds: the work that is lost and the time
    /// to stop, more for a job that was stopped before.
    fn stop_cost(&self, now: time::Tick, work: &job_state::Work) -> u64 {
        if matches!(work.stage, job_state::Stage::Promised(_)) {
            return 0;
        }
        let kind = &self.catalog.kinds[work.kind];
        let lost = match kind.checkpoint {
            Some(_) => kind.grace(),
            None => work.elapsed(now),
        };
        let accelerators = work.shape.total().max(1);
        let once = lost.0.saturating_mul(accelerators).saturating_add(STOP_COST);
        once.saturating_mul(1 + u64::from(work.preempted))
    }

    /// How long a gang would still wait if nothing were moved for it.
    fn expected_wait(&self, now: time::Tick, work: &job_state::Work) -> time::Millis {
        let future = self.futures.iter().find(|future| future.job == work.key);
        match future {
            Some(future) => future.at - now,
            None => {
                self.catalog.kinds[work.kind].runs.quantile(estimate::USUAL, work.declared, 100)
            }
        }
    }
}

/// What a job takes on one worker.
fn on_worker(work: &job_state::Work, worker: usize) -> capacity::Amount {
    work.place
        .iter()
        .filter(|(other, _)| *other == worker)
        .map(|&(_, tasks)| capacity::Amount::of(tasks, work.shape.accelerators))
        .fold(capacity::Amount::default(), capacity::Amount::plus)
}
