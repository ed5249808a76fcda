//! The complete ledger as stored in a snapshot. Indices are rebuilt when a snapshot is read.

use crate::core::ids;
use crate::core::ledger::hourly;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::ledger::state;
use crate::core::ledger::table;
use crate::core::ledger::tickets;
use crate::core::ledger::workers;
use crate::core::time;
use crate::core::workflow;
use crate::macros;
use crate::wire::codec;
use crate::wire::common;
use crate::wire::stored_job;

macros::value_types! {
    /// The stored form of a [`state::Ledger`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Ledger {
        /// The ledger's time, in ms since 1970.
        pub now: u64,
        /// The current configuration.
        pub config: common::Config,
        /// The control replicas: (number, address).
        pub replicas: Vec<(u64, String)>,
        /// The records of accepted tickets.
        pub tickets: Vec<TicketRecord>,
        /// The last ticket of each object: (object, ticket number).
        pub last_tickets: Vec<(String, u64)>,
        /// The workers.
        pub workers: Vec<Worker>,
        /// The retained jobs.
        pub jobs: Vec<Job>,
        /// Expired idempotency keys: (digest, end of the key's retention in ms since 1970).
        pub expired_keys: Vec<([u8; 16], u64)>,
        /// Idempotency keys cancelled before their use: (digest, end of the key's retention in ms
        /// since 1970).
        pub cancelled_keys: Vec<([u8; 16], u64)>,
        /// The services: (name, time of creation in ms since 1970).
        pub services: Vec<(String, u64)>,
        /// The hours that are not all zeros.
        pub hours: Vec<Hour>,
        /// The last report of refusals of each entry process: (identity of the process, report
        /// number, time in ms since 1970).
        pub reports: Vec<(u64, u64, u64)>,
        /// The configuration of the workflows, if any.
        pub directory: Option<workflow::directory::Directory>,
        /// The workflows by key.
        pub workflows: Vec<(u64, stored_job::ListedJob)>,
        /// The cancels of unknown workflows: (queue address, caller's identifier, time in ms since
        /// 1970).
        pub early_cancels: Vec<(String, String, u64)>,
        /// The workflows that have too many tasks for the list above.
        pub extension: stored_job::Extension,
    }

    /// The stored form of a [`tickets::Record`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct TicketRecord {
        /// The ticket's number.
        pub number: u64,
        /// SHA-256 digest of the ticket's content.
        pub digest: [u8; 32],
        /// The configuration revision that the ticket created.
        pub revision: u64,
        /// The time at which the ticket was accepted, in ms since 1970.
        pub at: u64,
        /// Names of the objects that the ticket set.
        pub objects: Vec<String>,
    }

    /// The stored form of a [`workers::Worker`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Worker {
        /// The worker's key.
        pub key: u32,
        /// The worker's last announcement.
        pub spec: common::WorkerSpec,
        /// Random identity of the agent process.
        pub incarnation: u64,
        /// The current lease epoch.
        pub epoch: u64,
        /// Whether the worker was announced after it was last lost.
        pub present: bool,
        /// Whether the worker is leaving.
        pub leaving: bool,
        /// The number of tasks allocated on the worker.
        pub tasks: u32,
        /// The number of accelerators allocated on the worker.
        pub accelerators: u32,
    }

    /// The stored form of a [`table::Job`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// The job's key.
        pub key: u64,
        /// The request that the job runs.
        pub spec: common::Spec,
        /// The digest that identifies the request, see [`table::request_digest`].
        pub digest: [u8; 32],
        /// The time at which the request was accepted, in ms since 1970.
        pub submitted: u64,
        /// The phase: 0 queued, 1 released, 2 ended.
        pub phase: u8,
        /// The number of the last attempt; 0 before the first.
        pub attempt: u32,
        /// The number of attempts that were released.
        pub releases: u32,
        /// The number of attempts that failed, were lost or never started.
        pub failures: u32,
        /// The flags `may_have_run`, `cancelled` and `stopping`.
        pub flags: (bool, bool, bool),
        /// The members of the last attempt, until their workers are freed.
        pub members: Vec<common::Member>,
        /// The members of the last attempt, retained for display.
        pub last_members: Vec<common::Member>,
        /// The time at which the last attempt was released, in ms since 1970; 0 before the first.
        pub released: u64,
        /// The bytes of the answer received so far.
        pub answer: Vec<u8>,
        /// The job's result, once it has ended.
        pub end: Option<common::End>,
        /// The time at which the job ended, in ms since 1970; 0 before.
        pub ended: u64,
        /// The count of its hour that includes the job: 0 open, 1 done, 2 late, 3 refused, 4
        /// uncertain.
        pub category: u8,
    }

    /// The stored form of an [`outcome::Hour`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Hour {
        /// Name of the service.
        pub service: String,
        /// Start of the hour, in ms since 1970.
        pub start: u64,
        /// The counts of promised, done, late, refused and uncertain requests.
        pub counts: (u64, u64, u64, u64, u64),
        /// Intervals in which no log entry was committed: (start, end) in ms since 1970.
        pub gaps: Vec<(u64, u64)>,
    }
}

impl From<&state::Ledger> for Ledger {
    fn from(ledger: &state::Ledger) -> Self {
        let jobs = ledger.table.jobs.iter();
        let (workflows, extension) = workflows(&ledger.workflows);
        let cancels = ledger.workflows.early_cancels();
        Self {
            now: ledger.now.0,
            config: ledger.config.clone().into(),
            replicas: ledger.replicas.iter().map(|(key, addr)| (key.0, addr.clone())).collect(),
            tickets: ledger.tickets.records.iter().map(ticket).collect(),
            last_tickets: ledger
                .tickets
                .last_tickets
                .iter()
                .map(|(name, n)| (name.clone(), n.0))
                .collect(),
            workers: ledger.workers.by_key.iter().map(worker).collect(),
            jobs: jobs.map(|(key, job)| Job::from((*key, job))).collect(),
            expired_keys: ledger.table.expired_keys.iter().map(key).collect(),
            cancelled_keys: ledger.table.cancelled_keys.iter().map(key).collect(),
            services: ledger.stats.created.iter().map(|(s, at)| (s.clone(), at.0)).collect(),
            hours: ledger.stats.hours.iter().map(hour).collect(),
            reports: ledger.reports.iter().map(|(key, (n, at))| (*key, *n, at.0)).collect(),
            directory: ledger.workflows.directory.clone(),
            workflows,
            early_cancels: cancels.map(|(q, id, at)| (q.to_owned(), id.to_owned(), at)).collect(),
            extension,
        }
    }
}

/// Returns the workflows as they are stored. Those with the fewest tasks left are listed with each
/// task.
fn workflows(
    registry: &workflow::registry::Registry,
) -> (Vec<(u64, stored_job::ListedJob)>, stored_job::Extension) {
    let (mut listed, mut extension) = (Vec::new(), stored_job::Extension::default());
    let mut by_tasks: Vec<_> = registry.jobs.iter().collect();
    by_tasks.sort_by_key(|(key, job)| (stored_job::ListedJob::listed_tasks(job), **key));
    let mut tasks = 0;
    for (key, job) in by_tasks {
        tasks += stored_job::ListedJob::listed_tasks(job);
        match tasks <= stored_job::MAX_LISTED_TASKS {
            true => listed.push((key.0, stored_job::ListedJob(job.clone()))),
            false => extension.0.push((key.0, job.clone())),
        }
    }
    (listed, extension)
}

fn ticket((number, record): (&ids::TicketNumber, &tickets::Record)) -> TicketRecord {
    TicketRecord {
        number: number.0,
        digest: record.digest,
        revision: record.revision.0,
        at: record.at.0,
        objects: record.objects.clone(),
    }
}

fn key((digest, end): (&[u8; 16], &time::Wall)) -> ([u8; 16], u64) {
    (*digest, end.0)
}

fn worker((key, worker): (&ids::WorkerKey, &workers::Worker)) -> Worker {
    Worker {
        key: key.0,
        spec: worker.spec.clone().into(),
        incarnation: worker.incarnation,
        epoch: worker.epoch.0,
        present: worker.present,
        leaving: worker.leaving,
        tasks: worker.tasks,
        accelerators: worker.accelerators,
    }
}

fn hour(((service, start), hour): (&(String, time::Wall), &outcome::Hour)) -> Hour {
    Hour {
        service: service.clone(),
        start: start.0,
        counts: (hour.promised, hour.done, hour.late, hour.refused, hour.uncertain),
        gaps: hour.gaps.iter().map(|gap| (gap.from.0, gap.until.0)).collect(),
    }
}

impl From<(ids::JobKey, &table::Job)> for Job {
    fn from((key, job): (ids::JobKey, &table::Job)) -> Self {
        Self {
            key: key.0,
            spec: job.spec.clone().into(),
            digest: job.digest,
            submitted: job.submitted.0,
            phase: job.phase as u8,
            attempt: job.attempt,
            releases: job.releases,
            failures: job.failures,
            flags: (job.may_have_run, job.cancelled, job.stopping),
            members: job.members.iter().copied().map(common::Member::from).collect(),
            last_members: job.last_members.iter().copied().map(common::Member::from).collect(),
            released: job.released.0,
            answer: job.answer.clone(),
            end: job.end.clone().map(common::End::from),
            ended: job.ended.0,
            category: job.category as u8,
        }
    }
}

impl TryFrom<Job> for table::Job {
    type Error = codec::Error;

    fn try_from(job: Job) -> Result<Self, codec::Error> {
        let (may_have_run, cancelled, stopping) = job.flags;
        Ok(Self {
            spec: job.spec.try_into()?,
            digest: job.digest,
            submitted: time::Wall(job.submitted),
            phase: phase(job.phase)?,
            attempt: job.attempt,
            releases: job.releases,
            failures: job.failures,
            may_have_run,
            cancelled,
            stopping,
            members: job.members.into_iter().map(job::Member::from).collect(),
            last_members: job.last_members.into_iter().map(job::Member::from).collect(),
            released: time::Wall(job.released),
            answer: job.answer,
            end: job.end.map(job::End::try_from).transpose()?,
            ended: time::Wall(job.ended),
            category: category(job.category)?,
        })
    }
}

fn phase(number: u8) -> Result<job::Phase, codec::Error> {
    Ok(match number {
        0 => job::Phase::Queued,
        1 => job::Phase::Released,
        2 => job::Phase::Ended,
        _ => return Err(codec::Error::OutOfRange("phase")),
    })
}

fn category(number: u8) -> Result<hourly::Category, codec::Error> {
    Ok(match number {
        0 => hourly::Category::Open,
        1 => hourly::Category::Done,
        2 => hourly::Category::Late,
        3 => hourly::Category::Refused,
        4 => hourly::Category::Uncertain,
        _ => return Err(codec::Error::OutOfRange("mark")),
    })
}

impl TryFrom<Ledger> for state::Ledger {
    type Error = codec::Error;

    fn try_from(wire: Ledger) -> Result<Self, codec::Error> {
        let mut ledger = state::Ledger {
            now: time::Wall(wire.now),
            config: wire.config.try_into()?,
            replicas: wire.replicas.into_iter().map(|(k, a)| (ids::ReplicaKey(k), a)).collect(),
            ..Default::default()
        };
        for (object, number) in wire.last_tickets {
            ledger.tickets.last_tickets.insert(object, ids::TicketNumber(number));
        }
        for ticket in wire.tickets {
            let record = tickets::Record {
                digest: ticket.digest,
                revision: ids::Revision(ticket.revision),
                at: time::Wall(ticket.at),
                objects: ticket.objects,
            };
            ledger.tickets.records.insert(ids::TicketNumber(ticket.number), record);
        }
        for worker in wire.workers {
            restore_worker(&mut ledger.workers, worker)?;
        }
        for (service, at) in wire.services {
            ledger.stats.created.insert(service, time::Wall(at));
        }
        for hour in wire.hours {
            restore_hour(&mut ledger.stats, hour);
        }
        for (entry, sequence, at) in wire.reports {
            ledger.reports.insert(entry, (sequence, time::Wall(at)));
        }
        for (digest, end) in wire.expired_keys {
            ledger.table.expired_keys.insert(digest, time::Wall(end));
            ledger.table.key_expiries.insert((time::Wall(end), digest));
        }
        for (digest, end) in wire.cancelled_keys {
            ledger.table.cancelled_keys.insert(digest, time::Wall(end));
            ledger.table.key_expiries.insert((time::Wall(end), digest));
        }
        for job in wire.jobs {
            let key = ids::JobKey(job.key);
            ledger.table.restore(key, job.try_into()?);
        }
        ledger.workflows.directory = wire.directory;
        let listed = wire.workflows.into_iter().map(|(key, job)| (key, job.0));
        for (key, job) in listed.chain(wire.extension.0) {
            ledger.workflows.restore(ids::JobKey(key), job);
        }
        for (queue, id, at) in wire.early_cancels {
            ledger.workflows.restore_cancel(queue, id, at);
        }
        Ok(ledger)
    }
}

fn restore_worker(workers: &mut workers::Workers, worker: Worker) -> Result<(), codec::Error> {
    let key = ids::WorkerKey(worker.key);
    let worker = workers::Worker {
        spec: worker.spec.try_into()?,
        incarnation: worker.incarnation,
        epoch: ids::Epoch(worker.epoch),
        present: worker.present,
        leaving: worker.leaving,
        tasks: worker.tasks,
        accelerators: worker.accelerators,
    };
    workers.by_name.insert(worker.spec.name.clone(), key);
    workers.by_key.insert(key, worker);
    Ok(())
}

fn restore_hour(stats: &mut hourly::Stats, hour: Hour) {
    let (promised, done, late, refused, uncertain) = hour.counts;
    let gaps = hour
        .gaps
        .into_iter()
        .map(|(from, until)| outcome::Gap { from: time::Wall(from), until: time::Wall(until) });
    let record = outcome::Hour { promised, done, late, refused, uncertain, gaps: gaps.collect() };
    stats.hours.insert((hour.service, time::Wall(hour.start)), record);
}
