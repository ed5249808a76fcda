//! Views of the ledger and the leader's state for callers and operators.

use crate::control::leader;
use crate::control::machine;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::ledger::state;
use crate::core::time;
use crate::core::verdict;
use crate::wire::common;
use crate::wire::entry;

/// Returns the record of an accepted ticket, or a refusal.
pub fn ticket(ledger: &state::Ledger, number: u64) -> entry::Reply {
    match ledger.tickets.records.get(&ids::TicketNumber(number)) {
        Some(record) => entry::Reply::TicketRecord(entry::TicketRecord {
            number,
            digest: record.digest,
            revision: record.revision.0,
            at: record.at.0,
            objects: record.objects.clone(),
        }),
        None => {
            let refusal =
                verdict::Refusal::not_run(verdict::Reason::Unknown, format!("ticket {number}"));
            entry::Reply::Refused(refusal.into())
        }
    }
}

/// Returns a job, if it is in the ledger.
pub fn job(ledger: &state::Ledger, key: ids::JobKey) -> Option<entry::Job> {
    let job = ledger.table.jobs.get(&key)?;
    let phase = match job.phase {
        job::Phase::Queued => 0,
        job::Phase::Released => 1,
        job::Phase::Ended => 2,
    };
    Some(entry::Job {
        job: key.0,
        account: job.spec.account.clone(),
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        key: job.spec.key.clone(),
        shape: job.spec.shape.into(),
        submitted: job.submitted.0,
        deadline: job.spec.deadline.0,
        phase,
        attempts: job.releases,
        placements: job
            .last_members
            .iter()
            .filter_map(|member| placement(ledger, member))
            .collect(),
        end: job.end.clone().map(common::End::from),
    })
}

fn placement(ledger: &state::Ledger, member: &job::Member) -> Option<entry::Placement> {
    let spec = &ledger.workers.get(member.worker)?.spec;
    Some(entry::Placement {
        worker: spec.name.clone(),
        data_center: spec.data_center.clone(),
        rack: spec.rack.clone(),
        tasks: member.tasks,
    })
}

/// Returns the latest jobs of an account or, if it is empty, of all; active jobs come first.
pub fn jobs(ledger: &state::Ledger, account: &str, limit: usize) -> Vec<entry::Job> {
    let by_state = |ended: bool| {
        let jobs = ledger.table.jobs.iter().rev();
        jobs.filter(move |(_, job)| (job.phase == job::Phase::Ended) == ended)
            .filter(move |(_, job)| account.is_empty() || job.spec.account == account)
            .map(|(key, _)| *key)
    };
    by_state(false).chain(by_state(true)).take(limit).filter_map(|key| job(ledger, key)).collect()
}

/// Returns all workers.
pub fn workers(ledger: &state::Ledger, leader: &leader::LeaderState) -> Vec<entry::Worker> {
    let workers = ledger.workers.by_key.iter();
    workers
        .map(|(key, worker)| {
            let session = leader.sessions().get(key);
            entry::Worker {
                spec: worker.spec.clone().into(),
                alive: worker.present && session.is_some(),
                leaving: worker.leaving,
                drained: ledger.config.drained.contains(&worker.spec.name),
                tasks: worker.tasks,
                accelerators: worker.accelerators,
                revision: session.map_or(0, |session| session.revision.0),
                health: leader.health(*key).to_owned(),
            }
        })
        .collect()
}

/// Returns the state of the group as the leader observes it.
pub fn status(
    ledger: &state::Ledger,
    leader: &leader::LeaderState,
    replica: ids::ReplicaKey,
    view: machine::GroupView,
) -> entry::Status {
    let committed = view.committed;
    let replicas = view.peers.into_iter().map(|peer| entry::Replica {
        key: peer.key.0,
        addr: peer.addr,
        voter: peer.voter,
        behind: committed.0.saturating_sub(peer.matched.0),
    });
    let count = |phase| ledger.table.jobs.values().filter(|job| job.phase == phase).count() as u64;
    entry::Status {
        leader: replica.0,
        term: leader.term.0,
        revision: ledger.config.revision.0,
        committed: committed.0,
        replicas: replicas.collect(),
        lagging: lagging(ledger, leader),
        shortfall: leader.shortfall(),
        queued: count(job::Phase::Queued),
        running: count(job::Phase::Released),
    }
}

fn lagging(ledger: &state::Ledger, leader: &leader::LeaderState) -> Vec<(String, u64)> {
    let lagging =
        leader.sessions().iter().filter(|(_, session)| session.revision < ledger.config.revision);
    lagging
        .filter_map(|(key, session)| {
            Some((ledger.workers.get(*key)?.spec.name.clone(), session.revision.0))
        })
        .collect()
}

/// Returns the hourly counts of all services within the span.
pub fn hours(
    ledger: &state::Ledger,
    (from, until): (time::Wall, time::Wall),
    now: time::Wall,
) -> entry::Hours {
    let view = ledger.stats.view(from, until, now);
    let counts = view.into_iter().map(|(service, start, hour)| entry::Hour {
        service,
        hour: start.0,
        promised: hour.promised,
        done: hour.done,
        late: hour.late,
        refused: hour.refused,
        uncertain: hour.uncertain,
        gaps: hour.gaps.iter().map(|gap| (gap.from.0, gap.until.0)).collect(),
    });
    entry::Hours { as_of: now.0, hours: counts.collect() }
}
