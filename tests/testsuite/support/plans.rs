//! A planner with workers, for the tests of placement.

use std::collections::BTreeMap;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::placement::planner;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;

/// Name of the service that all workers offer.
pub const SERVICE: &str = "orders";

/// A planner and the virtual time.
pub struct Cell {
    pub planner: planner::Planner,
    pub now: time::Tick,
}

impl Cell {
    /// Creates a planner with a configuration and this number of workers, each with eight slots and
    /// eight accelerators.
    pub fn new(config: account::Config, workers: u32) -> Self {
        let mut cell = Self { planner: planner::Planner::new(), now: time::Tick(0) };
        cell.step(plan::Input::Config(config));
        for worker in 0..workers {
            cell.step(announce(worker, true));
        }
        cell
    }

    /// Processes one input at the current time and returns the decisions.
    pub fn step(&mut self, input: plan::Input) -> Vec<plan::Output> {
        let mut out = Vec::new();
        self.planner.step(self.now, input, &mut out);
        out
    }

    /// Queues and releases a job that must be placed immediately. Returns the members of its
    /// placement.
    pub fn queue(
        &mut self,
        key: u64,
        account: &str,
        kind: &str,
        shape: shape::Shape,
    ) -> Vec<job::Member> {
        let out = self.step(queued(key, account, kind, shape));
        let [plan::Output::Place { members, .. }] = &out[..] else { panic!("{out:?}") };
        let members = members.clone();
        self.step(plan::Input::Released(ids::JobKey(key)));
        members
    }

    /// Ends a job with success and returns the decisions.
    pub fn end(&mut self, key: u64) -> Vec<plan::Output> {
        self.step(plan::Input::Ended { job: ids::JobKey(key), result: plan::RunResult::Done })
    }
}

/// A job of [`SERVICE`], submitted at time 0 and due in an hour.
pub fn queued(key: u64, account: &str, kind: &str, shape: shape::Shape) -> plan::Input {
    plan::Input::Queued(plan::Queued {
        job: ids::JobKey(key),
        account: account.to_owned(),
        service: SERVICE.to_owned(),
        kind: kind.to_owned(),
        shape,
        run_time: time::Millis::from_secs(60),
        submitted: time::Tick(0),
        deadline: time::Tick(time::HOUR.0),
    })
}

/// The shape of a gang within one rack.
pub fn rack(tasks: u32, accelerators: u32) -> shape::Shape {
    shape::Shape { tasks, accelerators, adjacency: shape::Adjacency::Rack }
}

/// The rack of a worker; each rack has three workers.
pub fn rack_of(worker: ids::WorkerKey) -> u32 {
    worker.0 / 3
}

/// The specification of a worker: three workers to a rack, and racks assigned to three data centres
/// in turn.
pub fn spec(worker: u32) -> job::WorkerSpec {
    job::WorkerSpec {
        name: format!("worker-{worker}"),
        data_center: format!("center-{}", worker / 3 % 3),
        rack: format!("rack-{}", worker / 3),
        services: vec![SERVICE.to_owned()],
        slots: 8,
        connections: 64,
        accelerators: 8,
        processors: 32,
        memory: 128 * 1024,
        speed: 100,
    }
}

/// The announcement of a worker.
pub fn announce(worker: u32, schedulable: bool) -> plan::Input {
    let key = ids::WorkerKey(worker);
    plan::Input::Worker { key, spec: spec(worker), epoch: ids::Epoch(1), schedulable }
}

/// A configuration with a kind of work for each class, and accounts with these guarantees.
///
/// `confirm` may neither be repeated nor checkpointed; `rebuild` and `tidy` checkpoint within a
/// second; `follow` may not be repeated; `assess` may be repeated.
pub fn config(guarantees: &[(&str, shape::Shape, u32)]) -> account::Config {
    let kinds = [
        ("confirm", account::Class::Urgent, false, None),
        ("assess", account::Class::Urgent, true, None),
        ("rebuild", account::Class::Scheduled, true, Some(time::Millis(1000))),
        ("follow", account::Class::Deferred, false, None),
        ("tidy", account::Class::Idle, true, Some(time::Millis(1000))),
    ];
    let kinds = kinds.map(|(name, class, repeatable, checkpoint)| {
        let kind = account::Kind {
            name: name.to_owned(),
            class,
            repeatable,
            checkpoint,
            answer_limit: 1 << 20,
            deadline: time::HOUR,
        };
        (name.to_owned(), kind)
    });
    let service = account::Service { name: SERVICE.to_owned(), kinds: BTreeMap::from(kinds) };
    let mut accounts = BTreeMap::new();
    for name in ["big", "small"] {
        let guarantees = guarantees
            .iter()
            .filter(|(account, ..)| *account == name)
            .map(|&(_, shape, count)| account::Guarantee { shape, count })
            .collect();
        let account = account::Account {
            name: name.to_owned(),
            guarantees,
            weight: 1,
            queue_limit: 1000,
            tokens: Vec::new(),
        };
        accounts.insert(name.to_owned(), account);
    }
    account::Config {
        revision: ids::Revision(1),
        accounts,
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        drained: Default::default(),
    }
}
