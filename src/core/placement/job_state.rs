//! Jobs as placement knows them: what they ask, where they stand, and what they hold.

use std::cmp;

use crate::core::account;
use crate::core::ids;
use crate::core::placement::fit;
use crate::core::placement::guarantee;
use crate::core::shape;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// Where a job stands.
    pub enum Stage {
        /// It waits in the queue.
        Waiting,
        /// It waits for a time before it is queued again.
        BackOff(time::Tick),
        /// Its place is promised; it waits for this many jobs there to stop.
        AwaitingPreemption(usize),
        /// Its place is given out; it was not released yet.
        Placed,
        /// It runs since this time.
        Running(time::Tick),
        /// It is being stopped for others; whether the order to stop was given out.
        Stopping(bool),
    }
}

macros::value_types! {
    /// On what right a job holds its place.
    #[derive(Default)]
    pub enum Allocation {
        /// It holds none.
        #[default]
        None,
        /// Its account's guarantee.
        Guaranteed(Vec<guarantee::Claim>),
        /// It can be stopped whenever a guarantee is claimed.
        Preemptible,
        /// It can't be stopped, and leaves room for every guarantee.
        NonPreemptible,
    }

    /// A job.
    pub struct JobState {
        /// Its key.
        pub key: ids::JobKey,
        /// Its account.
        pub account: usize,
        /// Its service, as the fleet numbers it.
        pub service: usize,
        /// Its kind of work.
        pub kind: usize,
        /// Its class.
        pub class: account::Class,
        /// Its shape.
        pub shape: shape::Shape,
        /// Its declared run time.
        pub run_time: time::Millis,
        /// When it was accepted.
        pub submitted: time::Tick,
        /// When its answer is due.
        pub deadline: time::Tick,
        /// Where it stands.
        pub stage: Stage,
        /// On what right it holds its place.
        pub allocation: Allocation,
        /// Its place.
        pub placement: fit::Placement,
        /// How often it was stopped for others.
        pub preemptions: u32,
        /// How often its place failed before its release.
        pub place_failures: u32,
    }
}

/// The order in which lent places are taken back beyond guarantees: the last class first, and in
/// it the work that began last.
pub type PreemptionRank = (cmp::Reverse<account::Class>, cmp::Reverse<time::Tick>, ids::JobKey);

impl JobState {
    /// Its accelerators.
    pub fn accelerators(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// Whether its place can be taken back now.
    pub fn is_preemptible(&self) -> bool {
        let placed =
            matches!(self.stage, Stage::AwaitingPreemption(_) | Stage::Placed | Stage::Running(_));
        placed && self.allocation == Allocation::Preemptible
    }

    /// Whether it waits, in the queue or before it.
    pub fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::BackOff(_))
    }

    /// How long it has run.
    pub fn elapsed(&self, now: time::Tick) -> time::Millis {
        match self.stage {
            Stage::Running(since) => now - since,
            _ => time::Millis(0),
        }
    }

    /// The rank among lent work.
    pub fn preemption_rank(&self) -> PreemptionRank {
        let since = match self.stage {
            Stage::Running(since) => since,
            _ => time::Tick(u64::MAX),
        };
        (cmp::Reverse(self.class), cmp::Reverse(since), self.key)
    }
}
