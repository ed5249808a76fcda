//! The agent's state against a model of a backend server and of control, in generated sequences of
//! messages, losses, doubles, delays, freezes and leader changes.

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

/// Sequences that are tried.
const CASES: u32 = 3000;

/// Steps of one sequence.
const STEPS: usize = 160;

/// One step: a kind and a number that picks its details.
type Step = (u8, u32);

/// What an order at the backend server meets.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Fine,
    /// Carried out, but its answer is lost.
    AnswerLost,
    /// Lost.
    Lost,
    /// Its answer is lost, and it is carried out later.
    Late,
}

struct Model {
    state: state::State,
    now: u64,
    connected: bool,
    epoch: u64,
    /// Heartbeats not answered yet: number, epoch and when sent.
    beats: Vec<(u64, u64, u64)>,
    /// The end of the longest lease granted, as control counts.
    held: u64,
    /// What the agent wants done.
    orders: Vec<state::Output>,
    /// Starts that are still on their way.
    late: Vec<(contract::TaskKey, u64)>,
    /// The backend server: tasks with whether they run, tasks that must not start, its lease.
    tasks: BTreeMap<contract::TaskKey, bool>,
    tombs: BTreeSet<contract::TaskKey>,
    lease: u64,
    fence: u64,
    /// What was ordered, what really ran, and what was said.
    begun: BTreeSet<contract::TaskKey>,
    ran: BTreeSet<contract::TaskKey>,
    never: BTreeSet<ids::AttemptKey>,
    over: BTreeSet<ids::AttemptKey>,
}

impl Model {
    fn new() -> Self {
        Self {
            state: state::State::new(1),
            now: 1000,
            connected: false,
            epoch: 0,
            beats: Vec::new(),
            held: 0,
            orders: Vec::new(),
            late: Vec::new(),
            tasks: BTreeMap::new(),
            tombs: BTreeSet::new(),
            lease: 0,
            fence: 0,
            begun: BTreeSet::new(),
            ran: BTreeSet::new(),
            never: BTreeSet::new(),
            over: BTreeSet::new(),
        }
    }

    /// A model of which the worker is registered and holds its lease.
    fn registered() -> Self {
        let mut model = Self::new();
        model.connected = true;
        model.feed(state::Input::Connected);
        model.announce(false);
        model.feed(state::Input::Swept(true));
        model.epoch = 1;
        model
            .feed(state::Input::Received(agent::ServerMessage::Registered { worker: 1, epoch: 1 }));
        model.grant(0);
        model.announce(false);
        model
    }

    fn pass(&mut self, millis: u64) {
        self.now += millis;
        if self.now >= self.lease {
            self.tasks.values_mut().for_each(|running| *running = false);
        }
    }

    fn feed(&mut self, input: state::Input) {
        let mut out = Vec::new();
        self.state.step(time::Tick(self.now), input, &mut out);
        for output in out {
            match output {
                state::Output::Send(up) => self.said(up),
                state::Output::Deliver { attempt, .. } => self.ended(attempt, false),
                state::Output::Start { task, lease, .. } => {
                    assert!(self.begun.insert(task), "{task} was ordered to start twice");
                    assert!(self.now < lease.until.0, "{task} was ordered without a lease");
                    assert!(lease.until.0 <= self.held, "{task} runs longer than control knows");
                    assert!(!self.over.contains(&task.attempt), "{task} was ordered after its end");
                    self.orders.push(output);
                }
                output => self.orders.push(output),
            }
        }
        assert!(self.state.occupied() <= agents::SLOTS);
    }

    fn said(&mut self, up: agent::ClientMessage) {
        match up {
            agent::ClientMessage::Heartbeat { sequence, epoch, .. } => {
                self.beats.push((sequence, epoch, self.now));
            }
            agent::ClientMessage::Started { attempt } => {
                let attempt = ids::AttemptKey::from(attempt);
                let ran = self.ran.iter().any(|task| task.attempt == attempt);
                assert!(ran, "started was said of {attempt}, which did not");
            }
            agent::ClientMessage::Ended { attempt, result } => {
                self.ended(attempt.into(), result == agent::TaskResult::NotStarted);
            }
            _ => {}
        }
    }

    fn ended(&mut self, attempt: ids::AttemptKey, never: bool) {
        let of = |task: &contract::TaskKey| task.attempt == attempt;
        let runs = self.tasks.iter().any(|(task, running)| *running && of(task));
        assert!(!runs, "the end of {attempt} was said while a task ran");
        if never {
            assert!(!self.ran.iter().any(of), "not-started was said of {attempt}, which ran");
            self.never.insert(attempt);
        }
        self.over.insert(attempt);
    }

    /// The backend server takes a start.
    fn arrive(&mut self, task: contract::TaskKey, fence: u64) -> state::StartOutcome {
        if self.tasks.contains_key(&task) {
            return state::StartOutcome::Accepted;
        }
        if self.tombs.contains(&task) || self.now >= self.lease || fence != self.fence {
            return state::StartOutcome::Refused("no".to_owned());
        }
        assert!(!self.never.contains(&task.attempt), "{task} ran after not-started was said");
        assert!(!self.over.contains(&task.attempt), "{task} ran after its end was said");
        self.tasks.insert(task, true);
        self.ran.insert(task);
        state::StartOutcome::Accepted
    }

    fn seen(&self, task: contract::TaskKey) -> state::TaskStatus {
        match self.tasks.get(&task) {
            Some(true) => state::TaskStatus::Running,
            Some(false) => state::TaskStatus::Ended(state::TaskEnd::Stopped),
            None => state::TaskStatus::Ended(state::TaskEnd::Gone("unknown".to_owned())),
        }
    }

    fn carry_out(&mut self, order: state::Output, fate: Fate) {
        let arrives = matches!(fate, Fate::Fine | Fate::AnswerLost);
        let lost = || state::TaskStatus::Unreachable("lost".to_owned());
        match order {
            state::Output::Start { task, lease, .. } => {
                // The shell looks at the lease again before it sends.
                if self.now >= lease.until.0 {
                    let begun = state::StartOutcome::Refused("too late".to_owned());
                    return self.feed(state::Input::StartFinished(task, begun));
                }
                let begun = if arrives { Some(self.arrive(task, lease.fence)) } else { None };
                if fate == Fate::Late {
                    self.late.push((task, lease.fence));
                }
                let lost = || state::StartOutcome::Unknown("lost".to_owned());
                let begun = begun.filter(|_| fate == Fate::Fine).unwrap_or_else(lost);
                self.feed(state::Input::StartFinished(task, begun));
            }
            state::Output::Watch { task, .. } => {
                let seen = if fate == Fate::Fine { self.seen(task) } else { lost() };
                self.feed(state::Input::Watched(task, seen));
            }
            state::Output::Stop { task } => {
                if arrives {
                    match self.tasks.get_mut(&task) {
                        Some(running) => *running = false,
                        None => drop(self.tombs.insert(task)),
                    }
                }
                let seen = if fate == Fate::Fine { self.seen(task) } else { lost() };
                self.feed(state::Input::Stopped(task, seen));
            }
            state::Output::Fetch { task, meta, .. } => {
                let fetched = if arrives {
                    state::FetchOutcome::Complete(meta)
                } else {
                    state::FetchOutcome::Lost("lost".to_owned())
                };
                self.feed(state::Input::Fetched(task.attempt, fetched));
            }
            state::Output::Sweep { .. } => self.feed(state::Input::Swept(arrives)),
            _ => {}
        }
    }

    fn announce(&mut self, leaving: bool) {
        let announcement = contract::Announcement { leaving, ..agents::announcement() };
        self.feed(state::Input::Announced(announcement));
        let lease = self.state.grant_lease(time::Tick(self.now));
        self.fence = lease.fence;
        self.lease = self.lease.max(self.now + lease.lease_ms);
        assert!(lease.lease_ms == 0 || self.lease <= self.held);
    }

    fn grant(&mut self, pick: u32) {
        if self.beats.is_empty() || !self.connected {
            return;
        }
        let index = pick as usize % self.beats.len();
        let (sequence, epoch, sent) = self.beats[index];
        if pick.is_multiple_of(3) {
            self.beats.remove(index);
        }
        self.held = self.held.max(sent + lease::DURATION.0);
        let length = lease::DURATION.0;
        self.feed(state::Input::Received(agent::ServerMessage::Lease {
            sequence,
            epoch,
            duration: length,
        }));
    }

    fn step(&mut self, (kind, pick): Step) {
        let attempt = common::AttemptKey { job: u64::from(pick % 2), number: 1 + pick / 2 % 3 };
        let epoch = self.epoch.saturating_sub(u64::from(pick % 11 == 10));
        let down = match kind % 24 {
            0..=2 => {
                self.pass(u64::from(pick % 400));
                return self.feed(state::Input::Tick);
            }
            // A freeze: time passes, and the next input comes before any tick.
            3 => return self.pass(u64::from(pick % if pick % 10 == 0 { 8000 } else { 300 })),
            4..=6 => return self.announce(pick % 29 == 0),
            7..=9 => return self.grant(pick),
            10 if pick % 4 == 0 => {
                self.connected = false;
                return self.feed(state::Input::Disconnected);
            }
            10 => {
                self.connected = true;
                return self.feed(state::Input::Connected);
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
                if let Some((task, fence)) = self.late.pop() {
                    self.arrive(task, fence);
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
                    self.feed(state::Input::Watched(task, end));
                }
                return;
            }
            _ => {
                if !self.orders.is_empty() {
                    let order = self.orders.remove(pick as usize % self.orders.len());
                    let fates = [Fate::Fine, Fate::Fine, Fate::AnswerLost, Fate::Lost, Fate::Late];
                    self.carry_out(order, fates[pick as usize / 7 % fates.len()]);
                }
                return;
            }
        };
        if self.connected {
            self.feed(state::Input::Received(down));
        }
    }
}

#[test]
fn agent_state_keeps_its_promises_in_any_order() {
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
    // The sequences must reach the matter they are to test.
    assert!(ran.get() > CASES as usize / 4, "only {} tasks ran", ran.get());
}
