//! The pure cores of control and of the agents, joined by queues that a test can disturb.
//!
//! The ledger and the leader's state are the real ones, as are the agents' states. Fakes: the log
//! (commits in order after a delay; a change of leader loses a tail), the streams (ordered; a cut
//! loses what is under way), and the backend servers (run tasks, stop them when their lease ends).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use hemlockcleat::agent::contract;
use hemlockcleat::agent::state;
use hemlockcleat::control::agent_messages;
use hemlockcleat::control::leader;
use hemlockcleat::core::gang::step;
use hemlockcleat::core::ids;
use hemlockcleat::core::lease;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::ledger::outcome;
use hemlockcleat::core::time;
use hemlockcleat::net::stream;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;
use sha2::Digest as _;

use crate::support::ledger;

/// The step of the world's time.
pub const STEP: time::Millis = time::Millis(25);

/// How long an entry of the log takes to commit.
const COMMIT: time::Millis = time::Millis(5);

/// How long a message takes.
const TRIP: time::Millis = time::Millis(3);

/// A task at a backend server.
struct Task {
    ends: time::Tick,
    stopped: bool,
}

/// A backend server.
#[derive(Default)]
struct Backend {
    tasks: BTreeMap<contract::TaskKey, Task>,
    tombs: BTreeSet<contract::TaskKey>,
    lease_until: time::Tick,
    fence: u64,
    dead_until: time::Tick,
}

/// A stream between an agent and the leader.
struct Conn {
    number: u64,
    sender: stream::Sender<agent::ServerMessage>,
    receiver: stream::Receiver<agent::ServerMessage>,
    session: Option<(ids::WorkerKey, u64)>,
    up: VecDeque<(time::Tick, agent::ClientMessage)>,
    down: VecDeque<(time::Tick, agent::ServerMessage)>,
    /// An entry of the log that has to commit before this stream is read on.
    blocked: bool,
}

/// A worker: its agent and its backend server.
pub struct Site {
    spec: job::WorkerSpec,
    state: state::State,
    incarnation: u64,
    backend: Backend,
    conn: Option<Conn>,
    work: Vec<(time::Tick, state::Input)>,
    announce_at: time::Tick,
    frozen_until: time::Tick,
    cut_until: time::Tick,
    leaving: bool,
}

/// Where an outcome of the log goes.
enum Proposer {
    Leader,
    Site { site: usize, conn: u64 },
    Caller,
}

/// The world.
pub struct World {
    /// The ledger.
    pub harness: ledger::Harness,
    /// The workers.
    pub sites: Vec<Site>,
    /// Every start at a backend server, in order.
    pub starts: Vec<contract::TaskKey>,
    /// What was seen to be wrong.
    pub faults: Vec<String>,
    now: time::Tick,
    lead: Option<leader::LeaderState>,
    lead_from: time::Tick,
    log: VecDeque<(time::Tick, command::Command, Proposer)>,
    term: u64,
    conns: u64,
}

impl World {
    /// A world with workers `w1`.. in racks of three, and a leader.
    pub fn new(workers: usize) -> Self {
        let mut harness = ledger::Harness::empty();
        let changes = vec![
            command::Change::Service(ledger::service()),
            command::Change::Account(ledger::account("a")),
        ];
        harness.apply(command::Command::Ticket(ledger::ticket(1, 0, changes)));
        let site = |index: usize| Site {
            spec: ledger::worker(&format!("w{}", index + 1), &format!("r{}", index / 3)),
            state: state::State::new(1000),
            incarnation: 1,
            backend: Backend::default(),
            conn: None,
            work: Vec::new(),
            announce_at: time::Tick(0),
            frozen_until: time::Tick(0),
            cut_until: time::Tick(0),
            leaving: false,
        };
        Self {
            harness,
            sites: (0..workers).map(site).collect(),
            starts: Vec::new(),
            faults: Vec::new(),
            now: time::Tick(1_000_000),
            lead: None,
            lead_from: time::Tick(0),
            log: VecDeque::new(),
            term: 0,
            conns: 0,
        }
    }

    /// Lets this much time pass.
    pub fn run(&mut self, span: time::Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.step();
        }
    }

    /// Submits a request; it is in the log when this returns.
    pub fn submit(&mut self, spec: job::Spec) {
        self.propose(command::Command::Submit(spec), Proposer::Caller);
    }

    /// Cancels a request.
    pub fn cancel(&mut self, key: &str) {
        let command = command::Command::Cancel { account: "a".to_owned(), key: key.to_owned() };
        self.propose(command, Proposer::Caller);
    }

    /// Loses the leader, with all but `kept` of the entries that are not committed.
    pub fn lose_leader(&mut self, kept: usize, gap: time::Millis) {
        self.lead = None;
        self.lead_from = self.now + gap;
        for site in &mut self.sites {
            site.disconnect(self.now);
        }
        self.log.truncate(kept);
    }

    /// Cuts a worker's agent off from control.
    pub fn cut(&mut self, site: usize, span: time::Millis) {
        self.sites[site].cut_until = self.now + span;
        self.drop_conn(site);
    }

    /// Freezes a worker's agent; its backend server goes on.
    pub fn freeze(&mut self, site: usize, span: time::Millis) {
        self.sites[site].frozen_until = self.now + span;
    }

    /// Kills and restarts a worker's agent; its backend server goes on.
    pub fn restart_agent(&mut self, site: usize) {
        self.drop_conn(site);
        let site = &mut self.sites[site];
        site.incarnation += 1;
        site.state = state::State::new(1000 * site.incarnation);
        site.work.clear();
    }

    /// Kills a worker's backend server with all its tasks; it is back after the span.
    pub fn kill_backend(&mut self, site: usize, span: time::Millis) {
        let backend = &mut self.sites[site].backend;
        *backend = Backend { dead_until: self.now + span, ..Backend::default() };
    }

    /// A backend server says that it leaves, or stays after all.
    pub fn leave(&mut self, site: usize, leaving: bool) {
        self.sites[site].leaving = leaving;
    }

    /// Whether nothing is left to do.
    pub fn quiet(&self) -> bool {
        let jobs = &self.harness.ledger.table.jobs;
        self.log.is_empty()
            && jobs.values().all(|job| job.phase == job::Phase::Ended && !job.holds_allocation())
    }

    /// The answer that a backend server gives for a job.
    pub fn expected(job: ids::JobKey) -> Vec<u8> {
        format!("answer of job {job} ").into_bytes().repeat(6000)
    }

    fn moment(&self) -> leader::Timestamp {
        let wall = ledger::START + time::Millis(self.now.0 - 1_000_000);
        leader::Timestamp { tick: self.now, wall: wall.max(self.harness.ledger.now) }
    }

    fn propose(&mut self, command: command::Command, proposer: Proposer) {
        self.log.push_back((self.now + COMMIT, command, proposer));
    }

    fn step(&mut self) {
        self.commit();
        self.lead_step();
        for index in 0..self.sites.len() {
            self.connect(index);
            self.read_up(index);
            self.agent_step(index);
            self.backend_step(index);
        }
        self.check();
    }

    fn commit(&mut self) {
        while self.log.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, command, proposer)) = self.log.pop_front() else { return };
            self.harness.at = self.moment().wall;
            let release = match &command {
                command::Command::Release { attempt, .. } => Some(*attempt),
                _ => None,
            };
            let outcome = self.harness.apply(command);
            let now = self.moment();
            let events = std::mem::take(&mut self.harness.events);
            if let Some(lead) = &mut self.lead {
                for event in &events {
                    lead.event(&self.harness.ledger, event, now);
                }
                if let (Some(attempt), outcome::Outcome::Stale) = (release, &outcome) {
                    lead.release_rejected(&self.harness.ledger, attempt, now);
                }
            }
            if let Proposer::Site { site, conn } = proposer {
                self.site_outcome(site, conn, &outcome);
            }
        }
    }

    fn site_outcome(&mut self, site: usize, conn: u64, outcome: &outcome::Outcome) {
        let Some(held) = &mut self.sites[site].conn else { return };
        if held.number != conn {
            return;
        }
        held.blocked = false;
        if let outcome::Outcome::Worker(key, epoch) = outcome {
            self.register(site, *key, *epoch);
        }
    }

    fn register(&mut self, site: usize, key: ids::WorkerKey, epoch: ids::Epoch) {
        let now = self.moment();
        let Some(lead) = &mut self.lead else { return };
        let Some(conn) = &mut self.sites[site].conn else { return };
        let session = lead.open_session(&self.harness.ledger, key, epoch, conn.sender.clone(), now);
        conn.session = Some((key, session));
        conn.sender.try_send(&agent::ServerMessage::Registered { worker: key.0, epoch: epoch.0 });
    }

    fn lead_step(&mut self) {
        let now = self.moment();
        if self.lead.is_none() && self.now >= self.lead_from {
            self.term += 1;
            // What was kept of the old leader's log commits before the new one leads.
            if self.log.is_empty() {
                let index = ids::LogIndex(self.now.0 - 1_000_000);
                let term = ids::Term(self.term);
                self.lead = Some(leader::LeaderState::new(term, &self.harness.ledger, index, now));
            }
        }
        let Some(lead) = &mut self.lead else { return };
        lead.tick(&self.harness.ledger, now);
        for effect in lead.take_effects() {
            match effect {
                leader::Effect::Propose(command) => self.propose(command, Proposer::Leader),
                leader::Effect::Send(sender, message) => {
                    sender.try_send(&message);
                }
            }
        }
    }

    fn connect(&mut self, index: usize) {
        let site = &mut self.sites[index];
        let frozen = self.now < site.frozen_until;
        if site.conn.is_some() || frozen || self.lead.is_none() || self.now < site.cut_until {
            return;
        }
        self.conns += 1;
        let (sender, receiver) = stream::pair();
        site.conn = Some(Conn {
            number: self.conns,
            sender,
            receiver,
            session: None,
            up: VecDeque::new(),
            down: VecDeque::new(),
            blocked: false,
        });
        site.input(self.now, state::Input::Connected, &mut self.starts);
    }

    fn drop_conn(&mut self, index: usize) {
        let now = self.moment();
        let session = self.sites[index].conn.as_ref().and_then(|conn| conn.session);
        self.sites[index].disconnect(self.now);
        if let (Some(lead), Some((key, session))) = (&mut self.lead, session) {
            lead.close_session(&self.harness.ledger, key, session, now);
        }
    }

    /// What the leader reads off an agent's stream.
    fn read_up(&mut self, index: usize) {
        loop {
            let Some(conn) = &mut self.sites[index].conn else { return };
            let due = conn.up.front().is_some_and(|(at, _)| *at <= self.now);
            if !due || conn.blocked || self.lead.is_none() {
                return;
            }
            let Some((_, message)) = conn.up.pop_front() else { return };
            self.take_up(index, message);
        }
    }

    fn take_up(&mut self, index: usize, message: agent::ClientMessage) {
        let now = self.moment();
        let Some(conn) = &mut self.sites[index].conn else { return };
        let (number, session) = (conn.number, conn.session);
        let incarnation = self.sites[index].incarnation;
        let mut member = |input: step::Input| {
            if let Some(lead) = &mut self.lead {
                lead.gang_input(&self.harness.ledger, input, now);
            }
        };
        let proposer = Proposer::Site { site: index, conn: number };
        match (message, session) {
            (agent::ClientMessage::Announce { spec, leaving }, _) => {
                let spec = job::WorkerSpec::try_from(spec).expect("a worker");
                if let Some(conn) = &mut self.sites[index].conn {
                    conn.blocked = true;
                }
                self.propose(command::Command::Announce { spec, incarnation, leaving }, proposer);
            }
            (agent::ClientMessage::Chunk { attempt, offset, bytes }, _) => {
                if let Some(conn) = &mut self.sites[index].conn {
                    conn.blocked = true;
                }
                let attempt = attempt.into();
                self.propose(command::Command::Chunk { attempt, offset, bytes }, proposer);
            }
            (
                agent::ClientMessage::Heartbeat { sequence, epoch, revision, attempts, .. },
                Some((worker, _)),
            ) => {
                for attempt in attempts {
                    member(step::Input::Reported { attempt: attempt.into(), worker });
                }
                self.heartbeat(index, worker, sequence, epoch, revision);
            }
            (agent::ClientMessage::Prepared { attempt, ok, .. }, Some((worker, _))) => {
                member(step::Input::Prepared { attempt: attempt.into(), worker, ok });
            }
            (agent::ClientMessage::Started { attempt }, Some((worker, _))) => {
                member(step::Input::Started { attempt: attempt.into(), worker });
            }
            (agent::ClientMessage::Ended { attempt, result }, Some((worker, _))) => {
                let result = agent_messages::member_result(result);
                member(step::Input::Ended { attempt: attempt.into(), worker, result });
            }
            _ => {}
        }
    }

    fn heartbeat(
        &mut self,
        index: usize,
        worker: ids::WorkerKey,
        sequence: u64,
        epoch: u64,
        revision: u64,
    ) {
        let now = self.moment();
        let Some(lead) = &mut self.lead else { return };
        let (held, revision) = (ids::Epoch(epoch), ids::Revision(revision));
        let message = match lead.heartbeat(worker, held, revision, now) {
            lease::Reply::Grant { epoch, duration: length } => {
                agent::ServerMessage::Lease { sequence, epoch: epoch.0, duration: length.0 }
            }
            lease::Reply::Fenced => agent::ServerMessage::Fenced { epoch },
        };
        if let Some(conn) = &self.sites[index].conn {
            conn.sender.try_send(&message);
        }
    }

    fn agent_step(&mut self, index: usize) {
        let (now, starts) = (self.now, &mut self.starts);
        let site = &mut self.sites[index];
        if let Some(conn) = &mut site.conn {
            while let Some(message) = conn.receiver.try_receive() {
                conn.down.push_back((now + TRIP, message));
            }
        }
        if now < site.frozen_until {
            return;
        }
        while let Some(message) = site.next_down(now) {
            site.input(now, state::Input::Received(message), starts);
        }
        for input in site.due_work(now) {
            site.input(now, input, starts);
        }
        if now >= site.announce_at && now >= site.backend.dead_until {
            site.announce_at = now + state::ANNOUNCE_INTERVAL;
            let announcement = site.announcement();
            site.input(now, state::Input::Announced(announcement), starts);
            let lent = site.state.grant_lease(now);
            site.backend.fence = lent.fence;
            if lent.lease_ms > 0 {
                site.backend.lease_until = now + time::Millis(lent.lease_ms);
            }
        }
        site.input(now, state::Input::Tick, starts);
    }

    fn backend_step(&mut self, index: usize) {
        let now = self.now;
        let backend = &mut self.sites[index].backend;
        let over = now >= backend.lease_until;
        for task in backend.tasks.values_mut().filter(|task| over && task.ends > now) {
            task.stopped = true;
        }
    }

    /// What must hold at every moment.
    fn check(&mut self) {
        let mut running: BTreeMap<ids::JobKey, BTreeSet<u32>> = BTreeMap::new();
        for site in &self.sites {
            let mut slots = 0;
            for (key, _) in site.running(self.now) {
                running.entry(key.attempt.job).or_default().insert(key.attempt.number);
                slots += 1;
            }
            if slots > site.spec.slots {
                self.faults.push(format!("{} runs {slots} tasks", site.spec.name));
            }
        }
        for (job, attempts) in running {
            if attempts.len() > 1 {
                self.faults.push(format!("job {job} runs attempts {attempts:?} at once"));
            }
        }
    }
}

impl Site {
    fn running(&self, now: time::Tick) -> impl Iterator<Item = (&contract::TaskKey, &Task)> {
        self.backend.tasks.iter().filter(move |(_, task)| !task.stopped && task.ends > now)
    }

    fn announcement(&self) -> contract::Announcement {
        contract::Announcement {
            name: self.spec.name.clone(),
            data_center: self.spec.data_center.clone(),
            rack: self.spec.rack.clone(),
            services: self.spec.services.clone(),
            slots: self.spec.slots,
            connections: self.spec.connections,
            accelerators: self.spec.accelerators,
            processors: self.spec.processors,
            memory_mib: self.spec.memory,
            speed_percent: self.spec.speed,
            url: "http://127.0.0.1:1".to_owned(),
            leaving: self.leaving,
            usage: contract::Usage::default(),
        }
    }

    fn disconnect(&mut self, now: time::Tick) {
        if self.conn.take().is_some() {
            let mut out = Vec::new();
            self.state.step(now, state::Input::Disconnected, &mut out);
        }
    }

    fn next_down(&mut self, now: time::Tick) -> Option<agent::ServerMessage> {
        let conn = self.conn.as_mut()?;
        let due = conn.down.front().is_some_and(|(at, _)| *at <= now);
        due.then(|| conn.down.pop_front()).flatten().map(|(_, message)| message)
    }

    fn due_work(&mut self, now: time::Tick) -> Vec<state::Input> {
        self.work.extract_if(.., |(at, _)| *at <= now).map(|(_, input)| input).collect()
    }

    fn input(&mut self, now: time::Tick, input: state::Input, starts: &mut Vec<contract::TaskKey>) {
        let mut out = Vec::new();
        self.state.step(now, input, &mut out);
        for output in out {
            self.carry_out(now, output, starts);
        }
    }

    fn send(&mut self, now: time::Tick, message: agent::ClientMessage) {
        if let Some(conn) = &mut self.conn {
            conn.up.push_back((now + TRIP, message));
        }
    }

    fn later(&mut self, at: time::Tick, input: state::Input) {
        self.work.push((at, input));
    }

    fn carry_out(
        &mut self,
        now: time::Tick,
        output: state::Output,
        starts: &mut Vec<contract::TaskKey>,
    ) {
        let dead = now < self.backend.dead_until;
        match output {
            state::Output::Send(message) => self.send(now, message),
            state::Output::Start { task, lease, .. } => {
                let begun = match dead {
                    true => state::StartOutcome::Unknown("dead".to_owned()),
                    false => self.backend.begin(now, task, lease, starts),
                };
                self.later(now + TRIP, state::Input::StartFinished(task, begun));
            }
            state::Output::Watch { task, delay } => {
                let seen = match dead {
                    true => state::TaskStatus::Unreachable("dead".to_owned()),
                    false => self.backend.watch(now, task),
                };
                self.later(now + delay.max(STEP), state::Input::Watched(task, seen));
            }
            state::Output::Stop { task } | state::Output::Checkpoint { task, .. } if !dead => {
                self.backend.stop(now, task);
            }
            state::Output::Fetch { task, meta, .. } => {
                let fetched = match dead {
                    true => state::FetchOutcome::Lost("dead".to_owned()),
                    false => state::FetchOutcome::Complete(meta),
                };
                self.later(now + TRIP, state::Input::Fetched(task.attempt, fetched));
            }
            state::Output::Deliver { attempt, meta } => {
                let answer = World::expected(attempt.job);
                for (index, bytes) in answer.chunks(job::CHUNK_BYTES).enumerate() {
                    let (offset, bytes) = ((index * job::CHUNK_BYTES) as u64, bytes.to_vec());
                    let attempt = attempt.into();
                    self.send(now, agent::ClientMessage::Chunk { attempt, offset, bytes });
                }
                let result = agent::TaskResult::Done(Some(meta));
                self.send(now, agent::ClientMessage::Ended { attempt: attempt.into(), result });
                if self.conn.is_some() {
                    self.later(now + TRIP, state::Input::Delivered(attempt));
                }
            }
            state::Output::Discard { tasks, .. } if !dead => {
                for task in tasks {
                    self.backend.stop(now, task);
                    self.backend.tasks.remove(&task);
                }
            }
            state::Output::Sweep { keep } => {
                if !dead {
                    self.backend.tasks.retain(|task, _| keep.contains(task));
                }
                self.later(now + TRIP, state::Input::Swept(!dead));
            }
            _ => {}
        }
    }
}

impl Backend {
    fn begin(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        lease: state::Lease,
        starts: &mut Vec<contract::TaskKey>,
    ) -> state::StartOutcome {
        if self.tasks.contains_key(&task) {
            return state::StartOutcome::Accepted;
        }
        let fenced = lease.fence != self.fence || self.tombs.contains(&task);
        if fenced || now >= lease.until || now >= self.lease_until {
            return state::StartOutcome::Refused("no lease".to_owned());
        }
        starts.push(task);
        // Jobs take from a tenth of a second to some seconds, so that faults meet every stage.
        let run = time::Millis(100 + task.attempt.job.0 * 997 % 4000);
        self.tasks.insert(task, Task { ends: now + run, stopped: false });
        state::StartOutcome::Accepted
    }

    fn watch(&self, now: time::Tick, task: contract::TaskKey) -> state::TaskStatus {
        match self.tasks.get(&task) {
            None => state::TaskStatus::Ended(state::TaskEnd::Gone("unknown".to_owned())),
            Some(task) if task.stopped => state::TaskStatus::Ended(state::TaskEnd::Stopped),
            Some(found) if found.ends <= now => {
                let answer = World::expected(task.attempt.job);
                let sha256 = sha2::Sha256::digest(&answer).into();
                let length = answer.len() as u64;
                state::TaskStatus::Ended(state::TaskEnd::Done(common::AnswerMeta {
                    length,
                    sha256,
                }))
            }
            Some(_) => state::TaskStatus::Running,
        }
    }

    fn stop(&mut self, now: time::Tick, task: contract::TaskKey) {
        self.tombs.insert(task);
        if let Some(task) = self.tasks.get_mut(&task)
            && task.ends > now
        {
            task.stopped = true;
        }
    }
}
