//! The state of workflows, sent from control to an entry for operators.

use crate::macros;

macros::value_types! {
    /// The state of a workflow.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Workflow {
        /// Number of the workflow.
        pub number: u64,
        /// The identifier that the caller chose.
        pub id: String,
        /// The address of the workflow's queue.
        pub queue: String,
        /// Name of the client account; empty if the queue is public.
        pub account: String,
        /// Name of the pool that runs the workflow.
        pub pool: String,
        /// The rank of the queue when the workflow was accepted.
        pub rank: u32,
        /// The phase: 0 pending, 1 running, 2 completed, 3 failed, 4 cancelled.
        pub phase: u8,
        /// The time at which the workflow was accepted, in ms since 1970.
        pub accepted: u64,
        /// The time at which the workflow ended, in ms since 1970; 0 before.
        pub ended: u64,
        /// The number of occurrences in the schedule.
        pub occurrences: u32,
        /// The number of occurrences that are done.
        pub finished: u32,
        /// The steps, each summed over all occurrences that are not done.
        pub steps: Vec<Step>,
    }

    /// The number of tasks of a step in each state.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Step {
        /// Whether the tasks of the step form a gang.
        pub gang: bool,
        /// The number of tasks that wait, including those that wait for earlier steps.
        pub waiting: u32,
        /// The number of tasks with a run that may not have ended.
        pub placed: u32,
        /// The number of tasks that are done.
        pub done: u32,
        /// The number of runs that failed.
        pub failures: u32,
    }

    /// The state of a task that is not done.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Task {
        /// Index of the occurrence.
        pub occurrence: u32,
        /// Index of the step.
        pub step: u32,
        /// Index of the task within the step.
        pub index: u32,
        /// Number of the last run; 0 before the first.
        pub run: u32,
        /// The number of runs that failed.
        pub failures: u32,
        /// Host and start time of the worker incarnation that runs the task, if it has a run.
        pub incarnation: Option<(u32, u64)>,
    }
}
