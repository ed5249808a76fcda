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
        Cooling(time::Tick),
        /// Its place is promised; it waits for this many jobs there to stop.
        Promised(usize),
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
    pub enum Hold {
        /// It holds none.
        #[default]
        Nothing,
        /// Its account's guarantee.
        Claim(Vec<guarantee::Pick>),
        /// It can be stopped whenever a guarantee is claimed.
        Lent,
        /// It can't be stopped, and leaves room for every guarantee.
        Pinned,
    }

    /// A job.
    pub struct Work {
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
        pub declared: time::Millis,
        /// When it was accepted.
        pub submitted: time::Tick,
        /// When its answer is due.
        pub deadline: time::Tick,
        /// Where it stands.
        pub stage: Stage,
        /// On what right it holds its place.
        pub hold: Hold,
        /// Its place.
        pub place: fit::Place,
        /// How often it was stopped for others.
        pub preempted: u32,
        /// How often its place failed before its release.
        pub refused: u32,
    }
}

/// The order in which lent places are taken back beyond guarantees: the last class first, and in
/// it the work that began last.
pub type LentRank = (cmp::Reverse<account::Class>, cmp::Reverse<time::Tick>, ids::JobKey);

impl Work {
    /// Its accelerators.
    pub fn accelerators(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// Whether its place can be taken back now.
    pub fn is_lent(&self) -> bool {
        let settled = matches!(self.stage, Stage::Promised(_) | Stage::Placed | Stage::Running(_));
        settled && self.hold == Hold::Lent
    }

    /// Whether it waits, in the queue or before it.
    pub fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Cooling(_))
    }

    /// How long it has run.
    pub fn elapsed(&self, now: time::Tick) -> time::Millis {
        match self.stage {
            Stage::Running(since) => now - since,
            _ => time::Millis(0),
        }
    }

    /// The rank among lent work.
    pub fn lent_rank(&self) -> LentRank {
        let since = match self.stage {
            Stage::Running(since) => since,
            _ => time::Tick(u64::MAX),
        };
        (cmp::Reverse(self.class), cmp::Reverse(since), self.key)
    }
}
