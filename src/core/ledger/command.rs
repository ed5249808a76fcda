//! The commands of the replicated log.

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;
use crate::macros;

macros::value_types! {
    /// One entry of the log, with the leader's civil time at the proposal.
    pub struct Entry {
        /// The leader's clock; the ledger never lets its own time run backwards.
        pub at: time::Wall,
        /// What is to be done.
        pub command: Command,
    }

    /// A change to the replicated state.
    pub enum Command {
        /// Nothing but the time; logged while nothing else is, so that outages show.
        Clock,
        /// A change ticket.
        Ticket(Ticket),
        /// A caller's request.
        Submit(job::Spec),
        /// A caller's cancellation.
        Cancel {
            /// The client account.
            account: String,
            /// The key of the request.
            key: String,
        },
        /// A worker announced itself, for the first time, changed, or after a restart of its agent.
        Announce {
            /// What it announced.
            spec: job::WorkerSpec,
            /// The random identity of this run of the agent.
            incarnation: u64,
            /// Whether it is leaving.
            leaving: bool,
        },
        /// A worker's lease has run out, or it has left: nothing runs there any more.
        WorkerLost {
            /// The worker.
            worker: ids::WorkerKey,
            /// The epoch that ends.
            epoch: ids::Epoch,
        },
        /// A gang is prepared everywhere and may start.
        Release {
            /// The attempt; its number is above that of the job's last.
            attempt: ids::AttemptKey,
            /// Its workers, in the order of their tasks.
            members: Vec<job::Member>,
        },
        /// A part of an answer.
        Chunk {
            /// The attempt that produced it.
            attempt: ids::AttemptKey,
            /// Its offset in the answer, in bytes.
            offset: u64,
            /// The bytes.
            bytes: Vec<u8>,
        },
        /// An attempt ended.
        AttemptEnd {
            /// The attempt.
            attempt: ids::AttemptKey,
            /// How.
            result: AttemptResult,
        },
        /// Every member of an ended attempt has confirmed its stop.
        AttemptStopped {
            /// The attempt.
            attempt: ids::AttemptKey,
        },
        /// A job that was never released is refused.
        Refuse {
            /// The job.
            job: ids::JobKey,
            /// Why.
            refusal: verdict::Refusal,
        },
        /// Refusals that an entry counted while it could not ask control.
        Refusals {
            /// The random identity of the entry process.
            entry: u64,
            /// The report's number within that process, from 1.
            sequence: u64,
            /// The counts.
            counts: Vec<RefusalCount>,
        },
        /// A change to the workflows.
        Workflow(workflow::command::Command),
    }

    /// How an attempt ended.
    pub enum AttemptResult {
        /// All tasks ended well; the answer's chunks are stored and match this.
        Done(job::AnswerMeta),
        /// The backend server reported failure.
        Failed(String),
        /// A member was lost, or can't tell what became of its tasks.
        Lost(String),
        /// Stopped to give its place back; runs again where that is permitted.
        Preempted,
        /// Prepared and released, but known never to have started.
        NotStarted,
    }

    /// Requests of one service and hour that an entry refused on its own.
    pub struct RefusalCount {
        /// The service.
        pub service: String,
        /// The start of the hour.
        pub hour: time::Wall,
        /// How many.
        pub count: u64,
    }

    /// A change ticket: the whole new state of everything it touches.
    pub struct Ticket {
        /// Its number.
        pub number: ids::TicketNumber,
        /// The SHA-256 digest of its content.
        pub digest: [u8; 32],
        /// The new states, no object twice.
        pub changes: Vec<Change>,
    }

    /// The whole new state of one object.
    pub enum Change {
        /// A client account.
        Account(account::Account),
        /// No such client account any more.
        DropAccount(String),
        /// A service with all its kinds of work.
        Service(account::Service),
        /// Whether a worker drains.
        Worker {
            /// The worker's name.
            name: String,
            /// Whether it gets no new work.
            drain: bool,
        },
        /// The control replicas, by number, with the address each listens on.
        Replicas(Vec<(ids::ReplicaKey, String)>),
    }
}

impl Change {
    /// The name of the object it sets, such as `account/swan-coast`.
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
