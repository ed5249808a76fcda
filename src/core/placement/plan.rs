//! Inputs and outputs of the planner.

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

macros::value_types! {
    /// A job that waits for a placement, with times on the planner's clock.
    pub struct Queued {
        /// Key of the job.
        pub job: ids::JobKey,
        /// Name of the client account.
        pub account: String,
        /// Name of the service.
        pub service: String,
        /// Name of the kind of work.
        pub kind: String,
        /// Shape of the job.
        pub shape: shape::Shape,
        /// Declared run time.
        pub run_time: time::Millis,
        /// Time at which the job was accepted.
        pub submitted: time::Tick,
        /// Time by which the answer is due.
        pub deadline: time::Tick,
    }

    /// An event that the planner processes.
    pub enum Input {
        /// The configuration in force.
        Config(account::Config),
        /// A worker was announced or has changed.
        Worker {
            /// Key of the worker.
            key: ids::WorkerKey,
            /// Capacity and services that the worker announced.
            spec: job::WorkerSpec,
            /// Lease epoch for new members.
            epoch: ids::Epoch,
            /// Whether the worker may get new work.
            schedulable: bool,
        },
        /// A worker was lost with everything that ran on it; an input of its own ends each of its
        /// attempts.
        WorkerLost(ids::WorkerKey),
        /// A job waits for a placement. A preempted job returns to the queue in the same way.
        Queued(Queued),
        /// An attempt is already running; sent once for each running attempt when a replica becomes
        /// leader.
        Running {
            /// The job, as it was queued.
            queued: Queued,
            /// Workers on which the job runs.
            members: Vec<job::Member>,
            /// Time at which the job was released.
            since: time::Tick,
        },
        /// A placed job was released; its tasks start now.
        Released(ids::JobKey),
        /// A placed job could not be prepared at its placement: the capacity is free, and the job
        /// waits again.
        PlaceFailed {
            /// Key of the job.
            job: ids::JobKey,
            /// The worker that refused or did not answer, if known.
            worker: Option<ids::WorkerKey>,
        },
        /// All tasks of a running job have stopped: its accelerators are free.
        Ended {
            /// Key of the job.
            job: ids::JobKey,
            /// Result of the run, for the workers' health and the kind's run times.
            result: RunResult,
        },
        /// A waiting job is withdrawn because it was cancelled, refused or passed its deadline.
        Withdrawn(ids::JobKey),
        /// Time has passed.
        Tick,
    }

    /// A decision of the planner.
    pub enum Output {
        /// Prepare and release this job on these workers. The capacity is allocated from now on.
        Place {
            /// Key of the job.
            job: ids::JobKey,
            /// Workers with their tasks, in the order of the tasks.
            members: Vec<job::Member>,
        },
        /// Stop this running job to free its capacity for another; it is queued again if it may run
        /// again.
        Preempt {
            /// Key of the job.
            job: ids::JobKey,
            /// How long the job may take to checkpoint.
            grace: time::Millis,
        },
        /// Refuse this waiting job.
        Refuse {
            /// Key of the job.
            job: ids::JobKey,
            /// Reason of the refusal.
            refusal: verdict::Refusal,
        },
    }
}

macros::value_types! {
    /// A guaranteed gang and the capacity reserved for it, for operators and for checks.
    pub struct PackedGang {
        /// Name of the client account.
        pub account: String,
        /// Guaranteed shape.
        pub shape: shape::Shape,
        /// Whether no ticket guarantees the gang any more; it is removed with its last claim.
        pub retired: bool,
        /// Workers with the number of tasks that each has capacity for; empty while the gang can't
        /// be packed.
        pub parts: Vec<(ids::WorkerKey, u32)>,
        /// Jobs that are allocated capacity of the gang.
        pub claims: Vec<ids::JobKey>,
    }
}

macros::copy_types! {
    /// The result of a run.
    pub enum RunResult {
        /// The run succeeded.
        Done,
        /// The backend server of this worker failed the run.
        Failed(ids::WorkerKey),
        /// A member of the run was lost.
        Lost,
        /// The run was preempted.
        Preempted,
        /// The run was cancelled.
        Cancelled,
    }
}
