//! The agent's side of a lease.

use std::collections::VecDeque;

use crate::core::ids;
use crate::core::lease;
use crate::core::time;
use crate::macros;

/// The most heartbeats whose answers are awaited; an older one could only grant a lease that has
/// already ended.
const MAX_OUTSTANDING: usize = 8;

macros::copy_types! {
    /// A heartbeat that was sent and not answered.
    struct Heartbeat {
        sequence: u64,
        sent_at: time::Tick,
    }
}

/// The lease that an agent holds for its worker, on the agent's own monotonic clock.
///
/// The caller passes the time to each call, so that a process that was suspended finds its lease
/// ended when it asks again with a fresh time. It must ask before each action that needs the lease.
pub struct Holder {
    epoch: ids::Epoch,
    /// Whether the epoch has ended for good.
    fenced: bool,
    expires: Option<time::Tick>,
    /// The sequence number of the last heartbeat that was sent.
    sequence: u64,
    outstanding: VecDeque<Heartbeat>,
}

impl Default for Holder {
    fn default() -> Self {
        Self::new()
    }
}

impl Holder {
    /// Creates a holder without an epoch or a lease.
    pub fn new() -> Self {
        Self {
            epoch: ids::Epoch(0),
            fenced: true,
            expires: None,
            sequence: 0,
            outstanding: VecDeque::new(),
        }
    }

    /// The epoch that it holds or last held; 0 for none.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Whether the holder has no epoch, or its epoch has ended for good.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Records that a heartbeat is about to be sent, and returns its sequence number.
    ///
    /// `now` must be read before the message is handed to the socket.
    pub fn heartbeat(&mut self, now: time::Tick) -> u64 {
        self.sequence += 1;
        if self.outstanding.len() == MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Heartbeat { sequence: self.sequence, sent_at: now });
        self.sequence
    }

    /// Adopts the epoch of a registration and returns whether it is new.
    ///
    /// A new epoch starts without a lease, until the first grant. An old epoch is ignored.
    pub fn register(&mut self, epoch: ids::Epoch) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.fenced = false;
        self.expires = None;
        true
    }

    /// Applies the grant that answers a heartbeat, and returns whether the grant was valid.
    ///
    /// Grants are ignored for another epoch, for an epoch that has ended, and for heartbeats that
    /// are unknown or older than one already granted. A grant never shortens the lease.
    pub fn grant(&mut self, sequence: u64, epoch: ids::Epoch, duration: time::Millis) -> bool {
        if self.fenced || epoch != self.epoch {
            return false;
        }
        let found = self.outstanding.iter().position(|heartbeat| heartbeat.sequence == sequence);
        let Some(index) = found else { return false };
        let heartbeat = self.outstanding[index];
        self.outstanding.drain(..=index);
        let expires = heartbeat.sent_at + duration.min(lease::DURATION);
        self.expires = self.expires.max(Some(expires));
        true
    }

    /// Ends the lease of an epoch that control has ended, and returns whether the epoch is the one
    /// held or a newer one.
    pub fn fence(&mut self, epoch: ids::Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.fenced = true;
        self.expires = None;
        true
    }

    /// Whether tasks of the current epoch may start and run at `now`.
    pub fn is_valid(&self, now: time::Tick) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// The time at which the lease ends; none without a lease.
    pub fn expires(&self) -> Option<time::Tick> {
        self.expires
    }

    /// The time that the lease still runs; 0 if it has ended.
    pub fn remaining(&self, now: time::Tick) -> time::Millis {
        self.expires.map_or(time::Millis(0), |expires| expires - now)
    }
}
