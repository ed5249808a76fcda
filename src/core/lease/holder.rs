//! The agent's side of a lease.

use std::collections::VecDeque;

use crate::core::ids;
use crate::core::lease;
use crate::core::time;
use crate::macros;

/// Heartbeats whose answers may still be useful; older ones could only grant a lease of the past.
const OUTSTANDING: usize = 8;

macros::copy_types! {
    /// A heartbeat that was sent.
    struct Sent {
        sequence: u64,
        at: time::Tick,
    }
}

/// The lease that an agent holds for its worker, on the agent's own monotonic clock.
///
/// Time comes in with each call, so that a process that was frozen finds its lease ended by asking
/// again with a fresh time. It must ask before each act that needs the lease.
pub struct Holder {
    epoch: ids::Epoch,
    /// Whether the epoch has ended for good.
    fenced: bool,
    expires: Option<time::Tick>,
    /// The number of the last heartbeat sent.
    sequence: u64,
    outstanding: VecDeque<Sent>,
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}

impl Holder {
    /// No epoch and no lease.
    pub fn new() -> Self {
        Self {
            epoch: ids::Epoch(0),
            fenced: true,
            expires: None,
            sequence: 0,
            outstanding: VecDeque::new(),
        }
    }

    /// The epoch it holds or last held; 0 for none.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Whether there is no epoch, or it has ended for good.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Notes that a heartbeat is about to be sent, and returns its number.
    ///
    /// `now` must have been read before the message was handed to the socket.
    pub fn heartbeat(&mut self, now: time::Tick) -> u64 {
        self.sequence += 1;
        if self.outstanding.len() == OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Sent { sequence: self.sequence, at: now });
        self.sequence
    }

    /// Takes the epoch of a registration. Returns whether it is new.
    ///
    /// A new epoch starts without a lease: the first grant gives one. An old one is ignored.
    pub fn register(&mut self, epoch: ids::Epoch) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.fenced = false;
        self.expires = None;
        true
    }

    /// Takes the grant that answers the heartbeat of this number. Returns whether it counts.
    ///
    /// Ignored are grants of another epoch, of an epoch that has ended, and of heartbeats that are
    /// unknown or older than one already granted. A grant never shortens the lease.
    pub fn grant(&mut self, sequence: u64, epoch: ids::Epoch, length: time::Millis) -> bool {
        if self.fenced || epoch != self.epoch {
            return false;
        }
        let found = self.outstanding.iter().position(|sent| sent.sequence == sequence);
        let Some(index) = found else { return false };
        let sent = self.outstanding[index];
        self.outstanding.drain(..=index);
        let expires = sent.at + length.min(lease::DURATION);
        self.expires = self.expires.max(Some(expires));
        true
    }

    /// Control has ended this epoch. Returns whether it is the one held, or a newer one.
    pub fn fence(&mut self, epoch: ids::Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.fenced = true;
        self.expires = None;
        true
    }

    /// Whether tasks of the current epoch may start and run at this moment.
    pub fn is_valid(&self, now: time::Tick) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// When the lease ends; none if there is none.
    pub fn expires(&self) -> Option<time::Tick> {
        self.expires
    }

    /// How long the lease still runs; zero if it has ended.
    pub fn remaining(&self, now: time::Tick) -> time::Millis {
        self.expires.map_or(time::Millis(0), |expires| expires - now)
    }
}
