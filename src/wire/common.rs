//! Wire types that several protocols share.

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;
use crate::macros;
use crate::wire::codec;

macros::value_types! {
    /// The wire form of a [`shape::Shape`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Shape {
        /// The number of tasks.
        pub tasks: u32,
        /// The number of accelerators for each task.
        pub accelerators: u32,
        /// The adjacency: 0 cell, 1 data centre, 2 rack, 3 worker.
        pub adjacency: u8,
    }

    /// The wire form of a [`job::Spec`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Spec {
        /// Name of the client account.
        pub account: String,
        /// Name of the service.
        pub service: String,
        /// Name of the kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The declared shape.
        pub shape: Shape,
        /// The declared run time, in milliseconds.
        pub run_time: u64,
        /// The deadline, in milliseconds since 1970-01-01 UTC.
        pub deadline: u64,
        /// The payload passed to the backend server.
        pub payload: Vec<u8>,
    }

    /// The wire form of a [`job::WorkerSpec`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct WorkerSpec {
        /// The worker's name.
        pub name: String,
        /// Name of the data centre.
        pub data_center: String,
        /// Name of the rack.
        pub rack: String,
        /// Names of the services that the backend server offers.
        pub services: Vec<String>,
        /// The number of tasks that may run at the same time.
        pub slots: u32,
        /// The number of connections that the backend server accepts at the same time.
        pub connections: u32,
        /// The number of accelerators.
        pub accelerators: u32,
        /// The number of processor cores.
        pub processors: u32,
        /// Memory, in MiB.
        pub memory: u64,
        /// Speed relative to a standard worker, in percent.
        pub speed: u32,
    }

    /// The wire form of a [`job::Member`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Member {
        /// The worker's key.
        pub worker: u32,
        /// The worker's lease epoch under which the tasks run.
        pub epoch: u64,
        /// The number of tasks on the worker.
        pub tasks: u32,
    }

    /// The wire form of an [`ids::AttemptKey`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct AttemptKey {
        /// The job's key.
        pub job: u64,
        /// The attempt's number within the job, from 1.
        pub number: u32,
    }

    /// The wire form of a [`job::AnswerMeta`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct AnswerMeta {
        /// Length of the answer, in bytes.
        pub length: u64,
        /// SHA-256 digest of the answer.
        pub sha256: [u8; 32],
    }

    /// The wire form of a [`verdict::Refusal`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Refusal {
        /// The verdict: 0 not-run, 1 may-have-run, 2 ran.
        pub verdict: u8,
        /// The number of the reason, see [`verdict::Reason::number`].
        pub reason: u16,
        /// Human-readable detail.
        pub detail: String,
    }

    /// The wire form of a [`job::End`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum End {
        /// The job ended with its complete answer.
        Done(AnswerMeta),
        /// The job ended without an answer.
        Refused(Refusal),
    }

    /// The wire form of an [`account::Guarantee`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Guarantee {
        /// The shape of each gang.
        pub shape: Shape,
        /// The number of gangs.
        pub count: u32,
    }

    /// The wire form of an [`account::Account`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Account {
        /// Name of the account.
        pub name: String,
        /// The gangs that the account can always have.
        pub guarantees: Vec<Guarantee>,
        /// The account's weight.
        pub weight: u32,
        /// The most queued jobs of the account.
        pub queue_limit: u32,
        /// SHA-256 digests of the account's tokens.
        pub tokens: Vec<[u8; 32]>,
    }

    /// The wire form of an [`account::Kind`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Kind {
        /// Name of the kind of work.
        pub name: String,
        /// The class: 0 urgent, 1 scheduled, 2 deferred, 3 idle.
        pub class: u8,
        /// Whether the work may be repeated.
        pub repeatable: bool,
        /// The time to checkpoint, in milliseconds; none if the work can't checkpoint.
        pub checkpoint: Option<u64>,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// The default time until the deadline, in milliseconds.
        pub deadline: u64,
    }

    /// The wire form of an [`account::Service`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Service {
        /// Name of the service.
        pub name: String,
        /// The service's kinds of work.
        pub kinds: Vec<Kind>,
    }

    /// The wire form of an [`account::Config`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Config {
        /// Revision of the configuration.
        pub revision: u64,
        /// The client accounts.
        pub accounts: Vec<Account>,
        /// The services.
        pub services: Vec<Service>,
        /// Names of the draining workers.
        pub drained: Vec<String>,
    }

    /// The wire form of a [`command::Change`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Change {
        /// Sets a client account.
        Account(Account),
        /// Deletes the client account with this name.
        DropAccount(String),
        /// Sets a service with all its kinds of work.
        Service(Service),
        /// Starts or ends the draining of a worker.
        Worker {
            /// The worker's name.
            name: String,
            /// Whether the worker drains: it gets no new work.
            drain: bool,
        },
        /// Sets the control replicas: the number and listening address of each.
        Replicas(Vec<(u64, String)>),
    }

    /// The wire form of a [`command::Ticket`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Ticket {
        /// The ticket's number.
        pub number: u64,
        /// SHA-256 digest of the ticket's content.
        pub digest: [u8; 32],
        /// The complete new state of each object that the ticket sets.
        pub changes: Vec<Change>,
    }

    /// W3C trace context of one call.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct TraceContext {
        /// The 16-byte trace id; zero if the call isn't traced.
        pub trace_id: u128,
        /// The 8-byte id of the parent span.
        pub parent_span: u64,
    }
}

impl From<shape::Shape> for Shape {
    fn from(shape: shape::Shape) -> Self {
        let adjacency = match shape.adjacency {
            shape::Adjacency::Cell => 0,
            shape::Adjacency::DataCenter => 1,
            shape::Adjacency::Rack => 2,
            shape::Adjacency::Worker => 3,
        };
        Self { tasks: shape.tasks, accelerators: shape.accelerators, adjacency }
    }
}

impl TryFrom<Shape> for shape::Shape {
    type Error = codec::Error;

    fn try_from(shape: Shape) -> Result<Self, codec::Error> {
        let adjacency = match shape.adjacency {
            0 => shape::Adjacency::Cell,
            1 => shape::Adjacency::DataCenter,
            2 => shape::Adjacency::Rack,
            3 => shape::Adjacency::Worker,
            _ => return Err(codec::Error::OutOfRange("adjacency")),
        };
        if shape.tasks == 0 || shape.tasks > shape::MAX_TASKS {
            return Err(codec::Error::OutOfRange("tasks"));
        }
        Ok(Self { tasks: shape.tasks, accelerators: shape.accelerators, adjacency })
    }
}

impl From<job::Spec> for Spec {
    fn from(spec: job::Spec) -> Self {
        Self {
            account: spec.account,
            service: spec.service,
            kind: spec.kind,
            key: spec.key,
            shape: spec.shape.into(),
            run_time: spec.run_time.0,
            deadline: spec.deadline.0,
            payload: spec.payload,
        }
    }
}

impl TryFrom<Spec> for job::Spec {
    type Error = codec::Error;

    fn try_from(spec: Spec) -> Result<Self, codec::Error> {
        if spec.key.is_empty() || spec.key.len() > job::MAX_KEY_BYTES {
            return Err(codec::Error::OutOfRange("key"));
        }
        if spec.payload.len() > job::MAX_PAYLOAD_BYTES {
            return Err(codec::Error::OutOfRange("payload"));
        }
        Ok(Self {
            account: spec.account,
            service: spec.service,
            kind: spec.kind,
            key: spec.key,
            shape: spec.shape.try_into()?,
            run_time: time::Millis(spec.run_time),
            deadline: time::Wall(spec.deadline),
            payload: spec.payload,
        })
    }
}

impl From<job::WorkerSpec> for WorkerSpec {
    fn from(spec: job::WorkerSpec) -> Self {
        Self {
            name: spec.name,
            data_center: spec.data_center,
            rack: spec.rack,
            services: spec.services,
            slots: spec.slots,
            connections: spec.connections,
            accelerators: spec.accelerators,
            processors: spec.processors,
            memory: spec.memory,
            speed: spec.speed,
        }
    }
}

impl TryFrom<WorkerSpec> for job::WorkerSpec {
    type Error = codec::Error;

    fn try_from(spec: WorkerSpec) -> Result<Self, codec::Error> {
        if spec.name.is_empty() || spec.name.len() > job::MAX_KEY_BYTES {
            return Err(codec::Error::OutOfRange("name"));
        }
        if spec.speed == 0 {
            return Err(codec::Error::OutOfRange("speed"));
        }
        let mut services = spec.services;
        services.sort();
        services.dedup();
        Ok(Self {
            name: spec.name,
            data_center: spec.data_center,
            rack: spec.rack,
            services,
            slots: spec.slots,
            connections: spec.connections,
            accelerators: spec.accelerators,
            processors: spec.processors,
            memory: spec.memory,
            speed: spec.speed,
        })
    }
}

impl From<job::Member> for Member {
    fn from(member: job::Member) -> Self {
        Self { worker: member.worker.0, epoch: member.epoch.0, tasks: member.tasks }
    }
}

impl From<Member> for job::Member {
    fn from(member: Member) -> Self {
        Self {
            worker: ids::WorkerKey(member.worker),
            epoch: ids::Epoch(member.epoch),
            tasks: member.tasks,
        }
    }
}

impl From<ids::AttemptKey> for AttemptKey {
    fn from(attempt: ids::AttemptKey) -> Self {
        Self { job: attempt.job.0, number: attempt.number }
    }
}

impl From<AttemptKey> for ids::AttemptKey {
    fn from(attempt: AttemptKey) -> Self {
        Self { job: ids::JobKey(attempt.job), number: attempt.number }
    }
}

impl From<job::AnswerMeta> for AnswerMeta {
    fn from(meta: job::AnswerMeta) -> Self {
        Self { length: meta.length, sha256: meta.sha256 }
    }
}

impl From<AnswerMeta> for job::AnswerMeta {
    fn from(meta: AnswerMeta) -> Self {
        Self { length: meta.length, sha256: meta.sha256 }
    }
}

impl From<verdict::Refusal> for Refusal {
    fn from(refusal: verdict::Refusal) -> Self {
        let verdict = match refusal.verdict {
            verdict::Verdict::NotRun => 0,
            verdict::Verdict::MayHaveRun => 1,
            verdict::Verdict::Ran => 2,
        };
        Self { verdict, reason: refusal.reason.number(), detail: refusal.detail }
    }
}

impl TryFrom<Refusal> for verdict::Refusal {
    type Error = codec::Error;

    fn try_from(refusal: Refusal) -> Result<Self, codec::Error> {
        let verdict = match refusal.verdict {
            0 => verdict::Verdict::NotRun,
            1 => verdict::Verdict::MayHaveRun,
            2 => verdict::Verdict::Ran,
            _ => return Err(codec::Error::OutOfRange("verdict")),
        };
        let reason = verdict::Reason::from_number(refusal.reason)
            .ok_or(codec::Error::OutOfRange("reason"))?;
        Ok(Self { verdict, reason, detail: refusal.detail })
    }
}

impl From<job::End> for End {
    fn from(end: job::End) -> Self {
        match end {
            job::End::Done(meta) => Self::Done(meta.into()),
            job::End::Refused(refusal) => Self::Refused(refusal.into()),
        }
    }
}

impl TryFrom<End> for job::End {
    type Error = codec::Error;

    fn try_from(end: End) -> Result<Self, codec::Error> {
        Ok(match end {
            End::Done(meta) => Self::Done(meta.into()),
            End::Refused(refusal) => Self::Refused(refusal.try_into()?),
        })
    }
}

impl From<account::Guarantee> for Guarantee {
    fn from(guarantee: account::Guarantee) -> Self {
        Self { shape: guarantee.shape.into(), count: guarantee.count }
    }
}

impl TryFrom<Guarantee> for account::Guarantee {
    type Error = codec::Error;

    fn try_from(guarantee: Guarantee) -> Result<Self, codec::Error> {
        Ok(Self { shape: guarantee.shape.try_into()?, count: guarantee.count })
    }
}

impl From<account::Account> for Account {
    fn from(account: account::Account) -> Self {
        Self {
            name: account.name,
            guarantees: account.guarantees.into_iter().map(Guarantee::from).collect(),
            weight: account.weight,
            queue_limit: account.queue_limit,
            tokens: account.tokens,
        }
    }
}

impl TryFrom<Account> for account::Account {
    type Error = codec::Error;

    fn try_from(account: Account) -> Result<Self, codec::Error> {
        let guarantees: Result<Vec<_>, _> =
            account.guarantees.into_iter().map(account::Guarantee::try_from).collect();
        Ok(Self {
            name: account.name,
            guarantees: guarantees?,
            weight: account.weight,
            queue_limit: account.queue_limit,
            tokens: account.tokens,
        })
    }
}

impl From<account::Kind> for Kind {
    fn from(kind: account::Kind) -> Self {
        let class = match kind.class {
            account::Class::Urgent => 0,
            account::Class::Scheduled => 1,
            account::Class::Deferred => 2,
            account::Class::Idle => 3,
        };
        Self {
            name: kind.name,
            class,
            repeatable: kind.repeatable,
            checkpoint: kind.checkpoint.map(|span| span.0),
            answer_limit: kind.answer_limit,
            deadline: kind.deadline.0,
        }
    }
}

impl TryFrom<Kind> for account::Kind {
    type Error = codec::Error;

    fn try_from(kind: Kind) -> Result<Self, codec::Error> {
        let class = match kind.class {
            0 => account::Class::Urgent,
            1 => account::Class::Scheduled,
            2 => account::Class::Deferred,
            3 => account::Class::Idle,
            _ => return Err(codec::Error::OutOfRange("class")),
        };
        if kind.answer_limit > job::MAX_ANSWER_BYTES {
            return Err(codec::Error::OutOfRange("answer_limit"));
        }
        Ok(Self {
            name: kind.name,
            class,
            repeatable: kind.repeatable,
            checkpoint: kind.checkpoint.map(time::Millis),
            answer_limit: kind.answer_limit,
            deadline: time::Millis(kind.deadline),
        })
    }
}

impl From<account::Service> for Service {
    fn from(service: account::Service) -> Self {
        Self { name: service.name, kinds: service.kinds.into_values().map(Kind::from).collect() }
    }
}

impl TryFrom<Service> for account::Service {
    type Error = codec::Error;

    fn try_from(service: Service) -> Result<Self, codec::Error> {
        let kinds: Result<_, codec::Error> = service
            .kinds
            .into_iter()
            .map(|kind| Ok((kind.name.clone(), account::Kind::try_from(kind)?)))
            .collect();
        Ok(Self { name: service.name, kinds: kinds? })
    }
}

impl From<account::Config> for Config {
    fn from(config: account::Config) -> Self {
        Self {
            revision: config.revision.0,
            accounts: config.accounts.into_values().map(Account::from).collect(),
            services: config.services.into_values().map(Service::from).collect(),
            drained: config.drained.into_iter().collect(),
        }
    }
}

impl TryFrom<Config> for account::Config {
    type Error = codec::Error;

    fn try_from(config: Config) -> Result<Self, codec::Error> {
        let accounts: Result<_, codec::Error> = config
            .accounts
            .into_iter()
            .map(|account| Ok((account.name.clone(), account::Account::try_from(account)?)))
            .collect();
        let services: Result<_, codec::Error> = config
            .services
            .into_iter()
            .map(|service| Ok((service.name.clone(), account::Service::try_from(service)?)))
            .collect();
        Ok(Self {
            revision: ids::Revision(config.revision),
            accounts: accounts?,
            services: services?,
            drained: config.drained.into_iter().collect(),
        })
    }
}

impl From<command::Change> for Change {
    fn from(change: command::Change) -> Self {
        match change {
            command::Change::Account(account) => Self::Account(account.into()),
            command::Change::DropAccount(name) => Self::DropAccount(name),
            command::Change::Service(service) => Self::Service(service.into()),
            command::Change::Worker { name, drain } => Self::Worker { name, drain },
            command::Change::Replicas(replicas) => {
                Self::Replicas(replicas.into_iter().map(|(key, addr)| (key.0, addr)).collect())
            }
        }
    }
}

impl TryFrom<Change> for command::Change {
    type Error = codec::Error;

    fn try_from(change: Change) -> Result<Self, codec::Error> {
        Ok(match change {
            Change::Account(account) => Self::Account(account.try_into()?),
            Change::DropAccount(name) => Self::DropAccount(name),
            Change::Service(service) => Self::Service(service.try_into()?),
            Change::Worker { name, drain } => Self::Worker { name, drain },
            Change::Replicas(replicas) => Self::Replicas(
                replicas.into_iter().map(|(key, addr)| (ids::ReplicaKey(key), addr)).collect(),
            ),
        })
    }
}

impl From<command::Ticket> for Ticket {
    fn from(ticket: command::Ticket) -> Self {
        Self {
            number: ticket.number.0,
            digest: ticket.digest,
            changes: ticket.changes.into_iter().map(Change::from).collect(),
        }
    }
}

impl TryFrom<Ticket> for command::Ticket {
    type Error = codec::Error;

    fn try_from(ticket: Ticket) -> Result<Self, codec::Error> {
        let changes: Result<Vec<_>, _> =
            ticket.changes.into_iter().map(command::Change::try_from).collect();
        Ok(Self {
            number: ids::TicketNumber(ticket.number),
            digest: ticket.digest,
            changes: changes?,
        })
    }
}
