//! Commands to the registry, their outcomes, and the events that they cause.

use crate::core::ids;
use crate::core::workflow::directory;
use crate::core::workflow::model;
use crate::macros;

macros::value_types! {
    /// A command to the registry.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Command {
        /// Replace the configuration if the version of this one is higher.
        Configure(directory::Directory),
        /// Accept a job.
        Submit(Submission),
        /// Cancel the job with this queue address and caller's identifier, also if it is submitted
        /// only later.
        Cancel(String, String),
        /// Place runs of tasks on workers.
        Place(Vec<Placement>),
        /// Record the ends of runs.
        End(Vec<Ending>),
    }

    /// A job that a caller submits.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Submission {
        /// The address of its queue.
        pub queue: String,
        /// The caller's identifier.
        pub id: String,
        /// The name of the client account; empty if the queue is public.
        pub account: String,
        /// The name of the pool whose workers run it.
        pub pool: String,
        /// The rank of the queue when the job was accepted.
        pub priority: u32,
        /// The number of failures of one task at which the job fails.
        pub attempts: u32,
        /// The steps to run, and when.
        pub workflow: model::Workflow,
    }

    /// The placement of one run of a task on one worker.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Placement {
        /// The key of the job.
        pub job: u64,
        /// The number of the occurrence, from 0.
        pub occurrence: u32,
        /// The number of the step, from 0.
        pub step: u32,
        /// The number of the task within its step, from 0.
        pub index: u32,
        /// The number of the run, from 1.
        pub run: u32,
        /// The incarnation of the worker.
        pub incarnation: model::Incarnation,
    }

    /// The end of a run.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Ending {
        /// The key of the job.
        pub job: u64,
        /// The number of the occurrence, from 0.
        pub occurrence: u32,
        /// The number of the step, from 0.
        pub step: u32,
        /// The number of the task within its step, from 0.
        pub index: u32,
        /// The number of the run, from 1.
        pub run: u32,
        /// The reason why it ended.
        pub reason: model::EndReason,
        /// The last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// The outcome of a command, for its proposer.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Outcome {
        /// The command was applied, or an earlier one already had its effect.
        Applied,
        /// The job has this key, whether it was accepted by this command or an earlier one.
        Accepted(u64),
        /// The registry holds no such job.
        Unknown,
        /// The configuration is invalid for this reason.
        Invalid(String),
    }

    /// A change of the registry, reported to the leader.
    pub enum Event {
        /// A configuration of this version took effect.
        Configured(u64),
        /// A job was accepted.
        Submitted(ids::JobKey),
        /// The runs of a job must stop, because it was cancelled or has failed.
        Stopping(ids::JobKey),
        /// A run was placed on this incarnation of a worker and may start.
        Placed(model::RunKey, model::Incarnation),
        /// A run may not start, since its job has ended or its task is not waiting for this run.
        PlacementRejected(model::RunKey),
        /// A run has ended for this reason; also sent for an end that changed nothing.
        Ended(model::RunKey, model::EndReason),
        /// A job has ended.
        Finished(ids::JobKey),
    }
}

impl Placement {
    /// The key of the run that is placed.
    pub fn key(&self) -> model::RunKey {
        model::RunKey::from_parts(self.job, self.occurrence, self.step, self.index, self.run)
    }
}

impl Ending {
    /// The end of the run with this key.
    pub fn new(key: model::RunKey, reason: model::EndReason, checkpoint: String) -> Self {
        let model::TaskKey { job, occurrence, step, index } = key.task;
        Self { job: job.0, occurrence, step, index, run: key.run, reason, checkpoint }
    }

    /// The key of the run that ended.
    pub fn key(&self) -> model::RunKey {
        model::RunKey::from_parts(self.job, self.occurrence, self.step, self.index, self.run)
    }
}
