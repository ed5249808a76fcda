//! Messages between an agent and the leading control replica: one stream each way.
//!
//! A gang starts in three steps. Control sends [`ServerMessage::Prepare`] to every member and waits for
//! every [`ClientMessage::Prepared`]; it commits the release; it sends [`ServerMessage::Start`], again and again until
//! each member answers [`ClientMessage::Started`] or has ended. Every message may be lost, doubled or late:
//! each names its attempt, and the receiver answers a repeated one as it answered the first.

use crate::macros;
use crate::wire::common;

macros::value_types! {
    /// From an agent to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// The first message.
        Hello {
            /// [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// The cell.
            cell: u16,
            /// The random identity of this run of the agent.
            incarnation: u64,
            /// The revision of the configuration it holds; 0 for none.
            revision: u64,
        },
        /// What the backend server announced. Sent after the hello, at each change and on request.
        Announce {
            /// The worker.
            spec: common::WorkerSpec,
            /// Whether it is leaving and wants no new work.
            leaving: bool,
        },
        /// A heartbeat, asking for the lease to be renewed.
        Heartbeat {
            /// Its number in this run of the agent, rising.
            sequence: u64,
            /// The epoch of the lease it holds or last held; 0 for none.
            epoch: u64,
            /// The revision of the configuration it holds.
            revision: u64,
            /// The attempts of which it holds tasks, prepared or started.
            attempts: Vec<common::AttemptKey>,
            /// The backend server's reported usage.
            usage: Usage,
        },
        /// The answer to [`ServerMessage::Prepare`].
        Prepared {
            /// The attempt.
            attempt: common::AttemptKey,
            /// Whether the tasks have their slots, connections and accelerators.
            ok: bool,
            /// Why not.
            detail: String,
        },
        /// The answer to [`ServerMessage::Start`]: the backend server accepted all tasks here.
        Started {
            /// The attempt.
            attempt: common::AttemptKey,
        },
        /// A part of the answer; only the member with the gang's first task sends it.
        Chunk {
            /// The attempt.
            attempt: common::AttemptKey,
            /// Its offset.
            offset: u64,
            /// The bytes.
            bytes: Vec<u8>,
        },
        /// All tasks here have ended, of themselves or because they were stopped. Sent again until
        /// [`ServerMessage::EndStored`].
        Ended {
            /// The attempt.
            attempt: common::AttemptKey,
            /// How.
            result: TaskResult,
        },
    }

    /// How the tasks of one member ended.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum TaskResult {
        /// All ended well; the first task's member gives the answer, whose chunks went before.
        Done(Option<common::AnswerMeta>),
        /// The backend server reported failure of at least one.
        Failed(String),
        /// Stopped as ordered.
        Stopped,
        /// Never started here, and never will be.
        NotStarted,
        /// The agent can't tell what became of them.
        Unknown(String),
    }

    /// What the backend server reports of its use; it lags.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Usage {
        /// Tasks running.
        pub tasks: u32,
        /// Connections open.
        pub connections: u32,
        /// Accelerators in use.
        pub accelerators: u32,
    }

    /// From control to an agent.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// The answer to [`ClientMessage::Hello`] by a leader.
        Welcome {
            /// This replica's number.
            replica: u64,
        },
        /// This replica does not lead.
        NotLeader {
            /// The leader's address, where known.
            leader: Option<String>,
        },
        /// The answer to [`ClientMessage::Announce`], once it is durable.
        Registered {
            /// The worker's key.
            worker: u32,
            /// The epoch under which it gets work.
            epoch: u64,
        },
        /// The lease runs for this long from the moment the agent sent that heartbeat.
        Lease {
            /// The heartbeat's number.
            sequence: u64,
            /// The epoch.
            epoch: u64,
            /// The length in milliseconds.
            length: u64,
        },
        /// The epoch has ended: stop every task, then announce again.
        Fenced {
            /// The epoch that ended.
            epoch: u64,
        },
        /// The configuration at a newer revision.
        Config(common::Config),
        /// Keep room for the tasks of an attempt.
        Prepare(Prepare),
        /// The attempt is released: start its tasks. An agent that knows no preparation answers
        /// with the attempt's end, and never starts it.
        Start {
            /// The attempt.
            attempt: common::AttemptKey,
            /// The epoch under which the release was committed.
            epoch: u64,
        },
        /// Stop the tasks of an attempt, or drop its preparation.
        Stop {
            /// The attempt.
            attempt: common::AttemptKey,
            /// How long the tasks may take to checkpoint, in milliseconds; 0 to stop at once.
            grace: u64,
        },
        /// Hold the tasks of an attempt to a share of their speed.
        Throttle {
            /// The attempt.
            attempt: common::AttemptKey,
            /// The share in percent.
            percent: u32,
        },
        /// The attempt's end is stored; the agent may drop its answer.
        EndStored {
            /// The attempt.
            attempt: common::AttemptKey,
        },
    }

    /// The tasks of an attempt on one worker.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Prepare {
        /// The attempt.
        pub attempt: common::AttemptKey,
        /// The epoch of the member.
        pub epoch: u64,
        /// The service.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's key, for the backend server's own checks.
        pub key: String,
        /// The number of the first task here within the gang; 0 for the one that answers.
        pub first: u32,
        /// The number of tasks here.
        pub tasks: u32,
        /// The number of tasks of the whole gang.
        pub gang: u32,
        /// Accelerators for each task.
        pub accelerators: u32,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// What the backend server gets.
        pub payload: Vec<u8>,
        /// The caller's trace context.
        pub trace: common::TraceContext,
    }
}
