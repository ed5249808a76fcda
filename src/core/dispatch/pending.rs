//! The numbers of pending jobs of each queue.

use std::collections::BTreeMap;

use crate::core::dispatch::leader;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::job;
use crate::core::workflow::registry;

/// The number of active jobs up to which they are counted for each call.
const MAX_COUNTED_JOBS: usize = 256;

/// The time for which the counts of more jobs are given again. Callers may ask as often as they like,
/// and accept values that are seconds old.
const MAX_COUNT_AGE: time::Millis = time::Millis(100);

/// The counts of pending jobs, by the address of the queue.
#[derive(Debug, Default)]
pub struct Counts {
    by_queue: BTreeMap<String, u64>,
    counted_at: Option<time::Tick>,
}

impl leader::Dispatch {
    /// Returns the number of active jobs in the queue at this address of which no task is known to
    /// have started. A task counts as started once its worker has listed the run, not when it is
    /// placed: the worker may be lost already.
    pub fn pending(&mut self, registry: &registry::Registry, queue: &str, now: time::Tick) -> u64 {
        let is_recent = |at: time::Tick| now - at < MAX_COUNT_AGE;
        let few = registry.active_count() <= MAX_COUNTED_JOBS;
        if few || !self.pending.counted_at.is_some_and(is_recent) {
            self.pending = Counts { by_queue: self.count_pending(registry), counted_at: Some(now) };
        }
        self.pending.by_queue.get(queue).copied().unwrap_or(0)
    }

    fn count_pending(&self, registry: &registry::Registry) -> BTreeMap<String, u64> {
        let has_started = |key, job: &job::Job| {
            job.started || runs::of_job(&self.runs, key).any(|(_, run)| run.started)
        };
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, job) in registry.active_jobs() {
            if !has_started(key, job) {
                *counts.entry(&job.submission.queue).or_default() += 1;
            }
        }
        counts.into_iter().map(|(queue, count)| (queue.to_owned(), count)).collect()
    }
}
