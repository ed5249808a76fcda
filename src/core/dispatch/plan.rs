//! Placing what waits, in its order, and making room for urgent work.

use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::lead;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::queue;
use crate::core::dispatch::reclaim;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// How long room is kept for a step after others were stopped for it.
const KEPT: time::Millis = time::Millis(1500);

/// How long a step that is not urgent waits before room is kept for it.
const STARVED: time::Millis = time::Millis(1000);

/// From which estimate on a step counts as long: shorter ones free their room soon by themselves.
const LONG: time::Millis = time::Millis(5000);

/// The same for a step that waits alone: others come within a few seconds.
const VERY_LONG: time::Millis = time::Millis(15_000);

/// The highest rank for which room is kept: the queues right behind the urgent ones.
const KEPT_RANK: u32 = queue::URGENT + 1;

/// A waiting step's turn to be placed.
#[derive(Clone, Copy)]
struct Turn<'a> {
    job: &'a job::Job,
    waiting: queue::Waiting,
    ask: fit::Ask<'a>,
}

impl Turn<'_> {
    fn is_urgent(&self) -> bool {
        self.waiting.rank <= queue::URGENT
    }

    /// Whether room may be kept for the step as it comes free.
    fn is_starved(&self) -> bool {
        self.waiting.rank <= KEPT_RANK
            && (self.is_urgent() || self.ask.waited >= STARVED)
            && self.ask.crowded
            && self.waiting.prospect != queue::Prospect::Spent
    }
}

impl lead::Dispatch {
    /// Places what waits, in its order, and makes room for urgent work.
    pub(super) fn plan(&mut self, registry: &registry::Registry, now: Moment) {
        let mut placements = Vec::new();
        let queue = queue::waiting(registry, now);
        self.waits.keep(&queue, now.tick);
        let alone = queue.windows(2).all(|pair| pair[0].first.job == pair[1].first.job);
        for waiting in &queue {
            let waiting = *waiting;
            let Some(job) = registry.jobs.get(&waiting.first.job) else { continue };
            let indices = self.unplaced(job, waiting.first);
            let step = job.step(waiting.first.step);
            if indices.is_empty() || (step.gang && indices.len() < step.count as usize) {
                continue;
            }
            let turn = Turn { job, waiting, ask: self.ask(registry, job, &waiting, now) };
            let limit = self.share(turn, alone);
            let fair = &indices[..limit.min(indices.len())];
            let placed = self.serve(registry, turn, fair, now);
            self.tell(&turn, placed.len(), indices.len(), now);
            placements.extend(placed);
        }
        if !placements.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::Place(placements)));
        }
    }

    /// Takes note of what was placed of a step, and tells of what was left out for long.
    fn tell(&mut self, turn: &Turn<'_>, placed: usize, count: usize, now: Moment) {
        self.waits.placed(turn.waiting.rank, placed);
        if placed > 0 {
            let waited = turn.ask.waited;
            self.effects.push(order::Effect::Waited(turn.waiting.rank, waited));
        }
        let told =
            (placed < count).then(|| self.waits.tell(&turn.waiting, count - placed, now.tick));
        self.effects.extend(told.flatten().map(order::Effect::Passed));
    }

    /// How many more tasks of a step may start: long ones take no more than half of a pool beyond
    /// their guarantee while other jobs wait, and very long ones at no time, since others will come.
    fn share(&self, turn: Turn<'_>, alone: bool) -> usize {
        let (step, need) = (turn.ask.step, turn.ask.step.accelerators);
        let long = if alone { VERY_LONG } else { LONG };
        let short = u64::from(step.estimate) < long.0;
        if short || need == 0 || step.gang || turn.waiting.rank == queue::GUARANTEED {
            return usize::MAX;
        }
        let workers = self.workers.values().filter_map(|worker| worker.said.as_ref());
        let workers = workers.filter(|said| said.pool == turn.ask.pool);
        let all = workers.map(|said| said.capacity.accelerators).fold(0, u32::saturating_add);
        let held = runs::of_step(&self.runs, turn.waiting.first).filter(|(_, run)| run.is_held());
        let held = (held.count() as u32).saturating_mul(need);
        ((all / 2).saturating_sub(held) / need) as usize
    }

    /// Places tasks of a step. Urgent ones get sound, fast workers, if need be at the expense of
    /// lower work; others only where there is no such room.
    fn serve(
        &mut self,
        registry: &registry::Registry,
        turn: Turn<'_>,
        indices: &[u32],
        now: Moment,
    ) -> Vec<command::Placement> {
        let owner = turn.waiting.first;
        let mut sites = self.sites(turn.ask, &turn.waiting, now);
        let mut placed = self.place(turn, &mut sites, indices, turn.is_urgent(), now);
        let rest = &indices[placed.len()..];
        let claim = self.claims.get(&owner);
        if rest.is_empty() {
            self.claims.remove(&owner);
            return placed;
        }
        if claim.is_some_and(|claim| claim.made) {
            return placed;
        }
        let claimed = claim.is_some();
        if turn.is_urgent() {
            if !claimed && self.make_room(registry, turn, &sites, rest.len(), now) {
                return placed;
            }
            placed.extend(self.place(turn, &mut sites, rest, false, now));
        }
        let rest = &indices[placed.len()..];
        if !rest.is_empty() && !claimed && turn.is_starved() {
            self.keep_room(turn, &sites, rest.len(), now);
        }
        placed
    }

    /// The tasks of a step that wait and have no run on its way.
    fn unplaced(&self, job: &job::Job, first: model::TaskKey) -> Vec<u32> {
        let busy: BTreeSet<u32> =
            runs::of_step(&self.runs, first).map(|(key, _)| key.task.index).collect();
        let occurrence = &job.occurrences[&first.occurrence];
        let tasks = occurrence.steps[first.step as usize].iter().zip(0..);
        let free = tasks
            .filter(|(task, index)| task.state == job::TaskState::Waiting && !busy.contains(index));
        free.map(|(_, index)| index).collect()
    }

    /// Places tasks of a step on some of the sites, and takes their room off those. A choosy step
    /// leaves out slow and doubted ones, but for those where room was made for it.
    fn place(
        &mut self,
        turn: Turn<'_>,
        sites: &mut [fit::Site],
        indices: &[u32],
        choosy: bool,
        now: Moment,
    ) -> Vec<command::Placement> {
        let Turn { job, waiting, ask } = turn;
        let claim = self.claims.get(&waiting.first).filter(|claim| claim.made);
        let made = |site: &fit::Site| claim.is_some_and(|c| c.kept.contains_key(&site.host));
        let sound = |site: &fit::Site| !site.slow && !site.doubted;
        let open = sites.iter().filter(|site| !choosy || sound(site) || made(site));
        let open: Vec<_> = open.cloned().collect();
        let choice = fit::choose(&open, ask, indices.len());
        let mut placements = Vec::new();
        let number = next_run(job, waiting.first, indices);
        for (index, (host, incarnation)) in indices.iter().zip(choice) {
            let task = model::TaskKey { index: *index, ..waiting.first };
            let own = job.task(task).map_or(0, |task| task.run) + 1;
            let run = if ask.step.gang { number } else { own };
            let key = model::RunKey { task, run };
            let state = runs::State::Proposed;
            let placed = lead::run_of(job, key, incarnation, state, waiting.rank, now);
            if let Some(site) = sites.iter_mut().find(|site| site.host == host) {
                site.take(placed.room);
            }
            if let Some(worker) = self.workers.get_mut(&host) {
                worker.taken.insert(key, placed.room);
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

    /// What a waiting step asks of workers.
    pub(super) fn ask<'a>(
        &self,
        registry: &'a registry::Registry,
        job: &'a job::Job,
        waiting: &queue::Waiting,
        now: Moment,
    ) -> fit::Ask<'a> {
        let directory = registry.directory.as_ref();
        let queue = directory.and_then(|held| held.queue_at(&job.submission.queue));
        let pool = queue.map_or(&job.submission.pool, |queue| &queue.pool);
        fit::Ask {
            step: job.step(waiting.first.step),
            pool,
            urgent: waiting.rank <= queue::URGENT,
            last: waiting.rank > KEPT_RANK,
            waited: self.waits.waited(waiting.first, now.tick),
            crowded: self.is_crowded(pool),
        }
    }

    /// Whether more than half of a pool's accelerators are taken.
    fn is_crowded(&self, pool: &str) -> bool {
        let (mut free, mut all) = (0, 0_u64);
        for worker in self.workers.values() {
            let Some(said) = worker.said.as_ref().filter(|said| said.pool == pool) else {
                continue;
            };
            all += u64::from(said.capacity.accelerators);
            free += u64::from(worker.free().accelerators);
        }
        free * 2 < all
    }

    /// The workers that may take tasks of a step, less what is kept for others.
    pub(super) fn sites(
        &self,
        ask: fit::Ask<'_>,
        waiting: &queue::Waiting,
        now: Moment,
    ) -> Vec<fit::Site> {
        let mut kept = fit::Kept::new();
        for (owner, claim) in &self.claims {
            if *owner == waiting.first || claim.rank > waiting.rank {
                continue;
            }
            for (host, room) in &claim.kept {
                let sum = kept.entry(*host).or_default();
                *sum = sum.plus(*room);
            }
        }
        let mut sites = fit::sites(&self.workers, &self.health, ask, &kept, now);
        if ask.step.worker_limit > 0 {
            for (_, run) in runs::of_step(&self.runs, waiting.first) {
                let host = run.incarnation.host;
                if let Some(site) = sites.iter_mut().find(|site| site.host == host) {
                    site.spread = site.spread.saturating_sub(1);
                }
            }
        }
        sites
    }

    /// Stops lower work so that urgent tasks fit. False if that is not worth it, or not needed.
    fn make_room(
        &mut self,
        registry: &registry::Registry,
        turn: Turn<'_>,
        sites: &[fit::Site],
        count: usize,
        now: Moment,
    ) -> bool {
        if turn.waiting.prospect > queue::Prospect::InTime {
            return false;
        }
        // On a slow worker an urgent task is late all the same. But guaranteed ones have to begin,
        // and without its slow workers a rack may not hold a gang that others would slow more.
        let any = turn.waiting.rank == queue::GUARANTEED || turn.ask.step.one_rack;
        let sites = sites.iter().filter(|site| any || !site.slow);
        let sites: Vec<_> = sites.cloned().collect();
        let view = self.view(turn.waiting.rank, now);
        let plan = reclaim::plan(&sites, view, turn.ask, count, reclaim::Way::Stop);
        let Some(plan) = plan.filter(|plan| plan.waits) else { return false };
        for key in &plan.victims {
            self.stop(registry, *key, order::Why::Displaced(turn.waiting.first.job), now);
        }
        self.claim(&turn.waiting, plan.kept, true, now);
        true
    }

    /// Keeps room as it comes free for a step that smaller or lower work would starve.
    fn keep_room(&mut self, turn: Turn<'_>, sites: &[fit::Site], count: usize, now: Moment) {
        let view = self.view(turn.waiting.rank, now);
        if let Some(plan) = reclaim::plan(sites, view, turn.ask, count, reclaim::Way::Wait) {
            self.claim(&turn.waiting, plan.kept, false, now);
        }
    }

    fn view(&self, rank: u32, now: Moment) -> reclaim::View<'_> {
        reclaim::View { runs: &self.runs, health: &self.health, rank, now }
    }

    fn claim(&mut self, waiting: &queue::Waiting, kept: fit::Kept, made: bool, now: Moment) {
        let claim = lead::Claim { kept, made, rank: waiting.rank, until: now.tick + KEPT };
        self.claims.insert(waiting.first, claim);
    }
}

fn next_run(job: &job::Job, first: model::TaskKey, indices: &[u32]) -> u32 {
    let task = |index: &u32| job.task(model::TaskKey { index: *index, ..first });
    indices.iter().filter_map(task).map(|task| task.run).max().unwrap_or(0) + 1
}
