//! The state of one task of a member and the reports about it.

use crate::core::time;
use crate::macros;
use crate::wire::agent;
use crate::wire::common;

macros::value_types! {
    /// The outcome of the order to start one task.
    pub enum StartOutcome {
        /// The backend server accepted the task.
        Accepted,
        /// The task was not started, and this order will not start it.
        Refused(String),
        /// The order may or may not have arrived.
        Unknown(String),
    }

    /// The status of one task at the backend server.
    pub enum TaskStatus {
        /// The task runs.
        Running,
        /// The task has ended.
        Ended(TaskEnd),
        /// The backend server did not respond, or its response was about another task.
        Unreachable(String),
    }

    /// How one task ended.
    pub enum TaskEnd {
        /// The task succeeded with this answer.
        Done(common::AnswerMeta),
        /// The task failed.
        Failed(String),
        /// The task was stopped.
        Stopped,
        /// The backend server does not know the task, or must have stopped it when its lease ended.
        Gone(String),
    }

    /// Why a member's tasks are stopped.
    pub enum Cause {
        /// Control or a planned stop of the agent ordered the stop.
        Ordered,
        /// The lease ended or the backend server can't be reached.
        Lost(String),
        /// A task failed or was refused, so that the others can't complete the gang.
        Broken,
    }

    /// The stage of one task.
    pub enum Stage {
        /// The order to start the task is in flight.
        Starting,
        /// The backend server has accepted the task, or may have.
        Running {
            /// When the task became unreachable; `None` while it responds.
            unreachable_since: Option<time::Tick>,
            /// Whether the backend server has confirmed the start. An unconfirmed start may still
            /// arrive until the backend server has confirmed the stop.
            confirmed: bool,
        },
        /// The task was not started and never will be.
        Refused(String),
        /// The task has ended.
        Ended(TaskEnd),
    }

    /// The phase of a member.
    pub enum Phase {
        /// Capacity for the tasks is reserved; no task is started.
        Prepared,
        /// The tasks are starting, running or stopping.
        Active,
        /// All tasks succeeded; the answer is being fetched.
        Fetching,
        /// No task of the member runs on this worker any more.
        Ended(agent::TaskResult),
    }

    /// A stop of a member's tasks that is in progress.
    pub struct Halt {
        /// Why the tasks are stopped.
        pub cause: Cause,
        /// When the stop began.
        pub since: time::Tick,
        /// When the grace period for checkpoints ends and the tasks are ordered to stop.
        pub deadline: time::Tick,
        /// When the order to stop was last sent to the backend server.
        pub last_sent: Option<time::Tick>,
    }

    /// The outcome of fetching an answer.
    pub enum FetchOutcome {
        /// The answer is held; its length and checksum match.
        Complete(common::AnswerMeta),
        /// The backend server serves another answer than it reported.
        Invalid(String),
        /// The backend server can't be reached, or has lost the answer.
        Lost(String),
    }
}

impl Stage {
    /// Whether the backend server has accepted the task, or may have.
    pub fn is_running(&self) -> bool {
        matches!(self, Stage::Running { .. })
    }

    /// Whether the task may run now or later.
    pub fn may_run(&self) -> bool {
        matches!(self, Stage::Starting | Stage::Running { .. })
    }
}

impl TaskEnd {
    /// The cause for stopping the member's other tasks after this end; `None` if they may continue.
    pub fn halt_cause(&self) -> Option<Cause> {
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
