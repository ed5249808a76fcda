//! Messages between an entry and a control replica: one stream in each direction.
//!
//! A reply carries the number of its call.

use crate::macros;
use crate::wire::common;
use crate::wire::workflow;

macros::value_types! {
    /// A message from an entry to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// Opens the session; always the first message.
        Hello {
            /// The entry's [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// Number of the cell that the entry serves.
            cell: u16,
            /// Random identity of the entry process.
            entry: u64,
            /// Revision of the entry's configuration; 0 for none.
            revision: u64,
        },
        /// A call, answered by one or more [`ServerMessage::Reply`] with the same number.
        Call {
            /// Number of the call, increasing within the stream.
            id: u64,
            /// Trace context of the call.
            trace: common::TraceContext,
            /// The requested operation.
            body: Call,
        },
        /// Abandons a call whose caller has disconnected; no further reply is needed.
        CancelCall {
            /// Number of the call.
            id: u64,
        },
        /// Requests that the entry refused without asking control; resent until
        /// [`ServerMessage::RefusalsStored`].
        Refusals {
            /// Number of the report within the entry process, from 1.
            sequence: u64,
            /// Refused requests: (service, start of the hour in ms since 1970, count).
            counts: Vec<(String, u64, u64)>,
        },
    }

    /// An operation that an entry calls on control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Call {
        /// Submits a request. The reply is [`Reply::Job`], once the request is durable.
        Submit(common::Spec),
        /// Returns the state of a request as [`Reply::Job`], once it has ended or the wait is over.
        Fetch {
            /// Name of the client account.
            account: String,
            /// The request's idempotency key.
            key: String,
            /// How long to wait for the end of the request, in milliseconds; 0 to reply
            /// immediately.
            wait: u64,
        },
        /// Returns the answer of a request from the offset on, as several [`Reply::Chunk`].
        Answer {
            /// Name of the client account.
            account: String,
            /// The request's idempotency key.
            key: String,
            /// Offset of the first byte to return.
            offset: u64,
        },
        /// Cancels a request. The reply is [`Reply::Job`].
        Cancel {
            /// Name of the client account.
            account: String,
            /// The request's idempotency key.
            key: String,
        },
        /// Applies a ticket. The reply is [`Reply::Ticket`].
        Ticket(common::Ticket),
        /// Returns the record of the ticket with this number as [`Reply::TicketRecord`].
        TicketShow(u64),
        /// Returns the current configuration as [`Reply::Config`].
        Config,
        /// Returns all workers as [`Reply::Workers`].
        Workers,
        /// Returns jobs that have not ended, then the latest that have, as [`Reply::Jobs`].
        Jobs {
            /// Name of the account whose jobs are returned; empty for all accounts.
            account: String,
            /// The most jobs to return.
            limit: u32,
        },
        /// Returns the job with this number as [`Reply::Job`].
        JobShow(u64),
        /// Returns the state of the control group and the lagging processes as [`Reply::Status`].
        Status,
        /// Returns the hours of the status page as [`Reply::Hours`].
        Hours {
            /// Start of the first hour, in ms since 1970.
            from: u64,
            /// End of the last hour, in ms since 1970.
            until: u64,
        },
        /// Returns workflows that have not ended, then the latest that have, as
        /// [`Reply::Workflows`].
        Workflows {
            /// Name of the account whose workflows are returned; empty for all accounts.
            account: String,
            /// The most workflows to return.
            limit: u32,
        },
        /// Returns the workflow with this number as [`Reply::Workflow`].
        WorkflowShow(u64),
        /// Cancels the workflow with this number. The reply is [`Reply::Workflow`].
        WorkflowCancel(u64),
    }

    /// A message from control to an entry.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// Answers [`ClientMessage::Hello`].
        Welcome {
            /// Number of the replica.
            replica: u64,
        },
        /// The complete configuration, at a newer revision than the entry's; never an older one.
        Config(common::Config),
        /// Replies to a call.
        Reply {
            /// Number of the call.
            id: u64,
            /// Content of the reply.
            body: Reply,
        },
        /// This replica isn't the leader; calls must be sent to the leader.
        NotLeader {
            /// The leader's address, if known.
            leader: Option<String>,
        },
        /// Answers [`ClientMessage::Refusals`]: the report is durable.
        RefusalsStored {
            /// Number of the report.
            sequence: u64,
        },
    }

    /// A reply to a call.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Reply {
        /// The call was refused or failed; the verdict says whether it may have had an effect.
        Refused(common::Refusal),
        /// The state of a job.
        Job(Job),
        /// A chunk of an answer.
        Chunk {
            /// Offset of the chunk in the answer, in bytes.
            offset: u64,
            /// Content of the chunk.
            bytes: Vec<u8>,
            /// Whether this is the last chunk, and so the last reply to the call.
            last: bool,
        },
        /// The ticket was accepted, now or earlier.
        Ticket {
            /// The configuration revision that the ticket created.
            revision: u64,
        },
        /// The record of an accepted ticket.
        TicketRecord(TicketRecord),
        /// The current configuration.
        Config(common::Config),
        /// The workers.
        Workers(Vec<Worker>),
        /// The jobs.
        Jobs(Vec<Job>),
        /// The state of the control group.
        Status(Status),
        /// The hours of all services.
        Hours(Hours),
        /// The workflows.
        Workflows(Vec<workflow::Workflow>),
        /// A workflow and its tasks that are not done.
        Workflow(workflow::Workflow, Vec<workflow::Task>),
    }

    /// The state of a job, for callers and operators.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// Number of the job.
        pub job: u64,
        /// Name of the client account.
        pub account: String,
        /// Name of the service.
        pub service: String,
        /// Name of the kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The declared number of tasks, accelerators per task and adjacency.
        pub shape: common::Shape,
        /// The time at which the request was accepted, in ms since 1970.
        pub submitted: u64,
        /// The deadline, in ms since 1970.
        pub deadline: u64,
        /// The phase: 0 queued, 1 released, 2 ended.
        pub phase: u8,
        /// The number of attempts so far.
        pub attempts: u32,
        /// The members of the last attempt.
        pub placements: Vec<Placement>,
        /// The job's result, once it has ended.
        pub end: Option<common::End>,
    }

    /// The part of a gang on one worker.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Placement {
        /// The worker's name.
        pub worker: String,
        /// Name of the worker's data centre.
        pub data_center: String,
        /// Name of the worker's rack.
        pub rack: String,
        /// The number of tasks on the worker.
        pub tasks: u32,
    }

    /// The record of an accepted ticket.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct TicketRecord {
        /// Number of the ticket.
        pub number: u64,
        /// SHA-256 digest of the accepted content.
        pub digest: [u8; 32],
        /// The configuration revision that the ticket created.
        pub revision: u64,
        /// The time at which the ticket was accepted, in ms since 1970.
        pub at: u64,
        /// Names of the objects that the ticket set.
        pub objects: Vec<String>,
    }

    /// The state of a worker, for operators.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Worker {
        /// The worker's last announcement.
        pub spec: common::WorkerSpec,
        /// Whether the worker's agent holds a lease.
        pub alive: bool,
        /// Whether the worker announced that it is leaving.
        pub leaving: bool,
        /// Whether operators ordered the worker to drain.
        pub drained: bool,
        /// The number of tasks allocated on the worker.
        pub tasks: u32,
        /// The number of accelerators allocated on the worker.
        pub accelerators: u32,
        /// Revision of the agent's configuration.
        pub revision: u64,
        /// The worker's health as the planner labels it, such as `good` or `probation`.
        pub health: String,
    }

    /// The state of the control group.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Status {
        /// Number of the leader.
        pub leader: u64,
        /// The leader's term.
        pub term: u64,
        /// Revision of the current configuration.
        pub revision: u64,
        /// Index of the last committed log entry.
        pub committed: u64,
        /// The members of the group.
        pub replicas: Vec<Replica>,
        /// Entries and agents with an older configuration: (name, revision).
        pub lagging: Vec<(String, u64)>,
        /// Guarantees that the current workers can't hold: (account, shortfall).
        pub shortfall: Vec<(String, String)>,
        /// The number of queued jobs.
        pub queued: u64,
        /// The number of released jobs.
        pub running: u64,
    }

    /// A control replica, as observed by the leader.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Replica {
        /// Number of the replica.
        pub key: u64,
        /// Address of the replica.
        pub addr: String,
        /// Whether the replica is a voter.
        pub voter: bool,
        /// The number of committed entries that the replica has not confirmed.
        pub behind: u64,
    }

    /// Hours of the status page.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Hours {
        /// The ledger's time up to which the hours are counted, in ms since 1970.
        pub as_of: u64,
        /// The hours, ordered by service and start.
        pub hours: Vec<Hour>,
    }

    /// The counts of one service in one hour.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Hour {
        /// Name of the service.
        pub service: String,
        /// Start of the hour, in ms since 1970.
        pub hour: u64,
        /// Accepted requests whose deadline lies in the hour.
        pub promised: u64,
        /// Promised requests that ended with their answer by the deadline.
        pub done: u64,
        /// Promised requests that had not ended by the deadline.
        pub late: u64,
        /// Requests refused with the verdict not-run.
        pub refused: u64,
        /// Promised requests that ended without an answer and may have run.
        pub uncertain: u64,
        /// Intervals in which no log entry was committed: (start, end) in ms since 1970.
        pub gaps: Vec<(u64, u64)>,
    }
}
