//! What only a leader has: the planner, the gangs in hand, the leases and the agents' sessions.
//!
//! It does no input or output. The ledger's events, the agents' messages and the ticks go in;
//! [`Effect`]s come out and are carried out by the leader's loop. It is made anew each time the
//! replica begins to lead, from the ledger alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::control::agent_messages;
use crate::core::gang::coordinator;
use crate::core::gang::step;
use crate::core::ids;
use crate::core::lease;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::ledger::state;
use crate::core::ledger::table;
use crate::core::placement::plan;
use crate::core::placement::planner;
use crate::core::time;
use crate::net::stream;
use crate::wire::agent;
use crate::wire::common;

/// Something the leader's loop has to do.
pub enum Effect {
    /// Propose a command; a release that is refused comes back by [`LeaderState::release_refused`].
    Propose(command::Command),
    /// Send a message to an agent.
    Send(stream::Sender<agent::ServerMessage>, agent::ServerMessage),
}

/// An agent's session.
pub struct Session {
    /// The session's number within this leader's term.
    pub number: u64,
    /// Where its messages go.
    pub sender: stream::Sender<agent::ServerMessage>,
    /// The epoch it was told.
    pub epoch: ids::Epoch,
    /// The revision of the configuration it holds.
    pub revision: ids::Revision,
}

/// The moment of a call: both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// Monotonic time.
    pub tick: time::Tick,
    /// Civil time.
    pub wall: time::Wall,
}

impl Timestamp {
    /// The tick of a point in civil time.
    fn tick_of(&self, wall: time::Wall) -> time::Tick {
        match wall >= self.wall {
            true => self.tick + (wall - self.wall),
            false => time::Tick(self.tick.0.saturating_sub((self.wall - wall).0)),
        }
    }
}

/// The state of a leader.
pub struct LeaderState {
    /// The term it leads.
    pub term: ids::Term,
    planner: planner::Planner,
    coordinator: coordinator::Coordinator,
    grantor: lease::Grantor,
    sessions: BTreeMap<ids::WorkerKey, Session>,
    loss_proposed: BTreeSet<ids::WorkerKey>,
    allocated: BTreeSet<ids::JobKey>,
    results: BTreeMap<ids::JobKey, plan::RunResult>,
    traces: BTreeMap<ids::JobKey, common::TraceContext>,
    last_attempt: u32,
    next_session: u64,
    plans: Vec<plan::Output>,
    steps: Vec<step::Output>,
    effects: Vec<Effect>,
}

impl LeaderState {
    /// Begins to lead with what the ledger holds.
    pub fn new(
        term: ids::Term,
        ledger: &state::Ledger,
        index: ids::LogIndex,
        now: Timestamp,
    ) -> Self {
        let mut leader = Self {
            term,
            planner: planner::Planner::new(),
            coordinator: coordinator::Coordinator::default(),
            grantor: lease::Grantor::new(now.tick),
            sessions: BTreeMap::new(),
            loss_proposed: BTreeSet::new(),
            allocated: BTreeSet::new(),
            results: BTreeMap::new(),
            traces: BTreeMap::new(),
            last_attempt: index.0 as u32,
            next_session: 1,
            plans: Vec::new(),
            steps: Vec::new(),
            effects: Vec::new(),
        };
        leader.step_planner(now, plan::Input::Config(ledger.config.clone()));
        for key in ledger.workers.by_key.keys() {
            leader.update_worker(ledger, *key, now);
        }
        for (key, job) in &ledger.table.jobs {
            leader.recover(ledger, *key, job, now);
        }
        for (key, job) in &ledger.table.jobs {
            if job.phase == job::Phase::Queued {
                leader.step_planner(now, plan::Input::Queued(queued(*key, job, now)));
            }
        }
        leader.exchange_outputs(ledger, now);
        leader
    }

    fn recover(
        &mut self,
        ledger: &state::Ledger,
        key: ids::JobKey,
        job: &table::Job,
        now: Timestamp,
    ) {
        if !job.holds_allocation() {
            return;
        }
        self.allocated.insert(key);
        let attempt = job.last_attempt(key);
        let current = |member: &job::Member| {
            ledger.workers.get(member.worker).is_some_and(|worker| worker.epoch == member.epoch)
        };
        let lost = job.members.iter().filter(|member| !current(member));
        let input = step::Input::Recover {
            attempt,
            members: job.members.clone(),
            lost: lost.map(|member| member.worker).collect(),
            stopping: job.stopping || job.phase == job::Phase::Ended,
        };
        self.step_coordinator(now, input);
        if job.cancelled {
            self.step_coordinator(now, step::Input::Stop { attempt, grace: time::Millis(0) });
        }
        let running = plan::Input::Running {
            queued: queued(key, job, now),
            members: job.members.clone(),
            since: now.tick_of(job.released),
        };
        self.step_planner(now, running);
    }

    /// Takes the effects that are due.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The planner's health word of a worker.
    pub fn health(&self, worker: ids::WorkerKey) -> &'static str {
        self.planner.health(worker)
    }

    /// The guarantees that can't be packed now.
    pub fn shortfall(&self) -> Vec<(String, String)> {
        self.planner.shortfall()
    }

    /// Attempts that hold accelerators.
    pub fn allocated_count(&self) -> usize {
        self.allocated.len()
    }

    /// The agents' sessions.
    pub fn sessions(&self) -> &BTreeMap<ids::WorkerKey, Session> {
        &self.sessions
    }

    /// Remembers the trace context of a request.
    pub fn set_trace(&mut self, job: ids::JobKey, trace: common::TraceContext) {
        self.traces.insert(job, trace);
    }

    /// Takes something that changed in the ledger.
    pub fn event(&mut self, ledger: &state::Ledger, event: &outcome::Event, now: Timestamp) {
        match event {
            outcome::Event::Config(_) => {
                self.step_planner(now, plan::Input::Config(ledger.config.clone()));
            }
            outcome::Event::Queued(key) => {
                if let Some(job) = ledger.table.jobs.get(key) {
                    self.step_planner(now, plan::Input::Queued(queued(*key, job, now)));
                }
            }
            outcome::Event::Released(attempt) => {
                self.allocated.insert(attempt.job);
                self.step_planner(now, plan::Input::Released(attempt.job));
                self.step_coordinator(now, step::Input::Released(*attempt));
            }
            outcome::Event::CancelRequested(attempt) => {
                self.results.insert(attempt.job, plan::RunResult::Cancelled);
                let grace = time::Millis(0);
                self.step_coordinator(now, step::Input::Stop { attempt: *attempt, grace });
            }
            outcome::Event::Stopping(attempt) => {
                self.step_coordinator(now, step::Input::EndCommitted(*attempt));
            }
            outcome::Event::Freed(attempt) => self.freed(*attempt, now),
            outcome::Event::Ended(key) => {
                self.traces.remove(key);
                if !self.allocated.contains(key) {
                    self.step_coordinator(now, step::Input::Withdraw(*key));
                    self.step_planner(now, plan::Input::Withdrawn(*key));
                }
            }
            outcome::Event::WorkerChanged(key) => self.update_worker(ledger, *key, now),
            outcome::Event::WorkerLost(key) => self.remove_worker(*key, now),
            outcome::Event::Workflow(_) => return,
        }
        self.exchange_outputs(ledger, now);
    }

    fn freed(&mut self, attempt: ids::AttemptKey, now: Timestamp) {
        self.allocated.remove(&attempt.job);
        self.step_coordinator(now, step::Input::Freed(attempt));
        let result = self.results.remove(&attempt.job).unwrap_or(plan::RunResult::Lost);
        self.step_planner(now, plan::Input::Ended { job: attempt.job, result });
    }

    fn update_worker(&mut self, ledger: &state::Ledger, key: ids::WorkerKey, now: Timestamp) {
        let Some(worker) = ledger.workers.get(key) else { return };
        if !worker.present {
            return;
        }
        self.loss_proposed.remove(&key);
        self.grantor.track(key, worker.epoch, now.tick);
        let connected = self.sessions.get(&key).is_some_and(|s| s.epoch == worker.epoch);
        let input = plan::Input::Worker {
            key,
            spec: worker.spec.clone(),
            epoch: worker.epoch,
            schedulable: connected && ledger.workers.accepts_work(key, &ledger.config),
        };
        self.step_planner(now, input);
    }

    fn remove_worker(&mut self, key: ids::WorkerKey, now: Timestamp) {
        self.grantor.remove(key);
        self.loss_proposed.remove(&key);
        if let Some(session) = self.sessions.get(&key) {
            let fenced = agent::ServerMessage::Fenced { epoch: session.epoch.0 };
            self.effects.push(Effect::Send(session.sender.clone(), fenced));
        }
        self.step_coordinator(now, step::Input::WorkerLost(key));
        self.step_planner(now, plan::Input::WorkerLost(key));
    }

    /// Opens the session of a registered agent and returns its number.
    pub fn open_session(
        &mut self,
        ledger: &state::Ledger,
        key: ids::WorkerKey,
        epoch: ids::Epoch,
        sender: stream::Sender<agent::ServerMessage>,
        now: Timestamp,
    ) -> u64 {
        let number = self.next_session;
        self.next_session += 1;
        let session = Session { number, sender, epoch, revision: ids::Revision(0) };
        self.sessions.insert(key, session);
        self.update_worker(ledger, key, now);
        self.exchange_outputs(ledger, now);
        number
    }

    /// Closes a session, if it is still the worker's present one.
    pub fn close_session(
        &mut self,
        ledger: &state::Ledger,
        key: ids::WorkerKey,
        number: u64,
        now: Timestamp,
    ) {
        if self.sessions.get(&key).is_some_and(|session| session.number == number) {
            self.sessions.remove(&key);
            self.update_worker(ledger, key, now);
            self.exchange_outputs(ledger, now);
        }
    }

    /// Answers a heartbeat. To be called only while the replica's leader lease holds.
    pub fn heartbeat(
        &mut self,
        key: ids::WorkerKey,
        epoch: ids::Epoch,
        revision: ids::Revision,
        now: Timestamp,
    ) -> lease::Reply {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.revision = revision;
        }
        self.grantor.heartbeat(key, epoch, now.tick)
    }

    /// Takes an agent's message about an attempt.
    pub fn gang_input(&mut self, ledger: &state::Ledger, input: step::Input, now: Timestamp) {
        self.step_coordinator(now, input);
        self.exchange_outputs(ledger, now);
    }

    /// The ledger has refused a release.
    pub fn release_refused(
        &mut self,
        ledger: &state::Ledger,
        attempt: ids::AttemptKey,
        now: Timestamp,
    ) {
        self.gang_input(ledger, step::Input::ReleaseRefused(attempt), now);
    }

    /// Takes note that time has passed.
    pub fn tick(&mut self, ledger: &state::Ledger, now: Timestamp) {
        for (worker, epoch) in self.grantor.expired(now.tick) {
            if self.loss_proposed.insert(worker) {
                let lost = command::Command::WorkerLost { worker, epoch };
                self.effects.push(Effect::Propose(lost));
            }
        }
        self.step_coordinator(now, step::Input::Tick);
        self.step_planner(now, plan::Input::Tick);
        self.exchange_outputs(ledger, now);
    }

    fn step_planner(&mut self, now: Timestamp, input: plan::Input) {
        self.planner.step(now.tick, input, &mut self.plans);
    }

    fn step_coordinator(&mut self, now: Timestamp, input: step::Input) {
        self.coordinator.step(now.tick, input, &mut self.steps);
    }

    /// Carries the planner's and the gang coordinator's outputs to each other until both rest.
    fn exchange_outputs(&mut self, ledger: &state::Ledger, now: Timestamp) {
        while !self.plans.is_empty() || !self.steps.is_empty() {
            for output in std::mem::take(&mut self.plans) {
                self.handle_plan(ledger, output, now);
            }
            for output in std::mem::take(&mut self.steps) {
                self.handle_step(ledger, output, now);
            }
        }
    }

    fn handle_plan(&mut self, ledger: &state::Ledger, output: plan::Output, now: Timestamp) {
        match output {
            plan::Output::Place { job, members } => {
                self.last_attempt += 1;
                let attempt = ids::AttemptKey { job, number: self.last_attempt };
                self.step_coordinator(now, step::Input::Place { attempt, members });
            }
            plan::Output::Preempt { job, grace } => {
                if let Some(found) = ledger.table.jobs.get(&job) {
                    let attempt = found.last_attempt(job);
                    self.step_coordinator(now, step::Input::Stop { attempt, grace });
                }
            }
            plan::Output::Refuse { job, refusal } => {
                self.effects.push(Effect::Propose(command::Command::Refuse { job, refusal }));
            }
        }
    }

    fn handle_step(&mut self, ledger: &state::Ledger, output: step::Output, now: Timestamp) {
        match output {
            step::Output::Prepare { attempt, member, first } => {
                let trace = self.traces.get(&attempt.job).cloned().unwrap_or_default();
                if let Some(prepare) =
                    agent_messages::prepare(ledger, attempt, &member, first, trace)
                {
                    self.send(member.worker, agent::ServerMessage::Prepare(prepare));
                }
            }
            step::Output::Start { attempt, member } => {
                let epoch = member.epoch.0;
                let start = agent::ServerMessage::Start { attempt: attempt.into(), epoch };
                self.send(member.worker, start);
            }
            step::Output::Stop { attempt, worker, grace } => {
                let stop = agent::ServerMessage::Stop { attempt: attempt.into(), grace: grace.0 };
                self.send(worker, stop);
            }
            step::Output::ConfirmEnd { attempt, worker } => {
                self.send(worker, agent::ServerMessage::EndStored { attempt: attempt.into() });
            }
            step::Output::Release { attempt, members } => {
                let release = command::Command::Release { attempt, members };
                self.effects.push(Effect::Propose(release));
            }
            step::Output::End { attempt, result, worker } => {
                let seen = agent_messages::run_result(&result, worker);
                self.results.entry(attempt.job).or_insert(seen);
                let end = command::Command::AttemptEnd { attempt, result };
                self.effects.push(Effect::Propose(end));
            }
            step::Output::Free(attempt) => {
                self.effects.push(Effect::Propose(command::Command::AttemptStopped { attempt }));
            }
            step::Output::PlaceFailed { job, worker } => {
                self.step_planner(now, plan::Input::PlaceFailed { job, worker });
            }
        }
    }

    fn send(&mut self, worker: ids::WorkerKey, message: agent::ServerMessage) {
        if let Some(session) = self.sessions.get(&worker) {
            self.effects.push(Effect::Send(session.sender.clone(), message));
        }
    }
}

fn queued(key: ids::JobKey, job: &table::Job, now: Timestamp) -> plan::Queued {
    plan::Queued {
        job: key,
        account: job.spec.account.clone(),
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        shape: job.spec.shape,
        run_time: job.spec.run_time,
        submitted: now.tick_of(job.submitted),
        deadline: now.tick_of(job.spec.deadline),
    }
}
