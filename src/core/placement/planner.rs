//! The planner: processes inputs, tracks jobs and workers, and decides which waiting job starts
//! where.

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

/// How long the fleet must not have grown before a shape may be refused as too large for it.
const SETTLE_TIME: time::Millis = time::Millis::from_secs(3);

/// How often all waiting jobs are tried again even if no capacity came free.
const SWEEP_INTERVAL: time::Millis = time::Millis::from_secs(1);

/// Maximum number of times that one step tries all waiting jobs; trying them may itself free
/// capacity.
const MAX_SWEEPS: u32 = 3;

/// Base of the back-off of a job; doubled once for each of its preemptions or failed placements.
const BASE_BACK_OFF: time::Millis = time::Millis(100);

/// Maximum number of doublings of [`BASE_BACK_OFF`].
const MAX_BACK_OFF_DOUBLINGS: u32 = 8;

/// Maximum number of preempted jobs whose earlier preemptions are remembered.
const MAX_PREEMPTED_JOBS: usize = 10_000;

/// The scheduler of one cell.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(super) fleet: fleet::Fleet,
    pub(super) catalog: catalog::Catalog,
    pub(super) guarantees: guarantee::Guarantees,
    pub(super) health: health::Health,
    pub(super) queue: queue::Queue,
    pub(super) jobs: BTreeMap<ids::JobKey, job_state::JobState>,
    pub(super) preemptible: BTreeSet<job_state::PreemptionRank>,
    pub(super) waiters: BTreeMap<ids::JobKey, Vec<ids::JobKey>>,
    pub(super) reservations: Vec<backfill::Reservation>,
    /// Increases whenever capacity may have come free.
    pub(super) capacity_version: u64,
    /// The same workers without any jobs, to tell which shapes could never be placed.
    pub(super) empty_fleet: fleet::Fleet,
    pub(super) grown_at: time::Tick,
    backing_off: BTreeSet<(time::Tick, ids::JobKey)>,
    preemptions: BTreeMap<ids::JobKey, u32>,
    announced: Vec<(String, bool)>,
    drained: BTreeSet<String>,
    swept_at: time::Tick,
    tried_version: u64,
}

impl Planner {
    /// Creates a planner without configuration, workers and jobs.
    pub fn new() -> Self {
        Self { capacity_version: 1, ..Self::default() }
    }

    /// Processes one input and appends the decisions that follow from it to `out`.
    pub fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>) {
        match input {
            plan::Input::Config(config) => self.configure(now, &config),
            plan::Input::Worker { key, spec, epoch, schedulable } => {
                self.worker_announced(now, key, &spec, epoch, schedulable);
            }
            plan::Input::WorkerLost(key) => self.worker_lost(now, key),
            plan::Input::Queued(queued) => self.queued(now, queued, out),
            plan::Input::Running { queued, members, since } => {
                self.restore(now, queued, &members, since);
            }
            plan::Input::Released(job) => self.released(now, job, out),
            plan::Input::PlaceFailed { job, worker } => self.place_failed(now, job, worker, out),
            plan::Input::Ended { job, result } => self.ended(now, job, result, out),
            plan::Input::Withdrawn(job) => self.withdrawn(job, out),
            plan::Input::Tick => {}
        }
        self.end_back_offs(now, out);
        for _ in 0..MAX_SWEEPS {
            if self.tried_version != self.capacity_version
                || now.0 >= self.swept_at.0 + SWEEP_INTERVAL.0
            {
                self.sweep(now, out);
            }
        }
    }

    /// The guarantees that can't be packed now: the account's name, and a text with the number and
    /// shape of its missing gangs.
    pub fn shortfall(&self) -> Vec<(String, String)> {
        let mut counts = BTreeMap::<_, u32>::new();
        for gang in self.guarantees.unpacked() {
            *counts.entry((gang.account, gang.shape)).or_default() += 1;
        }
        let name = |account: usize| self.catalog.accounts[account].name.clone();
        counts
            .into_iter()
            .map(|((account, shape), count)| {
                (name(account), format!("{count} of {shape} can't be packed now"))
            })
            .collect()
    }

    /// The health of a worker: `good`, `suspect`, `probation` or `unknown`.
    pub fn health(&self, key: ids::WorkerKey) -> &'static str {
        match self.fleet.find(key).map(|index| self.fleet.workers[index].trust) {
            Some(capacity::Trust::Good) => "good",
            Some(capacity::Trust::Suspect) => "suspect",
            Some(capacity::Trust::Probation) => "probation",
            None => "unknown",
        }
    }

    /// Every guaranteed gang with its capacity, in a fixed order.
    pub fn packing(&self) -> Vec<plan::PackedGang> {
        let key = |index: usize| self.fleet.workers[index].key;
        let claims = self.claims();
        self.guarantees
            .all()
            .map(|(gang, state)| plan::PackedGang {
                account: self.catalog.accounts[state.account].name.clone(),
                shape: state.shape,
                retired: state.retired,
                parts: state.parts.iter().map(|part| (key(part.worker), part.tasks)).collect(),
                claims: claims.get(&gang).cloned().unwrap_or_default(),
            })
            .collect()
    }

    fn claims(&self) -> BTreeMap<guarantee::GangKey, Vec<ids::JobKey>> {
        let mut claimants = BTreeMap::<_, Vec<_>>::new();
        for job in self.jobs.values() {
            let job_state::Allocation::Guaranteed(claims) = &job.allocation else { continue };
            let gangs: BTreeSet<_> = claims.iter().map(|claim| claim.gang).collect();
            for gang in gangs {
                claimants.entry(gang).or_default().push(job.key);
            }
        }
        claimants
    }

    /// The running jobs that have run far longer than is usual for their kind of work.
    pub fn stragglers(&self, now: time::Tick) -> Vec<ids::JobKey> {
        let slow = |job: &&job_state::JobState| {
            let run_times = &self.catalog.kinds[job.kind].run_times;
            run_times.is_straggler(job.elapsed(now), self.slowest_speed(&job.placement))
        };
        self.jobs.values().filter(slow).map(|job| job.key).collect()
    }

    fn configure(&mut self, now: time::Tick, config: &account::Config) {
        self.catalog.configure(config);
        self.guarantees.configure(&mut self.fleet, &mut self.catalog, config);
        self.drained = config.drained.clone();
        for index in 0..self.announced.len() {
            self.update_schedulable(index);
        }
        self.pack(now);
        self.capacity_version += 1;
    }

    fn worker_announced(
        &mut self,
        now: time::Tick,
        key: ids::WorkerKey,
        spec: &job::WorkerSpec,
        epoch: ids::Epoch,
        schedulable: bool,
    ) {
        let known = self.fleet.find(key).is_some();
        let unschedulable = !schedulable || self.drained.contains(&spec.name);
        let index = self.fleet.announce(key, spec, epoch, !unschedulable);
        self.empty_fleet.announce(key, spec, epoch, true);
        if known {
            self.announced[index] = (spec.name.clone(), schedulable);
        } else {
            self.announced.push((spec.name.clone(), schedulable));
            self.grown_at = now;
        }
        self.usability_changed(now, index);
        self.update_trust(now, [index]);
    }

    fn update_schedulable(&mut self, index: usize) {
        let (name, schedulable) = &self.announced[index];
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

    /// Moves unclaimed gangs and jobs awaiting preemption off a worker that may not get new work,
    /// and packs gangs that now fit.
    fn usability_changed(&mut self, now: time::Tick, index: usize) {
        if !self.fleet.usable(index) {
            self.requeue_awaiting(index);
        }
        self.guarantees.worker_changed(&mut self.fleet, index);
        self.pack(now);
        self.capacity_version += 1;
    }

    pub(super) fn pack(&mut self, now: time::Tick) {
        if self.guarantees.pack_unpacked(&mut self.fleet, now) {
            self.capacity_version += 1;
        }
    }

    fn queued(&mut self, now: time::Tick, queued: plan::Queued, out: &mut Vec<plan::Output>) {
        if self.jobs.contains_key(&queued.job) {
            return;
        }
        let mut job = self.job_state(&queued);
        job.preemptions = self.preemptions.get(&queued.job).copied().unwrap_or(0);
        let key = job.key;
        self.catalog.accounts[job.account].waiting += 1;
        self.jobs.insert(key, job);
        if self.jobs[&key].preemptions > 0 {
            self.back_off(now, key, self.jobs[&key].preemptions);
        } else {
            self.enqueue(now, key, out);
        }
    }

    pub(super) fn job_state(&mut self, queued: &plan::Queued) -> job_state::JobState {
        let kind = self.catalog.kind(&queued.service, &queued.kind);
        self.empty_fleet.service(&queued.service);
        job_state::JobState {
            key: queued.job,
            account: self.catalog.account(&queued.account),
            service: self.fleet.service(&queued.service),
            kind,
            class: self.catalog.kinds[kind].class,
            shape: queued.shape,
            run_time: queued.run_time,
            submitted: queued.submitted,
            deadline: queued.deadline,
            stage: job_state::Stage::Waiting,
            allocation: job_state::Allocation::None,
            placement: Vec::new(),
            preemptions: 0,
            place_failures: 0,
        }
    }

    /// Puts a job into the queue, and tries it at once unless its group is known to be blocked.
    pub(super) fn enqueue(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.stage = job_state::Stage::Waiting;
        let group = self.queue.insert(job);
        if self.queue.group(group).blocked_version != self.capacity_version {
            self.try_groups(now, [group], out);
        }
    }

    /// Delays a job before it is queued again; the delay grows with `times`, the number of its
    /// earlier returns.
    pub(super) fn back_off(&mut self, now: time::Tick, key: ids::JobKey, times: u32) {
        let until = now + time::Millis(BASE_BACK_OFF.0 << times.min(MAX_BACK_OFF_DOUBLINGS));
        if let Some(job) = self.jobs.get_mut(&key) {
            job.stage = job_state::Stage::BackOff(until);
            self.backing_off.insert((until, key));
        }
    }

    fn end_back_offs(&mut self, now: time::Tick, out: &mut Vec<plan::Output>) {
        while let Some(&(until, key)) = self.backing_off.first() {
            if until > now {
                return;
            }
            self.backing_off.remove(&(until, key));
            self.enqueue(now, key, out);
        }
    }

    fn released(&mut self, now: time::Tick, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        match job.stage {
            job_state::Stage::Placed => {
                self.preemptible.remove(&job.preemption_rank());
                job.stage = job_state::Stage::Running(now);
                if job.is_preemptible() {
                    self.preemptible.insert(job.preemption_rank());
                }
            }
            job_state::Stage::Stopping(false) => {
                job.stage = job_state::Stage::Stopping(true);
                let grace = self.catalog.kinds[job.kind].grace();
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
        let Some(job) = self.jobs.get(&key) else { return };
        if !matches!(job.stage, job_state::Stage::Placed | job_state::Stage::Stopping(_)) {
            return;
        }
        let (source, workers) = ((job.account, job.kind), workers_of(job));
        self.health.inconclusive(key, workers);
        if let Some(index) = worker.and_then(|worker| self.fleet.find(worker)) {
            self.health.failed(now, key, source, index);
            self.update_trust(now, self.health.failed_workers(key));
        }
        self.deallocate(now, key, out);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.place_failures += 1;
        let times = job.place_failures;
        self.catalog.accounts[job.account].waiting += 1;
        self.back_off(now, key, times);
    }

    fn ended(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        result: plan::RunResult,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(job) = self.jobs.get(&key) else { return };
        if job.is_waiting() {
            return;
        }
        let (source, preemptions, workers) =
            ((job.account, job.kind), job.preemptions, workers_of(job));
        if let (plan::RunResult::Done, job_state::Stage::Running(since)) = (result, job.stage) {
            let speed = self.slowest_speed(&job.placement);
            self.catalog.kinds[source.1].run_times.record(now - since, speed);
        }
        self.deallocate(now, key, out);
        self.jobs.remove(&key);
        self.preemptions.remove(&key);
        match result {
            plan::RunResult::Done => {
                self.health.succeeded(key, source, workers.iter().copied());
            }
            plan::RunResult::Failed(worker) => {
                self.health.inconclusive(key, workers.iter().copied());
                if let Some(index) = self.fleet.find(worker) {
                    self.health.failed(now, key, source, index);
                    self.update_trust(now, self.health.failed_workers(key));
                }
            }
            plan::RunResult::Preempted => {
                self.health.inconclusive(key, workers.iter().copied());
                self.preemptions.insert(key, preemptions + 1);
                if self.preemptions.len() > MAX_PREEMPTED_JOBS {
                    self.preemptions.pop_first();
                }
            }
            plan::RunResult::Lost | plan::RunResult::Cancelled => {
                self.health.inconclusive(key, workers.iter().copied());
                self.health.forget_job(key);
            }
        }
        self.update_trust(now, workers);
    }

    fn update_trust(&mut self, now: time::Tick, workers: impl IntoIterator<Item = usize>) {
        for index in workers {
            let known = self.fleet.workers.len();
            if let Some(trust) = self.health.update_trust(now, index, known) {
                self.fleet.set_trust(index, trust);
                self.usability_changed(now, index);
            }
        }
    }

    fn withdrawn(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(job) = self.jobs.get(&key) else { return };
        match job.stage {
            job_state::Stage::Waiting => self.queue.remove(job),
            job_state::Stage::BackOff(until) => {
                self.backing_off.remove(&(until, key));
            }
            job_state::Stage::AwaitingPreemption(_)
            | job_state::Stage::Placed
            | job_state::Stage::Stopping(false) => {
                self.deallocate(time::Tick(0), key, out);
                self.catalog.accounts[self.jobs[&key].account].waiting += 1;
            }
            job_state::Stage::Running(_) | job_state::Stage::Stopping(true) => return,
        }
        if self.reservations.iter().any(|reservation| reservation.job == key) {
            self.reservations.retain(|reservation| reservation.job != key);
            self.capacity_version += 1;
        }
        if let Some(job) = self.jobs.remove(&key) {
            self.catalog.accounts[job.account].waiting -= 1;
        }
        self.preemptions.remove(&key);
        self.health.forget_job(key);
    }

    fn sweep(&mut self, now: time::Tick, out: &mut Vec<plan::Output>) {
        if now.0 >= self.swept_at.0 + SWEEP_INTERVAL.0 {
            self.swept_at = now;
            self.pack(now);
            self.capacity_version += 1;
        }
        self.tried_version = self.capacity_version;
        let groups: Vec<_> = self.queue.active().collect();
        self.try_groups(now, groups, out);
    }

    /// Whether the fleet has not grown for a while, so that a shape may be refused as too large.
    pub(super) fn is_settled(&self, now: time::Tick) -> bool {
        !self.fleet.workers.is_empty() && now.0 >= self.grown_at.0 + SETTLE_TIME.0
    }

    /// The speed of the slowest worker of a placement, in percent; 100 for an empty placement.
    pub(super) fn slowest_speed(&self, placement: &[(usize, u32)]) -> u32 {
        let speeds = placement.iter().map(|&(worker, _)| self.fleet.workers[worker].speed);
        speeds.min().unwrap_or(100)
    }
}

fn workers_of(job: &job_state::JobState) -> Vec<usize> {
    job.placement.iter().map(|&(worker, _)| worker).collect()
}
