//! The results of applying a command: the outcome for its proposer and the events.

use crate::core::ids;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;
use crate::macros;

macros::value_types! {
    /// The result of a command, returned to its proposer.
    pub enum Outcome {
        /// The command was applied and returns no value.
        Applied,
        /// The ticket was accepted, now or earlier, and created this revision.
        Ticket(ids::Revision),
        /// The request was accepted, now or earlier, as this job.
        Job(ids::JobKey),
        /// The announced worker's key and current lease epoch.
        Worker(ids::WorkerKey, ids::Epoch),
        /// The command was refused; nothing changed.
        Refused(verdict::Refusal),
        /// The result of a workflow command.
        Workflow(workflow::command::Outcome),
        /// The command is stale, for example because of an old attempt or epoch; nothing changed.
        Stale,
    }

    /// A change of the state, for the planner, the gang coordinator and the waiting callers.
    pub enum Event {
        /// The configuration has a new revision.
        Config(ids::Revision),
        /// A job was queued, for the first time or again.
        Queued(ids::JobKey),
        /// An attempt was released: its tasks may start.
        Released(ids::AttemptKey),
        /// The caller cancelled a job while this attempt was running.
        CancelRequested(ids::AttemptKey),
        /// An attempt ended, and its members have yet to confirm that their tasks stopped.
        Stopping(ids::AttemptKey),
        /// The workers of an attempt are free again.
        Freed(ids::AttemptKey),
        /// A job ended.
        Ended(ids::JobKey),
        /// A worker was announced, changed, is leaving, drains or has a new epoch.
        WorkerChanged(ids::WorkerKey),
        /// A worker's epoch ended: its tasks are gone.
        WorkerLost(ids::WorkerKey),
        /// A change of the workflows.
        Workflow(workflow::command::Event),
    }

    /// The counts of one service in one hour, as the status page shows them.
    #[derive(Default)]
    pub struct Hour {
        /// Accepted requests whose deadline lies in the hour.
        pub promised: u64,
        /// Promised requests that ended with their answer by the deadline.
        pub done: u64,
        /// Promised requests that had not ended by the deadline.
        pub late: u64,
        /// Requests refused with the verdict not-run.
        pub refused: u64,
        /// Promised requests that ended without an answer and may have run.
        pub uncertain: u64,
        /// Intervals of the hour in which no log entry was committed.
        pub gaps: Vec<Gap>,
    }

    /// An interval in which no log entry was committed.
    pub struct Gap {
        /// Start of the interval.
        pub from: time::Wall,
        /// End of the interval.
        pub until: time::Wall,
    }
}
