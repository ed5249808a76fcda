//! The planner's state of a job: its requirements, its stage and its allocation.

use std::cmp;

use crate::core::account;
use crate::core::ids;
use crate::core::placement::fit;
use crate::core::placement::guarantee;
use crate::core::shape;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// The scheduling stage of a job.
    pub enum Stage {
        /// The job is in the queue.
        Waiting,
        /// The job is backing off until this time, when it is queued again.
        BackOff(time::Tick),
        /// A placement is allocated, and this many jobs there must stop first.
        AwaitingPreemption(usize),
        /// The placement has been handed out, and the job has not been released yet.
        Placed,
        /// The job has been running since this time.
        Running(time::Tick),
        /// The job is being preempted; true once the decision to stop it has been emitted.
        Stopping(bool),
    }
}

macros::value_types! {
    /// How a job's placement is secured.
    #[derive(Default)]
    pub enum Allocation {
        /// The job has no placement.
        #[default]
        None,
        /// The placement is part of the account's guarantee.
        Guaranteed(Vec<guarantee::Claim>),
        /// The job can be stopped whenever a guarantee is claimed.
        Preemptible,
        /// The job can't be stopped, and its placement leaves capacity for every guarantee.
        NonPreemptible,
    }

    /// The planner's state of a job.
    pub struct JobState {
        /// Key of the job.
        pub key: ids::JobKey,
        /// Index of the client account in the catalog.
        pub account: usize,
        /// Index of the service in the fleet.
        pub service: usize,
        /// Index of the kind of work in the catalog.
        pub kind: usize,
        /// Class of the job.
        pub class: account::Class,
        /// Shape of the job.
        pub shape: shape::Shape,
        /// Declared run time.
        pub run_time: time::Millis,
        /// Time at which the job was accepted.
        pub submitted: time::Tick,
        /// Time by which the answer is due.
        pub deadline: time::Tick,
        /// Scheduling stage.
        pub stage: Stage,
        /// How the placement is secured.
        pub allocation: Allocation,
        /// Workers with their tasks; empty if the job has no placement.
        pub placement: fit::Placement,
        /// Number of times the job was preempted.
        pub preemptions: u32,
        /// Number of times a placement failed before the job's release.
        pub place_failures: u32,
    }
}

/// The order in which jobs are preempted outside of guarantees: the last class first, and within a
/// class the job that started last.
pub type PreemptionRank = (cmp::Reverse<account::Class>, cmp::Reverse<time::Tick>, ids::JobKey);

impl JobState {
    /// Total number of accelerators of the job.
    pub fn accelerators(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// Whether the job's placement can be taken away now.
    pub fn is_preemptible(&self) -> bool {
        let placed =
            matches!(self.stage, Stage::AwaitingPreemption(_) | Stage::Placed | Stage::Running(_));
        placed && self.allocation == Allocation::Preemptible
    }

    /// Whether the job is in the queue or backing off.
    pub fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::BackOff(_))
    }

    /// How long the job has been running; zero if it is not running.
    pub fn elapsed(&self, now: time::Tick) -> time::Millis {
        match self.stage {
            Stage::Running(since) => now - since,
            _ => time::Millis(0),
        }
    }

    /// The job's rank among the preemptible jobs.
    pub fn preemption_rank(&self) -> PreemptionRank {
        let since = match self.stage {
            Stage::Running(since) => since,
            _ => time::Tick(u64::MAX),
        };
        (cmp::Reverse(self.class), cmp::Reverse(since), self.key)
    }
}
