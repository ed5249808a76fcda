//! What goes into the planner and what comes out of it.

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

macros::value_types! {
    /// A job that waits for a place, in the planner's own times.
    pub struct Queued {
        /// The job.
        pub job: ids::JobKey,
        /// Its client account.
        pub account: String,
        /// Its service.
        pub service: String,
        /// Its kind of work.
        pub kind: String,
        /// Its shape.
        pub shape: shape::Shape,
        /// The declared run time.
        pub run_time: time::Millis,
        /// When it was accepted.
        pub submitted: time::Tick,
        /// When its answer is due.
        pub deadline: time::Tick,
    }

    /// What the planner is told.
    pub enum Input {
        /// The configuration in force.
        Config(account::Config),
        /// A worker is there, or has changed.
        Worker {
            /// The worker.
            key: ids::WorkerKey,
            /// What it announced.
            spec: job::WorkerSpec,
            /// The lease epoch for new members.
            epoch: ids::Epoch,
            /// Whether it may get new work.
            schedulable: bool,
        },
        /// A worker and all that ran there are gone; its attempts end by inputs of their own.
        WorkerLost(ids::WorkerKey),
        /// A job waits for a place. A job that was preempted comes back the same way.
        Queued(Queued),
        /// An attempt already runs (told once, when a replica begins to lead).
        Running {
            /// The job.
            queued: Queued,
            /// Where it runs.
            members: Vec<job::Member>,
            /// When it was released.
            since: time::Tick,
        },
        /// A placed job was released; its tasks start now.
        Released(ids::JobKey),
        /// A placed job could not be prepared there: its place is free, and it waits again.
        PlaceFailed {
            /// The job.
            job: ids::JobKey,
            /// The worker that refused or did not answer, where one is known.
            worker: Option<ids::WorkerKey>,
        },
        /// A running job's tasks have all stopped: its accelerators are free.
        Ended {
            /// The job.
            job: ids::JobKey,
            /// How it ended, for health and run times.
            result: RunResult,
        },
        /// A waiting job is withdrawn: cancelled, refused or past its deadline.
        Withdrawn(ids::JobKey),
        /// Time has passed.
        Tick,
    }

    /// What the planner decides.
    pub enum Output {
        /// Prepare and release this job on these workers. The place is held from now on.
        Place {
            /// The job.
            job: ids::JobKey,
            /// The workers, in the order of their tasks.
            members: Vec<job::Member>,
        },
        /// Stop this running job to give its place to another; it is queued again if it may run again.
        Preempt {
            /// The job.
            job: ids::JobKey,
            /// How long it may take to checkpoint.
            grace: time::Millis,
        },
        /// Refuse this waiting job.
        Refuse {
            /// The job.
            job: ids::JobKey,
            /// Why.
            refusal: verdict::Refusal,
        },
    }
}

macros::value_types! {
    /// A guaranteed gang and the place that is kept for it, for operators and for checks.
    pub struct PackedGang {
        /// The client account.
        pub account: String,
        /// The guaranteed shape.
        pub shape: shape::Shape,
        /// Whether no ticket guarantees it any more; it goes with its last claim.
        pub retired: bool,
        /// The workers and the tasks that each has room for; empty while it can't be packed.
        pub parts: Vec<(ids::WorkerKey, u32)>,
        /// The jobs that run, or will run, in it.
        pub claims: Vec<ids::JobKey>,
    }
}

macros::copy_types! {
    /// How a run ended.
    pub enum RunResult {
        /// Well.
        Done,
        /// The backend server of the given worker failed it.
        Failed(ids::WorkerKey),
        /// A member was lost.
        Lost,
        /// It was stopped to give its place back.
        Preempted,
        /// It was cancelled.
        Cancelled,
    }
}
