//! What goes into the runner and what comes out of it.

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::time;
use crate::macros;

macros::value_types! {
    /// What the runner is told.
    pub enum Input {
        /// Prepare and release this attempt.
        Place {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// Its members.
            members: Vec<job::Member>,
        },
        /// The ledger holds this released attempt (told once, when a replica begins to lead).
        Recover {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// Its members.
            members: Vec<job::Member>,
            /// Members whose epoch has ended meanwhile.
            lost: Vec<ids::WorkerKey>,
            /// Whether its end is committed already.
            stopping: bool,
        },
        /// A member has answered the preparation.
        Prepared {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
            /// Whether it keeps room.
            ok: bool,
        },
        /// The release is committed.
        Released(ids::AttemptKey),
        /// The release was refused by the ledger; nothing was released.
        ReleaseRefused(ids::AttemptKey),
        /// A member's tasks are started.
        Started {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
        },
        /// A member's tasks have ended.
        Ended {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
            /// How.
            result: MemberResult,
        },
        /// A worker's epoch has ended: its tasks are gone.
        WorkerLost(ids::WorkerKey),
        /// A running attempt is to stop, to give its place back or because it was cancelled.
        Stop {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// How long its tasks may take to checkpoint.
            grace: time::Millis,
        },
        /// A waiting job is withdrawn: its preparation, if any, is dropped.
        Withdraw(ids::JobKey),
        /// The end of the attempt is committed.
        EndCommitted(ids::AttemptKey),
        /// The attempt is cleared.
        Cleared(ids::AttemptKey),
        /// A worker reports that it holds this attempt.
        Held {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
        },
        /// Time has passed.
        Tick,
    }

    /// How the tasks of one member ended.
    pub enum MemberResult {
        /// Well; the member of the first task tells the answer.
        Done(Option<job::AnswerMeta>),
        /// The backend server reported failure.
        Failed(String),
        /// Stopped as ordered.
        Stopped,
        /// Never started, and never will be.
        NotStarted,
        /// Nobody can tell.
        Unknown(String),
    }

    /// What the runner wants done.
    pub enum Output {
        /// Send a member the preparation of its tasks.
        Prepare {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The member.
            member: job::Member,
            /// The number of its first task within the gang.
            first: u32,
        },
        /// Send a member the order to start.
        Start {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The member.
            member: job::Member,
        },
        /// Send a worker the order to stop an attempt.
        Stop {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
            /// How long the tasks may take to checkpoint.
            grace: time::Millis,
        },
        /// Tell a worker that it may drop what it keeps of an attempt.
        Forget {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The worker.
            worker: ids::WorkerKey,
        },
        /// Propose the release.
        Release {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// Its members.
            members: Vec<job::Member>,
        },
        /// Propose the end of an attempt.
        End {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// How.
            result: command::AttemptResult,
            /// The worker whose backend server failed it, where one did.
            worker: Option<ids::WorkerKey>,
        },
        /// Propose that the attempt's accelerators are free.
        Clear(ids::AttemptKey),
        /// The job could not be prepared; its place is free again.
        PlaceFailed {
            /// The job.
            job: ids::JobKey,
            /// The worker that refused or did not answer, where one is known.
            worker: Option<ids::WorkerKey>,
        },
    }
}
