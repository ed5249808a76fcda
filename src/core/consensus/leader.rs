//! A leader's work: replication, commit, linearizable reads and leadership transfer.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::consensus::progress;
use crate::core::consensus::replica::Core;
use crate::core::consensus::replica::State;
use crate::core::ids;
use crate::core::time;

/// A read that waits for a confirmation round.
#[derive(Debug)]
struct Read {
    token: u64,
    round: u64,
    index: ids::LogIndex,
}

/// The state that only a leader has.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<entry::Identity, progress::Progress>,
    /// The index of the first entry of this leader's term.
    pub(super) first_index: ids::LogIndex,
    /// Whether the leader role has been reported to the core's caller.
    pub(super) announced: bool,
    /// When the last heartbeat was sent.
    pub(super) last_heartbeat: time::Tick,
    /// When the last round that a quorum has responded to was sent.
    pub(super) last_quorum: time::Tick,
    /// The end of the lease, up to which this leader may act without another confirmation.
    pub(super) lease_end: time::Tick,
    round: u64,
    /// Rounds that a quorum has not responded to yet, with the time each was sent.
    pending_rounds: VecDeque<(u64, time::Tick)>,
    pending_reads: VecDeque<Read>,
    uncommitted_bytes: usize,
    /// When the leadership transfer in progress is abandoned.
    transfer_deadline: Option<time::Tick>,
}

impl Core {
    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let last = self.log.last();
        let first_index = ids::LogIndex(last.0 + 1);
        self.state = State::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            first_index,
            announced: false,
            last_heartbeat: now,
            last_quorum: now,
            lease_end: time::Tick(0),
            round: 0,
            pending_rounds: VecDeque::new(),
            pending_reads: VecDeque::new(),
            uncommitted_bytes: 0,
            transfer_deadline: None,
        }));
        self.track_members(now, last);
        let term = self.hard_state.term;
        let noop = entry::Entry { index: first_index, term, payload: entry::Payload::Noop };
        self.append_own(vec![noop], out);
        self.send_heartbeats(now, out);
    }

    /// Tracks the progress of each other member.
    fn track_members(&mut self, now: time::Tick, last: ids::LogIndex) {
        let State::Leader(leader) = &mut self.state else { return };
        let members = &self.members.current().members;
        leader.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members {
            if member.id != self.id {
                let new_progress = || progress::Progress::new(now, last);
                leader.progress.entry(member.id).or_insert_with(new_progress);
            }
        }
    }

    /// Appends entries of this leader and requests their write.
    fn append_own(&mut self, entries: Vec<entry::Entry>, out: &mut Vec<message::Output>) {
        for entry in &entries {
            self.push_entry(entry.clone());
        }
        self.persist(entry::Batch { entries, ..entry::Batch::default() }, out);
    }

    /// Starts a confirmation round with an append or a heartbeat to every follower.
    pub(super) fn send_heartbeats(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &mut self.state else { return };
        if leader.transfer_deadline.is_some_and(|until| now >= until) {
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        leader.last_heartbeat = now;
        leader.round += 1;
        leader.pending_rounds.push_back((leader.round, now));
        self.replicate(now, true, out);
        self.advance(now, out);
    }

    /// Sends every follower the entries that it lacks; if `heartbeat` is set, also an empty append
    /// to each follower that got no entries.
    fn replicate(&mut self, now: time::Tick, heartbeat: bool, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let peers: Vec<_> = leader.progress.keys().copied().collect();
        for id in peers {
            self.replicate_to(now, id, heartbeat, out);
        }
    }

    fn replicate_to(
        &mut self,
        now: time::Tick,
        id: entry::Identity,
        heartbeat: bool,
        out: &mut Vec<message::Output>,
    ) {
        let mut sent = false;
        while self.send_entries(id, out) {
            sent = true;
        }
        if heartbeat && !sent {
            self.send_append(id, Vec::new(), out);
        }
        self.send_snapshot(now, id, out);
    }

    /// Sends the next entries, if there are any and the limits on data in flight allow it.
    /// Returns whether an append was sent.
    fn send_entries(&mut self, id: entry::Identity, out: &mut Vec<message::Output>) -> bool {
        let State::Leader(leader) = &mut self.state else { return false };
        let Some(peer) = leader.progress.get_mut(&id) else { return false };
        let prev = ids::LogIndex(peer.next.0 - 1);
        let retained = self.log.term_at(prev).is_some();
        if !retained || peer.transfer.is_some() || !peer.can_send() {
            return false;
        }
        let entries = self.log.slice(prev, self.log.last(), consensus::MAX_APPEND_BYTES);
        if entries.is_empty() {
            return false;
        }
        self.send_append(id, entries, out);
        true
    }

    fn send_append(
        &mut self,
        id: entry::Identity,
        entries: Vec<entry::Entry>,
        out: &mut Vec<message::Output>,
    ) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.progress.get_mut(&id) else { return };
        // For a follower that needs a snapshot, `prev` is the oldest known index.
        let prev = ids::LogIndex(peer.next.0 - 1).max(self.log.base());
        let Some(prev_term) = self.log.term_at(prev) else { return };
        if let Some(last) = entries.last() {
            let bytes = entries.iter().map(entry::Entry::size).sum();
            peer.record_sent(last.index, bytes);
        }
        let (commit, round) = (self.commit_index, leader.round);
        let body = message::Body::Append { prev, prev_term, entries, commit, round };
        self.send(id, self.hard_state.term, body, out);
    }

    /// Sends the next chunk of the snapshot to a follower that needs it, once the follower has
    /// responded to the last chunk or the retry interval has passed.
    fn send_snapshot(
        &mut self,
        now: time::Tick,
        id: entry::Identity,
        out: &mut Vec<message::Output>,
    ) {
        let Some(snapshot) = &self.snapshot else { return };
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.progress.get_mut(&id) else { return };
        if peer.next.0 > self.log.base().0 {
            peer.transfer = None;
            return;
        }
        let offset = match &peer.transfer {
            Some(transfer) if transfer.index == snapshot.index => {
                if transfer.sent_at.is_some_and(|at| now - at < consensus::CHUNK_RETRY_INTERVAL) {
                    return;
                }
                transfer.offset
            }
            _ => 0,
        };
        // A complete transfer that was not confirmed failed its checksum, and starts again.
        let offset = if offset < snapshot.length { offset } else { 0 };
        peer.transfer =
            Some(progress::SnapshotTransfer { index: snapshot.index, offset, sent_at: Some(now) });
        let snapshot = snapshot.clone();
        let body = message::Body::SnapshotChunk { snapshot, offset, bytes: Bytes::new() };
        self.send(id, self.hard_state.term, body, out);
    }

    pub(super) fn on_chunk_response(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        index: ids::LogIndex,
        offset: u64,
        out: &mut Vec<message::Output>,
    ) {
        let length = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.length);
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.progress.get_mut(&from) else { return };
        peer.last_response = now;
        let Some(transfer) = &mut peer.transfer else { return };
        if transfer.index != index {
            return;
        }
        let moved = transfer.offset != offset;
        transfer.offset = offset;
        if moved && offset < length {
            transfer.sent_at = None;
            self.send_snapshot(now, from, out);
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        matched: ids::LogIndex,
        round: u64,
        mismatch: Option<message::Mismatch>,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.resolve_member(from);
        let last = self.log.last();
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.progress.get_mut(&from) else { return };
        if matched > last {
            return;
        }
        peer.last_response = now;
        peer.round = peer.round.max(round.min(leader.round));
        peer.record_matched(matched);
        if let Some(mismatch) = mismatch {
            let relevant = mismatch.prev > peer.matched && mismatch.prev < peer.next;
            if relevant && peer.transfer.is_none() {
                peer.rewind(mismatch.hint);
            }
        }
        self.replicate_to(now, from, false, out);
        self.advance(now, out);
    }

    /// Advances the commit index, the confirmed round and the leadership transfer.
    pub(super) fn advance(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        self.advance_commit(now, out);
        self.advance_round(out);
        self.advance_transfer(now, out);
    }

    fn advance_commit(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let matched = |id| match id == self.id {
            true => self.durable_index.0,
            false => leader.progress.get(&id).map_or(0, |peer| peer.matched.0),
        };
        let Some(index) = self.members.current().quorum_value(matched).map(ids::LogIndex) else {
            return;
        };
        // Entries of earlier terms are committed only along with one of the leader's own term.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let previous = self.commit_index;
        self.commit_to(index, out);
        let sizes = (previous.0 + 1..=index.0).filter_map(|at| self.log.get(ids::LogIndex(at)));
        let bytes: usize = sizes.map(entry::Entry::size).sum();
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
        let removed = !self.members.current().is_voter(self.id);
        if removed && self.members.current_index() <= self.commit_index {
            self.replicate(now, true, out);
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    fn advance_round(&mut self, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &mut self.state else { return };
        let round = |id| match id == self.id {
            true => leader.round,
            false => leader.progress.get(&id).map_or(0, |peer| peer.round),
        };
        let round = self.members.current().quorum_value(round).unwrap_or(0);
        while let Some(&(sent, at)) = leader.pending_rounds.front() {
            if sent > round {
                break;
            }
            leader.last_quorum = at;
            leader.lease_end = at + consensus::LEADER_LEASE;
            leader.pending_rounds.pop_front();
        }
        while let Some(read) = leader.pending_reads.front() {
            let confirmed = read.round <= round || !self.rules.confirm_reads;
            if !confirmed || read.index > self.commit_index {
                break;
            }
            out.push(message::Output::ReadReady { token: read.token, index: read.index });
            leader.pending_reads.pop_front();
        }
    }

    /// Appends commands, as far as the limits on uncommitted entries allow.
    pub(super) fn propose(
        &mut self,
        now: time::Tick,
        commands: Vec<(u64, Bytes)>,
        out: &mut Vec<message::Output>,
    ) {
        let (term, mut index) = (self.hard_state.term, self.log.last());
        let commit = self.commit_index;
        let mut entries = Vec::new();
        for (token, bytes) in commands {
            let refused = match &mut self.state {
                State::Leader(leader) if leader.transfer_deadline.is_none() => {
                    let full = index.0 - commit.0 >= consensus::MAX_UNCOMMITTED_ENTRIES
                        || leader.uncommitted_bytes + bytes.len()
                            > consensus::MAX_UNCOMMITTED_BYTES
                        || bytes.len() > consensus::MAX_COMMAND_BYTES;
                    leader.uncommitted_bytes += if full { 0 } else { bytes.len() };
                    full.then_some(message::Refusal::Busy)
                }
                _ => Some(message::Refusal::NotLeader),
            };
            if let Some(reason) = refused {
                out.push(message::Output::Refused { token, reason });
                continue;
            }
            index.0 += 1;
            entries.push(entry::Entry { index, term, payload: entry::Payload::Command(bytes) });
            out.push(message::Output::Accepted { token, index, term });
        }
        if !entries.is_empty() {
            self.append_own(entries, out);
            self.replicate(now, false, out);
            self.advance(now, out);
        }
    }

    /// Starts one round to confirm that this replica still leads, for these reads.
    pub(super) fn read(
        &mut self,
        now: time::Tick,
        tokens: Vec<u64>,
        out: &mut Vec<message::Output>,
    ) {
        let State::Leader(leader) = &mut self.state else {
            let reason = message::Refusal::NotLeader;
            out.extend(tokens.into_iter().map(|token| message::Output::Refused { token, reason }));
            return;
        };
        let index = self.commit_index.max(leader.first_index);
        let round = leader.round + 1;
        leader.pending_reads.extend(tokens.into_iter().map(|token| Read { token, round, index }));
        self.send_heartbeats(now, out);
    }

    /// Appends a membership that differs from the current one by at most one voter.
    pub(super) fn reconfigure(
        &mut self,
        now: time::Tick,
        token: u64,
        membership: entry::Membership,
        out: &mut Vec<message::Output>,
    ) {
        let reason = match &self.state {
            State::Leader(leader) if leader.transfer_deadline.is_none() => {
                let settled = self.commit_index >= leader.first_index
                    && self.members.current_index() <= self.commit_index;
                let step = self.members.current().voter_changes(&membership) <= 1;
                let voters = membership.voters().next().is_some();
                (!settled || !step || !voters).then_some(message::Refusal::Busy)
            }
            _ => Some(message::Refusal::NotLeader),
        };
        if let Some(reason) = reason {
            out.push(message::Output::Refused { token, reason });
            return;
        }
        let (term, last) = (self.hard_state.term, self.log.last());
        let index = ids::LogIndex(last.0 + 1);
        let payload = entry::Payload::Membership(membership);
        out.push(message::Output::Accepted { token, index, term });
        self.append_own(vec![entry::Entry { index, term, payload }], out);
        self.track_members(now, last);
        self.replicate(now, true, out);
        self.advance(now, out);
    }

    /// Accepts no more proposals, and starts the transfer of leadership to another voter.
    pub(super) fn transfer_leadership(&mut self, now: time::Tick) {
        let sole_voter = self.members.current().voters().all(|id| id == self.id);
        let State::Leader(leader) = &mut self.state else { return };
        if sole_voter {
            self.become_follower(now, self.hard_state.term, None);
        } else {
            leader.transfer_deadline = Some(now + consensus::LEADERSHIP_TRANSFER_TIMEOUT);
            leader.last_heartbeat = time::Tick(0);
        }
    }

    /// Steps down, and so gives up the lease for good, once a voter has all entries; tells that
    /// voter to start an election.
    fn advance_transfer(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let last = self.log.last();
        if leader.transfer_deadline.is_none() || self.commit_index < last {
            return;
        }
        let ready =
            |id: &entry::Identity| leader.progress.get(id).is_some_and(|peer| peer.matched == last);
        let Some(successor) = self.members.current().voters().find(ready) else { return };
        self.send(successor, self.hard_state.term, message::Body::TimeoutNow, out);
        self.become_follower(now, self.hard_state.term, None);
    }
}
