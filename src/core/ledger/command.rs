//! Commands of the replicated log.

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;
use crate::macros;

macros::value_types! {
    /// A command with the leader's wall-clock time at its proposal.
    pub struct Entry {
        /// The leader's wall-clock time; the ledger ignores a time before that of an earlier entry.
        pub at: time::Wall,
        /// The change to apply.
        pub command: Command,
    }

    /// A change to the replicated state.
    pub enum Command {
        /// No change but the time; proposed while nothing else is, so that outages show as gaps.
        Clock,
        /// Applies a change ticket.
        Ticket(Ticket),
        /// Submits a caller's request.
        Submit(job::Spec),
        /// Cancels a caller's request.
        Cancel {
            /// The client account that owns the request.
            account: String,
            /// The request's idempotency key.
            key: String,
        },
        /// Registers or updates a worker: on its first announcement, on a change, and after a
        /// restart of its agent.
        Announce {
            /// The announced worker.
            spec: job::WorkerSpec,
            /// Random identity of the agent process.
            incarnation: u64,
            /// Whether the worker is leaving and takes no new work.
            leaving: bool,
        },
        /// Ends a worker's epoch: its lease expired or it left, so none of its tasks run any more.
        WorkerLost {
            /// The lost worker.
            worker: ids::WorkerKey,
            /// The lease epoch that ended.
            epoch: ids::Epoch,
        },
        /// Releases an attempt: every member is prepared and its tasks may start.
        Release {
            /// The attempt; its number is above that of the job's previous attempt.
            attempt: ids::AttemptKey,
            /// The members of the gang, in the order of their tasks.
            members: Vec<job::Member>,
        },
        /// Appends a chunk to an answer.
        Chunk {
            /// The attempt that produced the answer.
            attempt: ids::AttemptKey,
            /// Offset of the chunk in the answer, in bytes.
            offset: u64,
            /// Content of the chunk.
            bytes: Vec<u8>,
        },
        /// Ends an attempt.
        AttemptEnd {
            /// The attempt that ended.
            attempt: ids::AttemptKey,
            /// The result of the attempt.
            result: AttemptResult,
        },
        /// Frees the workers of an ended attempt: every member has confirmed that its tasks
        /// stopped.
        AttemptStopped {
            /// The attempt whose tasks stopped.
            attempt: ids::AttemptKey,
        },
        /// Refuses a job that is queued.
        Refuse {
            /// The queued job.
            job: ids::JobKey,
            /// The reason and its detail; the ledger decides the verdict.
            refusal: verdict::Refusal,
        },
        /// Adds refusals that an entry counted while it could not reach control.
        Refusals {
            /// Random identity of the entry process.
            entry: u64,
            /// Number of the report within the entry process, from 1; a repeated number is ignored.
            sequence: u64,
            /// Refusals by service and hour.
            counts: Vec<RefusalCount>,
        },
        /// Changes the workflows.
        Workflow(workflow::command::Command),
    }

    /// The result of an attempt that has ended.
    pub enum AttemptResult {
        /// All tasks succeeded; the length and digest must match the chunks of the answer.
        Done(job::AnswerMeta),
        /// The backend server reported a failure, with this detail.
        Failed(String),
        /// A member was lost or can't tell whether its tasks ran, with this detail.
        Lost(String),
        /// The attempt was preempted; the job is queued again if it is repeatable.
        Preempted,
        /// The attempt was released but never started on any member.
        NotStarted,
    }

    /// The number of requests of one service that an entry refused in one hour.
    pub struct RefusalCount {
        /// Name of the service.
        pub service: String,
        /// Start of the hour.
        pub hour: time::Wall,
        /// The number of refused requests.
        pub count: u64,
    }

    /// A change ticket: the complete new state of each object that it sets.
    pub struct Ticket {
        /// The ticket's number.
        pub number: ids::TicketNumber,
        /// SHA-256 digest of the ticket's content.
        pub digest: [u8; 32],
        /// The new states; an object may occur only once.
        pub changes: Vec<Change>,
    }

    /// The complete new state of one object.
    pub enum Change {
        /// Sets a client account.
        Account(account::Account),
        /// Deletes the client account with this name.
        DropAccount(String),
        /// Sets a service with all its kinds of work.
        Service(account::Service),
        /// Starts or ends the draining of a worker.
        Worker {
            /// The worker's name.
            name: String,
            /// Whether the worker drains: it gets no new work.
            drain: bool,
        },
        /// Sets the control replicas: the number and listening address of each.
        Replicas(Vec<(ids::ReplicaKey, String)>),
    }
}

impl Change {
    /// Returns the name of the object that the change sets, such as `account/swan-coast`.
    pub fn object(&self) -> String {
        match self {
            Change::Account(account) => format!("account/{}", account.name),
            Change::DropAccount(name) => format!("account/{name}"),
            Change::Service(service) => format!("service/{}", service.name),
            Change::Worker { name, .. } => format!("worker/{name}"),
            Change::Replicas(_) => "replicas".to_owned(),
        }
    }
}
