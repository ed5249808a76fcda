//! Wait times of steps, and the placements made during the wait.
//!
//! If a step waits although others are served, the counts show whether work of other ranks or later
//! work of its own rank took the resources.

use std::collections::BTreeMap;

use crate::core::dispatch::order;
use crate::core::dispatch::queue;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::model;

/// The wait after which a step is reported; it doubles with each report.
const FIRST_REPORT_AFTER: time::Millis = time::Millis(5000);

/// A waiting step.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: time::Tick,
    /// The wait after which the step is reported next.
    report_after: time::Millis,
    /// The rank of the step, which may change during the wait.
    rank: u32,
    /// The numbers of tasks of its rank and of all ranks that had been placed when the step entered
    /// its rank.
    placed: (u64, u64),
}

/// The waiting steps, by their first task.
#[derive(Debug, Default)]
pub struct WaitTimes {
    steps: BTreeMap<model::TaskKey, Wait>,
    /// The number of tasks of each rank that have been placed.
    placed: BTreeMap<u32, u64>,
}

impl WaitTimes {
    /// Records that a step waits, from the first pass on that looks at it.
    pub fn begin(&mut self, step: &queue::WaitingStep, now: time::Tick) {
        let known = self.steps.get(&step.first_task).copied();
        let (since, report_after) =
            known.map_or((now, FIRST_REPORT_AFTER), |wait| (wait.since, wait.report_after));
        let rank = step.rank;
        if known.is_none_or(|wait| wait.rank != rank) {
            let wait = Wait { since, report_after, rank, placed: self.counts(rank) };
            self.steps.insert(step.first_task, wait);
        }
    }

    /// Records that all tasks of a step are placed.
    pub fn end(&mut self, first: model::TaskKey) {
        self.steps.remove(&first);
    }

    /// Removes the steps of a job that has ended.
    pub fn remove_job(&mut self, job: ids::JobKey) {
        let first = model::TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let last = model::TaskKey { job, occurrence: u32::MAX, step: u32::MAX, index: u32::MAX };
        let ended: Vec<_> = self.steps.range(first..=last).map(|(step, _)| *step).collect();
        ended.iter().for_each(|step| {
            self.steps.remove(step);
        });
    }

    /// Returns the time for which a step has waited.
    pub fn waited(&self, first: model::TaskKey, now: time::Tick) -> time::Millis {
        self.steps.get(&first).map_or(time::Millis(0), |wait| now - wait.since)
    }

    /// Records placed tasks of a rank.
    pub fn record_placed(&mut self, rank: u32, count: usize) {
        *self.placed.entry(rank).or_default() += count as u64;
    }

    /// Returns the report on a step with unplaced tasks, if one is due.
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

    /// Returns the numbers of placed tasks of a rank and of all ranks.
    fn counts(&self, rank: u32) -> (u64, u64) {
        let same_rank = self.placed.get(&rank).copied().unwrap_or(0);
        (same_rank, self.placed.values().sum())
    }
}
