//! A ledger with one service, two accounts and a few workers, and short ways to change it.

use std::collections::BTreeMap;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::ledger::outcome;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;

/// When the books of these tests begin.
pub const START: time::Wall = time::Wall(1_800_000_000_000);

/// A kind of work.
pub fn kind(name: &str, repeatable: bool) -> account::Kind {
    account::Kind {
        name: name.to_owned(),
        class: account::Class::Urgent,
        repeatable,
        checkpoint: None,
        answer_limit: job::MAX_ANSWER_BYTES,
        deadline: time::Millis::from_secs(60),
    }
}

/// The service of these tests: `rebuild` may be repeated, `confirm` may not.
pub fn service() -> account::Service {
    let kinds = [kind("rebuild", true), kind("confirm", false)];
    let kinds: BTreeMap<_, _> = kinds.into_iter().map(|kind| (kind.name.clone(), kind)).collect();
    account::Service { name: "orders".to_owned(), kinds }
}

/// A client account without guarantees.
pub fn account(name: &str) -> account::Account {
    account::Account {
        name: name.to_owned(),
        guarantees: Vec::new(),
        weight: 1,
        queue_limit: 100,
        tokens: Vec::new(),
    }
}

/// A request by account `a`.
pub fn spec(key: &str, kind: &str, tasks: u32, accelerators: u32) -> job::Spec {
    job::Spec {
        account: "a".to_owned(),
        service: "orders".to_owned(),
        kind: kind.to_owned(),
        key: key.to_owned(),
        shape: shape::Shape { tasks, accelerators, adjacency: shape::Adjacency::Cell },
        run_time: time::Millis(100),
        deadline: START + time::Millis::from_secs(600),
        payload: b"payload".to_vec(),
    }
}

/// A worker of eight slots and eight accelerators.
pub fn worker(name: &str, rack: &str) -> job::WorkerSpec {
    job::WorkerSpec {
        name: name.to_owned(),
        data_center: "c1".to_owned(),
        rack: rack.to_owned(),
        services: vec!["orders".to_owned()],
        slots: 8,
        connections: 64,
        accelerators: 8,
        processors: 32,
        memory: 128 * 1024,
        speed: 100,
    }
}

/// A ticket; its digest is made of its number and `salt`.
pub fn ticket(number: u64, salt: u8, changes: Vec<command::Change>) -> command::Ticket {
    let mut digest = [salt; 32];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    command::Ticket { number: ids::TicketNumber(number), digest, changes }
}

/// A ledger under test with its log's position and time.
#[derive(Clone, Default)]
pub struct Book {
    /// The ledger.
    pub ledger: state::Ledger,
    /// Events since they were last taken.
    pub events: Vec<outcome::Event>,
    /// The time of the next entry.
    pub at: time::Wall,
    index: u64,
}

impl Book {
    /// An empty ledger.
    pub fn empty() -> Self {
        Self { at: START, ..Self::default() }
    }

    /// A ledger with the service, accounts `a` and `b`, and workers `w1` and `w2` in one rack.
    pub fn new() -> Self {
        let mut book = Self::empty();
        let changes = vec![
            command::Change::Service(service()),
            command::Change::Account(account("a")),
            command::Change::Account(account("b")),
        ];
        book.apply(command::Command::Ticket(ticket(1, 0, changes)));
        for name in ["w1", "w2"] {
            book.announce(worker(name, "r1"), 1);
        }
        book.events.clear();
        book
    }

    /// Applies one command a millisecond after the last.
    pub fn apply(&mut self, command: command::Command) -> outcome::Outcome {
        self.index += 1;
        self.at = self.at + time::Millis(1);
        let entry = command::Entry { at: self.at, command };
        self.ledger.apply(ids::LogIndex(self.index), entry, &mut self.events)
    }

    /// Announces a worker.
    pub fn announce(&mut self, spec: job::WorkerSpec, incarnation: u64) -> outcome::Outcome {
        self.apply(command::Command::Announce { spec, incarnation, leaving: false })
    }

    /// Submits a request and returns its job.
    pub fn submit(&mut self, spec: job::Spec) -> ids::JobKey {
        match self.apply(command::Command::Submit(spec)) {
            outcome::Outcome::Job(job) => job,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Releases a job's next attempt on one worker.
    pub fn release(&mut self, job: ids::JobKey, worker: u32) -> outcome::Outcome {
        let found = self.ledger.table.jobs.get(&job).expect("the job is known");
        let attempt = ids::AttemptKey { job, number: found.attempt + 1 };
        let tasks = found.spec.shape.tasks;
        let worker = ids::WorkerKey(worker);
        let epoch = self.ledger.workers.get(worker).expect("the worker is known").epoch;
        let members = vec![job::Member { worker, epoch, tasks }];
        self.apply(command::Command::Release { attempt, members })
    }

    /// The last attempt of a job.
    pub fn attempt(&self, job: ids::JobKey) -> ids::AttemptKey {
        self.ledger.table.jobs.get(&job).expect("the job is known").last_attempt(job)
    }

    /// Ends the last attempt of a job.
    pub fn end(&mut self, job: ids::JobKey, result: command::AttemptResult) -> outcome::Outcome {
        let attempt = self.attempt(job);
        self.apply(command::Command::AttemptEnd { attempt, result })
    }

    /// How a job ended.
    pub fn ended(&self, job: ids::JobKey) -> Option<job::End> {
        self.ledger.table.jobs.get(&job).and_then(|job| job.end.clone())
    }
}
