//! Inputs and outputs of the gang coordinator.

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::time;
use crate::macros;

macros::value_types! {
    /// An input of the coordinator.
    pub enum Input {
        /// An attempt was placed: prepare its members and propose its release.
        Place {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The members of its gang.
            members: Vec<job::Member>,
        },
        /// The ledger holds this released attempt. Sent once for each, when a replica begins to
        /// lead.
        Recover {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The members of its gang.
            members: Vec<job::Member>,
            /// The workers of members whose epoch has ended since the release.
            lost: Vec<ids::WorkerKey>,
            /// Whether its end is already committed.
            stopping: bool,
        },
        /// A member answered the order to prepare.
        Prepared {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
            /// Whether it has reserved the capacity for its tasks.
            ok: bool,
        },
        /// The release is committed.
        Released(ids::AttemptKey),
        /// The ledger refused the release, so no member may start.
        ReleaseRefused(ids::AttemptKey),
        /// A member has started its tasks.
        Started {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
        },
        /// A member's tasks have ended.
        Ended {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
            /// The result of its tasks.
            result: MemberResult,
        },
        /// A worker's epoch has ended, so none of its tasks runs any more.
        WorkerLost(ids::WorkerKey),
        /// A running attempt must stop, because it is preempted or was cancelled.
        Stop {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The time that its tasks may take to checkpoint.
            grace: time::Millis,
        },
        /// A waiting job was withdrawn: drop its preparation, if any.
        Withdraw(ids::JobKey),
        /// The end of the attempt is committed.
        EndCommitted(ids::AttemptKey),
        /// It is committed that the accelerators of the attempt are free.
        Freed(ids::AttemptKey),
        /// A worker reported that it holds this attempt.
        Reported {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
        },
        /// Time has passed.
        Tick,
    }

    /// The result of one member's tasks.
    pub enum MemberResult {
        /// The tasks completed; the member with the first task has the answer.
        Done(Option<job::AnswerMeta>),
        /// The backend server reported failure.
        Failed(String),
        /// The tasks were stopped on order.
        Stopped,
        /// The tasks never started and never will.
        NotStarted,
        /// The result can't be determined any more.
        Unknown(String),
    }

    /// An action that the coordinator requests.
    pub enum Output {
        /// Send a member the order to prepare its tasks.
        Prepare {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The member that is addressed.
            member: job::Member,
            /// The index of its first task within the gang.
            first: u32,
        },
        /// Send a member the order to start.
        Start {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The member that is addressed.
            member: job::Member,
        },
        /// Send a worker the order to stop an attempt.
        Stop {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
            /// The time that the tasks may take to checkpoint.
            grace: time::Millis,
        },
        /// Tell a worker that the end of an attempt is stored, so that it may drop its records.
        ConfirmEnd {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The key of the worker.
            worker: ids::WorkerKey,
        },
        /// Propose the release of an attempt.
        Release {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The members of its gang.
            members: Vec<job::Member>,
        },
        /// Propose the end of an attempt.
        End {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The result of the attempt.
            result: command::AttemptResult,
            /// The worker that caused the failure, if one did.
            worker: Option<ids::WorkerKey>,
        },
        /// Propose that the accelerators of the attempt are free.
        Free(ids::AttemptKey),
        /// The attempt could not be prepared or released; its workers' capacity is free again.
        PlaceFailed {
            /// The key of the job.
            job: ids::JobKey,
            /// The worker that refused, did not answer or was lost, if one is known.
            worker: Option<ids::WorkerKey>,
        },
    }
}
