//! The runs that may be going on, as the leader sees them.

use std::collections::BTreeMap;

use crate::core::dispatch::health;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::progress;
use crate::core::time;
use crate::core::workflow::model;
use crate::macros;

macros::copy_types! {
    /// How far a run is.
    pub enum State {
        /// Its placement is on its way into the log.
        Proposed,
        /// It may start; nothing was heard of it yet.
        Ordered,
        /// Its worker has reported it.
        Running,
        /// It is to stop.
        Stopping,
        /// Its end is on its way into the log.
        Ending,
    }
}

/// A run.
#[derive(Debug)]
pub struct Run {
    /// How far it is.
    pub state: State,
    /// Where.
    pub incarnation: model::Incarnation,
    /// What it occupies.
    pub resources: Resources,
    /// The rank of its job at placement; a lower one may preempt it.
    pub rank: u32,
    /// Whether it is a member of a gang, which falls with it.
    pub gang: bool,
    /// Whether stopping it loses no more than the work since its last checkpoint.
    pub checkpoints: bool,
    /// When it was placed.
    pub placed_at: time::Tick,
    /// When the last order about it was sent in its agent's present session.
    pub ordered_at: Option<time::Tick>,
    /// When it was last heard of.
    pub last_seen: time::Tick,
    /// Its last known checkpoint.
    pub checkpoint: String,
    /// How it gets on.
    pub progress: progress::Progress,
    /// Whether its pace has been learnt from.
    pub speed_learned: bool,
}

impl Run {
    /// Whether it occupies its worker.
    pub fn occupies_worker(&self) -> bool {
        self.state != State::Ending
    }
}

/// All runs, by task and number.
pub type Runs = BTreeMap<model::RunKey, Run>;

/// The runs of one step of one occurrence.
pub fn of_step(runs: &Runs, task: model::TaskKey) -> impl Iterator<Item = (&model::RunKey, &Run)> {
    let (first, last) = step_range(task);
    runs.range(first..=last)
}

/// The first and the last key that a run of a step can have.
fn step_range(task: model::TaskKey) -> (model::RunKey, model::RunKey) {
    let first = model::RunKey { task: model::TaskKey { index: 0, ..task }, run: 0 };
    let last = model::RunKey { task: model::TaskKey { index: u32::MAX, ..task }, run: u32::MAX };
    (first, last)
}

/// The runs that a run falls with: its whole gang, or itself.
pub fn gang_of(runs: &Runs, key: model::RunKey) -> impl Iterator<Item = (&model::RunKey, &Run)> {
    let gang = runs.get(&key).is_some_and(|run| run.gang);
    let (first, last) = if gang { step_range(key.task) } else { (key, key) };
    runs.range(first..=last)
        .filter(move |(other, run)| other.run == key.run && run.occupies_worker())
}

/// How long a run will still take. Members of a gang end together, with the slowest of them.
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

/// Whether a run stands still. A member of a gang that has done all of its own work waits for the
/// others: it stands still only with all of them, and not once the gang's end is on its way.
pub fn is_stalled(runs: &Runs, key: model::RunKey, health: &health::Health) -> bool {
    let Some(run) = runs.get(&key) else { return false };
    let alone = |run: &Run| run.progress.is_stalled(health.speed(run.incarnation.host));
    if !(run.gang && run.progress.is_complete()) {
        return alone(run);
    }
    let mut members = of_step(runs, key.task).filter(|(other, _)| other.run == key.run);
    members.all(|(_, member)| member.occupies_worker() && alone(member))
}

/// The keys of the runs of one job.
pub fn of_job(runs: &Runs, job: crate::core::ids::JobKey) -> Vec<model::RunKey> {
    let low = model::TaskKey { job, occurrence: 0, step: 0, index: 0 };
    let high = model::TaskKey { job, occurrence: u32::MAX, step: u32::MAX, index: u32::MAX };
    let first = model::RunKey { task: low, run: 0 };
    let last = model::RunKey { task: high, run: u32::MAX };
    runs.range(first..=last).map(|(key, _)| *key).collect()
}
