//! How far a leader knows one follower to be.

use std::collections::VecDeque;

use crate::core::consensus;
use crate::core::ids;
use crate::core::time;

/// A snapshot on its way to a follower.
#[derive(Debug)]
pub struct Transfer {
    /// The last entry of the snapshot.
    pub index: ids::LogIndex,
    /// Where the next piece starts.
    pub offset: u64,
    /// When the last piece was sent, if it has not been answered.
    pub sent: Option<time::Tick>,
}

/// How far a leader knows one follower to be.
#[derive(Debug)]
pub struct Progress {
    /// The last entry known to be durable there.
    pub matched: ids::LogIndex,
    /// The next entry to send.
    pub next: ids::LogIndex,
    /// The last confirmation round it has answered.
    pub round: u64,
    /// When it last answered, or began to be followed.
    pub heard: time::Tick,
    /// A snapshot on its way.
    pub transfer: Option<Transfer>,
    inflight: VecDeque<(ids::LogIndex, usize)>,
    inflight_bytes: usize,
}

impl Progress {
    /// A follower of whom nothing is known; sending starts behind `last`.
    pub fn new(now: time::Tick, last: ids::LogIndex) -> Self {
        Self {
            matched: ids::LogIndex(0),
            next: ids::LogIndex(last.0 + 1),
            round: 0,
            heard: now,
            transfer: None,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Whether another append may be sent before an answer.
    pub fn has_room(&self) -> bool {
        self.inflight.len() < consensus::MAX_INFLIGHT_APPENDS
            && self.inflight_bytes < consensus::MAX_INFLIGHT_BYTES
    }

    /// Notes an append that was sent, up to and with `last`.
    pub fn sent(&mut self, last: ids::LogIndex, bytes: usize) {
        self.next = ids::LogIndex(last.0 + 1);
        self.inflight.push_back((last, bytes));
        self.inflight_bytes += bytes;
    }

    /// Notes what the follower has confirmed.
    pub fn confirm(&mut self, matched: ids::LogIndex) {
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

    /// Goes back to just behind `hint`.
    pub fn back_up(&mut self, hint: ids::LogIndex) {
        self.next = ids::LogIndex(hint.0.max(self.matched.0) + 1);
        self.inflight.clear();
        self.inflight_bytes = 0;
    }
}
