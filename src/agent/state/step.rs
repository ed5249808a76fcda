//! Inputs and outputs of the state.

use std::rc;

use crate::agent::contract;
use crate::agent::state::task;
use crate::core::ids;
use crate::core::time;
use crate::macros;
use crate::telemetry::event;
use crate::wire::agent;
use crate::wire::common;

macros::value_types! {
    /// An input of the state.
    pub enum Input {
        /// A leader has welcomed this agent on a new session.
        Connected,
        /// The session has ended.
        Disconnected,
        /// A message from the leader was received.
        Received(agent::ServerMessage),
        /// The backend server has announced itself, for the first time or again.
        Announced(contract::Announcement),
        /// A sweep of the backend server has finished; true if every unknown task was stopped and
        /// deleted.
        Swept(bool),
        /// The order to start a task has finished.
        StartFinished(contract::TaskKey, task::StartOutcome),
        /// The backend server was asked for the status of a task.
        Watched(contract::TaskKey, task::TaskStatus),
        /// The order to stop a task has finished, with the task's status.
        Stopped(contract::TaskKey, task::TaskStatus),
        /// Fetching an answer has finished.
        Fetched(ids::AttemptKey, task::FetchOutcome),
        /// The answer and the attempt's end were sent to the leader.
        Delivered(ids::AttemptKey),
        /// A planned stop of the agent begins; the worker accepts no new work.
        Leave,
        /// The drain time of a planned stop has passed; running tasks are stopped after this grace
        /// period.
        StopAll(time::Millis),
        /// Time has passed.
        Tick,
    }

    /// An action for the driver.
    pub enum Output {
        /// Send a message to the leader if a session is open.
        Send(agent::ClientMessage),
        /// Order the start of a task unless the lease has ended. Answered by
        /// [`Input::StartFinished`].
        Start {
            /// The key of the task.
            task: contract::TaskKey,
            /// The preparation, which says what the task runs.
            prepare: rc::Rc<agent::Prepare>,
            /// The lease under which the task starts.
            lease: Lease,
        },
        /// Request the status of a task, waiting a bounded time for its end. Answered by
        /// [`Input::Watched`].
        Watch {
            /// The key of the task.
            task: contract::TaskKey,
            /// The delay before the request.
            delay: time::Millis,
        },
        /// Stop a task at once. Answered by [`Input::Stopped`].
        Stop {
            /// The key of the task.
            task: contract::TaskKey,
        },
        /// Order a task to write a checkpoint and stop.
        Checkpoint {
            /// The key of the task.
            task: contract::TaskKey,
            /// How long the checkpoint may take.
            grace: time::Millis,
        },
        /// Limit a task to a percentage of its full speed.
        Throttle {
            /// The key of the task.
            task: contract::TaskKey,
            /// The speed limit in percent.
            percent: u32,
        },
        /// Fetch the answer of a task and hold it. Answered by [`Input::Fetched`].
        Fetch {
            /// The key of the task.
            task: contract::TaskKey,
            /// The answer's length and checksum, as the backend server reported them.
            meta: common::AnswerMeta,
            /// Size limit of the answer, in bytes.
            limit: u64,
        },
        /// Send the held answer in chunks, then the attempt's end. Answered by
        /// [`Input::Delivered`] unless the session ends first.
        Deliver {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The answer's length and checksum.
            meta: common::AnswerMeta,
        },
        /// Drop the held answer and delete the tasks at the backend server.
        Discard {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The keys of the attempt's tasks.
            tasks: Vec<contract::TaskKey>,
        },
        /// Stop and delete every task at the backend server except the known ones. Answered by
        /// [`Input::Swept`].
        Sweep {
            /// The known tasks.
            keep: Vec<contract::TaskKey>,
        },
        /// Drop the session, on which the leader no longer responds, and look for the leader again.
        Reconnect,
        /// Count and log the end of an attempt.
        AttemptEnded {
            /// The key of the attempt.
            attempt: ids::AttemptKey,
            /// The result's label in logs and metrics.
            label: &'static str,
        },
        /// Log an event.
        Log(event::Event, String),
    }
}

macros::copy_types! {
    /// The lease under which a task is started.
    pub struct Lease {
        /// When the lease ends.
        pub until: time::Tick,
        /// The fencing token that the backend server received with the lease.
        pub fence: u64,
    }
}
