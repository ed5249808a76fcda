//! Placing what waits, in its order, and making room for urgent work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::lead;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::queue;
use crate::core::dispatch::reclaim;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::book;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;

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

impl lead::Dispatch {
    /// Places what waits, in its order, and makes room for urgent work.
    pub(super) fn plan(&mut self, book: &book::Book, now: Moment) {
        let mut placements = Vec::new();
        let mut idle = BTreeMap::new();
        let queue = queue::waiting(book, now);
        for waiting in &queue {
            let waiting = *waiting;
            let since = self.idle.get(&waiting.first).copied().unwrap_or(now.tick);
            self.idle.insert(waiting.first, since);
            idle.insert(waiting.first, since);
            let Some(job) = book.jobs.get(&waiting.first.job) else { continue };
            let indices = self.unplaced(job, waiting.first);
            let step = job.step(waiting.first.step);
            if indices.is_empty() || (step.gang && indices.len() < step.count as usize) {
                continue;
            }
            let alone = queue.iter().all(|other| other.first.job == waiting.first.job);
            let limit = self.share(book, job, &waiting, alone, now);
            let fair = &indices[..limit.min(indices.len())];
            placements.extend(self.serve(book, job, &waiting, fair, now));
        }
        self.idle = idle;
        if !placements.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::Place(placements)));
        }
    }

    /// How many more tasks of a step may start: long ones take no more than half of a pool beyond
    /// their guarantee while other jobs wait, and very long ones at no time, since others will come.
    pub(super) fn share(
        &self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        alone: bool,
        now: Moment,
    ) -> usize {
        let ask = self.ask(book, job, waiting, now);
        let (step, need) = (ask.step, ask.step.accelerators);
        let long = if alone { VERY_LONG } else { LONG };
        let short = u64::from(step.estimate) < long.0;
        if short || need == 0 || step.gang || waiting.rank == queue::GUARANTEED {
            return usize::MAX;
        }
        let workers = self.workers.values().filter_map(|worker| worker.said.as_ref());
        let workers = workers.filter(|said| said.pool == ask.pool);
        let all: u32 = workers.map(|said| said.capacity.accelerators).sum();
        let held = runs::of_step(&self.runs, waiting.first).filter(|(_, run)| run.is_held());
        let held = held.count() as u32 * need;
        ((all / 2).saturating_sub(held) / need) as usize
    }

    /// Places tasks of a step. Urgent ones get sound, fast workers, if need be at the expense of
    /// lower work; others only where there is no such room.
    pub(super) fn serve(
        &mut self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        indices: &[u32],
        now: Moment,
    ) -> Vec<command::Placement> {
        let urgent = waiting.rank <= queue::URGENT;
        let mut placed = self.place_step(book, job, waiting, indices, urgent, now);
        let rest = &indices[placed.len()..];
        if rest.is_empty() {
            self.claims.remove(&waiting.first);
            return placed;
        }
        if self.claims.contains_key(&waiting.first) {
            return placed;
        }
        if urgent && self.make_room(book, job, waiting, rest, now) {
            return placed;
        }
        if urgent {
            placed.extend(self.place_step(book, job, waiting, rest, false, now));
        }
        if placed.len() < indices.len() {
            self.keep_room(book, job, waiting, &indices[placed.len()..], now);
        }
        placed
    }

    /// The tasks of a step that wait and have no run on its way.
    pub(super) fn unplaced(&self, job: &job::Job, first: model::TaskKey) -> Vec<u32> {
        let busy: BTreeSet<u32> =
            runs::of_step(&self.runs, first).map(|(key, _)| key.task.index).collect();
        let occurrence = &job.occurrences[&first.occurrence];
        let tasks = occurrence.steps[first.step as usize].iter().zip(0..);
        let free = tasks
            .filter(|(task, index)| task.place == job::Place::Waiting && !busy.contains(index));
        free.map(|(_, index)| index).collect()
    }

    pub(super) fn place_step(
        &mut self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        indices: &[u32],
        choosy: bool,
        now: Moment,
    ) -> Vec<command::Placement> {
        let step = job.step(waiting.first.step);
        let ask = self.ask(book, job, waiting, now);
        let mut sites = self.sites(ask, waiting, now);
        sites.retain(|site| !(choosy && (site.slow || site.doubted)));
        let choice = fit::choose(&sites, ask, indices.len());
        let mut placements = Vec::new();
        let number = next_run(job, waiting.first, indices);
        for (index, (host, life)) in indices.iter().zip(choice) {
            let task = model::TaskKey { index: *index, ..waiting.first };
            let own = job.task(task).map_or(0, |task| task.run) + 1;
            let run = if step.gang { number } else { own };
            let key = model::RunKey { task, run };
            let state = runs::State::Proposed;
            let placed = lead::run_of(job, key, life, state, waiting.rank, now);
            if let Some(worker) = self.workers.get_mut(&host) {
                worker.taken.insert(key, placed.room);
            }
            self.runs.insert(key, placed);
            let model::TaskKey { job, occurrence, step, index } = task;
            placements.push(command::Placement { job: job.0, occurrence, step, index, run, life });
        }
        placements
    }

    /// What a waiting step asks of workers.
    pub(super) fn ask<'a>(
        &self,
        book: &'a book::Book,
        job: &'a job::Job,
        waiting: &queue::Waiting,
        now: Moment,
    ) -> fit::Ask<'a> {
        let directory = book.directory.as_ref();
        let queue = directory.and_then(|held| held.queue_at(&job.submission.place));
        let pool = queue.map_or(&job.submission.pool, |queue| &queue.pool);
        fit::Ask {
            step: job.step(waiting.first.step),
            pool,
            urgent: waiting.rank <= queue::URGENT,
            last: waiting.rank > KEPT_RANK,
            waited: self.idle.get(&waiting.first).map_or(time::Millis(0), |idle| now.tick - *idle),
            crowded: self.is_crowded(pool),
        }
    }

    /// Whether more than half of a pool's accelerators are taken.
    pub(super) fn is_crowded(&self, pool: &str) -> bool {
        let (mut free, mut all) = (0, 0);
        for worker in self.workers.values() {
            let Some(said) = worker.said.as_ref().filter(|said| said.pool == pool) else {
                continue;
            };
            all += said.capacity.accelerators;
            free += worker.free().accelerators;
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
        if ask.step.spread > 0 {
            for (_, run) in runs::of_step(&self.runs, waiting.first) {
                let host = run.life.host;
                if let Some(site) = sites.iter_mut().find(|site| site.host == host) {
                    site.spread = site.spread.saturating_sub(1);
                }
            }
        }
        sites
    }

    /// Stops lower work so that urgent tasks fit. False if that is not worth it, or not needed.
    pub(super) fn make_room(
        &mut self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        rest: &[u32],
        now: Moment,
    ) -> bool {
        if waiting.prospect > queue::Prospect::InTime {
            return false;
        }
        let ask = self.ask(book, job, waiting, now);
        let sites = self.sites(ask, waiting, now);
        let view = self.view(waiting.rank, now);
        let Some(plan) = reclaim::plan(&sites, view, ask, rest.len()) else { return false };
        if !plan.waits {
            return false;
        }
        for key in &plan.victims {
            self.stop(book, *key, order::Why::Displaced, now);
        }
        self.claim(waiting, plan.kept, now);
        true
    }

    /// Keeps room as it comes free for a step that smaller or lower work would starve.
    pub(super) fn keep_room(
        &mut self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        rest: &[u32],
        now: Moment,
    ) {
        let ask = self.ask(book, job, waiting, now);
        let starved = waiting.rank <= queue::URGENT || ask.waited >= STARVED;
        if waiting.rank > KEPT_RANK
            || !starved
            || !ask.crowded
            || waiting.prospect == queue::Prospect::Spent
        {
            return;
        }
        let sites = self.sites(ask, waiting, now);
        let view = self.view(waiting.rank, now);
        if let Some(plan) = reclaim::wait(&sites, view, ask, rest.len()) {
            self.claim(waiting, plan.kept, now);
        }
    }

    fn view(&self, rank: u32, now: Moment) -> reclaim::View<'_> {
        reclaim::View { runs: &self.runs, health: &self.health, rank, now }
    }

    fn claim(&mut self, waiting: &queue::Waiting, kept: fit::Kept, now: Moment) {
        let claim = lead::Claim { kept, rank: waiting.rank, until: now.tick + KEPT };
        self.claims.insert(waiting.first, claim);
    }
}

fn next_run(job: &job::Job, first: model::TaskKey, indices: &[u32]) -> u32 {
    let task = |index: &u32| job.task(model::TaskKey { index: *index, ..first });
    indices.iter().filter_map(task).map(|task| task.run).max().unwrap_or(0) + 1
}
