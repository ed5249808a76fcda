//! What applying a command gave.

use crate::core::ids;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;
use crate::macros;

macros::value_types! {
    /// The answer to whoever proposed the command.
    pub enum Outcome {
        /// Applied; nothing more to say.
        Applied,
        /// The ticket is accepted, now or earlier, at this revision.
        Ticket(ids::Revision),
        /// The request is accepted, now or earlier, as this job.
        Job(ids::JobKey),
        /// The worker has this key and this epoch.
        Worker(ids::WorkerKey, ids::Epoch),
        /// Refused; nothing changed.
        Refused(verdict::Refusal),
        /// The answer to a command to the workflows.
        Workflow(workflow::command::Outcome),
        /// The command no longer fits the state (an old attempt or epoch); nothing changed.
        Stale,
    }

    /// Something that changed, for the planner, the gang runner and the waiting callers.
    pub enum Event {
        /// The configuration has a new revision.
        Config(ids::Revision),
        /// A job is queued, for the first time or again.
        Queued(ids::JobKey),
        /// A job's attempt is released.
        Released(ids::AttemptKey),
        /// A running attempt's caller has cancelled it.
        CancelRequested(ids::AttemptKey),
        /// An attempt ended; its members still have to confirm their stop.
        Stopping(ids::AttemptKey),
        /// An attempt's accelerators are free.
        Freed(ids::AttemptKey),
        /// A job ended.
        Ended(ids::JobKey),
        /// A worker is known, changed, leaves, or has a new epoch.
        WorkerChanged(ids::WorkerKey),
        /// A worker's tasks are gone.
        WorkerLost(ids::WorkerKey),
        /// Something of the workflows changed.
        Workflow(workflow::command::Event),
    }

    /// What the status page shows of one service and one hour.
    #[derive(Default)]
    pub struct Hour {
        /// Requests accepted whose deadline falls into the hour.
        pub promised: u64,
        /// Of those, ended with their answer in time.
        pub done: u64,
        /// Of those, not ended by their deadline, or ended after it.
        pub late: u64,
        /// Requests refused with not-run.
        pub refused: u64,
        /// Requests that ended with may-have-run.
        pub uncertain: u64,
        /// Spans of the hour in which nothing could be recorded.
        pub gaps: Vec<Gap>,
    }

    /// A span without a record.
    pub struct Gap {
        /// Its start.
        pub from: time::Wall,
        /// Its end.
        pub until: time::Wall,
    }
}
