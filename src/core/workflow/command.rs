//! Commands to the registry, what applying them gave, and what changed.

use crate::core::ids;
use crate::core::workflow::directory;
use crate::core::workflow::model;
use crate::macros;

macros::value_types! {
    /// A change to the registry.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Command {
        /// Replace the configuration, if this one's version is higher.
        Configure(directory::Directory),
        /// Accept a job.
        Submit(Submission),
        /// Cancel a job: the queue's place and the caller's identifier.
        Cancel(String, String),
        /// Let tasks run.
        Place(Vec<Placement>),
        /// Runs have ended.
        End(Vec<Ending>),
    }

    /// A job to be accepted.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Submission {
        /// The place of its queue.
        pub queue: String,
        /// The caller's identifier.
        pub id: String,
        /// The client account; empty where the queue is open.
        pub account: String,
        /// The pool that runs it.
        pub pool: String,
        /// The queue's rank at acceptance.
        pub priority: u32,
        /// How often a task may fail.
        pub attempts: u32,
        /// What is to be done.
        pub workflow: model::Workflow,
    }

    /// One run of a task on one worker.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Placement {
        /// The job.
        pub job: u64,
        /// The occurrence.
        pub occurrence: u32,
        /// The step.
        pub step: u32,
        /// The task.
        pub index: u32,
        /// The number of the start.
        pub run: u32,
        /// Where.
        pub incarnation: model::Incarnation,
    }

    /// The end of a run.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Ending {
        /// The job.
        pub job: u64,
        /// The occurrence.
        pub occurrence: u32,
        /// The step.
        pub step: u32,
        /// The task.
        pub index: u32,
        /// The number of the start.
        pub run: u32,
        /// How it ended.
        pub reason: model::EndReason,
        /// The last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// The answer to whoever proposed a command.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Outcome {
        /// Done, now or earlier.
        Applied,
        /// The job is accepted, now or earlier.
        Accepted(u64),
        /// There is no such job.
        Unknown,
        /// The configuration is invalid.
        Invalid(String),
    }

    /// Something that changed, for the leader.
    pub enum Event {
        /// The configuration is of this version.
        Configured(u64),
        /// A job was accepted.
        Submitted(ids::JobKey),
        /// A job is to stop: it was cancelled or has failed.
        Stopping(ids::JobKey),
        /// A run may start.
        Placed(model::RunKey, model::Incarnation),
        /// A run may not start: its job or task has moved on.
        PlacementRejected(model::RunKey),
        /// The registry has taken note of the end of a run, or knew of it.
        Ended(model::RunKey, model::EndReason),
        /// A job has ended.
        Finished(ids::JobKey),
    }
}

impl Placement {
    /// The run that is placed.
    pub fn key(&self) -> model::RunKey {
        model::RunKey::from_parts(self.job, self.occurrence, self.step, self.index, self.run)
    }
}

impl Ending {
    /// The end of a run.
    pub fn new(key: model::RunKey, reason: model::EndReason, checkpoint: String) -> Self {
        let model::TaskKey { job, occurrence, step, index } = key.task;
        Self { job: job.0, occurrence, step, index, run: key.run, reason, checkpoint }
    }

    /// The run that ended.
    pub fn key(&self) -> model::RunKey {
        model::RunKey::from_parts(self.job, self.occurrence, self.step, self.index, self.run)
    }
}
