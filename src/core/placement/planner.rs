//! The planner: takes inputs in, keeps its books, and decides which waiting job starts where.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::placement::backfill;
use crate::core::placement::capacity;
use crate::core::placement::catalog;
use crate::core::placement::fleet;
use crate::core::placement::guarantee;
use crate::core::placement::health;
use crate::core::placement::job_state;
use crate::core::placement::plan;
use crate::core::placement::queue;
use crate::core::time;

/// How long the fleet must not have grown before a shape may be called too large for it.
const SETTLE: time::Millis = time::Millis::from_secs(3);

/// How often everything waiting is tried again though no capacity came free.
const SWEEP: time::Millis = time::Millis::from_secs(1);

/// How often a step tries everything waiting again because trying has itself freed capacity.
const MAX_SWEEPS: u32 = 3;

/// The first wait of a job whose place failed or was taken back; doubles each time.
const COOL: time::Millis = time::Millis(100);

/// The most doublings of that wait.
const MAX_COOLINGS: u32 = 8;

/// The most jobs that are remembered between two attempts.
const MAX_PAST: usize = 10_000;

/// The decisions of one cell.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(super) fleet: fleet::Fleet,
    pub(super) catalog: catalog::Catalog,
    pub(super) reserve: guarantee::Reserve,
    pub(super) health: health::Health,
    pub(super) queue: queue::Queue,
    pub(super) jobs: BTreeMap<ids::JobKey, job_state::Work>,
    pub(super) lent: BTreeSet<job_state::LentRank>,
    pub(super) waits: BTreeMap<ids::JobKey, Vec<ids::JobKey>>,
    pub(super) futures: Vec<backfill::Future>,
    /// Rises whenever capacity may have come free.
    pub(super) version: u64,
    /// The same workers with nothing on them, for what could never be placed.
    pub(super) empty: fleet::Fleet,
    pub(super) grown: time::Tick,
    cooling: BTreeSet<(time::Tick, ids::JobKey)>,
    preempted: BTreeMap<ids::JobKey, u32>,
    names: Vec<(String, bool)>,
    drained: BTreeSet<String>,
    swept: time::Tick,
    tried: u64,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new() -> Self {
        Self { version: 1, ..Self::default() }
    }

    /// Takes one input in and appends the decisions that follow from it.
    pub fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>) {
        match input {
            plan::Input::Config(config) => self.configure(now, &config),
            plan::Input::Worker { key, spec, epoch, schedulable } => {
                self.worker(now, key, &spec, epoch, schedulable);
            }
            plan::Input::WorkerLost(key) => self.worker_lost(now, key),
            plan::Input::Queued(queued) => self.queued(now, queued, out),
            plan::Input::Running { queued, members, since } => {
                self.adopt(now, queued, &members, since);
            }
            plan::Input::Released(job) => self.released(now, job, out),
            plan::Input::PlaceFailed { job, worker } => self.place_failed(now, job, worker, out),
            plan::Input::Ended { job, result } => self.ended(now, job, result, out),
            plan::Input::Withdrawn(job) => self.withdrawn(job, out),
            plan::Input::Tick => {}
        }
        self.warm(now, out);
        for _ in 0..MAX_SWEEPS {
            if self.tried != self.version || now.0 >= self.swept.0 + SWEEP.0 {
                self.sweep(now, out);
            }
        }
    }

    /// The guarantees that can't be packed now: the account, and what is missing.
    pub fn shortfall(&self) -> Vec<(String, String)> {
        let mut counts = BTreeMap::<_, u32>::new();
        for unit in self.reserve.missing() {
            *counts.entry((unit.account, unit.shape)).or_default() += 1;
        }
        let name = |account: usize| self.catalog.accounts[account].name.clone();
        counts
            .into_iter()
            .map(|((account, shape), count)| {
                (name(account), format!("{count} of {shape} can't be packed now"))
            })
            .collect()
    }

    /// What is known of a worker's health: `good`, `suspect`, `probation` or `unknown`.
    pub fn health(&self, key: ids::WorkerKey) -> &'static str {
        match self.fleet.find(key).map(|index| self.fleet.workers[index].trust) {
            Some(capacity::Trust::Good) => "good",
            Some(capacity::Trust::Suspect) => "suspect",
            Some(capacity::Trust::Probation) => "probation",
            None => "unknown",
        }
    }

    /// Every guaranteed gang with its place, in a fixed order.
    pub fn packing(&self) -> Vec<plan::PackedGang> {
        let key = |index: usize| self.fleet.workers[index].key;
        let claims = self.claims();
        self.reserve
            .all()
            .map(|(unit, state)| plan::PackedGang {
                account: self.catalog.accounts[state.account].name.clone(),
                shape: state.shape,
                retired: state.retired,
                parts: state.cells.iter().map(|cell| (key(cell.worker), cell.tasks)).collect(),
                claims: claims.get(&unit).cloned().unwrap_or_default(),
            })
            .collect()
    }

    fn claims(&self) -> BTreeMap<guarantee::UnitKey, Vec<ids::JobKey>> {
        let mut claims = BTreeMap::<_, Vec<_>>::new();
        for work in self.jobs.values() {
            let job_state::Hold::Claim(picks) = &work.hold else { continue };
            let units: BTreeSet<_> = picks.iter().map(|pick| pick.unit).collect();
            for unit in units {
                claims.entry(unit).or_default().push(work.key);
            }
        }
        claims
    }

    /// The jobs that have run far longer than their kind of work usually does.
    pub fn stragglers(&self, now: time::Tick) -> Vec<ids::JobKey> {
        let slow = |work: &&job_state::Work| {
            let runs = &self.catalog.kinds[work.kind].runs;
            runs.is_straggler(work.elapsed(now), self.speed(&work.place))
        };
        self.jobs.values().filter(slow).map(|work| work.key).collect()
    }

    fn configure(&mut self, now: time::Tick, config: &account::Config) {
        self.catalog.configure(config);
        self.reserve.configure(&mut self.fleet, &mut self.catalog, config);
        self.drained = config.drained.clone();
        for index in 0..self.names.len() {
            self.reopen(index);
        }
        self.pack(now);
        self.version += 1;
    }

    fn worker(
        &mut self,
        now: time::Tick,
        key: ids::WorkerKey,
        spec: &job::WorkerSpec,
        epoch: ids::Epoch,
        schedulable: bool,
    ) {
        let known = self.fleet.find(key).is_some();
        let shut = !schedulable || self.drained.contains(&spec.name);
        let index = self.fleet.announce(key, spec, epoch, !shut);
        self.empty.announce(key, spec, epoch, true);
        if known {
            self.names[index] = (spec.name.clone(), schedulable);
        } else {
            self.names.push((spec.name.clone(), schedulable));
            self.grown = now;
        }
        self.usability_changed(now, index);
        self.judge(now, [index]);
    }

    fn reopen(&mut self, index: usize) {
        let (name, schedulable) = &self.names[index];
        let schedulable = *schedulable && !self.drained.contains(name);
        if self.fleet.workers[index].schedulable != schedulable {
            self.fleet.change(index, |worker| worker.schedulable = schedulable);
            self.usability_changed(time::Tick(0), index);
        }
    }

    fn worker_lost(&mut self, now: time::Tick, key: ids::WorkerKey) {
        let Some(index) = self.fleet.find(key) else { return };
        self.fleet.change(index, |worker| worker.alive = false);
        self.health.lost(now, index);
        self.usability_changed(now, index);
    }

    /// Reservations and promises leave a worker that may not get new work; others may come.
    fn usability_changed(&mut self, now: time::Tick, index: usize) {
        if !self.fleet.usable(index) {
            self.break_promises(index);
        }
        self.reserve.worker_changed(&mut self.fleet, index);
        self.pack(now);
        self.version += 1;
    }

    pub(super) fn pack(&mut self, now: time::Tick) {
        if self.reserve.pack_missing(&mut self.fleet, now) {
            self.version += 1;
        }
    }

    fn queued(&mut self, now: time::Tick, queued: plan::Queued, out: &mut Vec<plan::Output>) {
        if self.jobs.contains_key(&queued.job) {
            return;
        }
        let mut work = self.work(&queued);
        work.preempted = self.preempted.get(&queued.job).copied().unwrap_or(0);
        let key = work.key;
        self.catalog.accounts[work.account].waiting += 1;
        self.jobs.insert(key, work);
        if self.jobs[&key].preempted > 0 {
            self.cool(now, key, self.jobs[&key].preempted);
        } else {
            self.wait(now, key, out);
        }
    }

    pub(super) fn work(&mut self, queued: &plan::Queued) -> job_state::Work {
        let kind = self.catalog.kind(&queued.service, &queued.kind);
        self.empty.service(&queued.service);
        job_state::Work {
            key: queued.job,
            account: self.catalog.account(&queued.account),
            service: self.fleet.service(&queued.service),
            kind,
            class: self.catalog.kinds[kind].class,
            shape: queued.shape,
            declared: queued.run_time,
            submitted: queued.submitted,
            deadline: queued.deadline,
            stage: job_state::Stage::Waiting,
            hold: job_state::Hold::Nothing,
            place: Vec::new(),
            preempted: 0,
            refused: 0,
        }
    }

    /// Puts a job into the queue, and tries it at once unless its equals are known to be blocked.
    pub(super) fn wait(&mut self, now: time::Tick, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.stage = job_state::Stage::Waiting;
        let group = self.queue.insert(work);
        if self.queue.group(group).blocked != self.version {
            self.pass(now, [group], out);
        }
    }

    /// Lets a job wait before it is queued again, the longer the more often it came back.
    pub(super) fn cool(&mut self, now: time::Tick, key: ids::JobKey, times: u32) {
        let until = now + time::Millis(COOL.0 << times.min(MAX_COOLINGS));
        if let Some(work) = self.jobs.get_mut(&key) {
            work.stage = job_state::Stage::Cooling(until);
            self.cooling.insert((until, key));
        }
    }

    fn warm(&mut self, now: time::Tick, out: &mut Vec<plan::Output>) {
        while let Some(&(until, key)) = self.cooling.first() {
            if until > now {
                return;
            }
            self.cooling.remove(&(until, key));
            self.wait(now, key, out);
        }
    }

    fn released(&mut self, now: time::Tick, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get_mut(&key) else { return };
        match work.stage {
            job_state::Stage::Placed => {
                self.lent.remove(&work.lent_rank());
                work.stage = job_state::Stage::Running(now);
                if work.is_lent() {
                    self.lent.insert(work.lent_rank());
                }
            }
            job_state::Stage::Stopping(false) => {
                work.stage = job_state::Stage::Stopping(true);
                let grace = self.catalog.kinds[work.kind].grace();
                out.push(plan::Output::Preempt { job: key, grace });
            }
            _ => {}
        }
    }

    fn place_failed(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        worker: Option<ids::WorkerKey>,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(work) = self.jobs.get(&key) else { return };
        if !matches!(work.stage, job_state::Stage::Placed | job_state::Stage::Stopping(_)) {
            return;
        }
        let (source, workers) = ((work.account, work.kind), workers_of(work));
        self.health.inconclusive(key, workers);
        if let Some(index) = worker.and_then(|worker| self.fleet.find(worker)) {
            self.health.failed(now, key, source, index);
            self.judge(now, self.health.failed_on(key));
        }
        self.give_back(now, key, out);
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.refused += 1;
        let times = work.refused;
        self.catalog.accounts[work.account].waiting += 1;
        self.cool(now, key, times);
    }

    fn ended(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        result: plan::RunResult,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(work) = self.jobs.get(&key) else { return };
        if work.is_waiting() {
            return;
        }
        let (source, preempted, workers) =
            ((work.account, work.kind), work.preempted, workers_of(work));
        if let (plan::RunResult::Done, job_state::Stage::Running(since)) = (result, work.stage) {
            let speed = self.speed(&work.place);
            self.catalog.kinds[source.1].runs.record(now - since, speed);
        }
        self.give_back(now, key, out);
        self.jobs.remove(&key);
        self.preempted.remove(&key);
        match result {
            plan::RunResult::Done => {
                self.health.succeeded(key, source, workers.iter().copied());
            }
            plan::RunResult::Failed(worker) => {
                self.health.inconclusive(key, workers.iter().copied());
                if let Some(index) = self.fleet.find(worker) {
                    self.health.failed(now, key, source, index);
                    self.judge(now, self.health.failed_on(key));
                }
            }
            plan::RunResult::Preempted => {
                self.health.inconclusive(key, workers.iter().copied());
                self.preempted.insert(key, preempted + 1);
                if self.preempted.len() > MAX_PAST {
                    self.preempted.pop_first();
                }
            }
            plan::RunResult::Lost | plan::RunResult::Cancelled => {
                self.health.inconclusive(key, workers.iter().copied());
                self.health.forget(key);
            }
        }
        self.judge(now, workers);
    }

    fn judge(&mut self, now: time::Tick, workers: impl IntoIterator<Item = usize>) {
        for index in workers {
            let known = self.fleet.workers.len();
            if let Some(trust) = self.health.judge(now, index, known) {
                self.fleet.set_trust(index, trust);
                self.usability_changed(now, index);
            }
        }
    }

    fn withdrawn(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get(&key) else { return };
        match work.stage {
            job_state::Stage::Waiting => self.queue.remove(work),
            job_state::Stage::Cooling(until) => {
                self.cooling.remove(&(until, key));
            }
            job_state::Stage::Promised(_)
            | job_state::Stage::Placed
            | job_state::Stage::Stopping(false) => {
                self.give_back(time::Tick(0), key, out);
                self.catalog.accounts[self.jobs[&key].account].waiting += 1;
            }
            job_state::Stage::Running(_) | job_state::Stage::Stopping(true) => return,
        }
        if self.futures.iter().any(|future| future.job == key) {
            self.futures.retain(|future| future.job != key);
            self.version += 1;
        }
        if let Some(work) = self.jobs.remove(&key) {
            self.catalog.accounts[work.account].waiting -= 1;
        }
        self.preempted.remove(&key);
        self.health.forget(key);
    }

    fn sweep(&mut self, now: time::Tick, out: &mut Vec<plan::Output>) {
        if now.0 >= self.swept.0 + SWEEP.0 {
            self.swept = now;
            self.pack(now);
            self.version += 1;
        }
        self.tried = self.version;
        let groups: Vec<_> = self.queue.active().collect();
        self.pass(now, groups, out);
    }

    /// Whether the fleet has not grown for a while, so that a shape may be called too large.
    pub(super) fn settled(&self, now: time::Tick) -> bool {
        !self.fleet.workers.is_empty() && now.0 >= self.grown.0 + SETTLE.0
    }

    /// The speed of the slowest worker of a place, in percent.
    pub(super) fn speed(&self, place: &[(usize, u32)]) -> u32 {
        let speeds = place.iter().map(|&(worker, _)| self.fleet.workers[worker].speed);
        speeds.min().unwrap_or(100)
    }
}

fn workers_of(work: &job_state::Work) -> Vec<usize> {
    work.place.iter().map(|&(worker, _)| worker).collect()
}
