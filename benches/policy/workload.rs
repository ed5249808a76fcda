//! The workloads of the two users, generated from a seed.

use std::collections::BTreeMap;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// Name of the service that all workers offer.
pub const SERVICE: &str = "service";

/// Number of workers, three to a rack.
pub const WORKERS: u32 = 11;

/// Number of accelerators and of slots of a worker.
pub const ACCELERATORS: u32 = 8;

/// One in this many jobs is a straggler.
const STRAGGLER_ONE_IN: u64 = 50;

/// Factor by which a straggler runs longer.
const STRAGGLER_FACTOR: u64 = 10;

/// A job with properties that are known to the simulation only.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The job as the scheduler gets it.
    pub queued: plan::Queued,
    /// Run time on a worker of speed 100, in milliseconds.
    pub run_ms: u64,
    /// Whether the job is short, for the measure of blocking.
    pub short: bool,
}

/// A workload.
pub struct Workload {
    /// Accounts, guarantees and kinds of work.
    pub config: account::Config,
    /// Jobs in the order of their submission.
    pub arrivals: Vec<Arrival>,
}

/// A generator of jobs.
struct Generator {
    random: ChaCha8Rng,
    arrivals: Vec<Arrival>,
}

/// The properties that the jobs of one generated set share.
struct Template {
    kind: &'static str,
    /// Minimum and maximum run time in milliseconds.
    run_ms: (u64, u64),
    /// Minimum and maximum time from submission to deadline in milliseconds.
    due_ms: (u64, u64),
    shapes: &'static [shape::Shape],
    /// Accounts, by number.
    accounts: &'static [u32],
    short: bool,
}

const MINUTE_MS: u64 = 60_000;

const fn gang(tasks: u32, accelerators: u32, adjacency: shape::Adjacency) -> shape::Shape {
    shape::Shape { tasks, accelerators, adjacency }
}

const RACK_GANG: shape::Shape = gang(3, 8, shape::Adjacency::Rack);
const PAIR_GANG: shape::Shape = gang(2, 8, shape::Adjacency::Rack);
const WIDE_GANG: shape::Shape = gang(4, 4, shape::Adjacency::DataCenter);
const WHOLE: shape::Shape = shape::Shape::single(8);
const ONE: shape::Shape = shape::Shape::single(1);
const TWO: shape::Shape = shape::Shape::single(2);
const FOUR: shape::Shape = shape::Shape::single(4);

/// The evening of the cooperative: large round rebuilds with deadlines, follow-ups that may
/// wait, and tidying.
pub fn cooperative(seed: u64) -> Workload {
    let mut generator = Generator::new(seed);
    let rebuild = Template {
        kind: "rebuild",
        run_ms: (4 * MINUTE_MS, 14 * MINUTE_MS),
        due_ms: (30 * MINUTE_MS, 90 * MINUTE_MS),
        shapes: &[RACK_GANG, PAIR_GANG, PAIR_GANG, WIDE_GANG, WHOLE],
        accounts: &[0, 0, 1, 1, 2],
        short: false,
    };
    let follow = Template {
        kind: "follow",
        run_ms: (5_000, 40_000),
        due_ms: (60 * MINUTE_MS, 180 * MINUTE_MS),
        shapes: &[ONE, ONE, TWO],
        accounts: &[0, 1, 2, 3],
        short: true,
    };
    let tidy = Template {
        kind: "tidy",
        run_ms: (3 * MINUTE_MS, 15 * MINUTE_MS),
        due_ms: (480 * MINUTE_MS, 600 * MINUTE_MS),
        shapes: &[ONE, TWO, FOUR],
        accounts: &[0, 1, 2, 3],
        short: false,
    };
    generator.generate(&rebuild, 60, 0, 120 * MINUTE_MS);
    generator.generate(&follow, 1500, 0, 150 * MINUTE_MS);
    generator.generate(&tidy, 150, 0, 150 * MINUTE_MS);
    let guarantees: &[(u32, shape::Shape, u32)] =
        &[(0, RACK_GANG, 1), (1, PAIR_GANG, 1), (2, WIDE_GANG, 1), (3, ONE, 4)];
    let kinds = &[
        ("rebuild", account::Class::Scheduled, true, Some(2000)),
        ("follow", account::Class::Deferred, false, None),
        ("tidy", account::Class::Idle, true, Some(1000)),
    ];
    generator.finish(config(guarantees, kinds))
}

/// The day of the franchise office: short urgent confirmations in bursts, assessments, and long
/// refreshes.
pub fn franchise(seed: u64) -> Workload {
    let mut generator = Generator::new(seed);
    let confirm = Template {
        kind: "confirm",
        run_ms: (300, 2_500),
        due_ms: (20_000, 40_000),
        shapes: &[ONE],
        accounts: &[0, 1, 2, 3],
        short: true,
    };
    let assess = Template {
        kind: "assess",
        run_ms: (10_000, 60_000),
        due_ms: (5 * MINUTE_MS, 15 * MINUTE_MS),
        shapes: &[ONE, TWO, FOUR, WIDE_GANG],
        accounts: &[0, 1, 2],
        short: false,
    };
    let refresh = Template {
        kind: "refresh",
        run_ms: (4 * MINUTE_MS, 20 * MINUTE_MS),
        due_ms: (120 * MINUTE_MS, 240 * MINUTE_MS),
        shapes: &[FOUR, WHOLE, PAIR_GANG, RACK_GANG],
        accounts: &[0, 1, 2, 3],
        short: false,
    };
    generator.generate(&confirm, 1500, 0, 120 * MINUTE_MS);
    generator.generate(&assess, 700, 0, 120 * MINUTE_MS);
    generator.generate(&refresh, 70, 0, 110 * MINUTE_MS);
    for burst in 1..12 {
        let start = burst * 10 * MINUTE_MS + generator.between(0, MINUTE_MS);
        let count = generator.between(100, 250);
        generator.generate(&confirm, count, start, start + 8_000);
    }
    let guarantees: &[(u32, shape::Shape, u32)] =
        &[(0, ONE, 6), (1, ONE, 6), (2, PAIR_GANG, 1), (3, ONE, 4)];
    let kinds = &[
        ("confirm", account::Class::Urgent, false, None),
        ("assess", account::Class::Scheduled, true, None),
        ("refresh", account::Class::Deferred, true, Some(1000)),
    ];
    generator.finish(config(guarantees, kinds))
}

/// The workers: three to a rack, in three data centres, at different speeds.
pub fn workers() -> Vec<job::WorkerSpec> {
    let speed = |worker: u32| match worker / 3 {
        0 => 150,
        3 => 60,
        _ => 100,
    };
    (0..WORKERS)
        .map(|worker| job::WorkerSpec {
            name: format!("worker-{worker:02}"),
            data_center: format!("center-{}", worker / 3 % 3),
            rack: format!("rack-{}", worker / 3),
            services: vec![SERVICE.to_owned()],
            slots: ACCELERATORS,
            connections: 64,
            accelerators: ACCELERATORS,
            processors: 32,
            memory: 128 * 1024,
            speed: speed(worker),
        })
        .collect()
}

impl Generator {
    fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), arrivals: Vec::new() }
    }

    /// A random number from `from` up to but not including `to`.
    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.random.next_u64() % (to - from)
    }

    fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        let index = self.between(0, items.len() as u64);
        items[index as usize]
    }

    fn generate(&mut self, template: &Template, count: u64, from: u64, to: u64) {
        for _ in 0..count {
            let submitted = self.between(from, to);
            let mut run_ms = self.between(template.run_ms.0, template.run_ms.1);
            if self.between(0, STRAGGLER_ONE_IN) == 0 {
                run_ms *= STRAGGLER_FACTOR;
            }
            let due_ms = self.between(template.due_ms.0, template.due_ms.1);
            let queued = plan::Queued {
                job: ids::JobKey(0),
                account: name(self.pick(template.accounts)),
                service: SERVICE.to_owned(),
                kind: template.kind.to_owned(),
                shape: self.pick(template.shapes),
                run_time: time::Millis(self.declared(run_ms)),
                submitted: time::Tick(submitted),
                deadline: time::Tick(submitted + due_ms),
            };
            self.arrivals.push(Arrival { queued, run_ms, short: template.short });
        }
    }

    /// A declared run time, which is wrong by a factor of up to ten in either direction.
    fn declared(&mut self, run_ms: u64) -> u64 {
        let factor = self.between(100, 1000);
        if self.between(0, 2) == 0 { run_ms * factor / 100 } else { run_ms * 100 / factor }
    }

    fn finish(mut self, config: account::Config) -> Workload {
        self.arrivals.sort_by_key(|arrival| arrival.queued.submitted);
        for (number, arrival) in self.arrivals.iter_mut().enumerate() {
            arrival.queued.job = ids::JobKey(number as u64 + 1);
        }
        Workload { config, arrivals: self.arrivals }
    }
}

fn name(account: u32) -> String {
    format!("account-{account}")
}

fn config(
    guarantees: &[(u32, shape::Shape, u32)],
    kinds: &[(&str, account::Class, bool, Option<u64>)],
) -> account::Config {
    let mut config = account::Config::default();
    for number in 0..4 {
        let matching = guarantees.iter().filter(|(account, ..)| *account == number);
        let account = account::Account {
            name: name(number),
            guarantees: matching
                .map(|&(_, shape, count)| account::Guarantee { shape, count })
                .collect(),
            weight: 1,
            queue_limit: 10_000,
            tokens: Vec::new(),
        };
        config.accounts.insert(account.name.clone(), account);
    }
    let mut service = account::Service { name: SERVICE.to_owned(), kinds: BTreeMap::new() };
    for &(name, class, repeatable, checkpoint) in kinds {
        let kind = account::Kind {
            name: name.to_owned(),
            class,
            repeatable,
            checkpoint: checkpoint.map(time::Millis),
            answer_limit: 1 << 20,
            deadline: time::HOUR,
        };
        service.kinds.insert(name.to_owned(), kind);
    }
    config.services.insert(SERVICE.to_owned(), service);
    config
}
