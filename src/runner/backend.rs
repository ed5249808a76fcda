//! The interface through which an agent calls its worker.

use std::fmt;

use futures_util::future::LocalBoxFuture;

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::macros;

macros::value_types! {
    /// The lists of its runs with which a worker answers a poll.
    pub struct Listing {
        /// The worker's clock, in milliseconds.
        pub clock: u64,
        /// The start of the worker's incarnation; none if the worker doesn't report it.
        pub started: Option<u64>,
        /// The runs in progress.
        pub running: Vec<order::Running>,
        /// The ended runs whose ends are not acknowledged yet, at most
        /// [`order::MAX_LISTED_ENDS`], those that ended first.
        pub finished: Vec<order::Finished>,
        /// Whether some rows couldn't be attributed to a run, so that a missing run may be among
        /// them.
        pub partial: bool,
    }

    /// A request for the lists of runs, which also extends the worker's lease.
    pub struct Poll {
        /// The fencing token.
        pub fence: u64,
        /// The time on the worker's clock until which everything may run; none leaves it as it is.
        pub deadline: Option<u64>,
        /// The number up to which ends are acknowledged, so that the worker may drop them.
        pub acknowledged: u64,
        /// How long the worker may delay its answer to wait for another end, in milliseconds.
        pub wait: u64,
    }

    /// An order to start a run.
    pub struct Launch {
        /// The task.
        pub task: model::TaskName,
        /// The number of the run.
        pub run: u32,
        /// The text with which the task is started.
        pub spec: String,
        /// The checkpoint to resume from; empty for none.
        pub checkpoint: String,
        /// The fencing token.
        pub fence: u64,
        /// The time on the worker's clock until which the run may go on.
        pub deadline: u64,
    }

    /// A worker's reply to an order to start a run.
    pub enum LaunchReply {
        /// The run is in progress, because of this order or an earlier one.
        Running,
        /// The worker has refused the order, which has no effect later either.
        Refused(String),
        /// The worker can't start anything at present; the order had no effect.
        Unavailable,
    }
}

/// The reason why a call to the worker has no answer; the worker may still carry it out.
#[derive(Clone, Debug)]
pub struct CallError(pub String);

/// The reason why a poll has returned no listing.
#[derive(Clone, Debug)]
pub enum PollError {
    /// No answer arrived, or one that tells nothing about the incarnation.
    Unanswered(String),
    /// No process of that name takes calls at its address.
    NoProcess(String),
}

impl From<PollError> for CallError {
    fn from(error: PollError) -> Self {
        Self(error.to_string())
    }
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(error) => f.write_str(error),
            Self::NoProcess(error) => write!(f, "no such process: {error}"),
        }
    }
}

/// The client for one incarnation of a worker.
pub trait Backend {
    /// Requests the lists of runs and extends the worker's lease.
    fn poll(&self, poll: Poll) -> LocalBoxFuture<'static, Result<Listing, PollError>>;

    /// Orders the start of a run.
    fn start(&self, launch: Launch) -> LocalBoxFuture<'static, Result<LaunchReply, CallError>>;

    /// Orders the stop of a run; once answered, the run has ended, ends soon, or never starts.
    fn stop(
        &self,
        task: model::TaskName,
        run: u32,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<(), CallError>>;
}
