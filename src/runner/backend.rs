//! The worker beside an agent, as the agent sees it.

use std::fmt;

use futures_util::future::LocalBoxFuture;

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::macros;

macros::value_types! {
    /// What a worker says of its runs.
    pub struct Listing {
        /// The worker's clock, in milliseconds.
        pub clock: u64,
        /// When the worker's incarnation began; none where it does not say.
        pub born: Option<u64>,
        /// What runs.
        pub running: Vec<order::Running>,
        /// What has ended and is not forgotten.
        pub finished: Vec<order::Finished>,
        /// Whether it has rows that name no run: then a run that it lacks may be there.
        pub partial: bool,
    }

    /// A question after the runs, which also extends the worker's lease.
    pub struct Look {
        /// The fencing token.
        pub fence: u64,
        /// Until when everything may run, on the worker's clock; none to leave that as it is.
        pub until: Option<u64>,
        /// The ends up to this number may be forgotten.
        pub seen: u64,
        /// How long the answer may wait for another end, in milliseconds.
        pub wait: u64,
    }

    /// A run to start.
    pub struct Launch {
        /// The task.
        pub task: model::TaskName,
        /// The number of the start.
        pub run: u32,
        /// The text that the task is started with.
        pub spec: String,
        /// The checkpoint to go on from; empty for none.
        pub saved: String,
        /// The fencing token.
        pub fence: u64,
        /// Until when it may run, on the worker's clock.
        pub until: u64,
    }

    /// What became of a start.
    pub enum Launched {
        /// It runs, now or since an earlier order.
        Running,
        /// The worker has refused it, and this order has no effect later either.
        Refused(String),
        /// The worker is in no state to start anything; this order had no effect.
        Unwell,
    }
}

/// Why a call to the worker has no answer; it may still be carried out.
#[derive(Clone, Debug)]
pub struct Unanswered(pub String);

/// Why a look has brought no listing.
#[derive(Clone, Debug)]
pub enum Unlisted {
    /// There was no answer, or one that says nothing of the incarnation.
    Unanswered(String),
    /// No process of that name takes calls at its address.
    Nobody(String),
}

impl From<Unlisted> for Unanswered {
    fn from(unlisted: Unlisted) -> Self {
        Self(unlisted.to_string())
    }
}

impl fmt::Display for Unlisted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(error) => f.write_str(error),
            Self::Nobody(error) => write!(f, "nobody there: {error}"),
        }
    }
}

/// Calls to one incarnation of a worker.
pub trait Backend {
    /// Asks after its runs.
    fn look(&self, look: Look) -> LocalBoxFuture<'static, Result<Listing, Unlisted>>;

    /// Orders the start of a run.
    fn start(&self, launch: Launch) -> LocalBoxFuture<'static, Result<Launched, Unanswered>>;

    /// Orders the stop of a run; once answered, the run has ended, ends soon, or never starts.
    fn stop(
        &self,
        task: model::TaskName,
        run: u32,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<(), Unanswered>>;
}
