//! State that only a leader has: planner, gang coordinator, worker leases and agents' sessions.
//!
//! It performs no I/O. Ledger events, agents' messages and timer ticks are its input; its output is
//! a list of [`Effect`]s for the leader loop. A replica that becomes leader builds it from the
//! ledger alone.

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

/// An action for the leader loop to perform.
pub enum Effect {
    /// Propose a command; a rejected release is reported to [`LeaderState::release_rejected`].
    Propose(command::Command),
    /// Send a message to an agent.
    Send(stream::Sender<agent::ServerMessage>, agent::ServerMessage),
}

/// The session of an agent with this leader.
pub struct Session {
    /// The session's number within this leader's term.
    pub number: u64,
    /// The sending side of the session's stream.
    pub sender: stream::Sender<agent::ServerMessage>,
    /// The epoch that the agent was registered with.
    pub epoch: ids::Epoch,
    /// The configuration revision that the agent last reported.
    pub revision: ids::Revision,
}

/// The time of a call on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// Monotonic time.
    pub tick: time::Tick,
    /// Wall-clock time.
    pub wall: time::Wall,
}

impl Timestamp {
    /// Converts a wall-clock time to a monotonic one.
    fn tick_of(&self, wall: time::Wall) -> time::Tick {
        match wall >= self.wall {
            true => self.tick + (wall - self.wall),
            false => time::Tick(self.tick.0.saturating_sub((self.wall - wall).0)),
        }
    }
}

/// The state of a leader.
pub struct LeaderState {
    /// The term in which this replica is the leader.
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
    plan_outputs: Vec<plan::Output>,
    step_outputs: Vec<step::Output>,
    effects: Vec<Effect>,
}

impl LeaderState {
    /// Restores workers, running attempts and queued jobs from the ledger.
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
            plan_outputs: Vec::new(),
            step_outputs: Vec::new(),
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

    /// Restores an attempt that holds accelerators, in the coordinator and the planner.
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

    /// Returns the pending effects and clears them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the planner's health label of a worker.
    pub fn health(&self, worker: ids::WorkerKey) -> &'static str {
        self.planner.health(worker)
    }

    /// Returns the guarantees that can't be packed now.
    pub fn shortfall(&self) -> Vec<(String, String)> {
        self.planner.shortfall()
    }

    /// Returns the number of jobs whose attempts hold accelerators.
    pub fn allocated_count(&self) -> usize {
        self.allocated.len()
    }

    /// Returns the agents' sessions by worker.
    pub fn sessions(&self) -> &BTreeMap<ids::WorkerKey, Session> {
        &self.sessions
    }

    /// Stores the trace context that the job's messages to agents carry.
    pub fn set_trace(&mut self, job: ids::JobKey, trace: common::TraceContext) {
        self.traces.insert(job, trace);
    }

    /// Handles an event of the ledger.
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

    /// Passes the state of a present worker to the grantor and the planner.
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

    /// Fences the agent of a lost worker and removes the worker.
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

    /// Opens the session of a registered agent and returns the session's number.
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

    /// Closes a session, unless a later session of the worker has replaced it.
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

    /// Returns the reply to a heartbeat. Call it only while the replica holds the leader lease.
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

    /// Passes an input to the gang coordinator.
    pub fn gang_input(&mut self, ledger: &state::Ledger, input: step::Input, now: Timestamp) {
        self.step_coordinator(now, input);
        self.exchange_outputs(ledger, now);
    }

    /// Handles the ledger's rejection of a release.
    pub fn release_rejected(
        &mut self,
        ledger: &state::Ledger,
        attempt: ids::AttemptKey,
        now: Timestamp,
    ) {
        self.gang_input(ledger, step::Input::ReleaseRefused(attempt), now);
    }

    /// Proposes the loss of workers whose leases have expired, and advances planner and coordinator.
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
        self.planner.step(now.tick, input, &mut self.plan_outputs);
    }

    fn step_coordinator(&mut self, now: Timestamp, input: step::Input) {
        self.coordinator.step(now.tick, input, &mut self.step_outputs);
    }

    /// Passes the outputs of planner and gang coordinator to each other until none is left.
    fn exchange_outputs(&mut self, ledger: &state::Ledger, now: Timestamp) {
        while !self.plan_outputs.is_empty() || !self.step_outputs.is_empty() {
            for output in std::mem::take(&mut self.plan_outputs) {
                self.handle_plan_output(ledger, output, now);
            }
            for output in std::mem::take(&mut self.step_outputs) {
                self.handle_step_output(ledger, output, now);
            }
        }
    }

    fn handle_plan_output(&mut self, ledger: &state::Ledger, output: plan::Output, now: Timestamp) {
        match output {
            plan::Output::Place { job, members } => {
                self.last_attempt += 1;
                let attempt = ids::AttemptKey { job, number: self.last_attempt };
                self.step_coordinator(now, step::Input::Place { attempt, members });
            }
            plan::Output::Preempt { job, grace } => {
                if let Some(job_state) = ledger.table.jobs.get(&job) {
                    let attempt = job_state.last_attempt(job);
                    self.step_coordinator(now, step::Input::Stop { attempt, grace });
                }
            }
            plan::Output::Refuse { job, refusal } => {
                self.effects.push(Effect::Propose(command::Command::Refuse { job, refusal }));
            }
        }
    }

    fn handle_step_output(&mut self, ledger: &state::Ledger, output: step::Output, now: Timestamp) {
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
                let run_result = agent_messages::run_result(&result, worker);
                self.results.entry(attempt.job).or_insert(run_result);
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
