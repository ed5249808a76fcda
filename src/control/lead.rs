//! What only a leader has: the planner, the gangs in hand, the leases and the agents' sessions.
//!
//! It does no input or output. The ledger's events, the agents' messages and the ticks go in;
//! [`Effect`]s come out and are carried out by the leader's loop. It is made anew each time the
//! replica begins to lead, from the ledger alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::control::order;
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
    /// Propose a command; a release that is refused comes back by [`Lead::release_refused`].
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
pub struct Moment {
    /// Monotonic time.
    pub tick: time::Tick,
    /// Civil time.
    pub wall: time::Wall,
}

impl Moment {
    /// The tick of a point in civil time.
    fn tick_of(&self, wall: time::Wall) -> time::Tick {
        match wall >= self.wall {
            true => self.tick + (wall - self.wall),
            false => time::Tick(self.tick.0.saturating_sub((self.wall - wall).0)),
        }
    }
}

/// The state of a leader.
pub struct Lead {
    /// The term it leads.
    pub term: ids::Term,
    planner: planner::Planner,
    coordinator: coordinator::Coordinator,
    grantor: lease::Grantor,
    sessions: BTreeMap<ids::WorkerKey, Session>,
    losing: BTreeSet<ids::WorkerKey>,
    held: BTreeSet<ids::JobKey>,
    results: BTreeMap<ids::JobKey, plan::RunResult>,
    traces: BTreeMap<ids::JobKey, common::TraceContext>,
    last_number: u32,
    next_session: u64,
    plans: Vec<plan::Output>,
    steps: Vec<step::Output>,
    effects: Vec<Effect>,
}

impl Lead {
    /// Begins to lead with what the ledger holds.
    pub fn new(term: ids::Term, ledger: &state::Ledger, index: ids::LogIndex, now: Moment) -> Self {
        let mut lead = Self {
            term,
            planner: planner::Planner::new(),
            coordinator: coordinator::Coordinator::default(),
            grantor: lease::Grantor::new(now.tick),
            sessions: BTreeMap::new(),
            losing: BTreeSet::new(),
            held: BTreeSet::new(),
            results: BTreeMap::new(),
            traces: BTreeMap::new(),
            last_number: index.0 as u32,
            next_session: 1,
            plans: Vec::new(),
            steps: Vec::new(),
            effects: Vec::new(),
        };
        lead.plan(now, plan::Input::Config(ledger.config.clone()));
        for key in ledger.workers.by_key.keys() {
            lead.worker(ledger, *key, now);
        }
        for (key, job) in &ledger.table.jobs {
            lead.recover(ledger, *key, job, now);
        }
        for (key, job) in &ledger.table.jobs {
            if job.phase == job::Phase::Queued {
                lead.plan(now, plan::Input::Queued(queued(*key, job, now)));
            }
        }
        lead.settle(ledger, now);
        lead
    }

    fn recover(&mut self, ledger: &state::Ledger, key: ids::JobKey, job: &table::Job, now: Moment) {
        if !job.holds_allocation() {
            return;
        }
        self.held.insert(key);
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
        self.run(now, input);
        if job.cancelled {
            self.run(now, step::Input::Stop { attempt, grace: time::Millis(0) });
        }
        let running = plan::Input::Running {
            queued: queued(key, job, now),
            members: job.members.clone(),
            since: now.tick_of(job.released),
        };
        self.plan(now, running);
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
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The agents' sessions.
    pub fn sessions(&self) -> &BTreeMap<ids::WorkerKey, Session> {
        &self.sessions
    }

    /// Remembers the trace context of a request.
    pub fn trace(&mut self, job: ids::JobKey, trace: common::TraceContext) {
        self.traces.insert(job, trace);
    }

    /// Takes something that changed in the ledger.
    pub fn event(&mut self, ledger: &state::Ledger, event: &outcome::Event, now: Moment) {
        match event {
            outcome::Event::Config(_) => {
                self.plan(now, plan::Input::Config(ledger.config.clone()));
            }
            outcome::Event::Queued(key) => {
                if let Some(job) = ledger.table.jobs.get(key) {
                    self.plan(now, plan::Input::Queued(queued(*key, job, now)));
                }
            }
            outcome::Event::Released(attempt) => {
                self.held.insert(attempt.job);
                self.plan(now, plan::Input::Released(attempt.job));
                self.run(now, step::Input::Released(*attempt));
            }
            outcome::Event::CancelRequested(attempt) => {
                self.results.insert(attempt.job, plan::RunResult::Cancelled);
                let grace = time::Millis(0);
                self.run(now, step::Input::Stop { attempt: *attempt, grace });
            }
            outcome::Event::Stopping(attempt) => {
                self.run(now, step::Input::EndCommitted(*attempt));
            }
            outcome::Event::Freed(attempt) => self.cleared(*attempt, now),
            outcome::Event::Ended(key) => {
                self.traces.remove(key);
                if !self.held.contains(key) {
                    self.run(now, step::Input::Withdraw(*key));
                    self.plan(now, plan::Input::Withdrawn(*key));
                }
            }
            outcome::Event::WorkerChanged(key) => self.worker(ledger, *key, now),
            outcome::Event::WorkerLost(key) => self.worker_lost(*key, now),
            outcome::Event::Workflow(_) => return,
        }
        self.settle(ledger, now);
    }

    fn cleared(&mut self, attempt: ids::AttemptKey, now: Moment) {
        self.held.remove(&attempt.job);
        self.run(now, step::Input::Freed(attempt));
        let result = self.results.remove(&attempt.job).unwrap_or(plan::RunResult::Lost);
        self.plan(now, plan::Input::Ended { job: attempt.job, result });
    }

    fn worker(&mut self, ledger: &state::Ledger, key: ids::WorkerKey, now: Moment) {
        let Some(worker) = ledger.workers.get(key) else { return };
        if !worker.present {
            return;
        }
        self.losing.remove(&key);
        self.grantor.track(key, worker.epoch, now.tick);
        let connected = self.sessions.get(&key).is_some_and(|s| s.epoch == worker.epoch);
        let input = plan::Input::Worker {
            key,
            spec: worker.spec.clone(),
            epoch: worker.epoch,
            schedulable: connected && ledger.workers.accepts_work(key, &ledger.config),
        };
        self.plan(now, input);
    }

    fn worker_lost(&mut self, key: ids::WorkerKey, now: Moment) {
        self.grantor.remove(key);
        self.losing.remove(&key);
        if let Some(session) = self.sessions.get(&key) {
            let fenced = agent::ServerMessage::Fenced { epoch: session.epoch.0 };
            self.effects.push(Effect::Send(session.sender.clone(), fenced));
        }
        self.run(now, step::Input::WorkerLost(key));
        self.plan(now, plan::Input::WorkerLost(key));
    }

    /// Opens the session of a registered agent and returns its number.
    pub fn open_session(
        &mut self,
        ledger: &state::Ledger,
        key: ids::WorkerKey,
        epoch: ids::Epoch,
        sender: stream::Sender<agent::ServerMessage>,
        now: Moment,
    ) -> u64 {
        let number = self.next_session;
        self.next_session += 1;
        let session = Session { number, sender, epoch, revision: ids::Revision(0) };
        self.sessions.insert(key, session);
        self.worker(ledger, key, now);
        self.settle(ledger, now);
        number
    }

    /// Closes a session, if it is still the worker's present one.
    pub fn close_session(
        &mut self,
        ledger: &state::Ledger,
        key: ids::WorkerKey,
        number: u64,
        now: Moment,
    ) {
        if self.sessions.get(&key).is_some_and(|session| session.number == number) {
            self.sessions.remove(&key);
            self.worker(ledger, key, now);
            self.settle(ledger, now);
        }
    }

    /// Answers a heartbeat. To be called only while the replica's leader lease holds.
    pub fn heartbeat(
        &mut self,
        key: ids::WorkerKey,
        epoch: ids::Epoch,
        revision: ids::Revision,
        now: Moment,
    ) -> lease::Reply {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.revision = revision;
        }
        self.grantor.heartbeat(key, epoch, now.tick)
    }

    /// Takes an agent's message about an attempt.
    pub fn member(&mut self, ledger: &state::Ledger, input: step::Input, now: Moment) {
        self.run(now, input);
        self.settle(ledger, now);
    }

    /// The ledger has refused a release.
    pub fn release_refused(
        &mut self,
        ledger: &state::Ledger,
        attempt: ids::AttemptKey,
        now: Moment,
    ) {
        self.member(ledger, step::Input::ReleaseRefused(attempt), now);
    }

    /// Takes note that time has passed.
    pub fn tick(&mut self, ledger: &state::Ledger, now: Moment) {
        for (worker, epoch) in self.grantor.expired(now.tick) {
            if self.losing.insert(worker) {
                let lost = command::Command::WorkerLost { worker, epoch };
                self.effects.push(Effect::Propose(lost));
            }
        }
        self.run(now, step::Input::Tick);
        self.plan(now, plan::Input::Tick);
        self.settle(ledger, now);
    }

    fn plan(&mut self, now: Moment, input: plan::Input) {
        self.planner.step(now.tick, input, &mut self.plans);
    }

    fn run(&mut self, now: Moment, input: step::Input) {
        self.coordinator.step(now.tick, input, &mut self.steps);
    }

    /// Carries the planner's and the gang coordinator's outputs to each other until both rest.
    fn settle(&mut self, ledger: &state::Ledger, now: Moment) {
        while !self.plans.is_empty() || !self.steps.is_empty() {
            for output in std::mem::take(&mut self.plans) {
                self.planned(ledger, output, now);
            }
            for output in std::mem::take(&mut self.steps) {
                self.stepped(ledger, output, now);
            }
        }
    }

    fn planned(&mut self, ledger: &state::Ledger, output: plan::Output, now: Moment) {
        match output {
            plan::Output::Place { job, members } => {
                self.last_number += 1;
                let attempt = ids::AttemptKey { job, number: self.last_number };
                self.run(now, step::Input::Place { attempt, members });
            }
            plan::Output::Preempt { job, grace } => {
                if let Some(found) = ledger.table.jobs.get(&job) {
                    let attempt = found.last_attempt(job);
                    self.run(now, step::Input::Stop { attempt, grace });
                }
            }
            plan::Output::Refuse { job, refusal } => {
                self.effects.push(Effect::Propose(command::Command::Refuse { job, refusal }));
            }
        }
    }

    fn stepped(&mut self, ledger: &state::Ledger, output: step::Output, now: Moment) {
        match output {
            step::Output::Prepare { attempt, member, first } => {
                let trace = self.traces.get(&attempt.job).cloned().unwrap_or_default();
                if let Some(prepare) = order::prepare(ledger, attempt, &member, first, trace) {
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
                let seen = order::run_result(&result, worker);
                self.results.entry(attempt.job).or_insert(seen);
                let end = command::Command::AttemptEnd { attempt, result };
                self.effects.push(Effect::Propose(end));
            }
            step::Output::Free(attempt) => {
                self.effects.push(Effect::Propose(command::Command::AttemptStopped { attempt }));
            }
            step::Output::PlaceFailed { job, worker } => {
                self.plan(now, plan::Input::PlaceFailed { job, worker });
            }
        }
    }

    fn send(&mut self, worker: ids::WorkerKey, message: agent::ServerMessage) {
        if let Some(session) = self.sessions.get(&worker) {
            self.effects.push(Effect::Send(session.sender.clone(), message));
        }
    }
}

fn queued(key: ids::JobKey, job: &table::Job, now: Moment) -> plan::Queued {
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
