//! The entries of the replicated log and the answers to their proposers.

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
    /// A [`command::Entry`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Entry {
        /// The leader's clock, in milliseconds since 1970-01-01 UTC.
        pub at: u64,
        /// What is to be done.
        pub command: Command,
    }

    /// A [`command::Command`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Command {
        /// The time.
        Clock,
        /// A ticket.
        Ticket(common::Ticket),
        /// A request.
        Submit(common::Spec),
        /// A cancellation: client account and key.
        Cancel(String, String),
        /// An announcement: worker, incarnation, leaving.
        Announce(common::WorkerSpec, u64, bool),
        /// A worker's epoch ends: worker, epoch.
        WorkerLost(u32, u64),
        /// A release.
        Release(common::AttemptKey, Vec<common::Member>),
        /// A part of an answer: attempt, offset, bytes.
        Chunk(common::AttemptKey, u64, Vec<u8>),
        /// An attempt ended.
        AttemptEnd(common::AttemptKey, AttemptResult),
        /// An attempt's members have confirmed their stop.
        AttemptStopped(common::AttemptKey),
        /// A waiting job is refused: job, refusal.
        Refuse(u64, common::Refusal),
        /// An entry's report: entry, sequence, (service, hour, count).
        Refusals(u64, u64, Vec<(String, u64, u64)>),
        /// A change to the workflows.
        Workflow(workflow::command::Command),
    }

    /// A [`command::AttemptResult`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum AttemptResult {
        /// Done.
        Done(common::AnswerMeta),
        /// Failed.
        Failed(String),
        /// Lost.
        Lost(String),
        /// Preempted.
        Preempted,
        /// Not started.
        NotStarted,
    }

    /// An [`outcome::Outcome`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Outcome {
        /// Applied.
        Applied,
        /// A ticket's revision.
        Ticket(u64),
        /// A job.
        Job(u64),
        /// A worker's key and epoch.
        Worker(u32, u64),
        /// Refused.
        Refused(common::Refusal),
        /// Stale.
        Stale,
        /// The answer to a command to the workflows.
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
            Command::Refusals(entry, sequence, counts) => {
                Self::Refusals { entry, sequence, counts: counts.into_iter().map(count).collect() }
            }
            Command::Workflow(command) => Self::Workflow(command),
        })
    }
}

fn count((service, hour, count): (String, u64, u64)) -> command::RefusalCount {
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
