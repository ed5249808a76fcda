//! A few cores with their disks, a bag of messages and a clock, driven step by step; every output
//! is held against what must always be true.

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
/// Milliseconds between two looks at the clock.
const GRAIN: u64 = 10;
/// Messages that may be under way; the oldest are lost.
const BAG: usize = 400;
/// Bytes of a snapshot chunk; short, so that transfers take several.
const CHUNK: usize = 16;

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
    frozen: bool,
    skew: u64,
}

pub struct World {
    nodes: Vec<Node>,
    bag: VecDeque<message::Envelope>,
    cuts: [[bool; NODES]; NODES],
    now: u64,
    stores: u128,
    tokens: u64,
    rules: consensus::SafetyRules,
    checks: consensus_checks::Checks,
}

impl World {
    /// A group of three that has just been founded.
    pub fn new(rules: consensus::SafetyRules) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            bag: VecDeque::new(),
            cuts: [[false; NODES]; NODES],
            now: 0,
            stores: 100,
            tokens: 0,
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
                frozen: false,
                skew: 0,
            });
        }
        let member = |node: &Node| entry::Member { id: node.id, addr: String::new(), voter: true };
        let founding = entry::Membership::new(world.nodes.iter().map(member).collect());
        for number in 0..NODES {
            world.restart(number);
            world.input(number, message::Input::JoinGroup(GROUP)).expect("a sound start");
        }
        world.input(0, message::Input::Bootstrap(founding)).expect("a sound start");
        world
    }

    /// Plays all actions; the first broken promise ends it.
    pub fn play(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            self.act(action)?;
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

    /// Whether every node is a voter and has applied everything.
    pub fn whole(&self) -> bool {
        let all = self.checks.committed() as u64;
        let whole = |node: &Node| {
            let core = node.core.as_ref();
            node.applied == all && core.is_some_and(|core| core.membership().is_voter(node.id))
        };
        self.nodes.iter().all(whole)
    }

    fn clock(&self, number: usize) -> time::Tick {
        time::Tick(self.now + self.nodes[number].skew)
    }

    fn leads(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let now = self.clock(number);
        !node.frozen && node.core.as_ref().is_some_and(|core| core.leads(now))
    }

    fn check_leases(&self) -> Result<(), String> {
        let leading: Vec<usize> = (0..NODES).filter(|&number| self.leads(number)).collect();
        self.checks.leading(&leading)
    }

    fn act(&mut self, action: &Action) -> Result<(), String> {
        match *action {
            Action::Run(millis) => self.run(millis, true),
            Action::Stall(millis) => self.run(millis, false),
            Action::Wait(millis) => self.pass(millis),
            Action::Deliver(position) => match self.pick(position) {
                Some(position) => self.deliver(position),
                None => Ok(()),
            },
            Action::Duplicate(position) => {
                if let Some(envelope) = self.pick(position).map(|p| self.bag[p].clone()) {
                    self.bag.push_back(envelope);
                }
                Ok(())
            }
            Action::Lose(position) => {
                if let Some(position) = self.pick(position) {
                    self.bag.remove(position);
                }
                Ok(())
            }
            Action::Sync(number) => self.sync(number),
            Action::Propose(number) => {
                self.tokens += 1;
                let command = Bytes::copy_from_slice(&self.tokens.to_le_bytes());
                self.input(number, message::Input::Propose(vec![(self.tokens, command)]))
            }
            Action::Read(number) => {
                self.tokens += 1;
                self.checks.asked(self.tokens);
                self.input(number, message::Input::Read(vec![self.tokens]))
            }
            Action::Crash(number, keep) => {
                self.crash(number, keep);
                Ok(())
            }
            Action::Restart(number) => {
                if self.nodes[number].core.is_none() {
                    self.restart(number);
                }
                Ok(())
            }
            Action::Wipe(number) => {
                self.wipe(number);
                Ok(())
            }
            Action::Outage(keep) => {
                for number in 0..NODES {
                    self.crash(number, keep);
                    self.restart(number);
                }
                Ok(())
            }
            Action::Repair => self.repair(),
            Action::Cut(from, to) => {
                self.cuts[from][to] = true;
                Ok(())
            }
            Action::Isolate(number) => {
                for other in 0..NODES {
                    self.cuts[number][other] = true;
                    self.cuts[other][number] = true;
                }
                Ok(())
            }
            Action::Heal => {
                self.cuts = [[false; NODES]; NODES];
                Ok(())
            }
            Action::Freeze(number) => {
                self.nodes[number].frozen = true;
                Ok(())
            }
            Action::Thaw(number) => {
                self.nodes[number].frozen = false;
                Ok(())
            }
            Action::Jump(number, millis) => {
                self.nodes[number].skew += millis;
                self.checks.jumped();
                Ok(())
            }
            Action::HandOver(number) => self.input(number, message::Input::TransferLeadership),
            Action::Compact(number) => self.compact(number),
        }
    }

    fn pick(&self, position: usize) -> Option<usize> {
        position.checked_rem(self.bag.len())
    }

    fn run(&mut self, millis: u64, disks: bool) -> Result<(), String> {
        for _ in 0..millis / GRAIN {
            self.pass(GRAIN)?;
            for _ in 0..3 {
                for number in 0..NODES {
                    if disks {
                        self.sync(number)?;
                    }
                }
                for _ in 0..self.bag.len() {
                    self.deliver(0)?;
                }
            }
            self.check_leases()?;
        }
        Ok(())
    }

    fn pass(&mut self, millis: u64) -> Result<(), String> {
        let until = self.now + millis;
        while self.now < until {
            self.now = until.min(self.now + GRAIN);
            for number in 0..NODES {
                let now = self.clock(number);
                let due = |core: &replica::Core| now >= core.deadline();
                if self.nodes[number].core.as_ref().is_some_and(due) {
                    self.input(number, message::Input::Tick)?;
                }
            }
            self.check_leases()?;
        }
        Ok(())
    }

    /// Hands over the message at a place in the bag.
    fn deliver(&mut self, position: usize) -> Result<(), String> {
        let Some(envelope) = self.bag.remove(position) else { return Ok(()) };
        let from = envelope.from.replica.0 as usize - 1;
        let to = envelope.to.replica.0 as usize - 1;
        if self.cuts[from][to] {
            return Ok(());
        }
        if self.nodes[to].frozen {
            self.bag.push_back(envelope);
            return Ok(());
        }
        self.input(to, message::Input::Receive(envelope))
    }

    fn sync(&mut self, number: usize) -> Result<(), String> {
        let node = &mut self.nodes[number];
        if node.frozen || node.core.is_none() {
            return Ok(());
        }
        let Some(last) = node.pending.back().map(|batch| batch.sequence) else { return Ok(()) };
        for batch in std::mem::take(&mut node.pending) {
            node.disk.write(batch);
        }
        self.input(number, message::Input::Persisted(last))
    }

    fn crash(&mut self, number: usize, keep: usize) {
        let node = &mut self.nodes[number];
        node.core = None;
        node.frozen = false;
        let keep = keep % (node.pending.len() + 1);
        for batch in std::mem::take(&mut node.pending).into_iter().take(keep) {
            node.disk.write(batch);
        }
    }

    fn wipe(&mut self, number: usize) {
        self.crash(number, 0);
        self.stores += 1;
        let node = &mut self.nodes[number];
        node.disk = Disk::default();
        node.id.store = ids::StoreKey(self.stores);
        self.restart(number);
    }

    fn restart(&mut self, number: usize) {
        let now = self.clock(number);
        let rules = self.rules;
        self.stores += 1;
        let seed = self.stores as u64;
        let node = &mut self.nodes[number];
        let snapshot = node.disk.snapshot.clone();
        node.applied = snapshot.as_ref().map_or(0, |(snapshot, _)| snapshot.index.0);
        node.state = snapshot.as_ref().map_or_else(Vec::new, |(_, bytes)| bytes.to_vec());
        let boot = replica::InitialState {
            id: node.id,
            hard_state: node.disk.hard_state,
            snapshot: snapshot.map(|(snapshot, _)| snapshot),
            entries: node.disk.entries.clone(),
            seed,
            rules,
        };
        node.core = Some(replica::Core::new(now, boot));
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
        let standing = |id| match core.member_state(now, id) {
            membership::MemberState::CaughtUp if core.matched(id) < core.committed() => {
                membership::MemberState::Lagging
            }
            standing => standing,
        };
        let next = membership::next_step(core.membership(), &targets, standing);
        let Some(membership) = next else { return Ok(()) };
        self.tokens += 1;
        let token = self.tokens;
        self.input(leader, message::Input::Reconfigure { token, membership })
    }

    /// Makes a snapshot of what the node has applied.
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
        node.disk.keep_snapshot(snapshot.clone(), Bytes::from(node.state.clone()));
        self.input(number, message::Input::Compact(snapshot))
    }

    fn input(&mut self, number: usize, input: message::Input) -> Result<(), String> {
        let now = self.clock(number);
        let node = &mut self.nodes[number];
        let Some(core) = node.core.as_mut().filter(|_| !node.frozen) else { return Ok(()) };
        let mut out = Vec::new();
        core.step(now, input, &mut out);
        for output in out {
            self.observe(number, output)?;
        }
        Ok(())
    }

    fn observe(&mut self, number: usize, output: message::Output) -> Result<(), String> {
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
                self.checks.state(node.applied, &node.state)
            }
            message::Output::ReadReady { token, index } => self.checks.answered(token, index.0),
            message::Output::RoleChanged(message::Role::Leader(term)) => {
                let core = self.nodes[number].core.as_ref();
                let known = core.map_or(0, |core| core.committed().0);
                self.checks.leads(term, known)
            }
            _ => Ok(()),
        }
    }

    fn send(&mut self, number: usize, mut envelope: message::Envelope) -> Result<(), String> {
        match &mut envelope.body {
            message::Body::Append { .. } => {
                self.checks.appends(envelope.term, envelope.from)?;
            }
            message::Body::SnapshotChunk { snapshot, offset, bytes } => {
                let Some((kept, content)) = &self.nodes[number].disk.snapshot else {
                    return Ok(());
                };
                if kept != snapshot {
                    return Ok(());
                }
                let start = *offset as usize;
                *bytes = content.slice(start..content.len().min(start + CHUNK));
            }
            _ => {}
        }
        self.bag.push_back(envelope);
        if self.bag.len() > BAG {
            self.bag.pop_front();
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
        self.checks.commits(&entry)?;
        self.checks.state(index, &node.state)
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
            self.keep_snapshot(snapshot, bytes);
        }
        let base = self.snapshot.as_ref().map_or(ids::LogIndex(0), |(snapshot, _)| snapshot.index);
        self.entries.extend(batch.entries.into_iter().filter(|entry| entry.index > base));
    }

    fn keep_snapshot(&mut self, snapshot: entry::Snapshot, bytes: Bytes) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some((snapshot, bytes));
    }
}
