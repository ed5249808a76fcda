//! The rules that tie workers, runs and waiting steps together.

use std::collections::BTreeMap;

use crate::core::dispatch::fit;
use crate::core::dispatch::fleet;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::progress;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::dispatch::wait;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// Room that is kept for a step.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) resources: fit::Reserved,
    /// Whether lower work is being stopped for it.
    pub(super) preempting: bool,
    /// The rank of the step; the room is kept from this rank on and from higher ones.
    pub(super) rank: u32,
    pub(super) expires_at: time::Tick,
}

/// What the leader of a term knows and has ordered.
pub struct Dispatch {
    pub(super) lease_limits: fleet::LeaseLimits,
    pub(super) workers: BTreeMap<u32, fleet::Worker>,
    pub(super) runs: runs::Runs,
    pub(super) health: health::Health,
    /// By the first task of the step.
    pub(super) reservations: BTreeMap<model::TaskKey, Reservation>,
    pub(super) wait_times: wait::WaitTimes,
    pub(super) effects: Vec<order::Effect>,
}

impl Dispatch {
    /// Begins to lead with what the registry holds. The predecessor may have granted leases until now.
    ///
    /// What was learnt of the workers from the log goes on to count.
    pub fn new(
        registry: &registry::Registry,
        health: health::Health,
        lease_limits: impl Into<fleet::LeaseLimits>,
        now: Timestamp,
    ) -> Self {
        let mut dispatch = Self {
            lease_limits: lease_limits.into(),
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            health,
            reservations: BTreeMap::new(),
            wait_times: wait::WaitTimes::default(),
            effects: Vec::new(),
        };
        for (key, job) in &registry.jobs {
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

    /// How fast a host is believed to be; 1 where nothing is known.
    pub fn speed(&self, host: u32) -> f64 {
        self.health.speed(host)
    }

    fn adopt(
        &mut self,
        job: &job::Job,
        key: model::RunKey,
        incarnation: model::Incarnation,
        now: Timestamp,
    ) {
        let lease_end = fleet::end_of_lease(now.tick, self.lease_limits.duration);
        let worker = self
            .workers
            .entry(incarnation.host)
            .or_insert_with(|| fleet::Worker::inherited(Some(incarnation), lease_end));
        // Of two incarnations on one host the later one is the present one; its lists will tell what has
        // become of the runs of the earlier one.
        worker.incarnation = worker.incarnation.max(Some(incarnation));
        let state = if job.is_active() { runs::State::Ordered } else { runs::State::Stopping };
        let run = run_of(job, key, incarnation, state, queue::base_rank(job), now);
        worker.allocated.insert(key, run.resources);
        self.runs.insert(key, run);
    }

    /// An agent has opened a session.
    pub fn connected(&mut self, host: u32, now: Timestamp) {
        let lease_end = fleet::end_of_lease(now.tick, self.lease_limits.duration);
        let unknown = || fleet::Worker::inherited(None, lease_end);
        let worker = self.workers.entry(host).or_insert_with(unknown);
        worker.connected = true;
        // Whatever an earlier session was told may not have arrived.
        worker.acknowledged = 0;
        for key in worker.allocated.keys() {
            let unconfirmed = [runs::State::Ordered, runs::State::Stopping];
            if let Some(run) = self.runs.get_mut(key).filter(|run| unconfirmed.contains(&run.state))
            {
                run.ordered_at = None;
            }
        }
    }

    /// An agent's session has ended.
    pub fn disconnected(&mut self, host: u32) {
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.connected = false;
        }
    }

    /// Takes note of a change of the registry.
    pub fn event(&mut self, registry: &registry::Registry, event: &command::Event, now: Timestamp) {
        match event {
            command::Event::Placed(key, incarnation) => {
                self.placed(registry, *key, *incarnation, now)
            }
            command::Event::PlacementRejected(key) => {
                self.remove_run(*key);
            }
            command::Event::Stopping(job) => {
                for key in runs::of_job(&self.runs, *job) {
                    self.stop(registry, key, order::StopReason::JobEnded, now);
                }
            }
            command::Event::Ended(key, _) => self.ended(registry, *key, now),
            command::Event::Configured(_)
            | command::Event::Submitted(_)
            | command::Event::Finished(_) => {}
        }
    }

    fn placed(
        &mut self,
        registry: &registry::Registry,
        key: model::RunKey,
        incarnation: model::Incarnation,
        now: Timestamp,
    ) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.state = runs::State::Ordered;
        let present = self.workers.get(&incarnation.host).and_then(|worker| worker.incarnation);
        if present != Some(incarnation) {
            let reason = present.map_or(order::LossCause::LeaseExpired, order::LossCause::Replaced);
            self.effects.push(order::Effect::WorkerLost(incarnation, reason, 1));
            self.propose_lost(vec![key]);
            return;
        }
        self.order_start(registry, key, now);
    }

    fn ended(&mut self, registry: &registry::Registry, key: model::RunKey, now: Timestamp) {
        let Some(run) = self.remove_run(key) else { return };
        let host = run.incarnation.host;
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.proposed_ends.retain(|_, ending| *ending != key);
        }
        self.acknowledge_ends(host);
        let done = registry.jobs.get(&key.task.job).and_then(|job| job.task(key.task));
        let done = done.is_none_or(|task| task.state == job::TaskState::Done);
        if run.gang && !done {
            // What is left of a gang can't go on.
            let rest = runs::of_step(&self.runs, key.task).filter(|(k, _)| k.run == key.run);
            let rest: Vec<_> = rest.map(|(key, _)| *key).collect();
            for member in rest {
                self.stop(registry, member, order::StopReason::GangBroken, now);
            }
        }
    }

    pub(super) fn remove_run(&mut self, key: model::RunKey) -> Option<runs::Run> {
        let run = self.runs.remove(&key)?;
        if let Some(worker) = self.workers.get_mut(&run.incarnation.host) {
            worker.allocated.remove(&key);
        }
        Some(run)
    }

    pub(super) fn stop(
        &mut self,
        registry: &registry::Registry,
        key: model::RunKey,
        reason: order::StopReason,
        now: Timestamp,
    ) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if matches!(run.state, runs::State::Ordered | runs::State::Running) {
            run.state = runs::State::Stopping;
            self.effects.push(order::Effect::Stopping(key, reason));
            self.order_stop(registry, key, now);
        }
    }

    pub(super) fn order_start(
        &mut self,
        registry: &registry::Registry,
        key: model::RunKey,
        now: Timestamp,
    ) {
        let Some(job) = registry.jobs.get(&key.task.job) else { return };
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.ordered_at = Some(now.tick);
        let checkpoint = job.task(key.task).map(|task| task.checkpoint.clone()).unwrap_or_default();
        let start = order::Start {
            incarnation: run.incarnation,
            task: name(job, key.task),
            run: key.run,
            spec: job.submission.workflow.spec.clone(),
            checkpoint,
        };
        self.effects.push(order::Effect::Order(run.incarnation.host, order::Order::Start(start)));
    }

    pub(super) fn order_stop(
        &mut self,
        registry: &registry::Registry,
        key: model::RunKey,
        now: Timestamp,
    ) {
        let Some(job) = registry.jobs.get(&key.task.job) else { return };
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.ordered_at = Some(now.tick);
        let (incarnation, task) = (run.incarnation, name(job, key.task));
        let order = order::Order::Stop { incarnation, task, run: key.run };
        self.effects.push(order::Effect::Order(incarnation.host, order));
    }

    /// Looks at leases and claims, and places what waits.
    pub fn tick(&mut self, registry: &registry::Registry, now: Timestamp) {
        let over = self.workers.iter().filter(|(_, worker)| worker.is_lease_expired(now.tick));
        let over: Vec<_> =
            over.filter_map(|(host, worker)| Some((*host, worker.incarnation?))).collect();
        for (host, incarnation) in over {
            if let Some(worker) = self.workers.get_mut(&host) {
                let fresh = fleet::Worker::inherited(None, worker.lease_end);
                *worker = fleet::Worker { connected: worker.connected, ..fresh };
            }
            self.lose_worker(incarnation, order::LossCause::LeaseExpired);
        }
        self.reservations.retain(|_, reservation| reservation.expires_at > now.tick);
        self.migrate(registry, now);
        self.place_waiting(registry, now);
    }

    /// Everything of an incarnation, and of those before it on its host, has certainly ended.
    pub(super) fn lose_worker(
        &mut self,
        incarnation: model::Incarnation,
        reason: order::LossCause,
    ) {
        let lost = self.runs.iter().filter(|(_, run)| {
            let open = run.occupies_worker() && run.state != runs::State::Proposed;
            run.incarnation.host == incarnation.host && run.incarnation <= incarnation && open
        });
        let lost: Vec<_> = lost.map(|(key, _)| *key).collect();
        self.effects.push(order::Effect::WorkerLost(incarnation, reason, lost.len()));
        self.propose_lost(lost);
    }

    pub(super) fn propose_lost(&mut self, keys: Vec<model::RunKey>) {
        let mut endings = Vec::new();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            run.state = runs::State::Ending;
            endings.push(command::Ending::new(key, model::EndReason::Lost, run.checkpoint.clone()));
            if let Some(worker) = self.workers.get_mut(&run.incarnation.host) {
                worker.allocated.remove(&key);
            }
        }
        self.propose_ends(endings);
    }

    pub(super) fn propose_ends(&mut self, endings: Vec<command::Ending>) {
        if !endings.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::End(endings)));
        }
    }
}

pub(super) fn run_of(
    job: &job::Job,
    key: model::RunKey,
    incarnation: model::Incarnation,
    state: runs::State,
    rank: u32,
    now: Timestamp,
) -> runs::Run {
    let step = job.step(key.task.step);
    let checkpoint = job.task(key.task).map(|task| task.checkpoint.clone()).unwrap_or_default();
    runs::Run {
        state,
        incarnation,
        resources: Resources::of_step(step),
        // Tasks that last are never stopped for others.
        rank: if step.long_running { 0 } else { rank },
        gang: step.gang,
        checkpoints: step.checkpoints,
        placed_at: now.tick,
        ordered_at: Some(now.tick),
        last_seen: now.tick,
        checkpoint,
        progress: progress::Progress::new(step.estimate, now.tick),
        speed_learned: false,
    }
}

/// The runs of a job that the registry holds as placed.
fn placed(
    key: ids::JobKey,
    job: &job::Job,
) -> impl Iterator<Item = (model::RunKey, model::Incarnation)> {
    job.occurrences.iter().flat_map(move |(number, occurrence)| {
        let steps = occurrence.steps.iter().zip(0..);
        steps.flat_map(move |(tasks, step)| {
            tasks.iter().zip(0..).filter_map(move |(task, index)| {
                let job::TaskState::At(incarnation) = task.state else { return None };
                let occurrence = *number;
                let name = model::TaskKey { job: key, occurrence, step, index };
                Some((model::RunKey { task: name, run: task.run }, incarnation))
            })
        })
    })
}

/// A task as workers know it.
pub(super) fn name(job: &job::Job, key: model::TaskKey) -> model::TaskName {
    let model::TaskKey { occurrence, step, index, .. } = key;
    model::TaskName { id: job.submission.id.clone(), occurrence, step, index }
}
