//! The runs that may be active, as the leader knows them.

use std::collections::BTreeMap;

use crate::core::dispatch::health;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::progress;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::model;
use crate::macros;

macros::copy_types! {
    /// The state of a run.
    pub enum State {
        /// The placement is proposed but not yet committed.
        Proposed,
        /// The start is ordered, and no report has listed the run.
        Ordered,
        /// The worker has reported the run.
        Running,
        /// The run is to stop.
        Stopping,
        /// The end is proposed but not yet committed.
        Ending,
    }
}

/// The leader's state of one run.
#[derive(Debug)]
pub struct Run {
    /// The state of the run.
    pub state: State,
    /// The incarnation of the worker that the run is placed on.
    pub incarnation: model::Incarnation,
    /// The resources that the run occupies.
    pub resources: Resources,
    /// Whether the run may be stopped for others.
    pub preemptible: bool,
    /// Whether the run is a member of a gang, all of which stops with it.
    pub gang: bool,
    /// Whether the task writes checkpoints, so that a stop loses only the work since the last one.
    pub checkpoints: bool,
    /// The time of the placement.
    pub placed_at: time::Tick,
    /// The time of the last order on the run in the agent's current session.
    pub ordered_at: Option<time::Tick>,
    /// Whether a report to this leader has listed the run or its end.
    pub started: bool,
    /// The time of the last report that listed the run.
    pub last_seen: time::Tick,
    /// The last known checkpoint; empty for none.
    pub checkpoint: String,
    /// The progress of the run.
    pub progress: progress::Progress,
    /// Whether the speed of the run was added to the worker's health.
    pub speed_learned: bool,
}

impl Run {
    /// Returns whether the run occupies resources of its worker.
    pub fn occupies_worker(&self) -> bool {
        self.state != State::Ending
    }
}

/// All runs, by task and number.
pub type Runs = BTreeMap<model::RunKey, Run>;

/// Returns the runs of one step of one occurrence.
pub fn of_step(runs: &Runs, task: model::TaskKey) -> impl Iterator<Item = (&model::RunKey, &Run)> {
    let (first, last) = step_range(task);
    runs.range(first..=last)
}

/// Returns the first and the last key that a run of a step can have.
fn step_range(task: model::TaskKey) -> (model::RunKey, model::RunKey) {
    let first = model::RunKey { task: model::TaskKey { index: 0, ..task }, run: 0 };
    let last = model::RunKey { task: model::TaskKey { index: u32::MAX, ..task }, run: u32::MAX };
    (first, last)
}

/// Returns the runs that stop together with a run: its whole gang, or the run alone.
pub fn gang_of(runs: &Runs, key: model::RunKey) -> impl Iterator<Item = (&model::RunKey, &Run)> {
    let gang = runs.get(&key).is_some_and(|run| run.gang);
    let (first, last) = if gang { step_range(key.task) } else { (key, key) };
    runs.range(first..=last)
        .filter(move |(other, run)| other.run == key.run && run.occupies_worker())
}

/// Returns the remaining time of a run. Members of a gang end together, with the slowest of them.
pub fn remaining(
    runs: &Runs,
    key: model::RunKey,
    health: &health::Health,
    now: time::Tick,
) -> time::Millis {
    let members = gang_of(runs, key);
    let each =
        members.map(|(_, run)| run.progress.remaining(now, health.speed(run.incarnation.host)));
    each.max().unwrap_or(time::Millis(0))
}

/// Returns whether a run makes no progress. A gang member that has completed its own work waits for
/// the others: it is stalled only if all members are, and not once the end of a member is proposed.
pub fn is_stalled(runs: &Runs, key: model::RunKey, health: &health::Health) -> bool {
    let Some(run) = runs.get(&key) else { return false };
    let stalled = |run: &Run| run.progress.is_stalled(health.speed(run.incarnation.host));
    if !(run.gang && run.progress.is_complete()) {
        return stalled(run);
    }
    let mut members = of_step(runs, key.task).filter(|(other, _)| other.run == key.run);
    members.all(|(_, member)| member.occupies_worker() && stalled(member))
}

/// Returns all runs of a job.
pub fn of_job(runs: &Runs, job: ids::JobKey) -> impl Iterator<Item = (&model::RunKey, &Run)> {
    let low = model::TaskKey { job, occurrence: 0, step: 0, index: 0 };
    let high = model::TaskKey { job, occurrence: u32::MAX, step: u32::MAX, index: u32::MAX };
    let first = model::RunKey { task: low, run: 0 };
    let last = model::RunKey { task: high, run: u32::MAX };
    runs.range(first..=last)
}
