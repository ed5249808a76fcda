//! Property tests of the agent's state against a model of a backend server and of control, with
//! generated sequences of lost, duplicated and delayed messages, suspensions and leader changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::agent::contract;
use hemlockcleat::agent::state;
use hemlockcleat::core::ids;
use hemlockcleat::core::lease;
use hemlockcleat::core::time;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;
use proptest::prelude::Strategy as _;
use proptest::test_runner;

use crate::support::agents;

/// The number of generated sequences.
const CASES: u32 = 3000;

/// The number of steps in a sequence.
const STEPS: usize = 160;

/// One step, as a kind and a number that selects its details.
type Step = (u8, u32);

/// How an order is delivered to the backend server.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    /// The order is carried out and its response arrives.
    Delivered,
    /// The order is carried out, but its response is lost.
    ResponseLost,
    /// The order is lost.
    Lost,
    /// The response is lost, and the order is carried out later.
    Delayed,
}

struct Model {
    state: state::State,
    now: u64,
    connected: bool,
    epoch: u64,
    /// Unanswered heartbeats with sequence number, epoch and time of sending.
    heartbeats: Vec<(u64, u64, u64)>,
    /// The latest end of a granted lease, as control calculates it.
    granted_until: u64,
    /// Outputs of the state that are not carried out yet.
    orders: Vec<state::Output>,
    /// Starts in flight with their fencing tokens.
    delayed_starts: Vec<(contract::TaskKey, u64)>,
    /// The backend server's tasks; true for a running one.
    tasks: BTreeMap<contract::TaskKey, bool>,
    /// Tasks that the backend server must not start.
    tombstones: BTreeSet<contract::TaskKey>,
    /// The end of the backend server's lease.
    lease_end: u64,
    fence: u64,
    /// Tasks that were ordered to start.
    ordered: BTreeSet<contract::TaskKey>,
    /// Tasks that the backend server ran.
    ran: BTreeSet<contract::TaskKey>,
    /// Attempts that were reported as never started.
    never_started: BTreeSet<ids::AttemptKey>,
    /// Attempts whose end was reported.
    ended_attempts: BTreeSet<ids::AttemptKey>,
}

impl Model {
    fn new() -> Self {
        Self {
            state: state::State::new(1),
            now: 1000,
            connected: false,
            epoch: 0,
            heartbeats: Vec::new(),
            granted_until: 0,
            orders: Vec::new(),
            delayed_starts: Vec::new(),
            tasks: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            lease_end: 0,
            fence: 0,
            ordered: BTreeSet::new(),
            ran: BTreeSet::new(),
            never_started: BTreeSet::new(),
            ended_attempts: BTreeSet::new(),
        }
    }

    /// Creates a model in which the worker is registered and holds its lease.
    fn registered() -> Self {
        let mut model = Self::new();
        model.connected = true;
        model.input(state::Input::Connected);
        model.announce(false);
        model.input(state::Input::Swept(true));
        model.epoch = 1;
        model.input(state::Input::Received(agent::ServerMessage::Registered {
            worker: 1,
            epoch: 1,
        }));
        model.grant(0);
        model.announce(false);
        model
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        if self.now >= self.lease_end {
            self.tasks.values_mut().for_each(|running| *running = false);
        }
    }

    fn input(&mut self, input: state::Input) {
        let mut out = Vec::new();
        self.state.step(time::Tick(self.now), input, &mut out);
        for output in out {
            match output {
                state::Output::Send(message) => self.handle_message(message),
                state::Output::Deliver { attempt, .. } => self.ended(attempt, false),
                state::Output::Start { task, lease, .. } => {
                    assert!(self.ordered.insert(task), "{task} was ordered to start twice");
                    assert!(self.now < lease.until.0, "{task} was ordered without a lease");
                    assert!(
                        lease.until.0 <= self.granted_until,
                        "{task} may run longer than the lease that control granted"
                    );
                    assert!(
                        !self.ended_attempts.contains(&task.attempt),
                        "{task} was ordered after its end"
                    );
                    self.orders.push(output);
                }
                output => self.orders.push(output),
            }
        }
        assert!(self.state.occupied() <= agents::SLOTS);
    }

    fn handle_message(&mut self, message: agent::ClientMessage) {
        match message {
            agent::ClientMessage::Heartbeat { sequence, epoch, .. } => {
                self.heartbeats.push((sequence, epoch, self.now));
            }
            agent::ClientMessage::Started { attempt } => {
                let attempt = ids::AttemptKey::from(attempt);
                let ran = self.ran.iter().any(|task| task.attempt == attempt);
                assert!(ran, "{attempt} was reported as started, but did not run");
            }
            agent::ClientMessage::Ended { attempt, result } => {
                self.ended(attempt.into(), result == agent::TaskResult::NotStarted);
            }
            _ => {}
        }
    }

    fn ended(&mut self, attempt: ids::AttemptKey, not_started: bool) {
        let is_member = |task: &contract::TaskKey| task.attempt == attempt;
        let is_running = self.tasks.iter().any(|(task, running)| *running && is_member(task));
        assert!(!is_running, "the end of {attempt} was reported while a task ran");
        if not_started {
            assert!(
                !self.ran.iter().any(is_member),
                "{attempt} was reported as never started, but ran"
            );
            self.never_started.insert(attempt);
        }
        self.ended_attempts.insert(attempt);
    }

    /// Delivers a start to the backend server.
    fn deliver_start(&mut self, task: contract::TaskKey, fence: u64) -> state::StartOutcome {
        if self.tasks.contains_key(&task) {
            return state::StartOutcome::Accepted;
        }
        if self.tombstones.contains(&task) || self.now >= self.lease_end || fence != self.fence {
            return state::StartOutcome::Refused("no".to_owned());
        }
        assert!(
            !self.never_started.contains(&task.attempt),
            "{task} ran after it was reported as never started"
        );
        assert!(
            !self.ended_attempts.contains(&task.attempt),
            "{task} ran after its end was reported"
        );
        self.tasks.insert(task, true);
        self.ran.insert(task);
        state::StartOutcome::Accepted
    }

    fn status(&self, task: contract::TaskKey) -> state::TaskStatus {
        match self.tasks.get(&task) {
            Some(true) => state::TaskStatus::Running,
            Some(false) => state::TaskStatus::Ended(state::TaskEnd::Stopped),
            None => state::TaskStatus::Ended(state::TaskEnd::Gone("unknown".to_owned())),
        }
    }

    fn carry_out(&mut self, order: state::Output, delivery: Delivery) {
        let arrives = matches!(delivery, Delivery::Delivered | Delivery::ResponseLost);
        let lost = || state::TaskStatus::Unreachable("lost".to_owned());
        match order {
            state::Output::Start { task, lease, .. } => {
                // The agent's client checks the lease again before it sends the order.
                if self.now >= lease.until.0 {
                    let outcome = state::StartOutcome::Refused("too late".to_owned());
                    return self.input(state::Input::StartFinished(task, outcome));
                }
                let outcome =
                    if arrives { Some(self.deliver_start(task, lease.fence)) } else { None };
                if delivery == Delivery::Delayed {
                    self.delayed_starts.push((task, lease.fence));
                }
                let lost = || state::StartOutcome::Unknown("lost".to_owned());
                let outcome =
                    outcome.filter(|_| delivery == Delivery::Delivered).unwrap_or_else(lost);
                self.input(state::Input::StartFinished(task, outcome));
            }
            state::Output::Watch { task, .. } => {
                let status =
                    if delivery == Delivery::Delivered { self.status(task) } else { lost() };
                self.input(state::Input::Watched(task, status));
            }
            state::Output::Stop { task } => {
                if arrives {
                    match self.tasks.get_mut(&task) {
                        Some(running) => *running = false,
                        None => drop(self.tombstones.insert(task)),
                    }
                }
                let status =
                    if delivery == Delivery::Delivered { self.status(task) } else { lost() };
                self.input(state::Input::Stopped(task, status));
            }
            state::Output::Fetch { task, meta, .. } => {
                let outcome = if arrives {
                    state::FetchOutcome::Complete(meta)
                } else {
                    state::FetchOutcome::Lost("lost".to_owned())
                };
                self.input(state::Input::Fetched(task.attempt, outcome));
            }
            state::Output::Sweep { .. } => self.input(state::Input::Swept(arrives)),
            _ => {}
        }
    }

    fn announce(&mut self, leaving: bool) {
        let announcement = contract::Announcement { leaving, ..agents::announcement() };
        self.input(state::Input::Announced(announcement));
        let lease = self.state.grant_lease(time::Tick(self.now));
        self.fence = lease.fence;
        self.lease_end = self.lease_end.max(self.now + lease.lease_ms);
        assert!(lease.lease_ms == 0 || self.lease_end <= self.granted_until);
    }

    fn grant(&mut self, pick: u32) {
        if self.heartbeats.is_empty() || !self.connected {
            return;
        }
        let index = pick as usize % self.heartbeats.len();
        let (sequence, epoch, sent) = self.heartbeats[index];
        if pick.is_multiple_of(3) {
            self.heartbeats.remove(index);
        }
        self.granted_until = self.granted_until.max(sent + lease::DURATION.0);
        let duration = lease::DURATION.0;
        self.input(state::Input::Received(agent::ServerMessage::Lease {
            sequence,
            epoch,
            duration,
        }));
    }

    fn step(&mut self, (kind, pick): Step) {
        let attempt = common::AttemptKey { job: u64::from(pick % 2), number: 1 + pick / 2 % 3 };
        let epoch = self.epoch.saturating_sub(u64::from(pick % 11 == 10));
        let message = match kind % 24 {
            0..=2 => {
                self.advance(u64::from(pick % 400));
                return self.input(state::Input::Tick);
            }
            // The process is suspended: time passes, and the next input comes before any tick.
            3 => return self.advance(u64::from(pick % if pick % 10 == 0 { 8000 } else { 300 })),
            4..=6 => return self.announce(pick % 29 == 0),
            7..=9 => return self.grant(pick),
            10 if pick % 4 == 0 => {
                self.connected = false;
                return self.input(state::Input::Disconnected);
            }
            10 => {
                self.connected = true;
                return self.input(state::Input::Connected);
            }
            11 => {
                self.epoch += u64::from(self.epoch == 0 || pick % 13 == 0);
                agent::ServerMessage::Registered { worker: 1, epoch: self.epoch }
            }
            12 if pick % 17 == 0 => agent::ServerMessage::Fenced { epoch },
            12 | 13 => {
                let tasks = 1 + pick % 6;
                let prepare = agent::Prepare { epoch, ..agents::prepare(attempt, tasks) };
                agent::ServerMessage::Prepare(prepare)
            }
            14 | 15 => agent::ServerMessage::Start { attempt, epoch },
            16 if pick % 5 == 0 => {
                agent::ServerMessage::Stop { attempt, grace: u64::from(pick % 2) * 300 }
            }
            16 => agent::ServerMessage::EndStored { attempt },
            17 => {
                if let Some((task, fence)) = self.delayed_starts.pop() {
                    self.deliver_start(task, fence);
                }
                return;
            }
            18 => {
                let ended = self.tasks.iter().nth(pick as usize % self.tasks.len().max(1));
                if let Some((task, true)) = ended {
                    let task = *task;
                    self.tasks.insert(task, false);
                    let meta = common::AnswerMeta { length: 0, sha256: [0; 32] };
                    let end = state::TaskStatus::Ended(state::TaskEnd::Done(meta));
                    self.input(state::Input::Watched(task, end));
                }
                return;
            }
            _ => {
                if !self.orders.is_empty() {
                    let order = self.orders.remove(pick as usize % self.orders.len());
                    let deliveries = [
                        Delivery::Delivered,
                        Delivery::Delivered,
                        Delivery::ResponseLost,
                        Delivery::Lost,
                        Delivery::Delayed,
                    ];
                    self.carry_out(order, deliveries[pick as usize / 7 % deliveries.len()]);
                }
                return;
            }
        };
        if self.connected {
            self.input(state::Input::Received(message));
        }
    }
}

#[test]
fn agent_state_holds_its_invariants_in_any_order() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let seed = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, seed);
    let steps = proptest::collection::vec((0_u8..24, 0_u32..10_000), STEPS);
    let ran = std::cell::Cell::new(0);
    let result = runner.run(&steps.prop_map(Vec::from), |steps| {
        let mut model = Model::registered();
        steps.into_iter().for_each(|step| model.step(step));
        ran.set(ran.get() + model.ran.len());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    // The sequences must start enough tasks to exercise the invariants.
    assert!(ran.get() > CASES as usize / 4, "only {} tasks ran", ran.get());
}
