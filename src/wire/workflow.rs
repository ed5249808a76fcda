//! Workflows as operators see them, between control and an entry.

use crate::macros;

macros::value_types! {
    /// A workflow.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Workflow {
        /// Its number.
        pub number: u64,
        /// The caller's identifier.
        pub id: String,
        /// The place of its queue.
        pub queue: String,
        /// The client account; empty where the queue is open.
        pub account: String,
        /// The pool that runs it.
        pub pool: String,
        /// The queue's rank at acceptance.
        pub rank: u32,
        /// 0 pending, 1 running, 2 completed, 3 failed, 4 cancelled.
        pub phase: u8,
        /// When it was accepted, in ms since 1970.
        pub accepted: u64,
        /// When it ended, in ms since 1970; 0 before.
        pub ended: u64,
        /// How many occurrences its schedule has.
        pub occurrences: u32,
        /// How many of them are done.
        pub finished: u32,
        /// Its steps, over all occurrences that are not done.
        pub steps: Vec<Step>,
    }

    /// A step: how many tasks stand where.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Step {
        /// Whether its tasks are one gang.
        pub gang: bool,
        /// Tasks that wait, also for earlier steps.
        pub waiting: u32,
        /// Tasks with a run that may be going on.
        pub placed: u32,
        /// Tasks that are done.
        pub done: u32,
        /// Runs that failed.
        pub failures: u32,
    }

    /// A task that is not done.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Task {
        /// The occurrence.
        pub occurrence: u32,
        /// The step.
        pub step: u32,
        /// The task within its step.
        pub index: u32,
        /// The number of its last run; 0 before the first.
        pub run: u32,
        /// Runs that failed.
        pub failures: u32,
        /// Its worker's host and the time of birth of that incarnation, if it has a run.
        pub incarnation: Option<(u32, u64)>,
    }
}
