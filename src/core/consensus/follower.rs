//! A follower's handling of entries and snapshots.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::consensus::replica;
use crate::core::consensus::replica::Core;
use crate::core::ids;

impl Core {
    /// Merges entries that follow `prev` if the log matches the leader's at `prev`.
    pub(super) fn on_append(
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
            // Entries up to the base are committed, and so match the leader's.
            entries.retain(|entry| entry.index > base);
            prev = base;
            prev_term = self.log.term_at(base).unwrap_or(prev_term);
        }
        if self.log.term_at(prev) != Some(prev_term) {
            // Committed entries match the leader's.
            let hint = if prev > self.log.last() { self.log.last() } else { self.commit_index };
            self.send_append_response(from, Some(message::Mismatch { prev, hint }), out);
            return;
        }
        let last = ids::LogIndex(prev.0 + entries.len() as u64);
        if !self.merge(entries, out) {
            return;
        }
        self.verified_index = self.verified_index.max(last);
        self.commit_to(commit.min(self.verified_index), out);
        self.send_matched(from, out);
    }

    /// Appends new entries after removing conflicting ones. Returns false, without a change, if
    /// committed entries conflict.
    fn merge(&mut self, entries: Vec<entry::Entry>, out: &mut Vec<message::Output>) -> bool {
        let matches = |entry: &entry::Entry| self.log.term_at(entry.index) == Some(entry.term);
        let known = entries.iter().take_while(|entry| matches(entry)).count();
        let new: Vec<_> = entries.into_iter().skip(known).collect();
        let Some(first) = new.first().map(|entry| entry.index) else { return true };
        if first <= self.commit_index {
            return false;
        }
        let truncate = (first <= self.log.last()).then_some(first);
        if truncate.is_some() {
            self.truncate(first);
        }
        for entry in &new {
            self.push_entry(entry.clone());
        }
        let batch = entry::Batch { truncate, entries: new, ..entry::Batch::default() };
        self.persist(batch, out);
        true
    }

    /// Tells the leader the index up to which the durable log matches its own.
    pub(super) fn send_matched(&mut self, leader: entry::Identity, out: &mut Vec<message::Output>) {
        self.send_append_response(leader, None, out);
    }

    fn send_append_response(
        &mut self,
        leader: entry::Identity,
        mismatch: Option<message::Mismatch>,
        out: &mut Vec<message::Output>,
    ) {
        let matched = self.verified_index.min(self.durable_index);
        let body = message::Body::AppendResponse { matched, round: self.round, mismatch };
        self.send(leader, self.hard_state.term, body, out);
    }

    /// Adds a chunk to the snapshot that is being received, and installs it once it is complete.
    pub(super) fn on_chunk(
        &mut self,
        from: entry::Identity,
        snapshot: entry::Snapshot,
        offset: u64,
        bytes: &Bytes,
        out: &mut Vec<message::Output>,
    ) {
        let index = snapshot.index;
        if index <= self.commit_index {
            self.verified_index = self.verified_index.max(self.commit_index);
            self.send_matched(from, out);
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.snapshot == snapshot => incoming,
            _ => replica::IncomingSnapshot { snapshot, bytes: Vec::new() },
        };
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(bytes);
        }
        let length = incoming.bytes.len() as u64;
        if length < incoming.snapshot.length {
            self.incoming = Some(incoming);
        } else if crc32fast::hash(&incoming.bytes) == incoming.snapshot.checksum {
            self.verified_index = self.verified_index.max(index);
            self.install_snapshot(incoming.snapshot, incoming.bytes.into(), out);
        }
        // A snapshot that fails its checksum is discarded; the leader's retry sends it again.
        let body = message::Body::SnapshotChunkResponse { index, offset: length };
        self.send(from, self.hard_state.term, body, out);
    }
}
