//! The replication progress of one follower, as its leader knows it.

use std::collections::VecDeque;

use crate::core::consensus;
use crate::core::ids;
use crate::core::time;

/// The transfer of a snapshot to a follower.
#[derive(Debug)]
pub struct SnapshotTransfer {
    /// The index of the last entry that the snapshot covers.
    pub index: ids::LogIndex,
    /// The offset of the next chunk, in bytes.
    pub offset: u64,
    /// When the last chunk was sent, unless the follower has responded to it.
    pub sent_at: Option<time::Tick>,
}

/// The replication progress of one follower, as its leader knows it.
#[derive(Debug)]
pub struct Progress {
    /// The last index up to which the follower's durable log is known to match.
    pub matched: ids::LogIndex,
    /// The index of the next entry to send.
    pub next: ids::LogIndex,
    /// The last confirmation round that the follower has responded to.
    pub round: u64,
    /// When the follower last responded; at first, when its progress began to be tracked.
    pub last_response: time::Tick,
    /// The snapshot transfer in progress.
    pub transfer: Option<SnapshotTransfer>,
    inflight: VecDeque<(ids::LogIndex, usize)>,
    inflight_bytes: usize,
}

impl Progress {
    /// The progress of a follower whose log is unknown; sending starts after `last`.
    pub fn new(now: time::Tick, last: ids::LogIndex) -> Self {
        Self {
            matched: ids::LogIndex(0),
            next: ids::LogIndex(last.0 + 1),
            round: 0,
            last_response: now,
            transfer: None,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Whether the limits on data in flight allow another append.
    pub fn can_send(&self) -> bool {
        self.inflight.len() < consensus::MAX_INFLIGHT_APPENDS
            && self.inflight_bytes < consensus::MAX_INFLIGHT_BYTES
    }

    /// Records an append that was sent, whose last entry is `last`.
    pub fn record_sent(&mut self, last: ids::LogIndex, bytes: usize) {
        self.next = ids::LogIndex(last.0 + 1);
        self.inflight.push_back((last, bytes));
        self.inflight_bytes += bytes;
    }

    /// Records that the follower's durable log matches up to `matched`.
    pub fn record_matched(&mut self, matched: ids::LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(ids::LogIndex(self.matched.0 + 1));
        while let Some(&(last, bytes)) = self.inflight.front() {
            if last > self.matched {
                break;
            }
            self.inflight_bytes -= bytes;
            self.inflight.pop_front();
        }
    }

    /// Resumes sending after `hint`, or after `matched` if that is later.
    pub fn rewind(&mut self, hint: ids::LogIndex) {
        self.next = ids::LogIndex(hint.0.max(self.matched.0) + 1);
        self.inflight.clear();
        self.inflight_bytes = 0;
    }
}
