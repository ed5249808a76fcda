//! How long steps have waited, and what was placed meanwhile.
//!
//! Answers a step that waits although others are served: whether work of other ranks took the room or
//! later work of its own rank can be told from the counts.

use std::collections::BTreeMap;

use crate::core::dispatch::order;
use crate::core::dispatch::queue;
use crate::core::time;
use crate::core::workflow::model;

/// How long a step waits before that is told; the time doubles with each telling.
const FIRST_REPORT_AFTER: time::Millis = time::Millis(5000);

/// A step that waits.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: time::Tick,
    /// After how long it is told of next.
    report_after: time::Millis,
    /// Its rank, which may change while it waits.
    rank: u32,
    /// How many tasks of its rank and of all ranks had been placed when it began to wait in it.
    placed: (u64, u64),
}

/// The steps that wait, by their first task.
#[derive(Debug, Default)]
pub struct WaitTimes {
    steps: BTreeMap<model::TaskKey, Wait>,
    /// How many tasks of each rank have been placed.
    placed: BTreeMap<u32, u64>,
}

impl WaitTimes {
    /// Takes note of which steps wait now; the rest is forgotten.
    pub fn update(&mut self, waiting: &[queue::WaitingStep], now: time::Tick) {
        let mut steps = BTreeMap::new();
        for step in waiting {
            let known = self.steps.get(&step.first_task).copied();
            let (since, report_after) =
                known.map_or((now, FIRST_REPORT_AFTER), |wait| (wait.since, wait.report_after));
            let rank = step.rank;
            let fresh = || Wait { since, report_after, rank, placed: self.counts(rank) };
            let wait = known.filter(|wait| wait.rank == rank).unwrap_or_else(fresh);
            steps.insert(step.first_task, wait);
        }
        self.steps = steps;
    }

    /// How long a step has waited.
    pub fn waited(&self, first: model::TaskKey, now: time::Tick) -> time::Millis {
        self.steps.get(&first).map_or(time::Millis(0), |wait| now - wait.since)
    }

    /// Tasks of a rank have been placed.
    pub fn record_placed(&mut self, rank: u32, count: usize) {
        *self.placed.entry(rank).or_default() += count as u64;
    }

    /// What is to be told of a step with tasks that were left out, if it is time.
    pub fn long_wait(
        &mut self,
        step: &queue::WaitingStep,
        tasks: usize,
        now: time::Tick,
    ) -> Option<order::LongWait> {
        let (same_rank, all) = self.counts(step.rank);
        let wait = self.steps.get_mut(&step.first_task)?;
        let waited = now - wait.since;
        if waited < wait.report_after {
            return None;
        }
        wait.report_after = time::Millis(wait.report_after.0 * 2);
        let same_rank = same_rank - wait.placed.0;
        let other_ranks = all - wait.placed.1 - same_rank;
        let model::TaskKey { job, occurrence, step: number, .. } = step.first_task;
        Some(order::LongWait {
            job,
            occurrence,
            step: number,
            rank: step.rank,
            prospect: step.prospect,
            tasks,
            waited,
            same_rank,
            other_ranks,
        })
    }

    /// How many tasks of a rank and of all ranks have been placed.
    fn counts(&self, rank: u32) -> (u64, u64) {
        let same_rank = self.placed.get(&rank).copied().unwrap_or(0);
        (same_rank, self.placed.values().sum())
    }
}
