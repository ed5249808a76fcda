//! What a follower does with entries and snapshots.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::consensus::replica;
use crate::core::consensus::replica::Core;
use crate::core::ids;

impl Core {
    /// Takes entries behind `prev`, if that one is here.
    pub(super) fn append(
        &mut self,
        from: entry::Identity,
        (mut prev, mut prev_term): (ids::LogIndex, ids::Term),
        mut entries: Vec<entry::Entry>,
        (commit, round): (ids::LogIndex, u64),
        out: &mut Vec<message::Output>,
    ) {
        self.round = self.round.max(round);
        let consecutive = (prev.0 + 1..).zip(&entries).all(|(index, entry)| entry.index.0 == index);
        if !consecutive {
            return;
        }
        let base = self.log.base();
        if prev < base {
            // Everything up to the base is committed, and so equal here and there.
            entries.retain(|entry| entry.index > base);
            prev = base;
            prev_term = self.log.term_at(base).unwrap_or(prev_term);
        }
        if self.log.term_at(prev) != Some(prev_term) {
            // What is committed here is equal to the leader's.
            let hint = if prev > self.log.last() { self.log.last() } else { self.commit };
            self.answer_append(from, Some(message::Mismatch { prev, hint }), out);
            return;
        }
        let last = ids::LogIndex(prev.0 + entries.len() as u64);
        if !self.merge(entries, out) {
            return;
        }
        self.verified = self.verified.max(last);
        self.commit_to(commit.min(self.verified), out);
        self.confirm(from, out);
    }

    /// Appends what is new, after dropping what differs. False if committed entries would go.
    fn merge(&mut self, entries: Vec<entry::Entry>, out: &mut Vec<message::Output>) -> bool {
        let held = |entry: &entry::Entry| self.log.term_at(entry.index) == Some(entry.term);
        let known = entries.iter().take_while(|entry| held(entry)).count();
        let fresh: Vec<_> = entries.into_iter().skip(known).collect();
        let Some(first) = fresh.first().map(|entry| entry.index) else { return true };
        if first <= self.commit {
            return false;
        }
        let truncate = (first <= self.log.last()).then_some(first);
        if truncate.is_some() {
            self.truncate(first);
        }
        for entry in &fresh {
            self.push_entry(entry.clone());
        }
        let batch = entry::Batch { truncate, entries: fresh, ..entry::Batch::default() };
        self.persist(batch, out);
        true
    }

    /// Tells the leader what is durable here.
    pub(super) fn confirm(&mut self, leader: entry::Identity, out: &mut Vec<message::Output>) {
        self.answer_append(leader, None, out);
    }

    fn answer_append(
        &mut self,
        leader: entry::Identity,
        mismatch: Option<message::Mismatch>,
        out: &mut Vec<message::Output>,
    ) {
        let matched = self.verified.min(self.durable);
        let body = message::Body::AppendResponse { matched, round: self.round, mismatch };
        self.send(leader, self.hard_state.term, body, out);
    }

    /// Takes a piece of a snapshot.
    pub(super) fn chunk(
        &mut self,
        from: entry::Identity,
        snapshot: entry::Snapshot,
        offset: u64,
        bytes: &Bytes,
        out: &mut Vec<message::Output>,
    ) {
        let index = snapshot.index;
        if index <= self.commit {
            self.verified = self.verified.max(self.commit);
            self.confirm(from, out);
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.snapshot == snapshot => incoming,
            _ => replica::Incoming { snapshot, bytes: Vec::new() },
        };
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(bytes);
        }
        let length = incoming.bytes.len() as u64;
        if length < incoming.snapshot.length {
            self.incoming = Some(incoming);
        } else if crc32fast::hash(&incoming.bytes) == incoming.snapshot.checksum {
            self.verified = self.verified.max(index);
            self.install(incoming.snapshot, incoming.bytes.into(), out);
        }
        // A snapshot that fails its checksum is dropped; the leader's retry starts it again.
        let body = message::Body::SnapshotChunkResponse { index, offset: length };
        self.send(from, self.hard_state.term, body, out);
    }
}
