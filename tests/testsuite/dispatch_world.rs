//! Successive leaders over one registry, with agents and workers under random faults.
//!
//! The registry, the leaders' decisions and the agents' leases are real. The log, the streams, the
//! agents' loops (`dispatch_agent`) and the workers (`dispatch_workers`) are simulated.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockcleat::core::dispatch;
use hemlockcleat::core::dispatch::health;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::ids;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::dispatch_agent;
use crate::dispatch_workers;
use crate::support::flow;

const HOSTS: usize = 4;
/// The length of a simulation step in milliseconds.
const STEP_MS: u64 = 25;
/// The lengths of the phase with faults and of the time until all jobs must have ended, in
/// milliseconds.
const FAULT_PHASE_MS: u64 = 45_000;
const SETTLE_LIMIT_MS: u64 = 150_000;

/// A safety rule that is omitted, to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Agent(dispatch_agent::Fault),
    /// A new leader takes earlier leases as expired five seconds too early.
    EarlyLeader,
    /// Entries of an earlier leader commit after the next leader has started.
    LateEntries,
    /// Workers' clocks run slower than allowed.
    SlowClocks,
    /// Ends are acknowledged before they are in the registry.
    EarlyAcknowledgement,
    /// Calls to an earlier incarnation reach the current one, as under an unchanged name.
    IgnoredIncarnation,
}

struct Session {
    host: u32,
    term: u64,
    up: VecDeque<(u64, dispatch_agent::Message)>,
    down: VecDeque<(u64, order::Order)>,
}

#[derive(Default)]
struct Host {
    agent: dispatch_agent::Agent,
    frozen_until: u64,
    cut_until: u64,
    next_dial: u64,
    next_announcement: u64,
}

pub struct World {
    fault: Fault,
    rng: ChaCha8Rng,
    now: u64,
    registry: registry::Registry,
    index: u64,
    /// Entries that are not committed, with the time of their commit.
    log: VecDeque<(u64, command::Command)>,
    leader: Option<dispatch::Dispatch>,
    /// The time at which the next leader starts.
    next_leader_at: u64,
    /// The term of the current leader.
    pub term: u64,
    /// The simulated workers.
    pub workers: dispatch_workers::Workers,
    delayed_calls: Vec<(u64, model::Incarnation, dispatch_workers::Call)>,
    hosts: Vec<Host>,
    sessions: Vec<Session>,
    /// The session of each host with the leader.
    runners: BTreeMap<u32, u64>,
    loss_percent: u64,
    jobs: u32,
}

impl World {
    /// Returns a world without jobs, with at most one omitted rule.
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut world = Self {
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1000,
            registry: registry::Registry::default(),
            index: 0,
            log: VecDeque::new(),
            leader: None,
            next_leader_at: 0,
            term: 0,
            workers: dispatch_workers::Workers::default(),
            delayed_calls: Vec::new(),
            hosts: Vec::new(),
            sessions: Vec::new(),
            runners: BTreeMap::new(),
            loss_percent: 0,
            jobs: 0,
        };
        world.workers.same_name = fault == Fault::IgnoredIncarnation;
        world.apply(command::Command::Configure(flow::directory(1)));
        let agent = if let Fault::Agent(fault) = fault { Some(fault) } else { None };
        for _ in 0..HOSTS {
            let slow = if fault == Fault::SlowClocks { 200 } else { 21 };
            let rate = 1000 - world.below(slow);
            world.workers.add(rate, world.now);
            let agent = dispatch_agent::Agent::new(agent);
            world.hosts.push(Host { agent, ..Host::default() });
        }
        world
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// Returns whether an event that is expected once in `millis` happens in this step.
    fn once_in(&mut self, millis: u64) -> bool {
        self.below(millis / STEP_MS) == 0
    }

    fn moment(&self) -> order::Timestamp {
        flow::moment(self.now)
    }

    /// Runs the simulation until all jobs have ended after the last fault. The first violation ends
    /// it.
    pub fn run(&mut self) -> Result<(), String> {
        let (calm_at, end) =
            (self.now + FAULT_PHASE_MS, self.now + FAULT_PHASE_MS + SETTLE_LIMIT_MS);
        while self.now < end {
            self.now += STEP_MS;
            self.workers.advance(self.now);
            if self.now < calm_at {
                self.inject_faults();
            } else {
                self.loss_percent = 0;
            }
            self.deliver_delayed_calls();
            self.commit();
            self.step_leader();
            (0..HOSTS).for_each(|host| self.step_host(host));
            if let Some(violation) = self.workers.violations.first() {
                return Err(violation.clone());
            }
            if self.now > calm_at && self.registry.active_jobs().next().is_none() {
                return Ok(());
            }
        }
        let left: Vec<_> = self.registry.active_jobs().map(|(_, job)| &job.submission.id).collect();
        Err(format!("never ended: {left:?}"))
    }

    fn inject_faults(&mut self) {
        if self.once_in(2500) {
            self.submit();
        }
        if self.once_in(15_000) && self.jobs > 0 {
            let id = format!("j{}", self.below(u64::from(self.jobs)));
            let queues = (0..3).map(|priority| flow::queue(priority).address());
            let commands: Vec<_> =
                queues.map(|queue| command::Command::Cancel(queue, id.clone())).collect();
            commands.into_iter().for_each(|command| self.propose(command));
        }
        if self.once_in(6000) {
            self.loss_percent = [0, 0, 10, 30, 60][self.below(5) as usize];
        }
        if self.once_in(7000) {
            self.stop_leader();
        }
        let host = self.below(HOSTS as u64) as usize;
        if self.once_in(5000) {
            self.hosts[host].frozen_until = self.now + self.rng.next_u64() % 14_000;
        }
        if self.once_in(4000) {
            self.hosts[host].cut_until = self.now + self.rng.next_u64() % 14_000;
        }
        if self.once_in(9000) {
            let fault = self.hosts[host].agent.fault;
            self.hosts[host].agent.closed();
            self.send_up(host);
            self.hosts[host].agent = dispatch_agent::Agent::new(fault);
            self.hosts[host].next_announcement = self.now + self.rng.next_u64() % 500;
        }
        if self.once_in(12_000) {
            self.workers.restart(host, self.now);
            self.hosts[host].next_announcement = self.now + self.rng.next_u64() % 1500;
        }
    }

    fn submit(&mut self) {
        let id = format!("j{}", self.jobs);
        self.jobs += 1;
        let gang = if self.below(3) == 0 { 2 + self.below(3) as u32 } else { 0 };
        let count = if gang > 0 { gang } else { 1 + self.below(5) as u32 };
        let accelerators = 1 + self.below(4) as u32;
        let first = model::Step { gang: gang > 0, ..flow::step(count, accelerators) };
        let after = model::Step { after: vec![0], ..flow::step(2, 1) };
        for (step, gang) in [(0, gang), (1, 0)] {
            let (millis, fails) = (200 + self.below(9000), self.below(6) == 0);
            let behaviour = dispatch_workers::Behaviour { gang, millis, fails };
            self.workers.behaviours.insert((id.clone(), step), behaviour);
        }
        let queue = flow::queue(self.below(3) as u32);
        self.propose(command::Command::Submit(command::Submission {
            queue: queue.address(),
            id,
            account: "couriers".to_owned(),
            pool: queue.pool,
            priority: queue.priority,
            attempts: queue.attempts,
            workflow: model::Workflow {
                spec: "spec".to_owned(),
                steps: vec![first, after],
                schedule: None,
            },
        }));
    }

    /// Appends an entry if there is a leader; some entries are appended twice.
    fn propose(&mut self, command: command::Command) {
        if self.leader.is_none() {
            return;
        }
        let delay = if self.below(50) == 0 { self.below(1500) } else { self.below(60) };
        let at = self.log.back().map_or(0, |(at, _)| *at).max(self.now + delay);
        if self.below(20) == 0 {
            self.log.push_back((at, command.clone()));
        }
        self.log.push_back((at, command));
    }

    fn apply(&mut self, command: command::Command) {
        self.index += 1;
        let (index, mut events) = (ids::LogIndex(self.index), Vec::new());
        let now = self.moment();
        self.registry.apply(index, now.wall, command, &mut events);
        if let Some(leader) = &mut self.leader {
            events.iter().for_each(|event| leader.event(&self.registry, event, now));
        }
    }

    fn commit(&mut self) {
        while self.leader.is_some() && self.log.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, command)) = self.log.pop_front() else { break };
            self.apply(command);
            self.carry_out();
        }
    }

    /// Stops the leader; its sent messages still arrive, and some of its proposals are lost.
    fn stop_leader(&mut self) {
        if self.leader.take().is_none() {
            return;
        }
        let retained = self.below(self.log.len() as u64 + 1) as usize;
        self.log.truncate(retained);
        let max_delay = if self.below(6) == 0 { 9000 } else { 2000 };
        self.next_leader_at = self.now + 20 + self.below(max_delay);
        self.runners.clear();
    }

    fn start_leader(&mut self) {
        if self.fault != Fault::LateEntries {
            while let Some((_, command)) = self.log.pop_front() {
                self.apply(command);
            }
        }
        for (at, _) in &mut self.log {
            *at = self.now + 3000;
        }
        self.term += 1;
        let early = if self.fault == Fault::EarlyLeader { 5000 } else { 0 };
        let now = flow::moment(self.now.saturating_sub(early));
        let health = health::Health::default();
        self.leader =
            Some(dispatch::Dispatch::new(&self.registry, health, dispatch::DEFAULT_LEASE, now));
        self.carry_out();
    }

    fn step_leader(&mut self) {
        if self.leader.is_none() {
            if self.next_leader_at <= self.now {
                self.start_leader();
            }
            return;
        }
        for number in 0..self.sessions.len() {
            let host = self.sessions[number].host;
            while self.runners.get(&host) == Some(&(number as u64))
                && self.sessions[number].up.front().is_some_and(|(at, _)| *at <= self.now)
            {
                let Some((_, message)) = self.sessions[number].up.pop_front() else { break };
                self.receive_message(host, message);
            }
        }
        if self.now.is_multiple_of(100) {
            let now = self.moment();
            if let Some(leader) = &mut self.leader {
                leader.tick(&self.registry, now);
            }
            self.carry_out();
        }
    }

    fn receive_message(&mut self, host: u32, message: dispatch_agent::Message) {
        let now = self.moment();
        let Some(leader) = &mut self.leader else { return };
        match message {
            dispatch_agent::Message::Report(report) => {
                leader.report(&self.registry, host, report, now)
            }
            dispatch_agent::Message::Closed(incarnation, task, run) => {
                leader.closed(&self.registry, host, incarnation, &task, run, now);
            }
            dispatch_agent::Message::Disconnected => {
                self.runners.remove(&host);
                leader.disconnected(host);
            }
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let effects = self.leader.as_mut().map(dispatch::Dispatch::take_effects);
        for effect in effects.into_iter().flatten() {
            match effect {
                order::Effect::Propose(command) => self.propose(command),
                order::Effect::Order(host, order) => {
                    let Some(number) = self.runners.get(&host) else { continue };
                    let number = *number as usize;
                    let delay = if self.below(30) == 0 { self.below(3000) } else { self.below(30) };
                    let down = &mut self.sessions[number].down;
                    let last = down.back().map_or(0, |(at, _)| *at);
                    down.push_back((last.max(self.now + delay), order));
                }
                _ => {}
            }
        }
    }

    fn deliver_delayed_calls(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.delayed_calls.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, incarnation, call) in due {
            self.workers.call(incarnation, &call, now);
        }
    }

    fn step_host(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].frozen_until > now {
            return;
        }
        if self.hosts[host].next_announcement <= now {
            self.hosts[host].next_announcement = now + 500;
            let incarnation = self.workers.incarnation(host);
            self.hosts[host].agent.announce(incarnation, now);
        }
        let cut = self.hosts[host].cut_until > now;
        if !cut {
            self.connect(host);
        }
        let before = self.below(2) == 0;
        if before && !cut {
            self.receive(host);
        }
        self.hosts[host].agent.step(dispatch_agent::Calls {
            workers: &mut self.workers,
            delayed: &mut self.delayed_calls,
            rng: &mut self.rng,
            loss_percent: self.loss_percent,
            now,
        });
        if !before && !cut {
            self.receive(host);
        }
        self.send_up(host);
    }

    fn connect(&mut self, host: usize) {
        if self.hosts[host].agent.session.is_some() || self.leader.is_none() {
            self.hosts[host].next_dial = self.now + 40 + self.rng.next_u64() % 300;
            return;
        }
        if self.hosts[host].next_dial > self.now {
            return;
        }
        let number = self.sessions.len() as u64;
        let (up, down) = (VecDeque::new(), VecDeque::new());
        self.sessions.push(Session { host: host as u32, term: self.term, up, down });
        self.runners.insert(host as u32, number);
        self.hosts[host].agent.opened(number, self.term);
        let now = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.connected(host as u32, now);
        }
        self.carry_out();
    }

    fn receive(&mut self, host: usize) {
        let Some(number) = self.hosts[host].agent.session else { return };
        let session = &mut self.sessions[number as usize];
        while session.down.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, order)) = session.down.pop_front() else { break };
            if let (Fault::EarlyAcknowledgement, order::Order::Grant { .. }) = (self.fault, &order)
            {
                let acknowledge = order::Order::Acknowledge {
                    incarnation: self.workers.incarnation(host),
                    number: u64::MAX,
                };
                self.hosts[host].agent.order(acknowledge, self.now);
            }
            self.hosts[host].agent.order(order, self.now);
        }
        let has_leader = session.term == self.term && self.leader.is_some();
        if !has_leader && session.down.is_empty() && self.rng.next_u64().is_multiple_of(20) {
            self.hosts[host].agent.closed();
        }
    }

    /// Sends an agent's messages on its last stream; while the host is cut off they are delayed.
    fn send_up(&mut self, host: usize) {
        let messages = self.hosts[host].agent.take_messages();
        let number = self.sessions.iter().rposition(|session| session.host == host as u32);
        let Some(number) = number else { return };
        for message in messages {
            let delay = if self.below(30) == 0 { self.below(2000) } else { self.below(30) };
            let at = (self.now + delay).max(self.hosts[host].cut_until);
            let up = &mut self.sessions[number].up;
            let last = up.back().map_or(0, |(at, _)| *at);
            up.push_back((last.max(at), message));
        }
    }
}
