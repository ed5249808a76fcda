//! Control's side of a lease.

use std::collections::BTreeMap;

use crate::core::ids;
use crate::core::lease;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// The answer to a heartbeat.
    pub enum Reply {
        /// The lease of an epoch is granted for a time from the moment the heartbeat was sent.
        Grant {
            /// The epoch of the lease.
            epoch: ids::Epoch,
            /// The time that the lease runs.
            duration: time::Millis,
        },
        /// The epoch in the heartbeat has ended or is unknown.
        Fenced,
    }

    /// The lease of one worker.
    struct Entry {
        epoch: ids::Epoch,
        /// The time from which on the lease has certainly ended.
        expires: time::Tick,
    }
}

/// The leases that the leading control replica has granted, or that its predecessor may have.
///
/// A replica creates a new grantor each time it begins to lead, and drops it when it no longer
/// leads.
pub struct Grantor {
    entries: BTreeMap<ids::WorkerKey, Entry>,
    /// The time until which any worker may hold a lease that the predecessor granted.
    inherited_until: time::Tick,
}

impl Grantor {
    /// Creates the grantor of a replica that begins to lead at `now`.
    ///
    /// The predecessor may have granted leases until this moment.
    pub fn new(now: time::Tick) -> Self {
        Self { entries: BTreeMap::new(), inherited_until: lease_end(now) }
    }

    /// Adds a worker and its epoch. Call this for each known worker when the replica begins to
    /// lead, and for each that is registered later.
    ///
    /// Never shortens a lease that the worker may hold. An epoch older than the known one is
    /// ignored.
    pub fn track(&mut self, worker: ids::WorkerKey, epoch: ids::Epoch, now: time::Tick) {
        let expires = self.inherited_until.max(lease_end(now));
        let entry = self.entries.entry(worker).or_insert(Entry { epoch, expires });
        if epoch > entry.epoch {
            *entry = Entry { epoch, expires };
        }
    }

    /// Answers a heartbeat that was received at `now`.
    ///
    /// The caller must have confirmed, after it read `now`, that this replica still leads. An
    /// expired lease is never renewed, whether or not [`Grantor::expired`] has returned it yet.
    pub fn heartbeat(
        &mut self,
        worker: ids::WorkerKey,
        epoch: ids::Epoch,
        now: time::Tick,
    ) -> Reply {
        let Some(entry) = self.entries.get_mut(&worker) else { return Reply::Fenced };
        if entry.epoch != epoch || entry.expires <= now {
            return Reply::Fenced;
        }
        entry.expires = entry.expires.max(lease_end(now));
        Reply::Grant { epoch, duration: lease::DURATION }
    }

    /// The workers whose lease has certainly ended, in the order of their keys.
    ///
    /// The caller must durably record each as lost before any of its capacity goes to other work.
    /// The worker is returned again until [`Grantor::remove`].
    pub fn expired(&self, now: time::Tick) -> Vec<(ids::WorkerKey, ids::Epoch)> {
        let ended = self.entries.iter().filter(|(_, entry)| entry.expires <= now);
        ended.map(|(worker, entry)| (*worker, entry.epoch)).collect()
    }

    /// Removes a worker whose loss is recorded. Its heartbeats are fenced until it is tracked
    /// again.
    pub fn remove(&mut self, worker: ids::WorkerKey) {
        self.entries.remove(&worker);
    }
}

/// The time on control's clock at which a lease granted at `now` has certainly ended.
fn lease_end(now: time::Tick) -> time::Tick {
    now + lease::DURATION + lease::CLOCK_DRIFT_MARGIN
}
