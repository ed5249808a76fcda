//! Attempts that are over and forgotten, so that a late message about one starts nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::ids;

/// How many attempts are remembered; the oldest give way.
const LIMIT: usize = 4096;

/// The attempts that are over.
#[derive(Default)]
pub struct Tombstones {
    /// Each with whether it was never started here.
    known: BTreeMap<ids::AttemptKey, bool>,
    order: VecDeque<ids::AttemptKey>,
    /// The highest job of an attempt that has given way.
    evicted: ids::JobKey,
}

impl Tombstones {
    /// Remembers an attempt, and whether it was never started here. What was said first stays.
    pub fn insert(&mut self, attempt: ids::AttemptKey, never: bool) {
        if self.known.contains_key(&attempt) {
            return;
        }
        self.known.insert(attempt, never);
        self.order.push_back(attempt);
        if self.order.len() > LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
            self.evicted = self.evicted.max(oldest.job);
        }
    }

    /// Whether the attempt is over.
    pub fn contains(&self, attempt: ids::AttemptKey) -> bool {
        self.known.contains_key(&attempt)
    }

    /// Whether a later attempt of the same job is over.
    pub fn has_later(&self, attempt: ids::AttemptKey) -> bool {
        let last = ids::AttemptKey { job: attempt.job, number: u32::MAX };
        self.known.range(attempt..=last).any(|(known, _)| *known > attempt)
    }

    /// Whether an attempt that is not in hand was certainly never started here.
    pub fn never_started(&self, attempt: ids::AttemptKey) -> bool {
        match self.known.get(&attempt) {
            Some(never) => *never,
            None => attempt.job > self.evicted,
        }
    }
}
