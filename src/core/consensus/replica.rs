//! One replica of the log: its state, and the handling of its inputs.

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

/// The identity and the durable state that a replica starts from.
#[derive(Clone, Debug)]
pub struct InitialState {
    /// The identity of the replica.
    pub id: entry::Identity,
    /// The hard state.
    pub hard_state: entry::HardState,
    /// The newest snapshot.
    pub snapshot: Option<entry::Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<entry::Entry>,
    /// The seed of the election jitter.
    pub seed: u64,
    /// The enabled safety rules.
    pub rules: consensus::SafetyRules,
}

/// The role of a replica, with the data that only this role needs.
#[derive(Debug)]
pub(super) enum State {
    Follower { leader: Option<entry::Identity> },
    PreCandidate { votes: BTreeSet<entry::Identity> },
    Candidate { votes: BTreeSet<entry::Identity> },
    Leader(Box<leader::Leader>),
}

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) snapshot: entry::Snapshot,
    pub(super) bytes: Vec<u8>,
}

/// The state machine of one replica, without I/O.
#[derive(Debug)]
pub struct Core {
    pub(super) id: entry::Identity,
    pub(super) hard_state: entry::HardState,
    pub(super) rules: consensus::SafetyRules,
    pub(super) log: log::Log,
    pub(super) members: membership::History,
    pub(super) snapshot: Option<entry::Snapshot>,
    pub(super) commit_index: ids::LogIndex,
    pub(super) state: State,
    /// When a replica that is not the leader starts an election.
    pub(super) election_deadline: time::Tick,
    /// The time before which no vote is granted.
    pub(super) withheld_until: time::Tick,
    /// The last index up to which the log is known to match that of this term's leader.
    pub(super) verified_index: ids::LogIndex,
    /// The latest confirmation round received in this term.
    pub(super) round: u64,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// The last entry that is durable here.
    pub(super) durable_index: ids::LogIndex,
    /// The last batch that is durable.
    pub(super) persisted_sequence: u64,
    announced_role: message::Role,
    /// The term that this replica led after the last input.
    led_term: Option<ids::Term>,
    /// The sequence number of the last batch.
    last_sequence: u64,
    /// The batch that holds the current hard state.
    hard_sequence: u64,
    /// Batches that are not durable yet, with the last entry that is durable once they are.
    pending_writes: VecDeque<(u64, ids::LogIndex)>,
    /// Messages to send once a batch is durable.
    pending_messages: VecDeque<(u64, message::Envelope)>,
    rng: ChaCha8Rng,
}

impl Core {
    /// A replica that starts from its durable state.
    pub fn new(now: time::Tick, initial: InitialState) -> Self {
        let base = initial.snapshot.as_ref().map_or(ids::LogIndex(0), |s| s.index);
        let base_term = initial.snapshot.as_ref().map_or(ids::Term(0), |s| s.term);
        let members = initial.snapshot.as_ref().map(|s| s.membership.clone()).unwrap_or_default();
        let mut core = Self {
            id: initial.id,
            hard_state: initial.hard_state,
            rules: initial.rules,
            log: log::Log::new(base, base_term),
            members: membership::History::new(base, members),
            snapshot: initial.snapshot,
            commit_index: base,
            state: State::Follower { leader: None },
            election_deadline: now,
            withheld_until: now,
            verified_index: base,
            round: 0,
            incoming: None,
            durable_index: base,
            persisted_sequence: 0,
            announced_role: message::Role::Follower(None),
            led_term: None,
            last_sequence: 0,
            hard_sequence: 0,
            pending_writes: VecDeque::new(),
            pending_messages: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(initial.seed),
        };
        for entry in initial.entries {
            core.push_entry(entry);
        }
        core.durable_index = core.log.last();
        if core.hard_state.term > ids::Term(0) {
            // The replica may have confirmed a leader's lease just before it stopped.
            core.withheld_until = now + consensus::ELECTION_TIMEOUT;
        }
        core.reset_election_timer(now);
        if core.members.current().voters().all(|id| id == core.id) {
            // No other voter can be the leader.
            core.election_deadline = now;
        }
        core
    }

    /// Handles one input. The same inputs at the same times give the same outputs.
    pub fn step(&mut self, now: time::Tick, input: message::Input, out: &mut Vec<message::Output>) {
        self.check_quorum(now);
        match input {
            message::Input::Tick => self.tick(now, out),
            message::Input::Receive(envelope) => self.receive(now, envelope, out),
            message::Input::Persisted(sequence) => self.on_persisted(now, sequence, out),
            message::Input::Propose(commands) => self.propose(now, commands, out),
            message::Input::Read(tokens) => self.read(now, tokens, out),
            message::Input::Reconfigure { token, membership } => {
                self.reconfigure(now, token, membership, out);
            }
            message::Input::TransferLeadership => self.transfer_leadership(now),
            message::Input::Compact(snapshot) => self.compact(snapshot),
            message::Input::JoinGroup(group) => self.join_group(group, out),
            message::Input::Bootstrap(membership) => self.bootstrap(now, membership, out),
        }
        self.announce_role(now, out);
    }

    /// The time at which the next [`message::Input::Tick`] is due.
    pub fn deadline(&self) -> time::Tick {
        match &self.state {
            State::Leader(leader) => leader.last_heartbeat + consensus::HEARTBEAT_INTERVAL,
            _ => self.election_deadline,
        }
    }

    /// The identity of this replica.
    pub fn id(&self) -> entry::Identity {
        self.id
    }

    /// The hard state.
    pub fn hard_state(&self) -> &entry::HardState {
        &self.hard_state
    }

    /// The group that this store belongs to, once that is durable.
    pub fn group(&self) -> Option<ids::GroupKey> {
        self.hard_state.group.filter(|_| self.hard_durable())
    }

    /// Whether the current hard state is durable.
    pub(super) fn hard_durable(&self) -> bool {
        self.hard_sequence <= self.persisted_sequence
    }

    /// The membership in force.
    pub fn membership(&self) -> &entry::Membership {
        self.members.current()
    }

    /// The membership as of a committed entry.
    pub fn membership_at(&self, index: ids::LogIndex) -> &entry::Membership {
        self.members.at(index)
    }

    /// The term of an entry, if it is known in memory.
    pub fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        self.log.term_at(index)
    }

    /// The index of the last entry.
    pub fn last(&self) -> ids::LogIndex {
        self.log.last()
    }

    /// The index of the last entry known to be committed.
    pub fn committed(&self) -> ids::LogIndex {
        self.commit_index
    }

    /// The last index up to which a member's durable log matches; 0 for other members unless this
    /// replica is the leader.
    pub fn matched(&self, id: entry::Identity) -> ids::LogIndex {
        match &self.state {
            _ if id == self.id => self.durable_index,
            State::Leader(leader) => {
                leader.progress.get(&id).map_or(ids::LogIndex(0), |peer| peer.matched)
            }
            _ => ids::LogIndex(0),
        }
    }

    /// When a follower last responded; none unless this replica is the leader.
    pub fn last_response(&self, id: entry::Identity) -> Option<time::Tick> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id).map(|peer| peer.last_response),
            _ => None,
        }
    }

    /// The replication state of a member; meaningful on the leader only.
    pub fn member_state(&self, now: time::Tick, id: entry::Identity) -> membership::MemberState {
        let matched = self.matched(id).0;
        if self.last_response(id).is_some_and(|at| at + consensus::ELECTION_TIMEOUT <= now) {
            membership::MemberState::Unresponsive
        } else if matched > 0 && matched + consensus::MAX_PROMOTION_LAG >= self.last().0 {
            membership::MemberState::CaughtUp
        } else {
            membership::MemberState::Lagging
        }
    }

    /// The role that was last reported in [`message::Output::RoleChanged`].
    pub fn role(&self) -> message::Role {
        self.announced_role
    }

    /// Whether this replica leads and its lease is valid at this time.
    pub fn leads(&self, now: time::Tick) -> bool {
        match &self.state {
            State::Leader(leader) => {
                leader.announced && (now < leader.lease_end || !self.rules.lease)
            }
            _ => false,
        }
    }

    fn tick(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        if matches!(self.state, State::Leader(_)) {
            self.send_heartbeats(now, out);
        } else if now >= self.election_deadline {
            self.on_election_timeout(now, out);
        }
    }

    /// Reports a change of role.
    fn announce_role(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let leads = matches!(self.state, State::Leader(_)).then_some(self.hard_state.term);
        if self.led_term.is_some() && self.led_term != leads {
            out.push(message::Output::SteppedDown);
        }
        self.led_term = leads;
        let role = match &mut self.state {
            State::Leader(leader) => {
                let ready = self.commit_index >= leader.first_index && now < leader.lease_end;
                leader.announced |= ready;
                match leader.announced {
                    true => message::Role::Leader(self.hard_state.term),
                    false => message::Role::Follower(None),
                }
            }
            State::Follower { leader } => message::Role::Follower(*leader),
            State::PreCandidate { .. } | State::Candidate { .. } => message::Role::Follower(None),
        };
        if role != self.announced_role {
            self.announced_role = role;
            out.push(message::Output::RoleChanged(role));
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: time::Tick) {
        let spread = self.rng.next_u64() % consensus::ELECTION_JITTER.0;
        self.election_deadline = now + consensus::ELECTION_TIMEOUT + time::Millis(spread);
    }

    /// Becomes a follower in a term, with its leader if that is known.
    pub(super) fn become_follower(
        &mut self,
        now: time::Tick,
        term: ids::Term,
        leader: Option<entry::Identity>,
    ) {
        let led = matches!(self.state, State::Leader(_));
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.verified_index = self.commit_index;
            self.round = 0;
        }
        if led {
            self.verified_index = self.commit_index;
        }
        self.state = State::Follower { leader };
        self.reset_election_timer(now);
    }

    /// Appends an entry to the log in memory.
    pub(super) fn push_entry(&mut self, entry: entry::Entry) {
        if let entry::Payload::Membership(membership) = &entry.payload {
            self.members.push(entry.index, membership.clone());
        }
        self.log.push(entry);
    }

    /// Removes this entry and all later ones, also from what pending writes make durable.
    pub(super) fn truncate(&mut self, from: ids::LogIndex) {
        let last = ids::LogIndex(from.0 - 1);
        self.log.truncate(from);
        self.members.truncate(from);
        self.durable_index = self.durable_index.min(last);
        for (_, durable) in &mut self.pending_writes {
            *durable = last.min(*durable);
        }
    }

    /// Requests a write. Returns its sequence number.
    pub(super) fn persist(&mut self, batch: entry::Batch, out: &mut Vec<message::Output>) -> u64 {
        self.last_sequence += 1;
        let batch = entry::Batch { sequence: self.last_sequence, ..batch };
        if batch.hard_state.is_some() {
            self.hard_sequence = self.last_sequence;
        }
        self.pending_writes.push_back((self.last_sequence, self.log.last()));
        out.push(message::Output::Persist(batch));
        if !self.rules.sync {
            self.durable_index = self.log.last();
            self.persisted_sequence = self.last_sequence;
        }
        self.last_sequence
    }

    /// Requests a write of the hard state. Returns its sequence number.
    pub(super) fn persist_hard(&mut self, out: &mut Vec<message::Output>) -> u64 {
        let batch = entry::Batch { hard_state: Some(self.hard_state), ..entry::Batch::default() };
        self.persist(batch, out)
    }

    /// Sends a message as soon as the hard state that it depends on is durable.
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
            self.pending_messages.push_back((self.hard_sequence, envelope));
        } else {
            out.push(message::Output::Send(envelope));
        }
    }

    fn on_persisted(&mut self, now: time::Tick, sequence: u64, out: &mut Vec<message::Output>) {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        while let Some(&(written, last)) = self.pending_writes.front() {
            if written > sequence {
                break;
            }
            self.durable_index = last;
            self.pending_writes.pop_front();
        }
        while self
            .pending_messages
            .front()
            .is_some_and(|(waits, _)| *waits <= self.persisted_sequence)
        {
            let Some((_, envelope)) = self.pending_messages.pop_front() else { break };
            out.push(message::Output::Send(envelope));
        }
        match &self.state {
            State::Follower { leader: Some(leader) } => self.send_matched(*leader, out),
            State::Candidate { .. } => self.count_votes(now, out),
            State::Leader(_) => self.advance(now, out),
            _ => {}
        }
    }

    /// Advances the commit index, and outputs the newly committed entries.
    pub(super) fn commit_to(&mut self, index: ids::LogIndex, out: &mut Vec<message::Output>) {
        if index <= self.commit_index {
            return;
        }
        let entries = self.log.slice(self.commit_index, index, usize::MAX);
        self.commit_index = index;
        out.push(message::Output::Commit(entries));
    }

    fn compact(&mut self, snapshot: entry::Snapshot) {
        if self.snapshot.as_ref().is_some_and(|newer| newer.index > snapshot.index) {
            return;
        }
        let base = self.log.trailing_base(snapshot.index);
        self.log.compact(base);
        self.members.compact(base);
        self.snapshot = Some(snapshot);
    }

    pub(super) fn join_group(&mut self, group: ids::GroupKey, out: &mut Vec<message::Output>) {
        if self.hard_state.group.is_none() {
            self.hard_state.group = Some(group);
            self.persist_hard(out);
        }
    }

    /// Writes the first entry of a new group. Only one replica may do this, and only once every
    /// initial member has durably joined the group.
    fn bootstrap(
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
        self.election_deadline = now;
    }

    /// Installs a completely received snapshot in place of all entries that it covers.
    pub(super) fn install_snapshot(
        &mut self,
        snapshot: entry::Snapshot,
        bytes: Bytes,
        out: &mut Vec<message::Output>,
    ) {
        let matches = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let truncate = (!matches).then_some(ids::LogIndex(1));
        if matches {
            self.log.compact(snapshot.index);
            self.members.compact(snapshot.index);
        } else {
            self.log = log::Log::new(snapshot.index, snapshot.term);
            let membership = snapshot.membership.clone();
            self.members = membership::History::new(snapshot.index, membership);
            // Entries of earlier batches are void; the batch with the snapshot replaces them.
            self.pending_writes.clear();
            self.durable_index = ids::LogIndex(0);
        }
        self.commit_index = snapshot.index;
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
