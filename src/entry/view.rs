//! The JSON responses for callers and operators.

use crate::core::shape;
use crate::core::verdict;
use crate::entry::document;
use crate::wire::common;
use crate::wire::entry as wire;

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Refusal {
    /// `not-run`, `may-have-run` or `ran`.
    pub verdict: String,
    /// The number of the reason; 0 for a reason that this entry does not know.
    pub reason: u16,
    /// The reason as a sentence.
    pub message: String,
    /// Details for people.
    pub detail: String,
    /// Whether a retry of the same request with the same key may succeed.
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
            // A newer control may send reasons that this entry does not know; `may-have-run` is
            // the safe verdict.
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

/// The outcome of a job that has ended.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum End {
    /// The job has a complete answer.
    Done {
        /// The length of the answer, in bytes.
        length: u64,
        /// The SHA-256 digest of the answer, in hexadecimal.
        sha256: String,
    },
    /// The job ended without an answer.
    Refused(Refusal),
}

/// The tasks of a gang on one worker.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Placement {
    /// The name of the worker.
    pub worker: String,
    /// The data centre of the worker.
    pub data_center: String,
    /// The rack of the worker.
    pub rack: String,
    /// The number of tasks on the worker.
    pub tasks: u32,
}

/// A job.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Job {
    /// The number of the job.
    pub job: u64,
    /// The client account.
    pub account: String,
    /// The service that handles the job.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// The caller's idempotency key.
    pub key: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of accelerators for each task.
    pub accelerators: u32,
    /// The required proximity of the tasks.
    pub adjacency: String,
    /// When the job was accepted, in milliseconds since 1970.
    pub submitted: u64,
    /// The deadline of the job, in milliseconds since 1970.
    pub due: u64,
    /// `queued`, `released` or `ended`.
    pub phase: String,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The placement of the last attempt.
    pub places: Vec<Placement>,
    /// The outcome; absent until the job has ended.
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
    /// The name of the worker.
    pub worker: String,
    /// The data centre of the worker.
    pub data_center: String,
    /// The rack of the worker.
    pub rack: String,
    /// The services that the worker offers.
    pub services: Vec<String>,
    /// The most concurrent tasks.
    pub slots: u32,
    /// The most concurrent connections.
    pub connections: u32,
    /// The number of accelerators.
    pub accelerators: u32,
    /// The number of processor cores.
    pub processors: u32,
    /// The amount of memory, in MiB.
    pub memory: u64,
    /// The speed of the worker, in percent.
    pub speed: u32,
    /// Whether the worker's agent holds a lease.
    pub alive: bool,
    /// Whether the worker announced that it is leaving.
    pub leaving: bool,
    /// Whether a ticket set the worker to drain.
    pub drain: bool,
    /// The number of tasks allocated on the worker.
    pub tasks_granted: u32,
    /// The number of accelerators allocated on the worker.
    pub accelerators_granted: u32,
    /// The configuration revision that the worker's agent applies.
    pub revision: u64,
    /// The health of the worker.
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

/// The record of an accepted ticket.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct TicketRecord {
    /// The number of the ticket.
    pub number: u64,
    /// The SHA-256 digest of the ticket's content, in hexadecimal.
    pub digest: String,
    /// The configuration revision that the ticket created.
    pub revision: u64,
    /// When the ticket was accepted, in milliseconds since 1970.
    pub at: u64,
    /// The objects that the ticket set.
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

/// The response to an accepted ticket.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Accepted {
    /// The number of the ticket.
    pub number: u64,
    /// The SHA-256 digest of the ticket's content, in hexadecimal.
    pub digest: String,
    /// The configuration revision that the ticket created.
    pub revision: u64,
}

/// The state of the control group.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// The replica number of the leader.
    pub leader: u64,
    /// The current consensus term.
    pub term: u64,
    /// The current configuration revision.
    pub revision: u64,
    /// The configuration revision that the responding entry has.
    pub entry_revision: u64,
    /// The number of committed log entries.
    pub committed: u64,
    /// The replicas of the group.
    pub replicas: Vec<Replica>,
    /// Entry processes and agents that have an older configuration revision.
    pub lagging: Vec<Lagging>,
    /// Guarantees that can't be packed on the available workers.
    pub shortfall: Vec<Shortfall>,
    /// The number of queued jobs.
    pub queued: u64,
    /// The number of released jobs.
    pub running: u64,
}

/// A control replica.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Replica {
    /// The number of the replica.
    pub replica: u64,
    /// The address of the replica.
    pub addr: String,
    /// Whether the replica is a voter.
    pub voter: bool,
    /// The number of committed log entries that the replica has not confirmed.
    pub behind: u64,
}

/// A process that has an older configuration revision.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Lagging {
    /// The name of the process.
    pub name: String,
    /// The configuration revision that the process has.
    pub revision: u64,
}

/// A guarantee that can't be packed on the available workers.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Shortfall {
    /// The client account.
    pub account: String,
    /// The missing capacity, as text.
    pub missing: String,
}

impl Status {
    /// Combines the status from control with the configuration revision of the responding entry.
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
