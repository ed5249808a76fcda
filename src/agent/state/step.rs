//! What goes into the state and what comes out of it.

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
    /// What the state is told.
    pub enum Input {
        /// A leader has welcomed this agent on a new session.
        Connected,
        /// The session has ended.
        Disconnected,
        /// A message from the leader.
        Received(agent::ServerMessage),
        /// The backend server has announced itself, or repeats it.
        Announced(contract::Announcement),
        /// Tasks that nothing here knows were stopped and deleted at the backend server, or not.
        Swept(bool),
        /// What became of the order to start a task.
        StartFinished(contract::TaskKey, task::StartOutcome),
        /// What the backend server says of a task.
        Watched(contract::TaskKey, task::TaskStatus),
        /// The backend server's answer to the order to stop a task.
        Stopped(contract::TaskKey, task::TaskStatus),
        /// What became of fetching an answer.
        Fetched(ids::AttemptKey, task::FetchOutcome),
        /// The answer's bytes were sent to the leader.
        Delivered(ids::AttemptKey),
        /// The agent is told to stop: it wants no new work.
        Leave,
        /// The agent's time is up: what still runs is stopped, after this grace.
        StopAll(time::Millis),
        /// Time has passed.
        Tick,
    }

    /// What is to be done.
    pub enum Output {
        /// Send a message to the leader, if there is a session.
        Send(agent::ClientMessage),
        /// Order the start of a task, but only under this lease. Answered by [`Input::StartFinished`].
        Start {
            /// The task.
            task: contract::TaskKey,
            /// What it runs.
            prepare: rc::Rc<agent::Prepare>,
            /// The lease.
            lease: Lease,
        },
        /// Ask after a task until it ends, for a bounded time. Answered by [`Input::Watched`].
        Watch {
            /// The task.
            task: contract::TaskKey,
            /// How long to wait first.
            pause: time::Millis,
        },
        /// Stop a task at once. Answered by [`Input::Stopped`].
        Stop {
            /// The task.
            task: contract::TaskKey,
        },
        /// Have a task checkpoint and stop.
        Checkpoint {
            /// The task.
            task: contract::TaskKey,
            /// How long it may take.
            grace: time::Millis,
        },
        /// Hold a task to a share of its speed.
        Throttle {
            /// The task.
            task: contract::TaskKey,
            /// The share in percent.
            percent: u32,
        },
        /// Fetch the answer of a task and keep it. Answered by [`Input::Fetched`].
        Fetch {
            /// The task.
            task: contract::TaskKey,
            /// Its length and checksum, as the backend server promised them.
            meta: common::AnswerMeta,
            /// The longest answer permitted, in bytes.
            limit: u64,
        },
        /// Send the kept answer in chunks, then the attempt's end. Answered by
        /// [`Input::Delivered`] if the session lasts.
        Deliver {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The answer's length and checksum.
            meta: common::AnswerMeta,
        },
        /// Drop the kept answer and delete the tasks at the backend server.
        Discard {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// The tasks.
            tasks: Vec<contract::TaskKey>,
        },
        /// Stop and delete every task at the backend server but these. Answered by
        /// [`Input::Swept`].
        Sweep {
            /// The tasks that are known.
            keep: Vec<contract::TaskKey>,
        },
        /// Drop the session and look for the leader again: nothing comes on it any more.
        Reconnect,
        /// Count an end that was reached just now.
        AttemptEnded {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// How it ended, in a word.
            label: &'static str,
        },
        /// Log an event.
        Log(event::Event, String),
    }
}

macros::copy_types! {
    /// The lease under which a task is started.
    pub struct Lease {
        /// When it ends.
        pub until: time::Tick,
        /// The fencing token that the backend server was given with it.
        pub fence: u64,
    }
}
