//! Control's side of a lease.

use std::collections::BTreeMap;

use crate::core::ids;
use crate::core::lease;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// The answer to a heartbeat.
    pub enum Reply {
        /// The lease of this epoch runs for this long from the moment the heartbeat was sent.
        Grant {
            /// The epoch.
            epoch: ids::Epoch,
            /// The length.
            duration: time::Millis,
        },
        /// The epoch named by the heartbeat has ended, or is not known.
        Fenced,
    }

    /// What is known of one worker's lease.
    struct Entry {
        epoch: ids::Epoch,
        /// From here on the lease has certainly ended.
        until: time::Tick,
    }
}

/// The leases that the leading control replica has granted, or must assume.
///
/// A replica makes a new one each time it begins to lead, and drops it when it no longer leads.
pub struct Grantor {
    entries: BTreeMap<ids::WorkerKey, Entry>,
    /// Until here any worker may hold a lease that the predecessor granted.
    inherited: time::Tick,
}

impl Grantor {
    /// Begins at the moment the replica begins to lead.
    ///
    /// The predecessor may have granted leases until this very moment.
    pub fn new(now: time::Tick) -> Self {
        Self { entries: BTreeMap::new(), inherited: end_of_lease(now) }
    }

    /// Takes note of a worker and its epoch: each known worker when the replica begins to lead,
    /// and each that is registered later.
    ///
    /// Never shortens what a worker may already hold. An epoch older than the one known is ignored.
    pub fn track(&mut self, worker: ids::WorkerKey, epoch: ids::Epoch, now: time::Tick) {
        let until = self.inherited.max(end_of_lease(now));
        let entry = self.entries.entry(worker).or_insert(Entry { epoch, until });
        if epoch > entry.epoch {
            *entry = Entry { epoch, until };
        }
    }

    /// Answers a heartbeat that was received at `now`.
    ///
    /// The caller has made sure, after it read `now`, that this replica still leads. A lease that
    /// has run out is never renewed, whether or not [`Grantor::expired`] has named it yet.
    pub fn heartbeat(
        &mut self,
        worker: ids::WorkerKey,
        epoch: ids::Epoch,
        now: time::Tick,
    ) -> Reply {
        let Some(entry) = self.entries.get_mut(&worker) else { return Reply::Fenced };
        if entry.epoch != epoch || entry.until <= now {
            return Reply::Fenced;
        }
        entry.until = entry.until.max(end_of_lease(now));
        Reply::Grant { epoch, duration: lease::DURATION }
    }

    /// The workers whose lease has certainly ended, in the order of their keys.
    ///
    /// Each is to be recorded as lost, durably, before any of its places is given away; it is named
    /// again until [`Grantor::remove`].
    pub fn expired(&self, now: time::Tick) -> Vec<(ids::WorkerKey, ids::Epoch)> {
        let ended = self.entries.iter().filter(|(_, entry)| entry.until <= now);
        ended.map(|(worker, entry)| (*worker, entry.epoch)).collect()
    }

    /// Forgets a worker: its loss is recorded. Its heartbeats are fenced until it is tracked again.
    pub fn remove(&mut self, worker: ids::WorkerKey) {
        self.entries.remove(&worker);
    }
}

/// When a lease granted at `now` has certainly ended, as control counts.
fn end_of_lease(now: time::Tick) -> time::Tick {
    now + lease::DURATION + lease::CLOCK_DRIFT_MARGIN
}
