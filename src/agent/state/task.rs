//! One task of a member, and what is said of it.

use crate::core::time;
use crate::macros;
use crate::wire::agent;
use crate::wire::common;

macros::value_types! {
    /// What became of the order to start one task.
    pub enum StartOutcome {
        /// The backend server runs it.
        Accepted,
        /// It was not started, and this order will not start it.
        Refused(String),
        /// The order may or may not have arrived.
        Unknown(String),
    }

    /// What the backend server says of one task.
    pub enum TaskStatus {
        /// It runs.
        Running,
        /// It has ended.
        Ended(TaskEnd),
        /// The backend server did not answer, or answered about another task.
        Unreachable(String),
    }

    /// How one task ended.
    pub enum TaskEnd {
        /// Well, with this answer.
        Done(common::AnswerMeta),
        /// Badly.
        Failed(String),
        /// It was stopped.
        Stopped,
        /// The backend server knows nothing of it, or must have stopped it under its lease.
        Gone(String),
    }

    /// Why a member's tasks are stopped.
    pub enum Cause {
        /// Control ordered it, or the agent's planned stop did.
        Ordered,
        /// The lease ended or the backend server is out of reach.
        Lost(String),
        /// A task failed or was refused, so that the others are of no use.
        Broken,
    }

    /// Where one task stands.
    pub enum Stage {
        /// The order to start it is under way.
        Beginning,
        /// The backend server has taken it, or may have.
        Running {
            /// Since when it has been out of reach.
            silent: Option<time::Tick>,
            /// Whether the backend server has confirmed the start. If not, the start may yet
            /// arrive, until the backend server has confirmed the stop.
            sure: bool,
        },
        /// It was not started, and never will be.
        Refused(String),
        /// It has ended.
        Ended(TaskEnd),
    }

    /// Where a member stands.
    pub enum Phase {
        /// Its tasks have their room; nothing is started.
        Prepared,
        /// Its tasks are starting, running or stopping.
        Active,
        /// All tasks ended well; the answer is being fetched.
        Fetching,
        /// Nothing of it runs here any more.
        Ended(agent::TaskResult),
    }

    /// An order to stop that is being carried out.
    pub struct Halt {
        /// Why.
        pub cause: Cause,
        /// Since when.
        pub since: time::Tick,
        /// When the time to checkpoint is over.
        pub until: time::Tick,
        /// When the order was last given to the backend server.
        pub posted: Option<time::Tick>,
    }

    /// What became of fetching an answer.
    pub enum FetchOutcome {
        /// It is here, its length and checksum match.
        Complete(common::AnswerMeta),
        /// The backend server does not give the answer that it promised.
        Invalid(String),
        /// The backend server can't be reached, or has lost the answer.
        Lost(String),
    }
}

impl Stage {
    /// Whether the backend server has taken it, or may have.
    pub fn is_running(&self) -> bool {
        matches!(self, Stage::Running { .. })
    }

    /// Whether it may still run, now or later.
    pub fn is_open(&self) -> bool {
        matches!(self, Stage::Beginning | Stage::Running { .. })
    }
}

impl TaskEnd {
    /// Why the other tasks here are stopped after this end; none if they may go on.
    pub fn cause(&self) -> Option<Cause> {
        match self {
            TaskEnd::Done(_) => None,
            TaskEnd::Failed(_) => Some(Cause::Broken),
            TaskEnd::Stopped => {
                let detail = "the backend server stopped the task without an order";
                Some(Cause::Lost(detail.to_owned()))
            }
            TaskEnd::Gone(detail) => Some(Cause::Lost(detail.clone())),
        }
    }
}
