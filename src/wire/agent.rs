//! Messages between an agent and the leading control replica: one stream each way.
//!
//! A gang starts in three steps: control sends [`ServerMessage::Prepare`] to every member and waits
//! for every [`ClientMessage::Prepared`]; it commits the release; it resends
//! [`ServerMessage::Start`] until each member has answered [`ClientMessage::Started`] or
//! [`ClientMessage::Ended`].
//!
//! Messages may be lost, duplicated or delayed. Each names its attempt, and handling is idempotent:
//! the receiver answers a repeated message as it answered the first.

use crate::macros;
use crate::wire::common;

macros::value_types! {
    /// A message from an agent to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// Opens the session; always the first message.
        Hello {
            /// The agent's [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// Number of the cell that the agent belongs to.
            cell: u16,
            /// Random identity of the agent process.
            incarnation: u64,
            /// Revision of the agent's configuration; 0 for none.
            revision: u64,
        },
        /// The backend server's announcement; sent after the hello, on each change and on request.
        Announce {
            /// The announced worker.
            spec: common::WorkerSpec,
            /// Whether the worker is leaving and takes no new work.
            leaving: bool,
        },
        /// A heartbeat, which asks for a renewal of the lease.
        Heartbeat {
            /// Number of the heartbeat, increasing within the agent process.
            sequence: u64,
            /// Epoch of the current or last lease; 0 for none.
            epoch: u64,
            /// Revision of the agent's configuration.
            revision: u64,
            /// The attempts that have prepared or started tasks on the worker.
            attempts: Vec<common::AttemptKey>,
            /// The usage that the backend server reported last.
            usage: Usage,
        },
        /// Answers [`ServerMessage::Prepare`].
        Prepared {
            /// The attempt to prepare.
            attempt: common::AttemptKey,
            /// Whether slots, connections and accelerators are reserved for the tasks.
            ok: bool,
            /// The reason why they are not reserved.
            detail: String,
        },
        /// Answers [`ServerMessage::Start`]: the backend server accepted all tasks of the worker.
        Started {
            /// The started attempt.
            attempt: common::AttemptKey,
        },
        /// A chunk of the answer; sent only by the member with the gang's first task.
        Chunk {
            /// The attempt that produced the answer.
            attempt: common::AttemptKey,
            /// Offset of the chunk in the answer, in bytes.
            offset: u64,
            /// Content of the chunk.
            bytes: Vec<u8>,
        },
        /// All tasks of the worker have ended, by themselves or because they were stopped. Resent
        /// until [`ServerMessage::EndStored`].
        Ended {
            /// The attempt that ended.
            attempt: common::AttemptKey,
            /// The result of its tasks on the worker.
            result: TaskResult,
        },
    }

    /// The result of the tasks of one member.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum TaskResult {
        /// All tasks succeeded. The member with the gang's first task gives the length and digest
        /// of the answer, whose chunks it sent before.
        Done(Option<common::AnswerMeta>),
        /// The backend server reported the failure of at least one task, with this detail.
        Failed(String),
        /// The tasks were stopped on request.
        Stopped,
        /// The tasks were never started on the worker and never will be.
        NotStarted,
        /// The agent can't tell whether the tasks ran; the text gives the reason.
        Unknown(String),
    }

    /// The backend server's last reported usage, which may be out of date.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Usage {
        /// The number of running tasks.
        pub tasks: u32,
        /// The number of open connections.
        pub connections: u32,
        /// The number of accelerators in use.
        pub accelerators: u32,
    }

    /// A message from control to an agent.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// Answers [`ClientMessage::Hello`]: this replica is the leader.
        Welcome {
            /// Number of the replica.
            replica: u64,
        },
        /// This replica isn't the leader.
        NotLeader {
            /// The leader's address, if known.
            leader: Option<String>,
        },
        /// Answers [`ClientMessage::Announce`], once the announcement is durable.
        Registered {
            /// The worker's key.
            worker: u32,
            /// The worker's current lease epoch.
            epoch: u64,
        },
        /// Grants a lease from the time at which the agent sent the named heartbeat.
        Lease {
            /// Number of the heartbeat.
            sequence: u64,
            /// The epoch of the lease.
            epoch: u64,
            /// The duration of the lease, in milliseconds.
            duration: u64,
        },
        /// The epoch ended: the agent must stop every task, then announce the worker again.
        Fenced {
            /// The epoch that ended.
            epoch: u64,
        },
        /// The complete configuration, at a newer revision than the agent's.
        Config(common::Config),
        /// Reserves slots, connections and accelerators for the tasks of an attempt.
        Prepare(Prepare),
        /// Starts the tasks of a released attempt. An agent that has not prepared the attempt
        /// answers [`ClientMessage::Ended`] and never starts it.
        Start {
            /// The released attempt.
            attempt: common::AttemptKey,
            /// The epoch under which the release was committed.
            epoch: u64,
        },
        /// Stops the tasks of an attempt, or frees what was reserved for them.
        Stop {
            /// The attempt to stop.
            attempt: common::AttemptKey,
            /// The time that the tasks have to checkpoint, in milliseconds; 0 to stop them
            /// immediately.
            grace: u64,
        },
        /// Limits the speed of the tasks of an attempt.
        Throttle {
            /// The attempt to throttle.
            attempt: common::AttemptKey,
            /// The permitted share of full speed, in percent.
            percent: u32,
        },
        /// The end of the attempt is durable; the agent may discard its state and answer.
        EndStored {
            /// The attempt that ended.
            attempt: common::AttemptKey,
        },
    }

    /// The tasks of an attempt on one worker, to be reserved.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Prepare {
        /// The attempt to prepare.
        pub attempt: common::AttemptKey,
        /// The worker's lease epoch under which the tasks run.
        pub epoch: u64,
        /// Name of the service.
        pub service: String,
        /// Name of the kind of work.
        pub kind: String,
        /// The caller's idempotency key, passed to the backend server for its own checks.
        pub key: String,
        /// Index within the gang of the worker's first task; task 0 produces the answer.
        pub first_task: u32,
        /// The number of tasks on the worker.
        pub tasks: u32,
        /// The number of tasks of the whole gang.
        pub gang_tasks: u32,
        /// The number of accelerators for each task.
        pub accelerators: u32,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// The payload passed to the backend server.
        pub payload: Vec<u8>,
        /// The caller's trace context.
        pub trace: common::TraceContext,
    }
}
