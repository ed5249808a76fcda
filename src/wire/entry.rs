//! Messages between an entry and a control replica: one stream each way, calls matched by number.

use crate::macros;
use crate::wire::common;
use crate::wire::workflow;

macros::value_types! {
    /// From an entry to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// The first message.
        Hello {
            /// [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// The cell the entry serves.
            cell: u16,
            /// The random identity of this entry process.
            entry: u64,
            /// The revision of the configuration it holds; 0 for none.
            revision: u64,
        },
        /// A call; answered by one or more [`ServerMessage::Reply`] with the same number.
        Call {
            /// The call's number on this stream, rising.
            id: u64,
            /// The caller's trace context.
            trace: common::TraceContext,
            /// What is asked.
            body: Call,
        },
        /// The caller of this call has gone; no reply is wanted any more.
        CancelCall {
            /// The call's number.
            id: u64,
        },
        /// Refusals the entry made on its own; sent again until [`ServerMessage::RefusalsStored`].
        Refusals {
            /// The report's number within this entry process, from 1.
            sequence: u64,
            /// (service, start of the hour in ms since 1970, count).
            counts: Vec<(String, u64, u64)>,
        },
    }

    /// What an entry asks of control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Call {
        /// Submit a request. Replied with [`Reply::Job`] once it is durable.
        Submit(common::Spec),
        /// How a request stands; waits until it has ended or the time is over.
        Fetch {
            /// The client account.
            account: String,
            /// The request's key.
            key: String,
            /// How long to wait for its end, in milliseconds; 0 for an answer at once.
            wait: u64,
        },
        /// The bytes of an answer. Replied with [`Reply::Chunk`]s from the offset on.
        Answer {
            /// The client account.
            account: String,
            /// The request's key.
            key: String,
            /// The first byte wanted.
            offset: u64,
        },
        /// Cancel a request. Replied with [`Reply::Job`].
        Cancel {
            /// The client account.
            account: String,
            /// The request's key.
            key: String,
        },
        /// Apply a ticket. Replied with [`Reply::Ticket`].
        Ticket(common::Ticket),
        /// What became of a ticket number. Replied with [`Reply::TicketRecord`].
        TicketShow(u64),
        /// The configuration in force. Replied with [`Reply::Config`].
        Config,
        /// All workers. Replied with [`Reply::Workers`].
        Workers,
        /// Jobs that have not ended, and the latest that have. Replied with [`Reply::Jobs`].
        Jobs {
            /// Only this account's; all where empty.
            account: String,
            /// At most so many.
            limit: u32,
        },
        /// One job by number. Replied with [`Reply::Job`].
        JobShow(u64),
        /// The state of the control group and who lags. Replied with [`Reply::Status`].
        Status,
        /// The status page's hours. Replied with [`Reply::Hours`].
        Hours {
            /// The first hour wanted, in ms since 1970.
            from: u64,
            /// The end of the last hour wanted.
            until: u64,
        },
        /// Workflows that have not ended, and the latest that have. Replied with
        /// [`Reply::Workflows`].
        Workflows {
            /// Only this account's; all where empty.
            account: String,
            /// At most so many.
            limit: u32,
        },
        /// One workflow by number. Replied with [`Reply::Workflow`].
        WorkflowShow(u64),
        /// Cancel a workflow by number. Replied with [`Reply::Workflow`].
        WorkflowCancel(u64),
    }

    /// From control to an entry.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// The answer to [`ClientMessage::Hello`].
        Welcome {
            /// This replica's number.
            replica: u64,
        },
        /// The whole configuration at a newer revision than the entry holds. Never older.
        Config(common::Config),
        /// A reply to a call.
        Reply {
            /// The call's number.
            id: u64,
            /// The reply.
            body: Reply,
        },
        /// This replica does not lead; calls go to the other one, where known.
        NotLeader {
            /// The leader's address.
            leader: Option<String>,
        },
        /// A report of refusals is durable.
        RefusalsStored {
            /// The report's number.
            sequence: u64,
        },
    }

    /// A reply to a call.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Reply {
        /// Refused, or failed; the verdict says whether anything may have happened.
        Refused(common::Refusal),
        /// A job.
        Job(Job),
        /// A part of an answer.
        Chunk {
            /// Its offset.
            offset: u64,
            /// The bytes.
            bytes: Vec<u8>,
            /// Whether it is the last; nothing follows this reply then.
            last: bool,
        },
        /// A ticket was accepted.
        Ticket {
            /// The revision that it made.
            revision: u64,
        },
        /// A ticket's record.
        TicketRecord(TicketRecord),
        /// The configuration.
        Config(common::Config),
        /// Workers.
        Workers(Vec<Worker>),
        /// Jobs.
        Jobs(Vec<Job>),
        /// The group's state.
        Status(Status),
        /// Hours of all services.
        Hours(Hours),
        /// Workflows.
        Workflows(Vec<workflow::Workflow>),
        /// A workflow, and its tasks that are not done.
        Workflow(workflow::Workflow, Vec<workflow::Task>),
    }

    /// A job as callers and operators see it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// The job's number.
        pub job: u64,
        /// The client account.
        pub account: String,
        /// The service.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's key.
        pub key: String,
        /// The shape.
        pub shape: common::Shape,
        /// When it was accepted, in ms since 1970.
        pub submitted: u64,
        /// When it is due.
        pub deadline: u64,
        /// 0 queued, 1 released, 2 ended.
        pub phase: u8,
        /// Attempts so far.
        pub attempts: u32,
        /// Where the last attempt runs or ran: (worker, data centre, rack, tasks).
        pub placements: Vec<Placement>,
        /// How it ended.
        pub end: Option<common::End>,
    }

    /// A part of a gang in names.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Placement {
        /// The worker's name.
        pub worker: String,
        /// Its data centre.
        pub data_center: String,
        /// Its rack.
        pub rack: String,
        /// Tasks there.
        pub tasks: u32,
    }

    /// A ticket's record.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct TicketRecord {
        /// The ticket's number.
        pub number: u64,
        /// The digest of the content that was accepted.
        pub digest: [u8; 32],
        /// The revision it made.
        pub revision: u64,
        /// When, in ms since 1970.
        pub at: u64,
        /// The objects it set.
        pub objects: Vec<String>,
    }

    /// A worker as operators see it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Worker {
        /// What it announced.
        pub spec: common::WorkerSpec,
        /// Whether its agent holds a lease now.
        pub alive: bool,
        /// Whether it is leaving of itself.
        pub leaving: bool,
        /// Whether operators have ordered it to drain.
        pub drained: bool,
        /// Tasks granted to it.
        pub tasks: u32,
        /// Accelerators granted on it.
        pub accelerators: u32,
        /// The revision its agent has in force.
        pub revision: u64,
        /// Its health in the planner's words, such as `good` or `probation`.
        pub health: String,
    }

    /// The control group's state.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Status {
        /// The leader's number.
        pub leader: u64,
        /// The term.
        pub term: u64,
        /// The revision in force.
        pub revision: u64,
        /// Entries committed.
        pub committed: u64,
        /// The replicas: (number, address, voter, entries behind the leader).
        pub replicas: Vec<Replica>,
        /// Entries and agents that hold an older revision: (name, revision).
        pub lagging: Vec<(String, u64)>,
        /// Guarantees that can't be packed now: (account, shortfall).
        pub shortfall: Vec<(String, String)>,
        /// Jobs waiting.
        pub queued: u64,
        /// Jobs released.
        pub running: u64,
    }

    /// A control replica as the leader sees it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Replica {
        /// Its number.
        pub key: u64,
        /// Its address.
        pub addr: String,
        /// Whether it votes.
        pub voter: bool,
        /// How many committed entries it has not confirmed.
        pub behind: u64,
    }

    /// Hours of the status page.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Hours {
        /// The ledger's time, in ms since 1970: what the hours are as of.
        pub as_of: u64,
        /// The hours, by service and start.
        pub hours: Vec<Hour>,
    }

    /// One service's hour.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Hour {
        /// The service.
        pub service: String,
        /// The start of the hour, in ms since 1970.
        pub hour: u64,
        /// Requests due in the hour.
        pub promised: u64,
        /// Done in time.
        pub done: u64,
        /// Late.
        pub late: u64,
        /// Refused with not-run.
        pub refused: u64,
        /// Ended with may-have-run.
        pub uncertain: u64,
        /// Spans not recorded, in ms since 1970.
        pub gaps: Vec<(u64, u64)>,
    }
}
