//! Leaders one after another over one registry, with agents and workers under random faults.
//!
//! The registry, the leaders' decisions and the agents' leases are the real ones. Fakes: the log, the
//! streams, the agents' loops (`dispatch_agent`) and the workers (`dispatch_floor`).

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
use crate::dispatch_floor;
use crate::support::flow;

const HOSTS: usize = 4;
/// Milliseconds of a step.
const STEP: u64 = 25;
/// How long things go wrong, and how long they may take to settle, in milliseconds.
const TROUBLE: u64 = 45_000;
const CALM: u64 = 150_000;

/// A rule that is left out, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Agent(dispatch_agent::Fault),
    /// A new leader takes earlier leases as over five seconds too early.
    EarlyLead,
    /// Entries of an earlier leader commit after the next has begun.
    LateEntries,
    /// Workers' clocks run slower than they may.
    SlowClocks,
    /// Ends are taken note of before they are in the registry.
    EarlySeen,
    /// Calls to an earlier incarnation reach the present one, as where it goes by the same name.
    AnyLife,
}

struct Session {
    host: u32,
    term: u64,
    up: VecDeque<(u64, dispatch_agent::Up)>,
    down: VecDeque<(u64, order::Order)>,
}

#[derive(Default)]
struct Host {
    agent: dispatch_agent::Agent,
    frozen: u64,
    cut: u64,
    dials: u64,
    beats: u64,
}

pub struct World {
    fault: Fault,
    rng: ChaCha8Rng,
    now: u64,
    registry: registry::Registry,
    index: u64,
    /// Entries that are not committed, and when they are.
    log: VecDeque<(u64, command::Command)>,
    lead: Option<dispatch::Dispatch>,
    /// When the next leader begins.
    begins: u64,
    /// The term of the present leader.
    pub term: u64,
    /// The workers.
    pub floor: dispatch_floor::Floor,
    late: Vec<(u64, model::Incarnation, dispatch_floor::Call)>,
    hosts: Vec<Host>,
    sessions: Vec<Session>,
    /// The session of each host at the leader.
    runners: BTreeMap<u32, u64>,
    rough: u64,
    jobs: u32,
}

impl World {
    /// A world without jobs, with a rule left out or none.
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut world = Self {
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1000,
            registry: registry::Registry::default(),
            index: 0,
            log: VecDeque::new(),
            lead: None,
            begins: 0,
            term: 0,
            floor: dispatch_floor::Floor::default(),
            late: Vec::new(),
            hosts: Vec::new(),
            sessions: Vec::new(),
            runners: BTreeMap::new(),
            rough: 0,
            jobs: 0,
        };
        world.floor.same_name = fault == Fault::AnyLife;
        world.apply(command::Command::Configure(flow::directory(1)));
        let agent = if let Fault::Agent(fault) = fault { Some(fault) } else { None };
        for _ in 0..HOSTS {
            let slow = if fault == Fault::SlowClocks { 200 } else { 21 };
            let rate = 1000 - world.below(slow);
            world.floor.add(rate, world.now);
            let agent = dispatch_agent::Agent::new(agent);
            world.hosts.push(Host { agent, ..Host::default() });
        }
        world
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// Whether something happens in this step that does once in so many milliseconds.
    fn once_in(&mut self, millis: u64) -> bool {
        self.below(millis / STEP) == 0
    }

    fn moment(&self) -> order::Timestamp {
        flow::moment(self.now)
    }

    /// Plays until all jobs have ended after the last fault. The first broken promise ends it.
    pub fn play(&mut self) -> Result<(), String> {
        let (trouble, end) = (self.now + TROUBLE, self.now + TROUBLE + CALM);
        while self.now < end {
            self.now += STEP;
            self.floor.advance(self.now);
            if self.now < trouble {
                self.disturb();
            } else {
                self.rough = 0;
            }
            self.carry_out_late();
            self.commit();
            self.lead();
            (0..HOSTS).for_each(|host| self.host(host));
            if let Some(broken) = self.floor.broken.first() {
                return Err(broken.clone());
            }
            if self.now > trouble && self.registry.active_jobs().next().is_none() {
                return Ok(());
            }
        }
        let left: Vec<_> = self.registry.active_jobs().map(|(_, job)| &job.submission.id).collect();
        Err(format!("never ended: {left:?}"))
    }

    fn disturb(&mut self) {
        if self.once_in(2500) {
            self.submit();
        }
        if self.once_in(15_000) && self.jobs > 0 {
            let id = format!("j{}", self.below(u64::from(self.jobs)));
            let places = (0..3).map(|priority| flow::queue(priority).address());
            let commands: Vec<_> =
                places.map(|place| command::Command::Cancel(place, id.clone())).collect();
            commands.into_iter().for_each(|command| self.propose(command));
        }
        if self.once_in(6000) {
            self.rough = [0, 0, 10, 30, 60][self.below(5) as usize];
        }
        if self.once_in(7000) {
            self.depose();
        }
        let host = self.below(HOSTS as u64) as usize;
        if self.once_in(5000) {
            self.hosts[host].frozen = self.now + self.rng.next_u64() % 14_000;
        }
        if self.once_in(4000) {
            self.hosts[host].cut = self.now + self.rng.next_u64() % 14_000;
        }
        if self.once_in(9000) {
            let fault = self.hosts[host].agent.fault;
            self.hosts[host].agent.closed();
            self.send_up(host);
            self.hosts[host].agent = dispatch_agent::Agent::new(fault);
            self.hosts[host].beats = self.now + self.rng.next_u64() % 500;
        }
        if self.once_in(12_000) {
            self.floor.rebirth(host, self.now);
            self.hosts[host].beats = self.now + self.rng.next_u64() % 1500;
        }
    }

    fn submit(&mut self) {
        let id = format!("j{}", self.jobs);
        self.jobs += 1;
        let gang = if self.below(3) == 0 { 2 + self.below(3) as u32 } else { 0 };
        let count = if gang > 0 { gang } else { 1 + self.below(5) as u32 };
        let room = 1 + self.below(4) as u32;
        let first = model::Step { gang: gang > 0, ..flow::step(count, room) };
        let after = model::Step { after: vec![0], ..flow::step(2, 1) };
        for (step, gang) in [(0, gang), (1, 0)] {
            let (millis, fails) = (200 + self.below(9000), self.below(6) == 0);
            let work = dispatch_floor::Work { gang, millis, fails };
            self.floor.works.insert((id.clone(), step), work);
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

    /// Appends an entry, if there is a leader; now and then it is there twice.
    fn propose(&mut self, command: command::Command) {
        if self.lead.is_none() {
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
        if let Some(lead) = &mut self.lead {
            events.iter().for_each(|event| lead.event(&self.registry, event, now));
        }
    }

    fn commit(&mut self) {
        while self.lead.is_some() && self.log.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, command)) = self.log.pop_front() else { break };
            self.apply(command);
            self.carry_out();
        }
    }

    /// The leader is gone; what it has sent still arrives, some of what it has proposed is lost.
    fn depose(&mut self) {
        if self.lead.take().is_none() {
            return;
        }
        let kept = self.below(self.log.len() as u64 + 1) as usize;
        self.log.truncate(kept);
        let longest = if self.below(6) == 0 { 9000 } else { 2000 };
        self.begins = self.now + 20 + self.below(longest);
        self.runners.clear();
    }

    fn begin(&mut self) {
        if self.fault != Fault::LateEntries {
            while let Some((_, command)) = self.log.pop_front() {
                self.apply(command);
            }
        }
        for (at, _) in &mut self.log {
            *at = self.now + 3000;
        }
        self.term += 1;
        let early = if self.fault == Fault::EarlyLead { 5000 } else { 0 };
        let now = flow::moment(self.now.saturating_sub(early));
        let health = health::Health::default();
        self.lead =
            Some(dispatch::Dispatch::new(&self.registry, health, dispatch::DEFAULT_LEASE, now));
        self.carry_out();
    }

    fn lead(&mut self) {
        if self.lead.is_none() {
            if self.begins <= self.now {
                self.begin();
            }
            return;
        }
        for number in 0..self.sessions.len() {
            let host = self.sessions[number].host;
            while self.runners.get(&host) == Some(&(number as u64))
                && self.sessions[number].up.front().is_some_and(|(at, _)| *at <= self.now)
            {
                let Some((_, message)) = self.sessions[number].up.pop_front() else { break };
                self.take(host, message);
            }
        }
        if self.now.is_multiple_of(100) {
            let now = self.moment();
            if let Some(lead) = &mut self.lead {
                lead.tick(&self.registry, now);
            }
            self.carry_out();
        }
    }

    fn take(&mut self, host: u32, message: dispatch_agent::Up) {
        let now = self.moment();
        let Some(lead) = &mut self.lead else { return };
        match message {
            dispatch_agent::Up::Report(report) => lead.report(&self.registry, host, report, now),
            dispatch_agent::Up::Closed(incarnation, task, run) => {
                lead.closed(&self.registry, host, incarnation, &task, run, now);
            }
            dispatch_agent::Up::Left => {
                self.runners.remove(&host);
                lead.disconnected(host);
            }
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let effects = self.lead.as_mut().map(dispatch::Dispatch::take_effects);
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

    fn carry_out_late(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, incarnation, call) in due {
            self.floor.call(incarnation, &call, now);
        }
    }

    fn host(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].frozen > now {
            return;
        }
        if self.hosts[host].beats <= now {
            self.hosts[host].beats = now + 500;
            let incarnation = self.floor.incarnation(host);
            self.hosts[host].agent.beat(incarnation, now);
        }
        let cut = self.hosts[host].cut > now;
        if !cut {
            self.connect(host);
        }
        let before = self.below(2) == 0;
        if before && !cut {
            self.receive(host);
        }
        self.hosts[host].agent.step(dispatch_agent::Calls {
            floor: &mut self.floor,
            late: &mut self.late,
            rng: &mut self.rng,
            rough: self.rough,
            now,
        });
        if !before && !cut {
            self.receive(host);
        }
        self.send_up(host);
    }

    fn connect(&mut self, host: usize) {
        if self.hosts[host].agent.session.is_some() || self.lead.is_none() {
            self.hosts[host].dials = self.now + 40 + self.rng.next_u64() % 300;
            return;
        }
        if self.hosts[host].dials > self.now {
            return;
        }
        let number = self.sessions.len() as u64;
        let (up, down) = (VecDeque::new(), VecDeque::new());
        self.sessions.push(Session { host: host as u32, term: self.term, up, down });
        self.runners.insert(host as u32, number);
        self.hosts[host].agent.opened(number, self.term);
        let now = self.moment();
        if let Some(lead) = &mut self.lead {
            lead.connected(host as u32, now);
        }
        self.carry_out();
    }

    fn receive(&mut self, host: usize) {
        let Some(number) = self.hosts[host].agent.session else { return };
        let session = &mut self.sessions[number as usize];
        while session.down.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, order)) = session.down.pop_front() else { break };
            if let (Fault::EarlySeen, order::Order::Grant { .. }) = (self.fault, &order) {
                let seen = order::Order::Acknowledge {
                    incarnation: self.floor.incarnation(host),
                    number: u64::MAX,
                };
                self.hosts[host].agent.order(seen, self.now);
            }
            self.hosts[host].agent.order(order, self.now);
        }
        let led = session.term == self.term && self.lead.is_some();
        if !led && session.down.is_empty() && self.rng.next_u64().is_multiple_of(20) {
            self.hosts[host].agent.closed();
        }
    }

    /// Puts what an agent has said on its last stream; while that is cut it arrives later.
    fn send_up(&mut self, host: usize) {
        let messages = self.hosts[host].agent.take();
        let number = self.sessions.iter().rposition(|session| session.host == host as u32);
        let Some(number) = number else { return };
        for message in messages {
            let delay = if self.below(30) == 0 { self.below(2000) } else { self.below(30) };
            let at = (self.now + delay).max(self.hosts[host].cut);
            let up = &mut self.sessions[number].up;
            let last = up.back().map_or(0, |(at, _)| *at);
            up.push_back((last.max(at), message));
        }
    }
}
