//! One replica of the log: its state, and how inputs reach the rules.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::consensus::leader;
use crate::core::consensus::log;
use crate::core::consensus::membership;
use crate::core::consensus::message;
use crate::core::ids;
use crate::core::time;

/// What a replica starts from: who it is and what its disk holds.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// Who it is.
    pub id: entry::Identity,
    /// The hard state.
    pub hard_state: entry::HardState,
    /// The newest snapshot.
    pub snapshot: Option<entry::Snapshot>,
    /// The entries behind the snapshot.
    pub entries: Vec<entry::Entry>,
    /// Seed of the election jitter.
    pub seed: u64,
    /// The rules in force.
    pub rules: consensus::SafetyRules,
}

/// What a replica is at the moment.
#[derive(Debug)]
pub(super) enum State {
    Follower { leader: Option<entry::Identity> },
    PreCandidate { votes: BTreeSet<entry::Identity> },
    Candidate { votes: BTreeSet<entry::Identity> },
    Leader(Box<leader::Leader>),
}

/// A snapshot on its way in.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) snapshot: entry::Snapshot,
    pub(super) bytes: Vec<u8>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Core {
    pub(super) id: entry::Identity,
    pub(super) hard_state: entry::HardState,
    pub(super) rules: consensus::SafetyRules,
    pub(super) log: log::Log,
    pub(super) members: membership::History,
    pub(super) snapshot: Option<entry::Snapshot>,
    pub(super) commit: ids::LogIndex,
    pub(super) state: State,
    /// When a follower or candidate starts an election.
    pub(super) timer: time::Tick,
    /// No vote is granted before this point.
    pub(super) withheld: time::Tick,
    /// The last entry verified equal to this term's leader's.
    pub(super) verified: ids::LogIndex,
    /// The last confirmation round seen in this term.
    pub(super) round: u64,
    pub(super) incoming: Option<Incoming>,
    pub(super) durable: ids::LogIndex,
    pub(super) persisted: u64,
    told: message::Role,
    /// The term this replica led after the last input.
    led: Option<ids::Term>,
    sequence: u64,
    /// The batch that holds the present hard state.
    hard_sequence: u64,
    /// Last durable entry once each batch is written.
    writes: VecDeque<(u64, ids::LogIndex)>,
    /// Messages that wait for a batch.
    held: VecDeque<(u64, message::Envelope)>,
    rng: ChaCha8Rng,
}

impl Core {
    /// A replica as it comes back from its disk.
    pub fn new(now: time::Tick, boot: InitialState) -> Self {
        let base = boot.snapshot.as_ref().map_or(ids::LogIndex(0), |s| s.index);
        let base_term = boot.snapshot.as_ref().map_or(ids::Term(0), |s| s.term);
        let founding = boot.snapshot.as_ref().map(|s| s.membership.clone()).unwrap_or_default();
        let mut core = Self {
            id: boot.id,
            hard_state: boot.hard_state,
            rules: boot.rules,
            log: log::Log::new(base, base_term),
            members: membership::History::new(base, founding),
            snapshot: boot.snapshot,
            commit: base,
            state: State::Follower { leader: None },
            timer: now,
            withheld: now,
            verified: base,
            round: 0,
            incoming: None,
            durable: base,
            persisted: 0,
            told: message::Role::Follower(None),
            led: None,
            sequence: 0,
            hard_sequence: 0,
            writes: VecDeque::new(),
            held: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(boot.seed),
        };
        for entry in boot.entries {
            core.push_entry(entry);
        }
        core.durable = core.log.last();
        if core.hard_state.term > ids::Term(0) {
            // It may have confirmed a lease just before it stopped.
            core.withheld = now + consensus::ELECTION_TIMEOUT;
        }
        core.reset_timer(now);
        if core.members.current().voters().all(|id| id == core.id) {
            // There is nobody to wait for.
            core.timer = now;
        }
        core
    }

    /// Handles one input. The same inputs at the same times give the same outputs.
    pub fn step(&mut self, now: time::Tick, input: message::Input, out: &mut Vec<message::Output>) {
        self.check_quorum(now);
        match input {
            message::Input::Tick => self.tick(now, out),
            message::Input::Receive(envelope) => self.receive(now, envelope, out),
            message::Input::Persisted(sequence) => self.synced(now, sequence, out),
            message::Input::Propose(commands) => self.propose(now, commands, out),
            message::Input::Read(tokens) => self.read(now, tokens, out),
            message::Input::Reconfigure { token, membership } => {
                self.reconfigure(now, token, membership, out);
            }
            message::Input::TransferLeadership => self.hand_over(now),
            message::Input::Compact(snapshot) => self.compact(snapshot),
            message::Input::JoinGroup(group) => self.adopt(group, out),
            message::Input::Bootstrap(membership) => self.found(now, membership, out),
        }
        self.announce(now, out);
    }

    /// When the next [`message::Input::Tick`] is due.
    pub fn deadline(&self) -> time::Tick {
        match &self.state {
            State::Leader(leader) => leader.beat + consensus::HEARTBEAT_INTERVAL,
            _ => self.timer,
        }
    }

    /// Who this replica is.
    pub fn id(&self) -> entry::Identity {
        self.id
    }

    /// The hard state.
    pub fn hard_state(&self) -> &entry::HardState {
        &self.hard_state
    }

    /// The group, once it is durable that this store belongs to it.
    pub fn group(&self) -> Option<ids::GroupKey> {
        self.hard_state.group.filter(|_| self.hard_durable())
    }

    /// Whether the present hard state is durable.
    pub(super) fn hard_durable(&self) -> bool {
        self.hard_sequence <= self.persisted
    }

    /// The members in force.
    pub fn membership(&self) -> &entry::Membership {
        self.members.current()
    }

    /// The members as of a committed entry.
    pub fn membership_at(&self, index: ids::LogIndex) -> &entry::Membership {
        self.members.at(index)
    }

    /// The term of an entry, if it is held in memory.
    pub fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        self.log.term_at(index)
    }

    /// The last entry.
    pub fn last(&self) -> ids::LogIndex {
        self.log.last()
    }

    /// The last committed entry known here.
    pub fn committed(&self) -> ids::LogIndex {
        self.commit
    }

    /// The last entry a follower has confirmed; known to a leader only.
    pub fn matched(&self, id: entry::Identity) -> ids::LogIndex {
        match &self.state {
            _ if id == self.id => self.durable,
            State::Leader(leader) => {
                leader.progress.get(&id).map_or(ids::LogIndex(0), |peer| peer.matched)
            }
            _ => ids::LogIndex(0),
        }
    }

    /// When a follower last answered; known to a leader only.
    pub fn last_response(&self, id: entry::Identity) -> Option<time::Tick> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id).map(|peer| peer.heard),
            _ => None,
        }
    }

    /// How far a member is; known to a leader only.
    pub fn member_state(&self, now: time::Tick, id: entry::Identity) -> membership::MemberState {
        let matched = self.matched(id).0;
        if self.last_response(id).is_some_and(|heard| heard + consensus::ELECTION_TIMEOUT <= now) {
            membership::MemberState::Unresponsive
        } else if matched > 0 && matched + consensus::MAX_PROMOTION_LAG >= self.last().0 {
            membership::MemberState::CaughtUp
        } else {
            membership::MemberState::Lagging
        }
    }

    /// The role that was last announced.
    pub fn role(&self) -> message::Role {
        self.told
    }

    /// Whether this replica leads and its lease holds at this moment.
    pub fn leads(&self, now: time::Tick) -> bool {
        match &self.state {
            State::Leader(leader) => leader.announced && (now < leader.lease || !self.rules.lease),
            _ => false,
        }
    }

    fn tick(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        if matches!(self.state, State::Leader(_)) {
            self.beat(now, out);
        } else if now >= self.timer {
            self.campaign(now, out);
        }
    }

    /// Tells the shell about a change of role.
    fn announce(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let leads = matches!(self.state, State::Leader(_)).then_some(self.hard_state.term);
        if self.led.is_some() && self.led != leads {
            out.push(message::Output::SteppedDown);
        }
        self.led = leads;
        let role = match &mut self.state {
            State::Leader(leader) => {
                let ready = self.commit >= leader.start && now < leader.lease;
                leader.announced |= ready;
                match leader.announced {
                    true => message::Role::Leader(self.hard_state.term),
                    false => message::Role::Follower(None),
                }
            }
            State::Follower { leader } => message::Role::Follower(*leader),
            State::PreCandidate { .. } | State::Candidate { .. } => message::Role::Follower(None),
        };
        if role != self.told {
            self.told = role;
            out.push(message::Output::RoleChanged(role));
        }
    }

    pub(super) fn reset_timer(&mut self, now: time::Tick) {
        let spread = self.rng.next_u64() % consensus::ELECTION_JITTER.0;
        self.timer = now + consensus::ELECTION_TIMEOUT + time::Millis(spread);
    }

    /// Follows a term, and a leader if it is known.
    pub(super) fn follow(
        &mut self,
        now: time::Tick,
        term: ids::Term,
        leader: Option<entry::Identity>,
    ) {
        let led = matches!(self.state, State::Leader(_));
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.verified = self.commit;
            self.round = 0;
        }
        if led {
            self.verified = self.commit;
        }
        self.state = State::Follower { leader };
        self.reset_timer(now);
    }

    /// Appends an entry in memory.
    pub(super) fn push_entry(&mut self, entry: entry::Entry) {
        if let entry::Payload::Membership(membership) = &entry.payload {
            self.members.push(entry.index, membership.clone());
        }
        self.log.push(entry);
    }

    /// Drops entries from this one on, here and in what waits to be written.
    pub(super) fn truncate(&mut self, from: ids::LogIndex) {
        let last = ids::LogIndex(from.0 - 1);
        self.log.truncate(from);
        self.members.truncate(from);
        self.durable = self.durable.min(last);
        for (_, durable) in &mut self.writes {
            *durable = last.min(*durable);
        }
    }

    /// Asks for a write. Returns its number.
    pub(super) fn persist(&mut self, batch: entry::Batch, out: &mut Vec<message::Output>) -> u64 {
        self.sequence += 1;
        let batch = entry::Batch { sequence: self.sequence, ..batch };
        if batch.hard_state.is_some() {
            self.hard_sequence = self.sequence;
        }
        self.writes.push_back((self.sequence, self.log.last()));
        out.push(message::Output::Persist(batch));
        if !self.rules.sync {
            self.durable = self.log.last();
            self.persisted = self.sequence;
        }
        self.sequence
    }

    /// Asks for a write of the hard state. Returns its number.
    pub(super) fn persist_hard(&mut self, out: &mut Vec<message::Output>) -> u64 {
        let batch = entry::Batch { hard_state: Some(self.hard_state), ..entry::Batch::default() };
        self.persist(batch, out)
    }

    /// Sends a message as soon as the hard state it speaks for is durable.
    pub(super) fn send(
        &mut self,
        to: entry::Identity,
        term: ids::Term,
        body: message::Body,
        out: &mut Vec<message::Output>,
    ) {
        let Some(group) = self.hard_state.group else { return };
        let envelope = message::Envelope { group, from: self.id, to, term, body };
        if !self.hard_durable() {
            self.held.push_back((self.hard_sequence, envelope));
        } else {
            out.push(message::Output::Send(envelope));
        }
    }

    fn synced(&mut self, now: time::Tick, sequence: u64, out: &mut Vec<message::Output>) {
        self.persisted = self.persisted.max(sequence);
        while let Some(&(written, last)) = self.writes.front() {
            if written > sequence {
                break;
            }
            self.durable = last;
            self.writes.pop_front();
        }
        while self.held.front().is_some_and(|(waits, _)| *waits <= self.persisted) {
            let Some((_, envelope)) = self.held.pop_front() else { break };
            out.push(message::Output::Send(envelope));
        }
        match &self.state {
            State::Follower { leader: Some(leader) } => self.confirm(*leader, out),
            State::Candidate { .. } => self.count_votes(now, out),
            State::Leader(_) => self.advance(now, out),
            _ => {}
        }
    }

    /// Hands newly committed entries to the shell.
    pub(super) fn commit_to(&mut self, index: ids::LogIndex, out: &mut Vec<message::Output>) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.slice(self.commit, index, usize::MAX);
        self.commit = index;
        out.push(message::Output::Commit(entries));
    }

    fn compact(&mut self, snapshot: entry::Snapshot) {
        if self.snapshot.as_ref().is_some_and(|newer| newer.index > snapshot.index) {
            return;
        }
        let keep = self.log.trail(snapshot.index);
        self.log.compact(keep);
        self.members.compact(keep);
        self.snapshot = Some(snapshot);
    }

    pub(super) fn adopt(&mut self, group: ids::GroupKey, out: &mut Vec<message::Output>) {
        if self.hard_state.group.is_none() {
            self.hard_state.group = Some(group);
            self.persist_hard(out);
        }
    }

    /// Writes the first entry of a new group. Only the one founder does this, and only once every
    /// founding member has durably joined the group.
    fn found(
        &mut self,
        now: time::Tick,
        membership: entry::Membership,
        out: &mut Vec<message::Output>,
    ) {
        if self.hard_state.group.is_none() || self.log.last() > ids::LogIndex(0) {
            return;
        }
        self.hard_state.term = ids::Term(1);
        let payload = entry::Payload::Membership(membership);
        let entry = entry::Entry { index: ids::LogIndex(1), term: self.hard_state.term, payload };
        self.push_entry(entry.clone());
        let batch = entry::Batch {
            hard_state: Some(self.hard_state),
            entries: vec![entry],
            ..entry::Batch::default()
        };
        self.persist(batch, out);
        self.timer = now;
    }

    /// A snapshot's bytes are whole: they replace everything up to its entry.
    pub(super) fn install(
        &mut self,
        snapshot: entry::Snapshot,
        bytes: Bytes,
        out: &mut Vec<message::Output>,
    ) {
        let held = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let truncate = (!held).then_some(ids::LogIndex(1));
        if held {
            self.log.compact(snapshot.index);
            self.members.compact(snapshot.index);
        } else {
            self.log = log::Log::new(snapshot.index, snapshot.term);
            let membership = snapshot.membership.clone();
            self.members = membership::History::new(snapshot.index, membership);
            // What older batches made durable is void; the batch of the snapshot covers it.
            self.writes.clear();
            self.durable = ids::LogIndex(0);
        }
        self.commit = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        let batch = entry::Batch {
            snapshot: Some((snapshot.clone(), bytes.clone())),
            truncate,
            ..entry::Batch::default()
        };
        self.persist(batch, out);
        out.push(message::Output::Restore(snapshot, bytes));
    }
}
