//! Tombstones of ended attempts that are no longer members, so that a late message about one starts
//! no task.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::ids;

/// Limit of tombstones; the oldest are evicted first.
const MAX_TOMBSTONES: usize = 4096;

/// The tombstones of ended attempts.
#[derive(Default)]
pub struct Tombstones {
    /// The ended attempts; true for one that was never started on this worker.
    attempts: BTreeMap<ids::AttemptKey, bool>,
    insertion_order: VecDeque<ids::AttemptKey>,
    /// The highest job of an evicted attempt.
    evicted: ids::JobKey,
}

impl Tombstones {
    /// Records an ended attempt and whether it was never started on this worker. An existing
    /// tombstone is not changed.
    pub fn insert(&mut self, attempt: ids::AttemptKey, never_started: bool) {
        if self.attempts.contains_key(&attempt) {
            return;
        }
        self.attempts.insert(attempt, never_started);
        self.insertion_order.push_back(attempt);
        if self.insertion_order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.attempts.remove(&oldest);
            self.evicted = self.evicted.max(oldest.job);
        }
    }

    /// Whether the attempt has a tombstone.
    pub fn contains(&self, attempt: ids::AttemptKey) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Whether a later attempt of the same job has a tombstone.
    pub fn has_later(&self, attempt: ids::AttemptKey) -> bool {
        let last = ids::AttemptKey { job: attempt.job, number: u32::MAX };
        self.attempts.range(attempt..=last).any(|(known, _)| *known > attempt)
    }

    /// Whether an attempt that is not a current member was certainly never started on this worker.
    pub fn never_started(&self, attempt: ids::AttemptKey) -> bool {
        match self.attempts.get(&attempt) {
            Some(never_started) => *never_started,
            None => attempt.job > self.evicted,
        }
    }
}
