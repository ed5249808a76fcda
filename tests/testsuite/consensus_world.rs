//! A simulated group of replicas with disks, messages in flight and a clock. Each output is checked
//! against the invariants.

use std::collections::VecDeque;

use bytes::Bytes;
use hemlockcleat::core::consensus;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::consensus::membership;
use hemlockcleat::core::consensus::message;
use hemlockcleat::core::consensus::replica;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;

use crate::consensus_action::Action;
use crate::consensus_checks;

pub const NODES: usize = 3;
const GROUP: ids::GroupKey = ids::GroupKey(7);
/// The step of the simulated clock.
const TICK_MILLIS: u64 = 10;
/// The most messages in flight; beyond that the oldest are lost.
const MAX_IN_FLIGHT: usize = 400;
/// Bytes of a snapshot chunk; small, so that a transfer takes several chunks.
const CHUNK_BYTES: usize = 16;

#[derive(Default)]
struct Disk {
    hard_state: entry::HardState,
    snapshot: Option<(entry::Snapshot, Bytes)>,
    entries: Vec<entry::Entry>,
}

struct Node {
    id: entry::Identity,
    core: Option<replica::Core>,
    disk: Disk,
    pending: VecDeque<entry::Batch>,
    applied: u64,
    state: Vec<u8>,
    paused: bool,
    clock_skew: u64,
}

pub struct World {
    nodes: Vec<Node>,
    in_flight: VecDeque<message::Envelope>,
    blocked: [[bool; NODES]; NODES],
    now: u64,
    last_store: u128,
    last_token: u64,
    rules: consensus::SafetyRules,
    checks: consensus_checks::Checks,
}

impl World {
    /// A newly bootstrapped group of three.
    pub fn new(rules: consensus::SafetyRules) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            in_flight: VecDeque::new(),
            blocked: [[false; NODES]; NODES],
            now: 0,
            last_store: 100,
            last_token: 0,
            rules,
            checks: consensus_checks::Checks::default(),
        };
        for number in 0..NODES {
            let store = ids::StoreKey(number as u128 + 1);
            let id = entry::Identity { replica: ids::ReplicaKey(number as u64 + 1), store };
            world.nodes.push(Node {
                id,
                core: None,
                disk: Disk::default(),
                pending: VecDeque::new(),
                applied: 0,
                state: Vec::new(),
                paused: false,
                clock_skew: 0,
            });
        }
        let member = |node: &Node| entry::Member { id: node.id, addr: String::new(), voter: true };
        let founding = entry::Membership::new(world.nodes.iter().map(member).collect());
        for number in 0..NODES {
            world.restart(number);
            world.step(number, message::Input::JoinGroup(GROUP)).expect("a valid start");
        }
        world.step(0, message::Input::Bootstrap(founding)).expect("a valid start");
        world
    }

    /// Performs actions until one violates an invariant, which is returned as the error.
    pub fn execute(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            self.perform(action)?;
            self.check_leases()?;
        }
        Ok(())
    }

    pub fn leader(&self) -> Option<usize> {
        (0..NODES).find(|&number| self.leads(number))
    }

    pub fn term(&self) -> ids::Term {
        let terms = self.nodes.iter().filter_map(|node| node.core.as_ref());
        terms.map(|core| core.hard_state().term).max().unwrap_or_default()
    }

    pub fn committed(&self) -> usize {
        self.checks.committed()
    }

    /// Whether every node is a voter and has applied all committed entries.
    pub fn is_repaired(&self) -> bool {
        let committed = self.checks.committed() as u64;
        let repaired = |node: &Node| {
            let core = node.core.as_ref();
            node.applied == committed
                && core.is_some_and(|core| core.membership().is_voter(node.id))
        };
        self.nodes.iter().all(repaired)
    }

    fn clock(&self, number: usize) -> time::Tick {
        time::Tick(self.now + self.nodes[number].clock_skew)
    }

    fn leads(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let now = self.clock(number);
        !node.paused && node.core.as_ref().is_some_and(|core| core.leads(now))
    }

    fn check_leases(&self) -> Result<(), String> {
        let leading: Vec<usize> = (0..NODES).filter(|&number| self.leads(number)).collect();
        self.checks.check_lease_holders(&leading)
    }

    fn perform(&mut self, action: &Action) -> Result<(), String> {
        match *action {
            Action::Run(millis) => self.run(millis, true),
            Action::StallDisks(millis) => self.run(millis, false),
            Action::Wait(millis) => self.advance_clock(millis),
            Action::Deliver(position) => match self.select(position) {
                Some(position) => self.deliver(position),
                None => Ok(()),
            },
            Action::Duplicate(position) => {
                if let Some(envelope) = self.select(position).map(|p| self.in_flight[p].clone()) {
                    self.in_flight.push_back(envelope);
                }
                Ok(())
            }
            Action::Drop(position) => {
                if let Some(position) = self.select(position) {
                    self.in_flight.remove(position);
                }
                Ok(())
            }
            Action::Sync(number) => self.sync(number),
            Action::Propose(number) => {
                self.last_token += 1;
                let command = Bytes::copy_from_slice(&self.last_token.to_le_bytes());
                self.step(number, message::Input::Propose(vec![(self.last_token, command)]))
            }
            Action::Read(number) => {
                self.last_token += 1;
                self.checks.record_read(self.last_token);
                self.step(number, message::Input::Read(vec![self.last_token]))
            }
            Action::Crash(number, written) => {
                self.crash(number, written);
                Ok(())
            }
            Action::Restart(number) => {
                if self.nodes[number].core.is_none() {
                    self.restart(number);
                }
                Ok(())
            }
            Action::WipeDisk(number) => {
                self.wipe(number);
                Ok(())
            }
            Action::CrashAll(written) => {
                for number in 0..NODES {
                    self.crash(number, written);
                    self.restart(number);
                }
                Ok(())
            }
            Action::Repair => self.repair(),
            Action::BlockLink(from, to) => {
                self.blocked[from][to] = true;
                Ok(())
            }
            Action::Isolate(number) => {
                for other in 0..NODES {
                    self.blocked[number][other] = true;
                    self.blocked[other][number] = true;
                }
                Ok(())
            }
            Action::Heal => {
                self.blocked = [[false; NODES]; NODES];
                Ok(())
            }
            Action::Pause(number) => {
                self.nodes[number].paused = true;
                Ok(())
            }
            Action::Resume(number) => {
                self.nodes[number].paused = false;
                Ok(())
            }
            Action::ClockJump(number, millis) => {
                self.nodes[number].clock_skew += millis;
                self.checks.clocks_jumped();
                Ok(())
            }
            Action::TransferLeadership(number) => {
                self.step(number, message::Input::TransferLeadership)
            }
            Action::Compact(number) => self.compact(number),
        }
    }

    fn select(&self, position: usize) -> Option<usize> {
        position.checked_rem(self.in_flight.len())
    }

    fn run(&mut self, millis: u64, disks: bool) -> Result<(), String> {
        for _ in 0..millis / TICK_MILLIS {
            self.advance_clock(TICK_MILLIS)?;
            for _ in 0..3 {
                for number in 0..NODES {
                    if disks {
                        self.sync(number)?;
                    }
                }
                for _ in 0..self.in_flight.len() {
                    self.deliver(0)?;
                }
            }
            self.check_leases()?;
        }
        Ok(())
    }

    fn advance_clock(&mut self, millis: u64) -> Result<(), String> {
        let until = self.now + millis;
        while self.now < until {
            self.now = until.min(self.now + TICK_MILLIS);
            for number in 0..NODES {
                let now = self.clock(number);
                let due = |core: &replica::Core| now >= core.deadline();
                if self.nodes[number].core.as_ref().is_some_and(due) {
                    self.step(number, message::Input::Tick)?;
                }
            }
            self.check_leases()?;
        }
        Ok(())
    }

    /// Delivers the message at a position of those in flight.
    fn deliver(&mut self, position: usize) -> Result<(), String> {
        let Some(envelope) = self.in_flight.remove(position) else { return Ok(()) };
        let from = envelope.from.replica.0 as usize - 1;
        let to = envelope.to.replica.0 as usize - 1;
        if self.blocked[from][to] {
            return Ok(());
        }
        if self.nodes[to].paused {
            self.in_flight.push_back(envelope);
            return Ok(());
        }
        self.step(to, message::Input::Receive(envelope))
    }

    fn sync(&mut self, number: usize) -> Result<(), String> {
        let node = &mut self.nodes[number];
        if node.paused || node.core.is_none() {
            return Ok(());
        }
        let Some(last) = node.pending.back().map(|batch| batch.sequence) else { return Ok(()) };
        for batch in std::mem::take(&mut node.pending) {
            node.disk.write(batch);
        }
        self.step(number, message::Input::Persisted(last))
    }

    fn crash(&mut self, number: usize, written: usize) {
        let node = &mut self.nodes[number];
        node.core = None;
        node.paused = false;
        let written = written % (node.pending.len() + 1);
        for batch in std::mem::take(&mut node.pending).into_iter().take(written) {
            node.disk.write(batch);
        }
    }

    fn wipe(&mut self, number: usize) {
        self.crash(number, 0);
        self.last_store += 1;
        let node = &mut self.nodes[number];
        node.disk = Disk::default();
        node.id.store = ids::StoreKey(self.last_store);
        self.restart(number);
    }

    fn restart(&mut self, number: usize) {
        let now = self.clock(number);
        let rules = self.rules;
        self.last_store += 1;
        let seed = self.last_store as u64;
        let node = &mut self.nodes[number];
        let snapshot = node.disk.snapshot.clone();
        node.applied = snapshot.as_ref().map_or(0, |(snapshot, _)| snapshot.index.0);
        node.state = snapshot.as_ref().map_or_else(Vec::new, |(_, bytes)| bytes.to_vec());
        let initial = replica::InitialState {
            id: node.id,
            hard_state: node.disk.hard_state,
            snapshot: snapshot.map(|(snapshot, _)| snapshot),
            entries: node.disk.entries.clone(),
            seed,
            rules,
        };
        node.core = Some(replica::Core::new(now, initial));
    }

    fn repair(&mut self) -> Result<(), String> {
        let Some(leader) = self.leader() else { return Ok(()) };
        let target = |node: &Node| membership::Target {
            replica: node.id.replica,
            addr: String::new(),
            store: Some(node.id.store),
        };
        let targets: Vec<_> = self.nodes.iter().map(target).collect();
        let Some(core) = &self.nodes[leader].core else { return Ok(()) };
        let now = self.clock(leader);
        let state_of = |id| match core.member_state(now, id) {
            membership::MemberState::CaughtUp if core.matched(id) < core.committed() => {
                membership::MemberState::Lagging
            }
            state => state,
        };
        let next = membership::next_step(core.membership(), &targets, state_of);
        let Some(membership) = next else { return Ok(()) };
        self.last_token += 1;
        let token = self.last_token;
        self.step(leader, message::Input::Reconfigure { token, membership })
    }

    /// Saves a snapshot of the node's applied state.
    fn compact(&mut self, number: usize) -> Result<(), String> {
        self.sync(number)?;
        let node = &mut self.nodes[number];
        let Some(core) = &node.core else { return Ok(()) };
        let index = ids::LogIndex(node.applied);
        let Some(term) = core.term_at(index).filter(|_| node.applied > 0) else { return Ok(()) };
        let snapshot = entry::Snapshot {
            index,
            term,
            membership: core.membership_at(index).clone(),
            length: node.state.len() as u64,
            checksum: crc32fast::hash(&node.state),
        };
        node.disk.save_snapshot(snapshot.clone(), Bytes::from(node.state.clone()));
        self.step(number, message::Input::Compact(snapshot))
    }

    fn step(&mut self, number: usize, input: message::Input) -> Result<(), String> {
        let now = self.clock(number);
        let node = &mut self.nodes[number];
        let Some(core) = node.core.as_mut().filter(|_| !node.paused) else { return Ok(()) };
        let mut out = Vec::new();
        core.step(now, input, &mut out);
        for output in out {
            self.handle_output(number, output)?;
        }
        Ok(())
    }

    fn handle_output(&mut self, number: usize, output: message::Output) -> Result<(), String> {
        match output {
            message::Output::Send(envelope) => self.send(number, envelope),
            message::Output::Persist(batch) => {
                self.nodes[number].pending.push_back(batch);
                Ok(())
            }
            message::Output::Commit(entries) => {
                entries.into_iter().try_for_each(|entry| self.apply(number, entry))
            }
            message::Output::Restore(snapshot, bytes) => {
                let node = &mut self.nodes[number];
                node.applied = snapshot.index.0;
                node.state = bytes.to_vec();
                self.checks.check_state(node.applied, &node.state)
            }
            message::Output::ReadReady { token, index } => self.checks.check_read(token, index.0),
            message::Output::RoleChanged(message::Role::Leader(term)) => {
                let core = self.nodes[number].core.as_ref();
                let known = core.map_or(0, |core| core.committed().0);
                self.checks.check_new_leader(term, known)
            }
            _ => Ok(()),
        }
    }

    fn send(&mut self, number: usize, mut envelope: message::Envelope) -> Result<(), String> {
        match &mut envelope.body {
            message::Body::Append { .. } => {
                self.checks.check_append(envelope.term, envelope.from)?;
            }
            message::Body::SnapshotChunk { snapshot, offset, bytes } => {
                let Some((saved, content)) = &self.nodes[number].disk.snapshot else {
                    return Ok(());
                };
                if saved != snapshot {
                    return Ok(());
                }
                let start = *offset as usize;
                *bytes = content.slice(start..content.len().min(start + CHUNK_BYTES));
            }
            _ => {}
        }
        self.in_flight.push_back(envelope);
        if self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
        Ok(())
    }

    fn apply(&mut self, number: usize, entry: entry::Entry) -> Result<(), String> {
        let node = &mut self.nodes[number];
        let index = entry.index.0;
        if index != node.applied + 1 {
            return Err(format!("entry {index} is applied after {}", node.applied));
        }
        node.applied = index;
        if let entry::Payload::Command(bytes) = &entry.payload {
            node.state.extend_from_slice(bytes);
        }
        self.checks.check_commit(&entry)?;
        self.checks.check_state(index, &node.state)
    }
}

impl Disk {
    fn write(&mut self, batch: entry::Batch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(from) = batch.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some((snapshot, bytes)) = batch.snapshot {
            self.save_snapshot(snapshot, bytes);
        }
        let base = self.snapshot.as_ref().map_or(ids::LogIndex(0), |(snapshot, _)| snapshot.index);
        self.entries.extend(batch.entries.into_iter().filter(|entry| entry.index > base));
    }

    fn save_snapshot(&mut self, snapshot: entry::Snapshot, bytes: Bytes) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some((snapshot, bytes));
    }
}
