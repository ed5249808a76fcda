//! The state of one job.

use std::collections::BTreeMap;

use crate::core::workflow::command;
use crate::core::workflow::model;
use crate::macros;

macros::copy_types! {
    /// How far a job is.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Phase {
        /// No task has been placed yet.
        Pending,
        /// Tasks run or have run.
        Running,
        /// All tasks are done.
        Completed,
        /// A task has failed too often.
        Failed,
        /// Its caller has cancelled it.
        Cancelled,
    }

    /// Where a task stands.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum TaskState {
        /// It has no run.
        Waiting,
        /// Its present run is at this worker, or on its way there.
        At(model::Incarnation),
        /// It is done.
        Done,
    }
}

macros::value_types! {
    /// One task.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Task {
        /// The number of its last run; 0 before the first.
        pub run: u32,
        /// Runs that failed; a gang's are counted at its first task.
        pub failures: u32,
        /// The last run that was counted as failed.
        pub failed_run: u32,
        /// Where it stands.
        pub state: TaskState,
        /// Its last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// One pass over the steps.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Occurrence {
        /// The tasks of each step.
        pub steps: Vec<Vec<Task>>,
    }

    /// A job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// What was accepted.
        pub submission: command::Submission,
        /// When, in milliseconds since 1970-01-01 UTC.
        pub accepted: u64,
        /// How far it is.
        pub phase: Phase,
        /// When it ended; 0 before.
        pub ended: u64,
        /// The occurrences that are not done, from their first look on.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// How many occurrences are done.
        pub finished: u32,
    }
}

impl Task {
    const NEW: Task = Task {
        run: 0,
        failures: 0,
        failed_run: 0,
        state: TaskState::Waiting,
        checkpoint: String::new(),
    };

    /// Whether it has a run that may be going on.
    pub fn is_placed(&self) -> bool {
        matches!(self.state, TaskState::At(_))
    }
}

impl Job {
    /// A job that was just accepted.
    pub fn new(submission: command::Submission, accepted: u64) -> Self {
        let count = submission.workflow.occurrences();
        let steps = &submission.workflow.steps;
        let steps: Vec<_> = steps.iter().map(|step| vec![Task::NEW; step.count as usize]).collect();
        let occurrences = (0..count).map(|k| (k, Occurrence { steps: steps.clone() })).collect();
        Self { submission, accepted, phase: Phase::Pending, ended: 0, occurrences, finished: 0 }
    }

    /// Whether tasks may still start.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Pending | Phase::Running)
    }

    /// The task, unless its occurrence is done.
    pub fn task(&self, key: model::TaskKey) -> Option<&Task> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(key.step as usize)?.get(key.index as usize)
    }

    pub(super) fn task_mut(&mut self, key: model::TaskKey) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(key.step as usize)?.get_mut(key.index as usize)
    }

    /// The description of a step.
    pub fn step(&self, step: u32) -> &model::Step {
        &self.submission.workflow.steps[step as usize]
    }

    /// Whether all steps before this one are done in the occurrence.
    pub fn is_ready(&self, occurrence: &Occurrence, step: u32) -> bool {
        let done = |earlier: &u32| {
            let tasks = &occurrence.steps[*earlier as usize];
            tasks.iter().all(|task| task.state == TaskState::Done)
        };
        self.step(step).after.iter().all(done)
    }

    /// When an occurrence is due, in milliseconds since 1970-01-01 UTC; 0 for at once.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.submission.workflow.schedule.as_ref().map_or(0, |schedule| schedule.due(occurrence))
    }

    /// Whether any run of the job may be going on.
    pub fn has_runs(&self) -> bool {
        let mut tasks = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        tasks.any(|tasks| tasks.iter().any(Task::is_placed))
    }
}
