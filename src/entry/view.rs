//! The JSON that callers and operators get.

use crate::core::shape;
use crate::core::verdict;
use crate::entry::document;
use crate::wire::common;
use crate::wire::entry as wire;

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Refusal {
    /// `not-run`, `may-have-run` or `ran`.
    pub verdict: String,
    /// The reason's number; 0 for one that this entry does not know.
    pub reason: u16,
    /// The reason in a sentence.
    pub message: String,
    /// What a person should know besides.
    pub detail: String,
    /// Whether the same request under the same key may be sent again with a hope of success.
    pub retryable: bool,
}

impl From<&verdict::Refusal> for Refusal {
    fn from(refusal: &verdict::Refusal) -> Self {
        Self {
            verdict: refusal.verdict.as_str().to_owned(),
            reason: refusal.reason.number(),
            message: refusal.reason.as_str().to_owned(),
            detail: refusal.detail.clone(),
            retryable: refusal.reason.retryable(),
        }
    }
}

impl From<&common::Refusal> for Refusal {
    fn from(refusal: &common::Refusal) -> Self {
        match verdict::Refusal::try_from(refusal.clone()) {
            Ok(refusal) => Self::from(&refusal),
            // A newer control may know more reasons: say no more than is certain.
            Err(_) => Self {
                verdict: verdict::Verdict::MayHaveRun.as_str().to_owned(),
                reason: 0,
                message: "refused for a reason this entry does not know".to_owned(),
                detail: refusal.detail.clone(),
                retryable: false,
            },
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum End {
    /// With its whole answer.
    Done {
        /// The answer's length in bytes.
        length: u64,
        /// The answer's SHA-256 digest in hexadecimal.
        sha256: String,
    },
    /// Without one.
    Refused(Refusal),
}

/// A part of a gang.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: String,
    /// Its data centre.
    pub data_center: String,
    /// Its rack.
    pub rack: String,
    /// Tasks there.
    pub tasks: u32,
}

/// A job.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Job {
    /// Its number.
    pub job: u64,
    /// The client account.
    pub account: String,
    /// The service.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// The caller's key.
    pub key: String,
    /// Tasks.
    pub tasks: u32,
    /// Accelerators for each task.
    pub accelerators: u32,
    /// How close together.
    pub adjacency: String,
    /// When it was accepted, in ms since 1970.
    pub submitted: u64,
    /// When it is due, in ms since 1970.
    pub due: u64,
    /// `queued`, `released` or `ended`.
    pub phase: String,
    /// Attempts so far.
    pub attempts: u32,
    /// Where the last attempt runs or ran.
    pub places: Vec<Placement>,
    /// How it ended; absent before that.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub end: Option<End>,
}

impl From<&wire::Job> for Job {
    fn from(job: &wire::Job) -> Self {
        let adjacency = shape::Shape::try_from(job.shape.clone())
            .map_or("unknown", |shape| shape.adjacency.as_str());
        let placement = |placement: &wire::Placement| Placement {
            worker: placement.worker.clone(),
            data_center: placement.data_center.clone(),
            rack: placement.rack.clone(),
            tasks: placement.tasks,
        };
        Self {
            job: job.job,
            account: job.account.clone(),
            service: job.service.clone(),
            kind: job.kind.clone(),
            key: job.key.clone(),
            tasks: job.shape.tasks,
            accelerators: job.shape.accelerators,
            adjacency: adjacency.to_owned(),
            submitted: job.submitted,
            due: job.deadline,
            phase: phase(job).to_owned(),
            attempts: job.attempts,
            places: job.placements.iter().map(placement).collect(),
            end: job.end.as_ref().map(End::from),
        }
    }
}

fn phase(job: &wire::Job) -> &'static str {
    match (job.phase, &job.end) {
        (_, Some(_)) => "ended",
        (0, None) => "queued",
        (_, None) => "released",
    }
}

impl From<&common::End> for End {
    fn from(end: &common::End) -> Self {
        match end {
            common::End::Done(meta) => {
                Self::Done { length: meta.length, sha256: document::hex(&meta.sha256) }
            }
            common::End::Refused(refusal) => Self::Refused(refusal.into()),
        }
    }
}

/// A worker.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Worker {
    /// Its name.
    pub worker: String,
    /// Its data centre.
    pub data_center: String,
    /// Its rack.
    pub rack: String,
    /// The services it offers.
    pub services: Vec<String>,
    /// Tasks at once.
    pub slots: u32,
    /// Connections at once.
    pub connections: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub processors: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Speed in percent.
    pub speed: u32,
    /// Whether its agent holds a lease now.
    pub alive: bool,
    /// Whether it is leaving of itself.
    pub leaving: bool,
    /// Whether operators have ordered it to drain.
    pub drain: bool,
    /// Tasks granted to it.
    pub tasks_granted: u32,
    /// Accelerators granted on it.
    pub accelerators_granted: u32,
    /// The revision its agent has in force.
    pub revision: u64,
    /// Its health.
    pub health: String,
}

impl From<&wire::Worker> for Worker {
    fn from(worker: &wire::Worker) -> Self {
        let spec = &worker.spec;
        Self {
            worker: spec.name.clone(),
            data_center: spec.data_center.clone(),
            rack: spec.rack.clone(),
            services: spec.services.clone(),
            slots: spec.slots,
            connections: spec.connections,
            accelerators: spec.accelerators,
            processors: spec.processors,
            memory: spec.memory,
            speed: spec.speed,
            alive: worker.alive,
            leaving: worker.leaving,
            drain: worker.drained,
            tasks_granted: worker.tasks,
            accelerators_granted: worker.accelerators,
            revision: worker.revision,
            health: worker.health.clone(),
        }
    }
}

/// A ticket's record.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct TicketRecord {
    /// The ticket's number.
    pub number: u64,
    /// The digest of its content, in hexadecimal.
    pub digest: String,
    /// The revision it made.
    pub revision: u64,
    /// When, in ms since 1970.
    pub at: u64,
    /// The objects it set.
    pub objects: Vec<String>,
}

impl From<&wire::TicketRecord> for TicketRecord {
    fn from(record: &wire::TicketRecord) -> Self {
        Self {
            number: record.number,
            digest: document::hex(&record.digest),
            revision: record.revision,
            at: record.at,
            objects: record.objects.clone(),
        }
    }
}

/// An accepted ticket.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Accepted {
    /// The ticket's number.
    pub number: u64,
    /// The digest of its content, in hexadecimal.
    pub digest: String,
    /// The revision it made.
    pub revision: u64,
}

/// The control group's state.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// The leader's number.
    pub leader: u64,
    /// The term.
    pub term: u64,
    /// The revision in force.
    pub revision: u64,
    /// The revision that the answering entry holds.
    pub entry_revision: u64,
    /// Entries committed.
    pub committed: u64,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// Entries and agents that hold an older revision.
    pub lagging: Vec<Lagging>,
    /// Guarantees that can't be packed now.
    pub shortfall: Vec<Shortfall>,
    /// Jobs waiting.
    pub queued: u64,
    /// Jobs released.
    pub running: u64,
}

/// A control replica.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Replica {
    /// Its number.
    pub replica: u64,
    /// Its address.
    pub addr: String,
    /// Whether it votes.
    pub voter: bool,
    /// Committed entries it has not confirmed.
    pub behind: u64,
}

/// A process that holds an older revision.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Lagging {
    /// Its name.
    pub name: String,
    /// The revision it holds.
    pub revision: u64,
}

/// A guarantee that can't be packed now.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Shortfall {
    /// The client account.
    pub account: String,
    /// What is missing.
    pub missing: String,
}

impl Status {
    /// The state as control tells it, with the revision that the answering entry holds.
    pub fn new(status: &wire::Status, entry_revision: u64) -> Self {
        let replica = |replica: &wire::Replica| Replica {
            replica: replica.key,
            addr: replica.addr.clone(),
            voter: replica.voter,
            behind: replica.behind,
        };
        let lagging =
            |(name, revision): &(String, u64)| Lagging { name: name.clone(), revision: *revision };
        let shortfall = |(account, missing): &(String, String)| Shortfall {
            account: account.clone(),
            missing: missing.clone(),
        };
        Self {
            leader: status.leader,
            term: status.term,
            revision: status.revision,
            entry_revision,
            committed: status.committed,
            replicas: status.replicas.iter().map(replica).collect(),
            lagging: status.lagging.iter().map(lagging).collect(),
            shortfall: status.shortfall.iter().map(shortfall).collect(),
            queued: status.queued,
            running: status.running,
        }
    }
}
