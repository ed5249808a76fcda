//! A simulation of the state machines of control and of the agents, connected by queues that a
//! test can interrupt.
//!
//! The ledger, the leader's state and the agents' states are the real ones. These are simulated:
//! the log (commits in order after a delay; a change of leader loses the last entries), the streams
//! (ordered; a disconnect loses the messages in flight), and the backend servers (run tasks and
//! stop them when their lease ends).

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

/// Step of the simulated time.
pub const STEP: time::Millis = time::Millis(25);

/// Delay until an entry of the log is committed.
const COMMIT_DELAY: time::Millis = time::Millis(5);

/// Delay until a message is delivered.
const MESSAGE_DELAY: time::Millis = time::Millis(3);

/// A task on a backend server.
struct Task {
    ends: time::Tick,
    stopped: bool,
}

/// A simulated backend server.
#[derive(Default)]
struct Backend {
    tasks: BTreeMap<contract::TaskKey, Task>,
    tombstones: BTreeSet<contract::TaskKey>,
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
    to_leader: VecDeque<(time::Tick, agent::ClientMessage)>,
    to_agent: VecDeque<(time::Tick, agent::ServerMessage)>,
    /// Whether an entry of the log has to commit before the next message is read.
    blocked: bool,
}

/// A worker: its agent and its backend server.
pub struct Site {
    spec: job::WorkerSpec,
    state: state::State,
    incarnation: u64,
    backend: Backend,
    conn: Option<Conn>,
    pending: Vec<(time::Tick, state::Input)>,
    announce_at: time::Tick,
    paused_until: time::Tick,
    partitioned_until: time::Tick,
    leaving: bool,
}

/// The proposer of an entry, which receives its outcome.
enum Proposer {
    Leader,
    Site { site: usize, conn: u64 },
    Caller,
}

/// The simulated system.
pub struct World {
    /// The ledger under test.
    pub harness: ledger::Harness,
    /// The workers.
    pub sites: Vec<Site>,
    /// All starts of tasks on backend servers, in order.
    pub starts: Vec<contract::TaskKey>,
    /// Violated invariants.
    pub faults: Vec<String>,
    now: time::Tick,
    leader: Option<leader::LeaderState>,
    next_leader_at: time::Tick,
    log: VecDeque<(time::Tick, command::Command, Proposer)>,
    term: u64,
    last_conn: u64,
}

impl World {
    /// Creates a system with workers `w1`, `w2` and so on in racks of three, and a leader.
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
            pending: Vec::new(),
            announce_at: time::Tick(0),
            paused_until: time::Tick(0),
            partitioned_until: time::Tick(0),
            leaving: false,
        };
        Self {
            harness,
            sites: (0..workers).map(site).collect(),
            starts: Vec::new(),
            faults: Vec::new(),
            now: time::Tick(1_000_000),
            leader: None,
            next_leader_at: time::Tick(0),
            log: VecDeque::new(),
            term: 0,
            last_conn: 0,
        }
    }

    /// Advances the simulated time.
    pub fn run(&mut self, span: time::Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.step();
        }
    }

    /// Appends a request to the log.
    pub fn submit(&mut self, spec: job::Spec) {
        self.propose(command::Command::Submit(spec), Proposer::Caller);
    }

    /// Appends the cancellation of a request to the log.
    pub fn cancel(&mut self, key: &str) {
        let command = command::Command::Cancel { account: "a".to_owned(), key: key.to_owned() };
        self.propose(command, Proposer::Caller);
    }

    /// Crashes the leader and drops the uncommitted entries after the first `retained` ones; the
    /// next leader starts after `gap`.
    pub fn lose_leader(&mut self, retained: usize, gap: time::Millis) {
        self.leader = None;
        self.next_leader_at = self.now + gap;
        for site in &mut self.sites {
            site.disconnect(self.now);
        }
        self.log.truncate(retained);
    }

    /// Disconnects a worker's agent from control for the given time.
    pub fn partition(&mut self, site: usize, span: time::Millis) {
        self.sites[site].partitioned_until = self.now + span;
        self.drop_conn(site);
    }

    /// Pauses a worker's agent; its backend server keeps running.
    pub fn pause_agent(&mut self, site: usize, span: time::Millis) {
        self.sites[site].paused_until = self.now + span;
    }

    /// Kills and restarts a worker's agent; its backend server keeps running.
    pub fn restart_agent(&mut self, site: usize) {
        self.drop_conn(site);
        let site = &mut self.sites[site];
        site.incarnation += 1;
        site.state = state::State::new(1000 * site.incarnation);
        site.pending.clear();
    }

    /// Kills a worker's backend server with all its tasks, and restarts it after the given time.
    pub fn kill_backend(&mut self, site: usize, span: time::Millis) {
        let backend = &mut self.sites[site].backend;
        *backend = Backend { dead_until: self.now + span, ..Backend::default() };
    }

    /// Sets whether a backend server announces that it is leaving.
    pub fn set_leaving(&mut self, site: usize, leaving: bool) {
        self.sites[site].leaving = leaving;
    }

    /// Returns whether the log is empty and all jobs have ended.
    pub fn is_idle(&self) -> bool {
        let jobs = &self.harness.ledger.table.jobs;
        self.log.is_empty()
            && jobs.values().all(|job| job.phase == job::Phase::Ended && !job.holds_allocation())
    }

    /// Returns the answer that a backend server produces for a job.
    pub fn expected(job: ids::JobKey) -> Vec<u8> {
        format!("answer of job {job} ").into_bytes().repeat(6000)
    }

    fn timestamp(&self) -> leader::Timestamp {
        let wall = ledger::START + time::Millis(self.now.0 - 1_000_000);
        leader::Timestamp { tick: self.now, wall: wall.max(self.harness.ledger.now) }
    }

    fn propose(&mut self, command: command::Command, proposer: Proposer) {
        self.log.push_back((self.now + COMMIT_DELAY, command, proposer));
    }

    fn step(&mut self) {
        self.commit();
        self.leader_step();
        for index in 0..self.sites.len() {
            self.connect(index);
            self.read_messages(index);
            self.agent_step(index);
            self.backend_step(index);
        }
        self.check();
    }

    fn commit(&mut self) {
        while self.log.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, command, proposer)) = self.log.pop_front() else { return };
            self.harness.at = self.timestamp().wall;
            let release = match &command {
                command::Command::Release { attempt, .. } => Some(*attempt),
                _ => None,
            };
            let outcome = self.harness.apply(command);
            let now = self.timestamp();
            let events = std::mem::take(&mut self.harness.events);
            if let Some(leader) = &mut self.leader {
                for event in &events {
                    leader.event(&self.harness.ledger, event, now);
                }
                if let (Some(attempt), outcome::Outcome::Stale) = (release, &outcome) {
                    leader.release_rejected(&self.harness.ledger, attempt, now);
                }
            }
            if let Proposer::Site { site, conn } = proposer {
                self.site_outcome(site, conn, &outcome);
            }
        }
    }

    fn site_outcome(&mut self, site: usize, conn: u64, outcome: &outcome::Outcome) {
        let Some(current) = &mut self.sites[site].conn else { return };
        if current.number != conn {
            return;
        }
        current.blocked = false;
        if let outcome::Outcome::Worker(key, epoch) = outcome {
            self.register(site, *key, *epoch);
        }
    }

    fn register(&mut self, site: usize, key: ids::WorkerKey, epoch: ids::Epoch) {
        let now = self.timestamp();
        let Some(leader) = &mut self.leader else { return };
        let Some(conn) = &mut self.sites[site].conn else { return };
        let session =
            leader.open_session(&self.harness.ledger, key, epoch, conn.sender.clone(), now);
        conn.session = Some((key, session));
        conn.sender.try_send(&agent::ServerMessage::Registered { worker: key.0, epoch: epoch.0 });
    }

    fn leader_step(&mut self) {
        let now = self.timestamp();
        if self.leader.is_none() && self.now >= self.next_leader_at {
            self.term += 1;
            // The retained entries of the previous leader commit before the next one leads.
            if self.log.is_empty() {
                let index = ids::LogIndex(self.now.0 - 1_000_000);
                let term = ids::Term(self.term);
                self.leader =
                    Some(leader::LeaderState::new(term, &self.harness.ledger, index, now));
            }
        }
        let Some(leader) = &mut self.leader else { return };
        leader.tick(&self.harness.ledger, now);
        for effect in leader.take_effects() {
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
        let paused = self.now < site.paused_until;
        if site.conn.is_some()
            || paused
            || self.leader.is_none()
            || self.now < site.partitioned_until
        {
            return;
        }
        self.last_conn += 1;
        let (sender, receiver) = stream::pair();
        site.conn = Some(Conn {
            number: self.last_conn,
            sender,
            receiver,
            session: None,
            to_leader: VecDeque::new(),
            to_agent: VecDeque::new(),
            blocked: false,
        });
        site.input(self.now, state::Input::Connected, &mut self.starts);
    }

    fn drop_conn(&mut self, index: usize) {
        let now = self.timestamp();
        let session = self.sites[index].conn.as_ref().and_then(|conn| conn.session);
        self.sites[index].disconnect(self.now);
        if let (Some(leader), Some((key, session))) = (&mut self.leader, session) {
            leader.close_session(&self.harness.ledger, key, session, now);
        }
    }

    /// Processes the messages that have arrived from an agent.
    fn read_messages(&mut self, index: usize) {
        loop {
            let Some(conn) = &mut self.sites[index].conn else { return };
            let due = conn.to_leader.front().is_some_and(|(at, _)| *at <= self.now);
            if !due || conn.blocked || self.leader.is_none() {
                return;
            }
            let Some((_, message)) = conn.to_leader.pop_front() else { return };
            self.handle_message(index, message);
        }
    }

    fn handle_message(&mut self, index: usize, message: agent::ClientMessage) {
        let now = self.timestamp();
        let Some(conn) = &mut self.sites[index].conn else { return };
        let (number, session) = (conn.number, conn.session);
        let incarnation = self.sites[index].incarnation;
        let mut gang_input = |input: step::Input| {
            if let Some(leader) = &mut self.leader {
                leader.gang_input(&self.harness.ledger, input, now);
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
                    gang_input(step::Input::Reported { attempt: attempt.into(), worker });
                }
                self.heartbeat(index, worker, sequence, epoch, revision);
            }
            (agent::ClientMessage::Prepared { attempt, ok, .. }, Some((worker, _))) => {
                gang_input(step::Input::Prepared { attempt: attempt.into(), worker, ok });
            }
            (agent::ClientMessage::Started { attempt }, Some((worker, _))) => {
                gang_input(step::Input::Started { attempt: attempt.into(), worker });
            }
            (agent::ClientMessage::Ended { attempt, result }, Some((worker, _))) => {
                let result = agent_messages::member_result(result);
                gang_input(step::Input::Ended { attempt: attempt.into(), worker, result });
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
        let now = self.timestamp();
        let Some(leader) = &mut self.leader else { return };
        let (agent_epoch, revision) = (ids::Epoch(epoch), ids::Revision(revision));
        let message = match leader.heartbeat(worker, agent_epoch, revision, now) {
            lease::Reply::Grant { epoch, duration } => {
                agent::ServerMessage::Lease { sequence, epoch: epoch.0, duration: duration.0 }
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
                conn.to_agent.push_back((now + MESSAGE_DELAY, message));
            }
        }
        if now < site.paused_until {
            return;
        }
        while let Some(message) = site.next_message(now) {
            site.input(now, state::Input::Received(message), starts);
        }
        for input in site.due_inputs(now) {
            site.input(now, input, starts);
        }
        if now >= site.announce_at && now >= site.backend.dead_until {
            site.announce_at = now + state::ANNOUNCE_INTERVAL;
            let announcement = site.announcement();
            site.input(now, state::Input::Announced(announcement), starts);
            let lease = site.state.grant_lease(now);
            site.backend.fence = lease.fence;
            if lease.lease_ms > 0 {
                site.backend.lease_until = now + time::Millis(lease.lease_ms);
            }
        }
        site.input(now, state::Input::Tick, starts);
    }

    fn backend_step(&mut self, index: usize) {
        let now = self.now;
        let backend = &mut self.sites[index].backend;
        let expired = now >= backend.lease_until;
        for task in backend.tasks.values_mut().filter(|task| expired && task.ends > now) {
            task.stopped = true;
        }
    }

    /// Records violations of the invariants that hold at any time.
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

    fn next_message(&mut self, now: time::Tick) -> Option<agent::ServerMessage> {
        let conn = self.conn.as_mut()?;
        let due = conn.to_agent.front().is_some_and(|(at, _)| *at <= now);
        due.then(|| conn.to_agent.pop_front()).flatten().map(|(_, message)| message)
    }

    fn due_inputs(&mut self, now: time::Tick) -> Vec<state::Input> {
        self.pending.extract_if(.., |(at, _)| *at <= now).map(|(_, input)| input).collect()
    }

    fn input(&mut self, now: time::Tick, input: state::Input, starts: &mut Vec<contract::TaskKey>) {
        let mut out = Vec::new();
        self.state.step(now, input, &mut out);
        for output in out {
            self.perform(now, output, starts);
        }
    }

    fn send(&mut self, now: time::Tick, message: agent::ClientMessage) {
        if let Some(conn) = &mut self.conn {
            conn.to_leader.push_back((now + MESSAGE_DELAY, message));
        }
    }

    fn schedule(&mut self, at: time::Tick, input: state::Input) {
        self.pending.push((at, input));
    }

    fn perform(
        &mut self,
        now: time::Tick,
        output: state::Output,
        starts: &mut Vec<contract::TaskKey>,
    ) {
        let dead = now < self.backend.dead_until;
        match output {
            state::Output::Send(message) => self.send(now, message),
            state::Output::Start { task, lease, .. } => {
                let outcome = match dead {
                    true => state::StartOutcome::Unknown("dead".to_owned()),
                    false => self.backend.start(now, task, lease, starts),
                };
                self.schedule(now + MESSAGE_DELAY, state::Input::StartFinished(task, outcome));
            }
            state::Output::Watch { task, delay } => {
                let status = match dead {
                    true => state::TaskStatus::Unreachable("dead".to_owned()),
                    false => self.backend.status(now, task),
                };
                self.schedule(now + delay.max(STEP), state::Input::Watched(task, status));
            }
            state::Output::Stop { task } | state::Output::Checkpoint { task, .. } if !dead => {
                self.backend.stop(now, task);
            }
            state::Output::Fetch { task, meta, .. } => {
                let fetched = match dead {
                    true => state::FetchOutcome::Lost("dead".to_owned()),
                    false => state::FetchOutcome::Complete(meta),
                };
                self.schedule(now + MESSAGE_DELAY, state::Input::Fetched(task.attempt, fetched));
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
                    self.schedule(now + MESSAGE_DELAY, state::Input::Delivered(attempt));
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
                self.schedule(now + MESSAGE_DELAY, state::Input::Swept(!dead));
            }
            _ => {}
        }
    }
}

impl Backend {
    fn start(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        lease: state::Lease,
        starts: &mut Vec<contract::TaskKey>,
    ) -> state::StartOutcome {
        if self.tasks.contains_key(&task) {
            return state::StartOutcome::Accepted;
        }
        let fenced = lease.fence != self.fence || self.tombstones.contains(&task);
        if fenced || now >= lease.until || now >= self.lease_until {
            return state::StartOutcome::Refused("no lease".to_owned());
        }
        starts.push(task);
        // Tasks run for 0.1 to 4.1 seconds, so that faults occur at every stage.
        let run = time::Millis(100 + task.attempt.job.0 * 997 % 4000);
        self.tasks.insert(task, Task { ends: now + run, stopped: false });
        state::StartOutcome::Accepted
    }

    fn status(&self, now: time::Tick, task: contract::TaskKey) -> state::TaskStatus {
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
        self.tombstones.insert(task);
        if let Some(task) = self.tasks.get_mut(&task)
            && task.ends > now
        {
            task.stopped = true;
        }
    }
}
