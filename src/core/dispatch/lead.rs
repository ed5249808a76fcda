//! The rules that tie workers, runs and waiting steps together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::fleet;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::order::Room;
use crate::core::dispatch::pace;
use crate::core::dispatch::queue;
use crate::core::dispatch::reclaim;
use crate::core::dispatch::runs;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::book;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;

/// How long a run may be missing from its worker's lists before its order is sent again.
const MISSING: time::Millis = time::Millis(1500);

/// How long room is kept for a step after others were stopped for it.
const KEPT: time::Millis = time::Millis(1500);

/// How long a worker that leaves stays if it does not say: as long as it has to be served.
const STAYS: time::Millis = time::Millis(2000);

/// How long before a worker leaves its tasks with checkpoints are stopped: a stop takes 400 ms, and
/// its report has to arrive.
const LAST_STOP: time::Millis = time::Millis(900);

/// Room that is kept for a step.
#[derive(Debug)]
struct Claim {
    kept: fit::Kept,
    until: time::Tick,
}

/// What the leader of a term knows and has ordered.
pub struct Dispatch {
    /// How long an agent may hold its worker after a report.
    lease: time::Millis,
    workers: BTreeMap<u32, fleet::Worker>,
    runs: runs::Runs,
    health: health::Health,
    /// By the first task of the step.
    claims: BTreeMap<model::TaskKey, Claim>,
    effects: Vec<order::Effect>,
}

impl Dispatch {
    /// Begins to lead with what the book holds. The predecessor may have granted leases until now.
    ///
    /// What was learnt of the workers from the log goes on to count.
    pub fn new(
        book: &book::Book,
        health: health::Health,
        lease: time::Millis,
        now: Moment,
    ) -> Self {
        let mut dispatch = Self {
            lease,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            health,
            claims: BTreeMap::new(),
            effects: Vec::new(),
        };
        for (key, job) in &book.jobs {
            for run in placed(*key, job) {
                dispatch.adopt(job, run.0, run.1, now);
            }
        }
        dispatch
    }

    /// What is to be carried out since the last call.
    pub fn take_effects(&mut self) -> Vec<order::Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The workers, by the host of their agents.
    pub fn workers(&self) -> &BTreeMap<u32, fleet::Worker> {
        &self.workers
    }

    /// The runs that may be going on.
    pub fn runs(&self) -> &runs::Runs {
        &self.runs
    }

    fn adopt(&mut self, job: &job::Job, key: model::RunKey, life: model::Life, now: Moment) {
        let until = fleet::end_of_lease(now.tick, self.lease);
        let worker = self
            .workers
            .entry(life.host)
            .or_insert_with(|| fleet::Worker::inherited(Some(life), until));
        // Of two lives on one host the later one is the present one.
        worker.life = worker.life.max(Some(life));
        let state = if job.is_open() { runs::State::Ordered } else { runs::State::Stopping };
        let run = run_of(job, key, life, state, queue::plain_rank(job), now);
        worker.taken.insert(key, run.room);
        self.runs.insert(key, run);
    }

    /// An agent has opened a session.
    pub fn connected(&mut self, host: u32, now: Moment) {
        let until = fleet::end_of_lease(now.tick, self.lease);
        let unknown = || fleet::Worker::inherited(None, until);
        let worker = self.workers.entry(host).or_insert_with(unknown);
        worker.connected = true;
        // Whatever an earlier session was told may not have arrived.
        worker.seen = 0;
    }

    /// An agent's session has ended.
    pub fn disconnected(&mut self, host: u32) {
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.connected = false;
        }
    }

    /// Takes an agent's report.
    pub fn report(&mut self, book: &book::Book, host: u32, report: order::Report, now: Moment) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        worker.current = report.current;
        if let Some(gone) = report.gone.filter(|gone| worker.life == Some(*gone)) {
            worker.life = None;
            self.lose(gone, now);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let Some(said) = report.worker else {
            worker.said = None;
            return;
        };
        if worker.life.is_some_and(|life| life > said.life) {
            return;
        }
        if worker.life != Some(said.life) {
            let before = worker.life;
            worker.reborn(&said);
            if let Some(life) = before {
                self.lose(life, now);
            }
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let life = said.life;
        worker.stays = said.draining.then(|| now.tick + report.stays.map_or(STAYS, time::Millis));
        worker.said = Some(said);
        worker.current = report.current;
        if !report.current {
            return;
        }
        worker.granted(now.tick, self.lease);
        let grant = order::Order::Grant { sequence: report.sequence, length: self.lease.0 };
        self.effects.push(order::Effect::Order(host, grant));
        let mut listed = BTreeSet::new();
        self.running(book, host, life, report.running, &mut listed, now);
        self.finished(book, host, life, report.finished, &mut listed, now);
        self.chase(book, host, life, &listed, now);
        self.tell_seen(host);
    }

    fn running(
        &mut self,
        book: &book::Book,
        host: u32,
        life: model::Life,
        running: Vec<order::Running>,
        listed: &mut BTreeSet<model::RunKey>,
        now: Moment,
    ) {
        let mut strangers = 0;
        for entry in running {
            let task = book.find_task(&entry.task);
            let key = task.map(|task| model::RunKey { task, run: entry.run });
            let known = key.and_then(|key| Some((key, self.runs.get_mut(&key)?)));
            let Some((key, run)) = known.filter(|(_, run)| run.life == life) else {
                strangers += 1;
                let order = order::Order::Stop { life, task: entry.task, run: entry.run };
                self.effects.push(order::Effect::Order(host, order));
                continue;
            };
            listed.insert(key);
            run.heard = now.tick;
            run.pace.heard(now.tick, entry.percent);
            if let Some(ratio) = run.pace.ratio().filter(|_| !run.learnt && !run.gang) {
                run.learnt = true;
                let place = book.jobs.get(&key.task.job).map(|job| &job.submission.place);
                self.health.ran(host, place.map_or("", String::as_str), ratio);
            }
            if !entry.saved.is_empty() {
                run.saved = entry.saved;
            }
            if run.state == runs::State::Ordered {
                run.state = runs::State::Running;
            }
        }
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.strangers = strangers;
        }
    }

    fn finished(
        &mut self,
        book: &book::Book,
        host: u32,
        life: model::Life,
        finished: Vec<order::Finished>,
        listed: &mut BTreeSet<model::RunKey>,
        now: Moment,
    ) {
        let mut endings = Vec::new();
        let Some(worker) = self.workers.get_mut(&host) else { return };
        for entry in finished {
            let news = entry.number > worker.listed;
            worker.listed = worker.listed.max(entry.number);
            let Some(task) = book.find_task(&entry.task) else { continue };
            let key = model::RunKey { task, run: entry.run };
            worker.taken.remove(&key);
            let Some(run) = self.runs.get_mut(&key).filter(|run| run.life == life) else {
                continue;
            };
            listed.insert(key);
            if !news && run.state == runs::State::Ending {
                continue;
            }
            run.state = runs::State::Ending;
            match entry.how {
                model::How::Done => self.health.succeeded(host),
                model::How::Failed => self.health.failed(host, key.task, now.tick),
                _ => {}
            }
            worker.ending.insert(entry.number, key);
            endings.push(command::Ending::new(key, entry.how, entry.saved));
        }
        self.propose_ends(endings);
    }

    /// Orders again what a worker's lists should show and don't.
    fn chase(
        &mut self,
        book: &book::Book,
        host: u32,
        life: model::Life,
        listed: &BTreeSet<model::RunKey>,
        now: Moment,
    ) {
        let due = |run: &runs::Run| {
            let quiet = run.ordered.max(run.heard) + MISSING <= now.tick;
            run.life == life && quiet && run.is_held() && run.state != runs::State::Proposed
        };
        let Some(worker) = self.workers.get(&host) else { return };
        let missing = worker.taken.keys().filter(|key| !listed.contains(key));
        let missing: Vec<_> =
            missing.filter(|key| self.runs.get(key).is_some_and(due)).copied().collect();
        for key in missing {
            match self.runs[&key].state {
                runs::State::Stopping => self.order_stop(book, key, now),
                _ => self.order_start(book, key, now),
            }
        }
    }

    fn tell_seen(&mut self, host: u32) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let (Some(life), true) = (worker.life, worker.connected) else { return };
        if let Some(number) = worker.take_seen() {
            let order = order::Order::Seen { life, number };
            self.effects.push(order::Effect::Order(host, order));
        }
    }

    /// An agent has made sure that a run does not go on and never will.
    pub fn closed(
        &mut self,
        book: &book::Book,
        host: u32,
        life: model::Life,
        name: &model::TaskName,
        run: u32,
        now: Moment,
    ) {
        let Some(task) = book.find_task(name) else { return };
        let key = model::RunKey { task, run };
        let Some(known) = self.runs.get_mut(&key).filter(|run| run.life == life) else { return };
        if let Some(worker) = self.workers.get_mut(&host) {
            if known.state == runs::State::Ordered {
                worker.refused(now.tick);
            }
            worker.taken.remove(&key);
        }
        if known.state != runs::State::Ending {
            known.state = runs::State::Ending;
            let saved = known.saved.clone();
            self.propose_ends(vec![command::Ending::new(key, model::How::Refused, saved)]);
        }
    }

    /// Takes note of a change of the book.
    pub fn event(&mut self, book: &book::Book, event: &command::Event, now: Moment) {
        match event {
            command::Event::Placed(key, life) => self.placed(book, *key, *life, now),
            command::Event::Unplaced(key) => {
                self.forget(*key);
            }
            command::Event::Stopping(job) => {
                for key in runs::of_job(&self.runs, *job) {
                    self.stop(book, key, now);
                }
            }
            command::Event::Ended(key, _) => self.ended(book, *key, now),
            command::Event::Configured(_)
            | command::Event::Submitted(_)
            | command::Event::Finished(_) => {}
        }
    }

    fn placed(&mut self, book: &book::Book, key: model::RunKey, life: model::Life, now: Moment) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.state = runs::State::Ordered;
        let present = self.workers.get(&life.host).and_then(|worker| worker.life);
        if present != Some(life) {
            self.end_lost(vec![key]);
            return;
        }
        self.order_start(book, key, now);
    }

    fn ended(&mut self, book: &book::Book, key: model::RunKey, now: Moment) {
        let Some(run) = self.forget(key) else { return };
        let host = run.life.host;
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.ending.retain(|_, ending| *ending != key);
        }
        self.tell_seen(host);
        let done = book.jobs.get(&key.task.job).and_then(|job| job.task(key.task));
        let done = done.is_none_or(|task| task.place == job::Place::Done);
        if run.gang && !done {
            // What is left of a gang can't go on.
            let rest = runs::of_step(&self.runs, key.task).filter(|(k, _)| k.run == key.run);
            let rest: Vec<_> = rest.map(|(key, _)| *key).collect();
            for member in rest {
                self.stop(book, member, now);
            }
        }
    }

    fn forget(&mut self, key: model::RunKey) -> Option<runs::Run> {
        let run = self.runs.remove(&key)?;
        if let Some(worker) = self.workers.get_mut(&run.life.host) {
            worker.taken.remove(&key);
        }
        Some(run)
    }

    fn stop(&mut self, book: &book::Book, key: model::RunKey, now: Moment) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if matches!(run.state, runs::State::Ordered | runs::State::Running) {
            run.state = runs::State::Stopping;
            self.order_stop(book, key, now);
        }
    }

    fn order_start(&mut self, book: &book::Book, key: model::RunKey, now: Moment) {
        let Some(job) = book.jobs.get(&key.task.job) else { return };
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.ordered = now.tick;
        let saved = job.task(key.task).map(|task| task.saved.clone()).unwrap_or_default();
        let start = order::Start {
            life: run.life,
            task: name(job, key.task),
            run: key.run,
            spec: job.submission.workflow.spec.clone(),
            saved,
        };
        self.effects.push(order::Effect::Order(run.life.host, order::Order::Start(start)));
    }

    fn order_stop(&mut self, book: &book::Book, key: model::RunKey, now: Moment) {
        let Some(job) = book.jobs.get(&key.task.job) else { return };
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.ordered = now.tick;
        let (life, task) = (run.life, name(job, key.task));
        let order = order::Order::Stop { life, task, run: key.run };
        self.effects.push(order::Effect::Order(life.host, order));
    }

    /// Looks at leases and claims, and places what waits.
    pub fn tick(&mut self, book: &book::Book, now: Moment) {
        let over = self.workers.iter().filter(|(_, worker)| worker.is_over(now.tick));
        let over: Vec<_> = over.filter_map(|(host, worker)| Some((*host, worker.life?))).collect();
        for (host, life) in over {
            if let Some(worker) = self.workers.get_mut(&host) {
                let fresh = fleet::Worker::inherited(None, worker.until);
                *worker = fleet::Worker { connected: worker.connected, ..fresh };
            }
            self.lose(life, now);
        }
        self.claims.retain(|_, claim| claim.until > now.tick);
        self.relieve(book, now);
        self.plan(book, now);
    }

    /// Stops what would get on better elsewhere: runs that stand still, and those that a leaving
    /// worker can't end.
    fn relieve(&mut self, book: &book::Book, now: Moment) {
        let still = self.still_hosts(now);
        for host in &still {
            self.health.pause(*host, now.tick);
        }
        let mut moved = Vec::new();
        for (key, run) in &self.runs {
            let Some(job) = book.jobs.get(&key.task.job) else { continue };
            let step = job.step(key.task.step);
            if run.state != runs::State::Running || step.lasting || step.fills {
                continue;
            }
            if still.contains(&run.life.host) && self.is_still(run, now) {
                moved.push(*key);
            } else if self.is_doomed(run, now)
                && (run.saves || self.fits_elsewhere(job, key, book, now))
            {
                moved.push(*key);
            }
        }
        for key in moved {
            self.stop(book, key, now);
        }
    }

    fn is_still(&self, run: &runs::Run, now: Moment) -> bool {
        run.pace.is_still(now.tick, self.health.speed(run.life.host))
    }

    /// The hosts on which everything stands still.
    fn still_hosts(&self, now: Moment) -> BTreeSet<u32> {
        let mut still: BTreeMap<u32, bool> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.state == runs::State::Running) {
            let so_far = still.entry(run.life.host).or_insert(true);
            *so_far &= self.is_still(run, now);
        }
        still.into_iter().filter(|(_, still)| *still).map(|(host, _)| host).collect()
    }

    /// Whether a run's worker leaves before the run can end, and it is time to stop it.
    fn is_doomed(&self, run: &runs::Run, now: Moment) -> bool {
        let worker = self.workers.get(&run.life.host);
        let Some(stays) = worker.and_then(|worker| worker.stays) else { return false };
        let left = stays - now.tick;
        let remaining = run.pace.remaining(now.tick, self.health.speed(run.life.host));
        remaining > left && (!run.saves || left <= LAST_STOP)
    }

    /// Whether a task could run elsewhere at once.
    fn fits_elsewhere(
        &self,
        job: &job::Job,
        key: &model::RunKey,
        book: &book::Book,
        now: Moment,
    ) -> bool {
        let first = model::TaskKey { index: 0, ..key.task };
        let waiting = queue::Waiting {
            rank: queue::plain_rank(job),
            spent: false,
            objective: 0,
            first,
            since: now.wall.0,
        };
        let ask = self.ask(book, job, &waiting, now);
        let need = Room::of(ask.step);
        self.sites(ask, first, now).iter().any(|site| site.free.holds(need))
    }

    /// Everything of a life has certainly ended.
    fn lose(&mut self, life: model::Life, _now: Moment) {
        let lost = self.runs.iter().filter(|(_, run)| {
            let open = run.is_held() && run.state != runs::State::Proposed;
            run.life == life && open
        });
        let lost = lost.map(|(key, _)| *key).collect();
        self.end_lost(lost);
    }

    fn end_lost(&mut self, keys: Vec<model::RunKey>) {
        let mut endings = Vec::new();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            run.state = runs::State::Ending;
            endings.push(command::Ending::new(key, model::How::Lost, run.saved.clone()));
            if let Some(worker) = self.workers.get_mut(&run.life.host) {
                worker.taken.remove(&key);
            }
        }
        self.propose_ends(endings);
    }

    fn propose_ends(&mut self, endings: Vec<command::Ending>) {
        if !endings.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::End(endings)));
        }
    }

    /// Places what waits, in its order, and makes room for urgent work.
    fn plan(&mut self, book: &book::Book, now: Moment) {
        let mut placements = Vec::new();
        for waiting in queue::waiting(book, now) {
            let Some(job) = book.jobs.get(&waiting.first.job) else { continue };
            let indices = self.unplaced(job, waiting.first);
            let step = job.step(waiting.first.step);
            if indices.is_empty() || (step.gang && indices.len() < step.count as usize) {
                continue;
            }
            placements.extend(self.serve(book, job, &waiting, &indices, now));
        }
        if !placements.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::Place(placements)));
        }
    }

    /// Places tasks of a step. Urgent ones get sound, fast workers, if need be at the expense of
    /// lower work; others only where there is no such room.
    fn serve(
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
        if !urgent {
            return placed;
        }
        let claimed = self.claims.contains_key(&waiting.first);
        if !claimed && !self.make_room(book, job, waiting, rest, now) {
            placed.extend(self.place_step(book, job, waiting, rest, false, now));
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
            .filter(|(task, index)| task.place == job::Place::Waiting && !busy.contains(index));
        free.map(|(_, index)| index).collect()
    }

    fn place_step(
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
        let mut sites = self.sites(ask, waiting.first, now);
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
            let placed = run_of(job, key, life, state, waiting.rank, now);
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
    fn ask<'a>(
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
            waited: time::Millis(now.wall.0.saturating_sub(waiting.since)),
            crowded: self.is_crowded(pool),
        }
    }

    /// Whether more than half of a pool's accelerators are taken.
    fn is_crowded(&self, pool: &str) -> bool {
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
    fn sites(&self, ask: fit::Ask<'_>, first: model::TaskKey, now: Moment) -> Vec<fit::Site> {
        let mut kept = fit::Kept::new();
        for (owner, claim) in &self.claims {
            if *owner == first {
                continue;
            }
            for (host, room) in &claim.kept {
                let sum = kept.entry(*host).or_default();
                *sum = sum.plus(*room);
            }
        }
        let mut sites = fit::sites(&self.workers, &self.health, ask, &kept, now);
        if ask.step.spread > 0 {
            for (_, run) in runs::of_step(&self.runs, first) {
                let host = run.life.host;
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
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        rest: &[u32],
        now: Moment,
    ) -> bool {
        let late = now.wall.0 > waiting.objective && waiting.rank > queue::GUARANTEED;
        if waiting.spent || late {
            return false;
        }
        let ask = self.ask(book, job, waiting, now);
        let sites = self.sites(ask, waiting.first, now);
        let (runs, health, rank) = (&self.runs, &self.health, waiting.rank);
        let view = reclaim::View { runs, health, rank, now };
        let Some(plan) = reclaim::plan(&sites, view, ask, rest.len()) else { return false };
        if !plan.waits {
            return false;
        }
        for key in &plan.victims {
            self.stop(book, *key, now);
        }
        let claim = Claim { kept: plan.kept, until: now.tick + KEPT };
        self.claims.insert(waiting.first, claim);
        true
    }
}

fn next_run(job: &job::Job, first: model::TaskKey, indices: &[u32]) -> u32 {
    let task = |index: &u32| job.task(model::TaskKey { index: *index, ..first });
    indices.iter().filter_map(task).map(|task| task.run).max().unwrap_or(0) + 1
}

fn run_of(
    job: &job::Job,
    key: model::RunKey,
    life: model::Life,
    state: runs::State,
    rank: u32,
    now: Moment,
) -> runs::Run {
    let step = job.step(key.task.step);
    let saved = job.task(key.task).map(|task| task.saved.clone()).unwrap_or_default();
    runs::Run {
        state,
        life,
        room: Room::of(step),
        // Tasks that last are never stopped for others.
        rank: if step.lasting { 0 } else { rank },
        gang: step.gang,
        saves: step.checkpoints,
        since: now.tick,
        ordered: now.tick,
        heard: now.tick,
        saved,
        pace: pace::Pace::new(step.estimate, now.tick),
        learnt: false,
    }
}

/// The runs of a job that the book holds as placed.
fn placed(key: ids::JobKey, job: &job::Job) -> impl Iterator<Item = (model::RunKey, model::Life)> {
    job.occurrences.iter().flat_map(move |(number, occurrence)| {
        let steps = occurrence.steps.iter().zip(0..);
        steps.flat_map(move |(tasks, step)| {
            tasks.iter().zip(0..).filter_map(move |(task, index)| {
                let job::Place::At(life) = task.place else { return None };
                let occurrence = *number;
                let name = model::TaskKey { job: key, occurrence, step, index };
                Some((model::RunKey { task: name, run: task.run }, life))
            })
        })
    })
}

/// A task as workers know it.
fn name(job: &job::Job, key: model::TaskKey) -> model::TaskName {
    let model::TaskKey { occurrence, step, index, .. } = key;
    model::TaskName { id: job.submission.id.clone(), occurrence, step, index }
}
