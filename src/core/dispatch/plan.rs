//! Placement of waiting steps in queue order, and preemption for urgent ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc;

use crate::core::dispatch::fit;
use crate::core::dispatch::leader;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::preempt;
use crate::core::dispatch::queue;
use crate::core::dispatch::ranks;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// The lifetime of a reservation for a step, also after runs were stopped for it.
const RESERVATION_TIME: time::Millis = time::Millis(1500);

/// The wait after which a step that is not urgent may reserve resources.
const RESERVE_AFTER: time::Millis = time::Millis(1000);

/// The estimate from which a step counts as long; shorter ones free their resources soon.
const LONG_ESTIMATE: time::Millis = time::Millis(5000);

/// The estimate from which a step counts as long even if no other job waits, since others arrive
/// within a few seconds.
const VERY_LONG_ESTIMATE: time::Millis = time::Millis(15_000);

/// The highest rank that may reserve resources: the queues directly after the urgent ones.
const MAX_RESERVING_RANK: u32 = queue::URGENT_RANK + 1;

/// A waiting step while it is served.
#[derive(Clone, Copy)]
pub(super) struct Turn<'a> {
    pub(super) job: &'a job::Job,
    pub(super) ranks: &'a ranks::Ranks,
    pub(super) waiting: queue::WaitingStep,
    pub(super) demand: fit::Demand<'a>,
    /// The number of tasks that may start if other jobs wait, and for which others may be stopped.
    pub(super) share: usize,
}

impl Turn<'_> {
    fn is_urgent(&self) -> bool {
        self.waiting.rank <= queue::URGENT_RANK
    }

    /// Returns whether resources may be reserved for the step as they become free.
    fn may_reserve(&self) -> bool {
        self.waiting.rank <= MAX_RESERVING_RANK
            && (self.is_urgent() || self.demand.waited >= RESERVE_AFTER)
            && self.demand.contended
            && self.waiting.prospect != queue::Prospect::Spent
    }
}

/// A pool during one pass over the queue.
#[derive(Debug)]
struct Pool {
    /// The workers that accept tasks, less what has been placed in the pass.
    open: Vec<fit::Candidate>,
    /// The numbers of free accelerators and of all, also of workers that accept no tasks.
    accelerators: (u64, u64),
}

impl Pool {
    /// Returns whether more than half of the accelerators are in use.
    fn is_contended(&self) -> bool {
        self.accelerators.0 * 2 < self.accelerators.1
    }

    fn allocate(&mut self, host: u32, resources: order::Resources) {
        if let Ok(index) = self.open.binary_search_by_key(&host, |candidate| candidate.host) {
            self.open[index].allocate(resources);
        }
        self.accelerators.0 = self.accelerators.0.saturating_sub(resources.accelerators.into());
    }

    /// Returns whether any worker has room for a task.
    fn has_room(&self, need: order::Resources) -> bool {
        self.open.iter().any(|candidate| candidate.limit_left > 0 && candidate.free.covers(need))
    }
}

/// What the steps of one pass over the queue have in common.
#[derive(Debug, Default)]
pub(super) struct Pass {
    pools: BTreeMap<String, Pool>,
    /// The runs that may be preempted or awaited, by method and rank of the step.
    victims: BTreeMap<(preempt::Method, u32), rc::Rc<preempt::Victims>>,
}

impl Pass {
    /// Returns the runs that a method may use for steps of the context's rank.
    fn victims(
        &mut self,
        context: preempt::Context<'_>,
        method: preempt::Method,
    ) -> rc::Rc<preempt::Victims> {
        let rank = match method {
            preempt::Method::Stop => context.rank,
            // Any run may be awaited.
            preempt::Method::Wait => 0,
        };
        let new = || rc::Rc::new(preempt::Victims::new(context, method));
        self.victims.entry((method, rank)).or_insert_with(new).clone()
    }
}

impl leader::Dispatch {
    /// Returns a pool at the beginning of a pass.
    fn pool(&self, name: &str, now: Timestamp) -> Pool {
        let (mut free, mut all) = (0, 0_u64);
        for worker in self.workers.values() {
            let announcement = worker.announcement.as_ref();
            let Some(announcement) = announcement.filter(|known| known.pool == name) else {
                continue;
            };
            all += u64::from(announcement.capacity.accelerators);
            free += u64::from(worker.free().accelerators);
        }
        let open = fit::open_workers(&self.workers, &self.health, name, now);
        Pool { open, accelerators: (free, all) }
    }

    /// Returns how many more tasks of a step may start. While other jobs wait, long tasks beyond
    /// the guarantee take at most half of a pool; very long ones always do, since other jobs will
    /// arrive.
    pub(super) fn start_limit(&self, pass: &Pass, turn: Turn<'_>, single_job: bool) -> usize {
        let (step, need) = (turn.demand.step, turn.demand.step.accelerators);
        let long = if single_job { VERY_LONG_ESTIMATE } else { LONG_ESTIMATE };
        let short = u64::from(step.estimate) < long.0;
        if short || need == 0 || step.gang || turn.waiting.rank == queue::GUARANTEED_RANK {
            return usize::MAX;
        }
        let all = pass.pools.get(turn.demand.pool).map_or(0, |pool| pool.accelerators.1);
        let all = u32::try_from(all).unwrap_or(u32::MAX);
        let active = runs::of_step(&self.runs, turn.waiting.first_task)
            .filter(|(_, run)| run.occupies_worker());
        let active = (active.count() as u32).saturating_mul(need);
        ((all / 2).saturating_sub(active) / need) as usize
    }

    /// Places tasks of a step. Urgent ones get fast, reliable workers, by preemption if necessary,
    /// and other workers only if that is not possible.
    pub(super) fn place_step(
        &mut self,
        registry: &registry::Registry,
        pass: &mut Pass,
        turn: Turn<'_>,
        indices: &[u32],
        now: Timestamp,
    ) -> Vec<command::Placement> {
        let owner = turn.waiting.first_task;
        let need = order::Resources::of_step(turn.demand.step);
        let has_room = pass.pools.get(turn.demand.pool).is_some_and(|pool| pool.has_room(need));
        if !has_room && !turn.is_urgent() && !turn.may_reserve() {
            return Vec::new();
        }
        let mut candidates = self.candidates(pass, turn.demand, &turn.waiting);
        let urgent = turn.is_urgent();
        let mut placed = self.place_tasks(pass, turn, &mut candidates, indices, urgent, now);
        let rest = &indices[placed.len()..];
        let reservation = self.reservations.get(&owner);
        if rest.is_empty() {
            self.reservations.remove(&owner);
            return placed;
        }
        if reservation.is_some_and(|reservation| reservation.preempting) {
            return placed;
        }
        let reserved = reservation.is_some();
        if turn.is_urgent() {
            // What is stopped waits from then on, and the step could not start beyond its share.
            let count = rest.len().min(turn.share.saturating_sub(placed.len()));
            if !reserved
                && count > 0
                && self.preempt_for(registry, pass, turn, &candidates, count, now)
            {
                return placed;
            }
            placed.extend(self.place_tasks(pass, turn, &mut candidates, rest, false, now));
        }
        let rest = &indices[placed.len()..];
        if !rest.is_empty() && !reserved && turn.may_reserve() {
            self.reserve_for(pass, turn, &candidates, rest.len(), now);
        }
        placed
    }

    /// Returns the indices of tasks that wait and have no run in flight.
    pub(super) fn waiting_indices(&self, job: &job::Job, first: model::TaskKey) -> Vec<u32> {
        let busy: BTreeSet<u32> =
            runs::of_step(&self.runs, first).map(|(key, _)| key.task.index).collect();
        let is_free = |index: &u32| !busy.contains(index);
        match job.occurrences.get(&first.occurrence) {
            Some(occurrence) => {
                let tasks = &occurrence.steps[first.step as usize];
                let mut free: Vec<u32> = tasks.waiting().filter(is_free).collect();
                free.sort_unstable();
                free
            }
            None => (0..job.step(first.step).count).filter(is_free).collect(),
        }
    }

    /// Places tasks of a step on some of the candidates, and subtracts their resources from those.
    /// A strict placement skips slow and suspect workers, except those where runs were preempted
    /// for the step.
    fn place_tasks(
        &mut self,
        pass: &mut Pass,
        turn: Turn<'_>,
        candidates: &mut [fit::Candidate],
        indices: &[u32],
        strict: bool,
        now: Timestamp,
    ) -> Vec<command::Placement> {
        let Turn { job, waiting, demand, .. } = turn;
        let reservation =
            self.reservations.get(&waiting.first_task).filter(|reservation| reservation.preempting);
        let preempted = |candidate: &fit::Candidate| {
            reservation.is_some_and(|c| c.resources.contains_key(&candidate.host))
        };
        let reliable = |candidate: &fit::Candidate| !candidate.slow && !candidate.suspect;
        let open = candidates
            .iter()
            .filter(|candidate| !strict || reliable(candidate) || preempted(candidate));
        let open: Vec<_> = open.copied().collect();
        let choice = fit::choose(&open, demand, indices.len());
        let mut placements = Vec::new();
        let number = next_run(job, waiting.first_task, indices);
        for (index, (host, incarnation)) in indices.iter().zip(choice) {
            let task = model::TaskKey { index: *index, ..waiting.first_task };
            let own = job.task(task).map_or(0, |task| task.run) + 1;
            let run = if demand.step.gang { number } else { own };
            let key = model::RunKey { task, run };
            let state = runs::State::Proposed;
            let placed = leader::new_run(job, key, incarnation, state, now);
            if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.host == host)
            {
                candidate.allocate(placed.resources);
            }
            if let Some(worker) = self.workers.get_mut(&host) {
                worker.allocated.insert(key, placed.resources);
            }
            if let Some(pool) = pass.pools.get_mut(demand.pool) {
                pool.allocate(host, placed.resources);
            }
            self.runs.insert(key, placed);
            let model::TaskKey { job, occurrence, step, index } = task;
            placements.push(command::Placement {
                job: job.0,
                occurrence,
                step,
                index,
                run,
                incarnation,
            });
        }
        placements
    }

    /// Returns the demand of a waiting step.
    pub(super) fn demand<'a>(
        &self,
        pass: &mut Pass,
        registry: &'a registry::Registry,
        job: &'a job::Job,
        waiting: &queue::WaitingStep,
        now: Timestamp,
    ) -> fit::Demand<'a> {
        let directory = registry.directory.as_ref();
        let queue = directory.and_then(|active| active.queue_at(&job.submission.queue));
        let pool = queue.map_or(&job.submission.pool, |queue| &queue.pool);
        let state = pass.pools.entry(pool.clone()).or_insert_with(|| self.pool(pool, now));
        let step = job.step(waiting.first_task.step);
        let data = step
            .affinity
            .as_ref()
            .map(|rack| self.racks.find(rack).map_or(fit::Rack::Unknown, fit::Rack::Known));
        fit::Demand {
            step,
            data,
            pool,
            urgent: waiting.rank <= queue::URGENT_RANK,
            low_priority: waiting.rank > MAX_RESERVING_RANK,
            waited: self.wait_times.waited(waiting.first_task, now.tick),
            contended: state.is_contended(),
        }
    }

    /// Returns the workers that may take tasks of a step, less what other steps have reserved.
    pub(super) fn candidates(
        &self,
        pass: &Pass,
        demand: fit::Demand<'_>,
        waiting: &queue::WaitingStep,
    ) -> Vec<fit::Candidate> {
        let Some(pool) = pass.pools.get(demand.pool) else { return Vec::new() };
        let others = self.reservations.iter().filter(|(owner, reservation)| {
            **owner != waiting.first_task && reservation.rank <= waiting.rank
        });
        let reserved = others.map(|(_, reservation)| &reservation.resources);
        let mut candidates = fit::candidates(&pool.open, &self.workers, demand, reserved);
        if demand.step.worker_limit > 0 {
            for (_, run) in runs::of_step(&self.runs, waiting.first_task) {
                let host = run.incarnation.host;
                if let Some(candidate) =
                    candidates.iter_mut().find(|candidate| candidate.host == host)
                {
                    candidate.limit_left = candidate.limit_left.saturating_sub(1);
                }
            }
        }
        candidates
    }

    /// Preempts runs of lower priority so that urgent tasks fit. Returns false if preemption is not
    /// needed or costs too much.
    fn preempt_for(
        &mut self,
        registry: &registry::Registry,
        pass: &mut Pass,
        turn: Turn<'_>,
        candidates: &[fit::Candidate],
        count: usize,
        now: Timestamp,
    ) -> bool {
        if turn.waiting.prospect > queue::Prospect::InTime {
            return false;
        }
        // An urgent task is late on a slow worker anyway. But guaranteed tasks have to start, and
        // without its slow workers a rack may not hold a gang, which would be slowed more across
        // racks.
        let any = turn.waiting.rank == queue::GUARANTEED_RANK || turn.demand.step.one_rack;
        let candidates = candidates.iter().filter(|candidate| any || !candidate.slow);
        let candidates: Vec<_> = candidates.copied().collect();
        let method = preempt::Method::Stop;
        let context = self.preemption(turn, now);
        let victims = pass.victims(context, method);
        let plan = preempt::plan(&candidates, &victims, context, turn.demand, count, method);
        let Some(plan) = plan.filter(|plan| plan.deferred) else { return false };
        // Stopped runs are no longer victims.
        pass.victims.clear();
        for key in &plan.victims {
            self.stop(
                registry,
                *key,
                order::StopReason::Preempted(turn.waiting.first_task.job),
                now,
            );
        }
        self.reserve(&turn.waiting, plan.reserved, true, now);
        true
    }

    /// Reserves resources as they become free for a step that smaller or lower-ranked work would
    /// starve.
    fn reserve_for(
        &mut self,
        pass: &mut Pass,
        turn: Turn<'_>,
        candidates: &[fit::Candidate],
        count: usize,
        now: Timestamp,
    ) {
        let method = preempt::Method::Wait;
        let context = self.preemption(turn, now);
        let victims = pass.victims(context, method);
        let plan = preempt::plan(candidates, &victims, context, turn.demand, count, method);
        if let Some(plan) = plan {
            self.reserve(&turn.waiting, plan.reserved, false, now);
        }
    }

    fn preemption<'a>(&'a self, turn: Turn<'a>, now: Timestamp) -> preempt::Context<'a> {
        let Turn { ranks, waiting, .. } = turn;
        preempt::Context { runs: &self.runs, health: &self.health, ranks, rank: waiting.rank, now }
    }

    fn reserve(
        &mut self,
        waiting: &queue::WaitingStep,
        resources: fit::Reserved,
        preempting: bool,
        now: Timestamp,
    ) {
        let reservation = leader::Reservation {
            resources,
            preempting,
            rank: waiting.rank,
            expires_at: now.tick + RESERVATION_TIME,
        };
        self.reservations.insert(waiting.first_task, reservation);
    }
}

fn next_run(job: &job::Job, first: model::TaskKey, indices: &[u32]) -> u32 {
    let task = |index: &u32| job.task(model::TaskKey { index: *index, ..first });
    indices.iter().filter_map(task).map(|task| task.run).max().unwrap_or(0) + 1
}
