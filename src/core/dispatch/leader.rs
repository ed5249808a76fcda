//! State of the leader, and the rules that connect workers, runs and waiting steps.

use std::collections::BTreeMap;

use crate::core::dispatch::fit;
use crate::core::dispatch::fleet;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::pending;
use crate::core::dispatch::progress;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::dispatch::wait;
use crate::core::dispatch::window;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// Resources that are reserved for a step.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) resources: fit::Reserved,
    /// Whether runs of lower priority are being stopped for the step.
    pub(super) preempting: bool,
    /// The rank of the step; the reservation binds steps of this rank and of higher numbers.
    pub(super) rank: u32,
    pub(super) expires_at: time::Tick,
}

/// The state of one leader term: known workers, runs and reservations.
pub struct Dispatch {
    pub(super) lease_limits: fleet::LeaseLimits,
    pub(super) workers: BTreeMap<u32, fleet::Worker>,
    pub(super) runs: runs::Runs,
    pub(super) health: health::Health,
    /// Reservations, by the first task of the step.
    pub(super) reservations: BTreeMap<model::TaskKey, Reservation>,
    pub(super) wait_times: wait::WaitTimes,
    pub(super) queue: queue::Queue,
    /// What the current pass looks at, or the last one.
    pub(super) window: window::Window,
    /// Whether slices of the current pass are left.
    pub(super) in_pass: bool,
    pub(super) pending: pending::Counts,
    pub(super) racks: fleet::Racks,
    /// Whether something has changed since the last pass that may let a waiting step start.
    pub(super) changed: bool,
    pub(super) effects: Vec<order::Effect>,
}

impl Dispatch {
    /// Creates the state of a new leader from the registry. The previous leader may have granted
    /// leases until now.
    ///
    /// `health` is what was learned about the workers from the log.
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
            queue: queue::Queue::new(registry),
            window: window::Window::default(),
            in_pass: false,
            pending: pending::Counts::default(),
            racks: fleet::Racks::default(),
            changed: true,
            effects: Vec::new(),
        };
        for (key, job) in &registry.jobs {
            for run in placed_runs(*key, job) {
                dispatch.adopt(job, run.0, run.1, now);
            }
        }
        dispatch
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<order::Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the workers, by the host of their agents.
    pub fn workers(&self) -> &BTreeMap<u32, fleet::Worker> {
        &self.workers
    }

    /// Returns the runs that may be active.
    pub fn runs(&self) -> &runs::Runs {
        &self.runs
    }

    /// Returns the estimated relative speed of a host; 1 if nothing is known.
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
        // The latest of several incarnations on a host is the current one; its lists will show
        // which runs of the earlier ones are still active.
        worker.incarnation = worker.incarnation.max(Some(incarnation));
        let state = if job.is_active() { runs::State::Ordered } else { runs::State::Stopping };
        let run = new_run(job, key, incarnation, state, now);
        worker.allocated.insert(key, run.resources);
        self.runs.insert(key, run);
    }

    /// Handles the start of an agent's session.
    pub fn connected(&mut self, host: u32, now: Timestamp) {
        self.changed = true;
        let lease_end = fleet::end_of_lease(now.tick, self.lease_limits.duration);
        let unknown = || fleet::Worker::inherited(None, lease_end);
        let worker = self.workers.entry(host).or_insert_with(unknown);
        worker.connected = true;
        // Orders and acknowledgements of an earlier session may have been lost.
        worker.acknowledged = 0;
        for key in worker.allocated.keys() {
            let unconfirmed = [runs::State::Ordered, runs::State::Stopping];
            if let Some(run) = self.runs.get_mut(key).filter(|run| unconfirmed.contains(&run.state))
            {
                run.ordered_at = None;
            }
        }
    }

    /// Handles the end of an agent's session.
    pub fn disconnected(&mut self, host: u32) {
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.connected = false;
        }
    }

    /// Handles an event of the registry.
    pub fn event(&mut self, registry: &registry::Registry, event: &command::Event, now: Timestamp) {
        self.changed |= !matches!(event, command::Event::Placed(..));
        match event {
            command::Event::Configured(_) => self.queue.invalidate_all(registry),
            command::Event::Submitted(job) | command::Event::Stopping(job) => {
                self.queue.invalidate(*job)
            }
            command::Event::Finished(job) => {
                self.queue.invalidate(*job);
                self.wait_times.remove_job(*job);
            }
            command::Event::Placed(run, _)
            | command::Event::PlacementRejected(run)
            | command::Event::Ended(run, _) => self.queue.invalidate(run.task.job),
        }
        match event {
            command::Event::Placed(key, incarnation) => {
                self.placed(registry, *key, *incarnation, now)
            }
            command::Event::PlacementRejected(key) => {
                self.remove_run(*key);
            }
            command::Event::Stopping(job) => {
                let keys: Vec<_> = runs::of_job(&self.runs, *job).map(|(key, _)| *key).collect();
                for key in keys {
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
        let current = self.workers.get(&incarnation.host).and_then(|worker| worker.incarnation);
        if current != Some(incarnation) {
            let cause = current.map_or(order::LossCause::LeaseExpired, order::LossCause::Replaced);
            self.effects.push(order::Effect::WorkerLost(incarnation, cause, 1));
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
        let is_done = registry.jobs.get(&key.task.job).and_then(|job| job.task(key.task));
        let is_done = is_done.is_none_or(|task| task.state == job::TaskState::Done);
        if run.gang && !is_done {
            // The other members of a broken gang cannot continue.
            let members = runs::of_step(&self.runs, key.task).filter(|(k, _)| k.run == key.run);
            let members: Vec<_> = members.map(|(key, _)| *key).collect();
            for member in members {
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
            task: task_name(job, key.task),
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
        let (incarnation, task) = (run.incarnation, task_name(job, key.task));
        let order = order::Order::Stop { incarnation, task, run: key.run };
        self.effects.push(order::Effect::Order(incarnation.host, order));
    }

    /// Checks leases and reservations, stops stalled and draining runs, and places waiting steps.
    pub fn tick(&mut self, registry: &registry::Registry, now: Timestamp) {
        self.check(registry, now);
        self.decide(registry, now);
    }

    /// Checks leases and reservations, and stops stalled and draining runs. The next pass over the queue
    /// is due then.
    pub fn check(&mut self, registry: &registry::Registry, now: Timestamp) {
        let expired = self.workers.iter().filter(|(_, worker)| worker.is_lease_expired(now.tick));
        let expired: Vec<_> =
            expired.filter_map(|(host, worker)| Some((*host, worker.incarnation?))).collect();
        for (host, incarnation) in expired {
            if let Some(worker) = self.workers.get_mut(&host) {
                let fresh = fleet::Worker::inherited(None, worker.lease_end);
                *worker = fleet::Worker { connected: worker.connected, ..fresh };
            }
            self.lose_incarnation(incarnation, order::LossCause::LeaseExpired);
        }
        self.reservations.retain(|_, reservation| reservation.expires_at > now.tick);
        self.migrate(registry, now);
        self.changed = true;
    }

    /// Returns whether [`Self::decide`] would pass over the queue: something has changed since the
    /// last pass that may let a waiting step start.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Returns whether slices of a pass are left.
    pub fn is_in_pass(&self) -> bool {
        self.in_pass
    }

    /// Returns how many steps the current pass has looked at in vain, or the last one.
    pub fn vain_looks(&self) -> usize {
        self.window.vain_looks()
    }

    /// Places waiting steps if anything has changed that may let one start. What depends on time
    /// alone is left to [`Self::tick`].
    pub fn decide(&mut self, registry: &registry::Registry, now: Timestamp) {
        while !self.decide_slice(registry, now) {}
    }

    /// Performs a slice of what [`Self::decide`] does, of bounded length. Returns whether nothing is
    /// left.
    pub fn decide_slice(&mut self, registry: &registry::Registry, now: Timestamp) -> bool {
        if !self.in_pass && !std::mem::take(&mut self.changed) {
            return true;
        }
        self.place_slice(registry, now)
    }

    /// Ends all runs of an incarnation and of earlier ones on its host; none of them can be active.
    pub(super) fn lose_incarnation(
        &mut self,
        incarnation: model::Incarnation,
        cause: order::LossCause,
    ) {
        let lost = self.runs.iter().filter(|(_, run)| {
            let open = run.occupies_worker() && run.state != runs::State::Proposed;
            run.incarnation.host == incarnation.host && run.incarnation <= incarnation && open
        });
        let lost: Vec<_> = lost.map(|(key, _)| *key).collect();
        self.effects.push(order::Effect::WorkerLost(incarnation, cause, lost.len()));
        self.propose_lost(lost);
    }

    pub(super) fn propose_lost(&mut self, keys: Vec<model::RunKey>) {
        let mut endings = Vec::new();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            run.state = runs::State::Ending;
            let reason = match run.started {
                true => model::EndReason::Lost,
                false => model::EndReason::Unstarted,
            };
            endings.push(command::Ending::new(key, reason, run.checkpoint.clone()));
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

pub(super) fn new_run(
    job: &job::Job,
    key: model::RunKey,
    incarnation: model::Incarnation,
    state: runs::State,
    now: Timestamp,
) -> runs::Run {
    let step = job.step(key.task.step);
    let checkpoint = job.task(key.task).map(|task| task.checkpoint.clone()).unwrap_or_default();
    runs::Run {
        state,
        incarnation,
        resources: Resources::of_step(step),
        preemptible: !step.long_running,
        gang: step.gang,
        checkpoints: step.checkpoints,
        placed_at: now.tick,
        ordered_at: Some(now.tick),
        started: false,
        last_seen: now.tick,
        checkpoint,
        progress: progress::Progress::new(step.estimate, now.tick),
        speed_learned: false,
    }
}

/// Returns the runs of a job that the registry holds as placed.
fn placed_runs(
    key: ids::JobKey,
    job: &job::Job,
) -> impl Iterator<Item = (model::RunKey, model::Incarnation)> {
    job.placed().filter_map(move |(occurrence, step, index, task)| {
        let job::TaskState::At(incarnation) = task.state else { return None };
        let name = model::TaskKey { job: key, occurrence, step, index };
        Some((model::RunKey { task: name, run: task.run }, incarnation))
    })
}

/// Returns the name under which workers know a task.
pub(super) fn task_name(job: &job::Job, key: model::TaskKey) -> model::TaskName {
    let model::TaskKey { occurrence, step, index, .. } = key;
    model::TaskName { id: job.submission.id.clone(), occurrence, step, index }
}
