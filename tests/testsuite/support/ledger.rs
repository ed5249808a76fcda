//! A test harness around a ledger with one service, two accounts and two workers.

use std::collections::BTreeMap;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::ledger::outcome;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;

/// The time at which each test ledger starts.
pub const START: time::Wall = time::Wall(1_800_000_000_000);

/// Returns a kind of work with a default deadline of 60 s.
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

/// Returns the service of the tests: its kind `rebuild` is repeatable, `confirm` isn't.
pub fn service() -> account::Service {
    let kinds = [kind("rebuild", true), kind("confirm", false)];
    let kinds: BTreeMap<_, _> = kinds.into_iter().map(|kind| (kind.name.clone(), kind)).collect();
    account::Service { name: "orders".to_owned(), kinds }
}

/// Returns a client account without guarantees.
pub fn account(name: &str) -> account::Account {
    account::Account {
        name: name.to_owned(),
        guarantees: Vec::new(),
        weight: 1,
        queue_limit: 100,
        tokens: Vec::new(),
    }
}

/// Returns a request by account `a`.
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

/// Returns a worker with eight slots and eight accelerators.
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

/// Returns a ticket whose digest consists of its number and `salt`.
pub fn ticket(number: u64, salt: u8, changes: Vec<command::Change>) -> command::Ticket {
    let mut digest = [salt; 32];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    command::Ticket { number: ids::TicketNumber(number), digest, changes }
}

/// A ledger under test, with the index and time of its log.
#[derive(Clone, Default)]
pub struct Harness {
    /// The ledger under test.
    pub ledger: state::Ledger,
    /// Events since they were last cleared or taken.
    pub events: Vec<outcome::Event>,
    /// The time of the last entry.
    pub at: time::Wall,
    index: u64,
}

impl Harness {
    /// Creates an empty ledger.
    pub fn empty() -> Self {
        Self { at: START, ..Self::default() }
    }

    /// Creates a ledger with the service, accounts `a` and `b`, and workers `w1` and `w2` in one
    /// rack.
    pub fn new() -> Self {
        let mut harness = Self::empty();
        let changes = vec![
            command::Change::Service(service()),
            command::Change::Account(account("a")),
            command::Change::Account(account("b")),
        ];
        harness.apply(command::Command::Ticket(ticket(1, 0, changes)));
        for name in ["w1", "w2"] {
            harness.announce(worker(name, "r1"), 1);
        }
        harness.events.clear();
        harness
    }

    /// Applies a command at 1 ms after the last entry.
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
        let state = self.ledger.table.jobs.get(&job).expect("the job is known");
        let attempt = ids::AttemptKey { job, number: state.attempt + 1 };
        let tasks = state.spec.shape.tasks;
        let worker = ids::WorkerKey(worker);
        let epoch = self.ledger.workers.get(worker).expect("the worker is known").epoch;
        let members = vec![job::Member { worker, epoch, tasks }];
        self.apply(command::Command::Release { attempt, members })
    }

    /// Returns the last attempt of a job.
    pub fn attempt(&self, job: ids::JobKey) -> ids::AttemptKey {
        self.ledger.table.jobs.get(&job).expect("the job is known").last_attempt(job)
    }

    /// Ends the last attempt of a job.
    pub fn end(&mut self, job: ids::JobKey, result: command::AttemptResult) -> outcome::Outcome {
        let attempt = self.attempt(job);
        self.apply(command::Command::AttemptEnd { attempt, result })
    }

    /// Returns the result of a job that has ended.
    pub fn ended(&self, job: ids::JobKey) -> Option<job::End> {
        self.ledger.table.jobs.get(&job).and_then(|job| job.end.clone())
    }
}
