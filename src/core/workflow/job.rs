//! The state of one job.

use std::collections::BTreeMap;

use crate::core::workflow::command;
use crate::core::workflow::model;
use crate::macros;

macros::copy_types! {
    /// The phase of a job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Phase {
        /// No task is placed, and none is known to have started.
        Pending,
        /// Tasks are placed or have started.
        Running,
        /// All tasks are done.
        Completed,
        /// A task has failed as often as the queue permits.
        Failed,
        /// The caller has cancelled the job.
        Cancelled,
    }

    /// The state of a task.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum TaskState {
        /// The task has no current run.
        Waiting,
        /// The current run is placed on this worker, and may have started there.
        At(model::Incarnation),
        /// The task is done.
        Done,
    }
}

macros::value_types! {
    /// The replicated state of one task.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Task {
        /// The number of the last run; 0 before the first.
        pub run: u32,
        /// The number of failed runs; those of a gang are counted at its first task.
        pub failures: u32,
        /// The number of the last run that was counted as failed.
        pub failed_run: u32,
        /// The state of the task.
        pub state: TaskState,
        /// The last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// One execution of all steps of a job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Occurrence {
        /// The tasks of each step.
        pub steps: Vec<Vec<Task>>,
    }

    /// The replicated state of one job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// The submission that was accepted.
        pub submission: command::Submission,
        /// The time of acceptance, in milliseconds since 1970-01-01 UTC.
        pub accepted: u64,
        /// The phase of the job.
        pub phase: Phase,
        /// The time of its end, in milliseconds since 1970-01-01 UTC; 0 while it is active.
        pub ended: u64,
        /// The occurrences that are not done, by number.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// The number of occurrences that are done.
        pub finished: u32,
        /// Whether a run that has ended is known to have started.
        pub started: bool,
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

    /// Whether the task has a run that may not have ended.
    pub fn is_placed(&self) -> bool {
        matches!(self.state, TaskState::At(_))
    }
}

impl Job {
    /// A job that is accepted at this time, in milliseconds since 1970-01-01 UTC.
    pub fn new(submission: command::Submission, accepted: u64) -> Self {
        let count = submission.workflow.occurrences();
        let steps = &submission.workflow.steps;
        let steps: Vec<_> = steps.iter().map(|step| vec![Task::NEW; step.count as usize]).collect();
        let occurrences = (0..count).map(|k| (k, Occurrence { steps: steps.clone() })).collect();
        Self {
            submission,
            accepted,
            phase: Phase::Pending,
            ended: 0,
            occurrences,
            finished: 0,
            started: false,
        }
    }

    /// Whether the job has not ended, so that its tasks may start.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Pending | Phase::Running)
    }

    /// The state of a task; none if its occurrence is done or it does not exist.
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

    /// Whether all steps that this one depends on are done in the occurrence.
    pub fn is_ready(&self, occurrence: &Occurrence, step: u32) -> bool {
        let done = |earlier: &u32| {
            let tasks = &occurrence.steps[*earlier as usize];
            tasks.iter().all(|task| task.state == TaskState::Done)
        };
        self.step(step).after.iter().all(done)
    }

    /// The time at which an occurrence is due, in milliseconds since 1970-01-01 UTC; 0 for a job
    /// without a schedule.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.submission.workflow.schedule.as_ref().map_or(0, |schedule| schedule.due(occurrence))
    }

    /// Whether any run of the job may not have ended.
    pub fn has_runs(&self) -> bool {
        let mut tasks = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        tasks.any(|tasks| tasks.iter().any(Task::is_placed))
    }
}
