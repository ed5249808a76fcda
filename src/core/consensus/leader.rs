//! What a leader does: replication, commit, reads, and giving up leadership.

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

/// A read that waits for its confirmation.
#[derive(Debug)]
struct Read {
    token: u64,
    round: u64,
    index: ids::LogIndex,
}

/// What only a leader knows.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<entry::Identity, progress::Progress>,
    /// The first entry of this leader's term.
    pub(super) start: ids::LogIndex,
    /// Whether the shell has been told that it leads.
    pub(super) announced: bool,
    /// When the last heartbeat was sent.
    pub(super) beat: time::Tick,
    /// When the last round that a quorum has answered was sent.
    pub(super) confirmed: time::Tick,
    /// Until when this leader may act without asking.
    pub(super) lease: time::Tick,
    round: u64,
    /// Rounds sent and not yet answered by a quorum.
    rounds: VecDeque<(u64, time::Tick)>,
    reads: VecDeque<Read>,
    waiting_bytes: usize,
    /// When a hand-over under way is given up.
    handing: Option<time::Tick>,
}

impl Core {
    /// Starts to lead the present term.
    pub(super) fn lead(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let last = self.log.last();
        let start = ids::LogIndex(last.0 + 1);
        self.state = State::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            start,
            announced: false,
            beat: now,
            confirmed: now,
            lease: time::Tick(0),
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            waiting_bytes: 0,
            handing: None,
        }));
        self.track_members(now, last);
        let term = self.hard_state.term;
        let noop = entry::Entry { index: start, term, payload: entry::Payload::Noop };
        self.push_own(vec![noop], out);
        self.beat(now, out);
    }

    /// Keeps one progress for each other member.
    fn track_members(&mut self, now: time::Tick, last: ids::LogIndex) {
        let State::Leader(leader) = &mut self.state else { return };
        let members = &self.members.current().members;
        leader.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members {
            if member.id != self.id {
                let fresh = || progress::Progress::new(now, last);
                leader.progress.entry(member.id).or_insert_with(fresh);
            }
        }
    }

    /// Appends entries of this leader and asks for their write.
    fn push_own(&mut self, entries: Vec<entry::Entry>, out: &mut Vec<message::Output>) {
        for entry in &entries {
            self.push_entry(entry.clone());
        }
        self.persist(entry::Batch { entries, ..entry::Batch::default() }, out);
    }

    /// Starts a confirmation round and shows every follower that the leader lives.
    pub(super) fn beat(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &mut self.state else { return };
        if leader.handing.is_some_and(|until| now >= until) {
            self.follow(now, self.hard_state.term, None);
            return;
        }
        leader.beat = now;
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        self.replicate(now, true, out);
        self.advance(now, out);
    }

    /// Sends every follower what it lacks, and a heartbeat to those who lack nothing.
    fn replicate(&mut self, now: time::Tick, beat: bool, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let peers: Vec<_> = leader.progress.keys().copied().collect();
        for id in peers {
            self.replicate_to(now, id, beat, out);
        }
    }

    fn replicate_to(
        &mut self,
        now: time::Tick,
        id: entry::Identity,
        beat: bool,
        out: &mut Vec<message::Output>,
    ) {
        let mut sent = false;
        while self.send_entries(id, out) {
            sent = true;
        }
        if beat && !sent {
            self.send_append(id, Vec::new(), out);
        }
        self.send_snapshot(now, id, out);
    }

    /// Sends the next entries, if there are any and there is room for them.
    fn send_entries(&mut self, id: entry::Identity, out: &mut Vec<message::Output>) -> bool {
        let State::Leader(leader) = &mut self.state else { return false };
        let Some(peer) = leader.progress.get_mut(&id) else { return false };
        let prev = ids::LogIndex(peer.next.0 - 1);
        let held = self.log.term_at(prev).is_some();
        if !held || peer.transfer.is_some() || !peer.has_room() {
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
        // A follower that needs a snapshot is shown the oldest entry there is.
        let prev = ids::LogIndex(peer.next.0 - 1).max(self.log.base());
        let Some(prev_term) = self.log.term_at(prev) else { return };
        if let Some(last) = entries.last() {
            let bytes = entries.iter().map(entry::Entry::size).sum();
            peer.sent(last.index, bytes);
        }
        let (commit, round) = (self.commit, leader.round);
        let body = message::Body::Append { prev, prev_term, entries, commit, round };
        self.send(id, self.hard_state.term, body, out);
    }

    /// Sends the next piece of a snapshot to a follower that needs one and has answered the last
    /// piece, or has not for long.
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
                if transfer.sent.is_some_and(|sent| now - sent < consensus::CHUNK_RETRY_INTERVAL) {
                    return;
                }
                transfer.offset
            }
            _ => 0,
        };
        // A complete transfer that was not confirmed has failed its checksum.
        let offset = if offset < snapshot.length { offset } else { 0 };
        peer.transfer = Some(progress::Transfer { index: snapshot.index, offset, sent: Some(now) });
        let snapshot = snapshot.clone();
        let body = message::Body::SnapshotChunk { snapshot, offset, bytes: Bytes::new() };
        self.send(id, self.hard_state.term, body, out);
    }

    pub(super) fn chunk_answered(
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
        peer.heard = now;
        let Some(transfer) = &mut peer.transfer else { return };
        if transfer.index != index {
            return;
        }
        let moved = transfer.offset != offset;
        transfer.offset = offset;
        if moved && offset < length {
            transfer.sent = None;
            self.send_snapshot(now, from, out);
        }
    }

    pub(super) fn answered(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        matched: ids::LogIndex,
        round: u64,
        mismatch: Option<message::Mismatch>,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.known_as(from);
        let last = self.log.last();
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.progress.get_mut(&from) else { return };
        if matched > last {
            return;
        }
        peer.heard = now;
        peer.round = peer.round.max(round.min(leader.round));
        peer.confirm(matched);
        if let Some(mismatch) = mismatch {
            let news = mismatch.prev > peer.matched && mismatch.prev < peer.next;
            if news && peer.transfer.is_none() {
                peer.back_up(mismatch.hint);
            }
        }
        self.replicate_to(now, from, false, out);
        self.advance(now, out);
    }

    /// Draws the conclusions from what a quorum has confirmed.
    pub(super) fn advance(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        self.advance_commit(now, out);
        self.advance_round(out);
        self.advance_hand_over(now, out);
    }

    fn advance_commit(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let matched = |id| match id == self.id {
            true => self.durable.0,
            false => leader.progress.get(&id).map_or(0, |peer| peer.matched.0),
        };
        let Some(index) = self.members.current().quorum_value(matched).map(ids::LogIndex) else {
            return;
        };
        // Entries of earlier terms are committed by those of the leader's own.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let before = self.commit;
        self.commit_to(index, out);
        let sizes = (before.0 + 1..=index.0).filter_map(|at| self.log.get(ids::LogIndex(at)));
        let bytes: usize = sizes.map(entry::Entry::size).sum();
        if let State::Leader(leader) = &mut self.state {
            leader.waiting_bytes = leader.waiting_bytes.saturating_sub(bytes);
        }
        let removed = !self.members.current().is_voter(self.id);
        if removed && self.members.since() <= self.commit {
            self.replicate(now, true, out);
            self.follow(now, self.hard_state.term, None);
        }
    }

    fn advance_round(&mut self, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &mut self.state else { return };
        let round = |id| match id == self.id {
            true => leader.round,
            false => leader.progress.get(&id).map_or(0, |peer| peer.round),
        };
        let round = self.members.current().quorum_value(round).unwrap_or(0);
        while let Some(&(sent, at)) = leader.rounds.front() {
            if sent > round {
                break;
            }
            leader.confirmed = at;
            leader.lease = at + consensus::LEADER_LEASE;
            leader.rounds.pop_front();
        }
        while let Some(read) = leader.reads.front() {
            let confirmed = read.round <= round || !self.rules.confirm_reads;
            if !confirmed || read.index > self.commit {
                break;
            }
            out.push(message::Output::ReadReady { token: read.token, index: read.index });
            leader.reads.pop_front();
        }
    }

    /// Appends commands, as far as there is room.
    pub(super) fn propose(
        &mut self,
        now: time::Tick,
        commands: Vec<(u64, Bytes)>,
        out: &mut Vec<message::Output>,
    ) {
        let (term, mut index) = (self.hard_state.term, self.log.last());
        let commit = self.commit;
        let mut entries = Vec::new();
        for (token, bytes) in commands {
            let refused = match &mut self.state {
                State::Leader(leader) if leader.handing.is_none() => {
                    let full = index.0 - commit.0 >= consensus::MAX_UNCOMMITTED_ENTRIES
                        || leader.waiting_bytes + bytes.len() > consensus::MAX_UNCOMMITTED_BYTES
                        || bytes.len() > consensus::MAX_COMMAND_BYTES;
                    leader.waiting_bytes += if full { 0 } else { bytes.len() };
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
            self.push_own(entries, out);
            self.replicate(now, false, out);
            self.advance(now, out);
        }
    }

    /// Confirms by one round that this replica still leads.
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
        let index = self.commit.max(leader.start);
        let round = leader.round + 1;
        leader.reads.extend(tokens.into_iter().map(|token| Read { token, round, index }));
        self.beat(now, out);
    }

    /// Appends a membership one step from the present one.
    pub(super) fn reconfigure(
        &mut self,
        now: time::Tick,
        token: u64,
        membership: entry::Membership,
        out: &mut Vec<message::Output>,
    ) {
        let reason = match &self.state {
            State::Leader(leader) if leader.handing.is_none() => {
                let settled = self.commit >= leader.start && self.members.since() <= self.commit;
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
        self.push_own(vec![entry::Entry { index, term, payload }], out);
        self.track_members(now, last);
        self.replicate(now, true, out);
        self.advance(now, out);
    }

    /// Takes no more proposals, and looks for a voter to lead on.
    pub(super) fn hand_over(&mut self, now: time::Tick) {
        let alone = self.members.current().voters().all(|id| id == self.id);
        let State::Leader(leader) = &mut self.state else { return };
        if alone {
            self.follow(now, self.hard_state.term, None);
        } else {
            leader.handing = Some(now + consensus::LEADERSHIP_TRANSFER_TIMEOUT);
            leader.beat = time::Tick(0);
        }
    }

    /// Gives up the lease for good, then tells a voter that has everything to stand.
    fn advance_hand_over(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Leader(leader) = &self.state else { return };
        let last = self.log.last();
        if leader.handing.is_none() || self.commit < last {
            return;
        }
        let ready =
            |id: &entry::Identity| leader.progress.get(id).is_some_and(|peer| peer.matched == last);
        let Some(heir) = self.members.current().voters().find(ready) else { return };
        self.send(heir, self.hard_state.term, message::Body::TimeoutNow, out);
        self.follow(now, self.hard_state.term, None);
    }
}
