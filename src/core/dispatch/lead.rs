//! The rules that tie workers, runs and waiting steps together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::fleet;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::order::Room;
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
const KEPT: time::Millis = time::Millis(2500);

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
    /// By the first task of the step.
    claims: BTreeMap<model::TaskKey, Claim>,
    effects: Vec<order::Effect>,
}

impl Dispatch {
    /// Begins to lead with what the book holds. The predecessor may have granted leases until now.
    pub fn new(book: &book::Book, lease: time::Millis, now: Moment) -> Self {
        let mut dispatch = Self {
            lease,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
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
        self.finished(book, host, life, report.finished, &mut listed);
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
            run.percent = entry.percent;
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
            command::Event::Ended(key) => self.ended(book, *key, now),
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
        self.plan(book, now);
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
            let placed = self.place_step(book, job, &waiting, &indices, now);
            if placed.len() < indices.len() {
                let rest = &indices[placed.len()..];
                self.make_room(book, job, &waiting, rest, now);
            } else {
                self.claims.remove(&waiting.first);
            }
            placements.extend(placed);
        }
        if !placements.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::Place(placements)));
        }
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
        now: Moment,
    ) -> Vec<command::Placement> {
        let step = job.step(waiting.first.step);
        let sites = self.sites(book, job, waiting.first, now);
        let waited = time::Millis(now.wall.0.saturating_sub(waiting.since));
        let choice = fit::choose(&sites, step, indices.len(), waited);
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

    /// The workers that may take tasks of a step, less what is kept for others.
    fn sites(
        &self,
        book: &book::Book,
        job: &job::Job,
        first: model::TaskKey,
        now: Moment,
    ) -> Vec<fit::Site> {
        let step = job.step(first.step);
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
        let directory = book.directory.as_ref();
        let queue = directory.and_then(|held| held.queue_at(&job.submission.place));
        let pool = queue.map_or(&job.submission.pool, |queue| &queue.pool);
        let mut sites = fit::sites(&self.workers, pool, step, &kept, now);
        if step.spread > 0 {
            for (_, run) in runs::of_step(&self.runs, first) {
                let host = run.life.host;
                if let Some(site) = sites.iter_mut().find(|site| site.host == host) {
                    site.spread = site.spread.saturating_sub(1);
                }
            }
        }
        sites
    }

    /// Stops lower work so that urgent tasks fit.
    fn make_room(
        &mut self,
        book: &book::Book,
        job: &job::Job,
        waiting: &queue::Waiting,
        rest: &[u32],
        now: Moment,
    ) {
        if waiting.rank > queue::URGENT || self.claims.contains_key(&waiting.first) {
            return;
        }
        let step = job.step(waiting.first.step);
        let sites = self.sites(book, job, waiting.first, now);
        let planned = reclaim::plan(&sites, &self.runs, step, rest.len(), waiting.rank, now);
        let Some(plan) = planned else { return };
        for key in &plan.victims {
            self.stop(book, *key, now);
        }
        let claim = Claim { kept: plan.kept, until: now.tick + KEPT };
        self.claims.insert(waiting.first, claim);
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
        percent: 0,
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
