//! The commands of the replicated log and the outcomes returned to their proposers.

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::time;
use crate::core::workflow;
use crate::macros;
use crate::wire::codec;
use crate::wire::common;

macros::value_types! {
    /// The wire form of a [`command::Entry`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Entry {
        /// The leader's wall-clock time, in milliseconds since 1970-01-01 UTC.
        pub at: u64,
        /// The change to apply.
        pub command: Command,
    }

    /// The wire form of a [`command::Command`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Command {
        /// No change but the time.
        Clock,
        /// Applies a ticket.
        Ticket(common::Ticket),
        /// Submits a request.
        Submit(common::Spec),
        /// Cancels a request: client account and idempotency key.
        Cancel(String, String),
        /// Registers or updates a worker: worker, identity of the agent process, whether it is
        /// leaving.
        Announce(common::WorkerSpec, u64, bool),
        /// Ends a worker's epoch: worker, epoch.
        WorkerLost(u32, u64),
        /// Releases an attempt: attempt, members.
        Release(common::AttemptKey, Vec<common::Member>),
        /// Appends a chunk to an answer: attempt, offset in bytes, content.
        Chunk(common::AttemptKey, u64, Vec<u8>),
        /// Ends an attempt: attempt, result.
        AttemptEnd(common::AttemptKey, AttemptResult),
        /// Frees the workers of an ended attempt: every member has confirmed that its tasks
        /// stopped.
        AttemptStopped(common::AttemptKey),
        /// Refuses a queued job: job, refusal.
        Refuse(u64, common::Refusal),
        /// Adds refusals that an entry counted: identity of the entry process, report number, and
        /// (service, start of the hour in ms since 1970, count) of each count.
        Refusals(u64, u64, Vec<(String, u64, u64)>),
        /// Changes the workflows.
        Workflow(workflow::command::Command),
    }

    /// The wire form of a [`command::AttemptResult`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum AttemptResult {
        /// All tasks succeeded.
        Done(common::AnswerMeta),
        /// The backend server reported a failure, with this detail.
        Failed(String),
        /// A member was lost or can't tell whether its tasks ran, with this detail.
        Lost(String),
        /// The attempt was preempted.
        Preempted,
        /// The attempt was released but never started.
        NotStarted,
    }

    /// The wire form of an [`outcome::Outcome`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Outcome {
        /// The command was applied.
        Applied,
        /// The configuration revision that the ticket created.
        Ticket(u64),
        /// The key of the request's job.
        Job(u64),
        /// The worker's key and lease epoch.
        Worker(u32, u64),
        /// The command was refused.
        Refused(common::Refusal),
        /// The command was stale and changed nothing.
        Stale,
        /// The result of a workflow command.
        Workflow(workflow::command::Outcome),
    }
}

impl From<command::Entry> for Entry {
    fn from(entry: command::Entry) -> Self {
        Self { at: entry.at.0, command: entry.command.into() }
    }
}

impl TryFrom<Entry> for command::Entry {
    type Error = codec::Error;

    fn try_from(entry: Entry) -> Result<Self, codec::Error> {
        Ok(Self { at: time::Wall(entry.at), command: entry.command.try_into()? })
    }
}

impl From<command::Command> for Command {
    fn from(command: command::Command) -> Self {
        match command {
            command::Command::Clock => Self::Clock,
            command::Command::Ticket(ticket) => Self::Ticket(ticket.into()),
            command::Command::Submit(spec) => Self::Submit(spec.into()),
            command::Command::Cancel { account, key } => Self::Cancel(account, key),
            command::Command::Announce { spec, incarnation, leaving } => {
                Self::Announce(spec.into(), incarnation, leaving)
            }
            command::Command::WorkerLost { worker, epoch } => Self::WorkerLost(worker.0, epoch.0),
            command::Command::Release { attempt, members } => {
                let members = members.into_iter().map(common::Member::from).collect();
                Self::Release(attempt.into(), members)
            }
            command::Command::Chunk { attempt, offset, bytes } => {
                Self::Chunk(attempt.into(), offset, bytes)
            }
            command::Command::AttemptEnd { attempt, result } => {
                Self::AttemptEnd(attempt.into(), result.into())
            }
            command::Command::AttemptStopped { attempt } => Self::AttemptStopped(attempt.into()),
            command::Command::Refuse { job, refusal } => Self::Refuse(job.0, refusal.into()),
            command::Command::Refusals { entry, sequence, counts } => {
                let counts = counts.into_iter().map(|c| (c.service, c.hour.0, c.count)).collect();
                Self::Refusals(entry, sequence, counts)
            }
            command::Command::Workflow(command) => Self::Workflow(command),
        }
    }
}

impl TryFrom<Command> for command::Command {
    type Error = codec::Error;

    fn try_from(command: Command) -> Result<Self, codec::Error> {
        Ok(match command {
            Command::Clock => Self::Clock,
            Command::Ticket(ticket) => Self::Ticket(ticket.try_into()?),
            Command::Submit(spec) => Self::Submit(spec.try_into()?),
            Command::Cancel(account, key) => Self::Cancel { account, key },
            Command::Announce(spec, incarnation, leaving) => {
                Self::Announce { spec: spec.try_into()?, incarnation, leaving }
            }
            Command::WorkerLost(worker, epoch) => {
                Self::WorkerLost { worker: ids::WorkerKey(worker), epoch: ids::Epoch(epoch) }
            }
            Command::Release(attempt, members) => Self::Release {
                attempt: attempt.into(),
                members: members.into_iter().map(job::Member::from).collect(),
            },
            Command::Chunk(attempt, offset, bytes) => {
                Self::Chunk { attempt: attempt.into(), offset, bytes }
            }
            Command::AttemptEnd(attempt, result) => {
                Self::AttemptEnd { attempt: attempt.into(), result: result.into() }
            }
            Command::AttemptStopped(attempt) => Self::AttemptStopped { attempt: attempt.into() },
            Command::Refuse(job, refusal) => {
                Self::Refuse { job: ids::JobKey(job), refusal: refusal.try_into()? }
            }
            Command::Refusals(entry, sequence, counts) => Self::Refusals {
                entry,
                sequence,
                counts: counts.into_iter().map(refusal_count).collect(),
            },
            Command::Workflow(command) => Self::Workflow(command),
        })
    }
}

fn refusal_count((service, hour, count): (String, u64, u64)) -> command::RefusalCount {
    command::RefusalCount { service, hour: time::Wall(hour), count }
}

impl From<command::AttemptResult> for AttemptResult {
    fn from(result: command::AttemptResult) -> Self {
        match result {
            command::AttemptResult::Done(meta) => Self::Done(meta.into()),
            command::AttemptResult::Failed(detail) => Self::Failed(detail),
            command::AttemptResult::Lost(detail) => Self::Lost(detail),
            command::AttemptResult::Preempted => Self::Preempted,
            command::AttemptResult::NotStarted => Self::NotStarted,
        }
    }
}

impl From<AttemptResult> for command::AttemptResult {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Done(meta) => Self::Done(meta.into()),
            AttemptResult::Failed(detail) => Self::Failed(detail),
            AttemptResult::Lost(detail) => Self::Lost(detail),
            AttemptResult::Preempted => Self::Preempted,
            AttemptResult::NotStarted => Self::NotStarted,
        }
    }
}

impl From<outcome::Outcome> for Outcome {
    fn from(outcome: outcome::Outcome) -> Self {
        match outcome {
            outcome::Outcome::Applied => Self::Applied,
            outcome::Outcome::Ticket(revision) => Self::Ticket(revision.0),
            outcome::Outcome::Job(job) => Self::Job(job.0),
            outcome::Outcome::Worker(worker, epoch) => Self::Worker(worker.0, epoch.0),
            outcome::Outcome::Refused(refusal) => Self::Refused(refusal.into()),
            outcome::Outcome::Stale => Self::Stale,
            outcome::Outcome::Workflow(outcome) => Self::Workflow(outcome),
        }
    }
}

impl TryFrom<Outcome> for outcome::Outcome {
    type Error = codec::Error;

    fn try_from(outcome: Outcome) -> Result<Self, codec::Error> {
        Ok(match outcome {
            Outcome::Applied => Self::Applied,
            Outcome::Ticket(revision) => Self::Ticket(ids::Revision(revision)),
            Outcome::Job(job) => Self::Job(ids::JobKey(job)),
            Outcome::Worker(worker, epoch) => {
                Self::Worker(ids::WorkerKey(worker), ids::Epoch(epoch))
            }
            Outcome::Refused(refusal) => Self::Refused(refusal.try_into()?),
            Outcome::Stale => Self::Stale,
            Outcome::Workflow(outcome) => Self::Workflow(outcome),
        })
    }
}
