//! The two users' workloads, each drawn from a seed.

use std::collections::BTreeMap;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// The service that all workers offer.
pub const SERVICE: &str = "service";

/// Workers, three to a rack.
pub const WORKERS: u32 = 11;

/// Accelerators and slots of a worker.
pub const ACCELERATORS: u32 = 8;

/// One job in this many is a straggler.
const STRAGGLER_ONE_IN: u64 = 50;

/// How many times longer a straggler runs.
const STRAGGLER_FACTOR: u64 = 10;

/// A job with what only the driver knows of it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// What the scheduler is told.
    pub queued: plan::Queued,
    /// The run time on a common worker, in milliseconds.
    pub work: u64,
    /// Whether it is short work, for the measure of blocking.
    pub short: bool,
}

/// A workload.
pub struct Workload {
    /// Accounts, guarantees and kinds of work.
    pub config: account::Config,
    /// Jobs by time of submission.
    pub arrivals: Vec<Arrival>,
}

/// Draws jobs.
struct Source {
    random: ChaCha8Rng,
    arrivals: Vec<Arrival>,
}

/// What the jobs of a draw have in common.
struct Draw {
    kind: &'static str,
    /// Run time in milliseconds: the least, and the most.
    run: (u64, u64),
    /// Time from submission to deadline in milliseconds: the least, and the most.
    due: (u64, u64),
    shapes: &'static [shape::Shape],
    /// Accounts by number.
    accounts: &'static [u32],
    short: bool,
}

const MINUTE: u64 = 60_000;

const fn of(tasks: u32, accelerators: u32, adjacency: shape::Adjacency) -> shape::Shape {
    shape::Shape { tasks, accelerators, adjacency }
}

const RACK_GANG: shape::Shape = of(3, 8, shape::Adjacency::Rack);
const PAIR_GANG: shape::Shape = of(2, 8, shape::Adjacency::Rack);
const WIDE_GANG: shape::Shape = of(4, 4, shape::Adjacency::DataCenter);
const WHOLE: shape::Shape = shape::Shape::single(8);
const ONE: shape::Shape = shape::Shape::single(1);
const TWO: shape::Shape = shape::Shape::single(2);
const FOUR: shape::Shape = shape::Shape::single(4);

/// The cooperative's evening: large round rebuilds with deadlines, follow-ups that may wait, and
/// tidying.
pub fn cooperative(seed: u64) -> Workload {
    let mut source = Source::new(seed);
    let rebuild = Draw {
        kind: "rebuild",
        run: (4 * MINUTE, 14 * MINUTE),
        due: (30 * MINUTE, 90 * MINUTE),
        shapes: &[RACK_GANG, PAIR_GANG, PAIR_GANG, WIDE_GANG, WHOLE],
        accounts: &[0, 0, 1, 1, 2],
        short: false,
    };
    let follow = Draw {
        kind: "follow",
        run: (5_000, 40_000),
        due: (60 * MINUTE, 180 * MINUTE),
        shapes: &[ONE, ONE, TWO],
        accounts: &[0, 1, 2, 3],
        short: true,
    };
    let tidy = Draw {
        kind: "tidy",
        run: (3 * MINUTE, 15 * MINUTE),
        due: (480 * MINUTE, 600 * MINUTE),
        shapes: &[ONE, TWO, FOUR],
        accounts: &[0, 1, 2, 3],
        short: false,
    };
    source.draw(&rebuild, 60, 0, 120 * MINUTE);
    source.draw(&follow, 1500, 0, 150 * MINUTE);
    source.draw(&tidy, 150, 0, 150 * MINUTE);
    let guarantees: &[(u32, shape::Shape, u32)] =
        &[(0, RACK_GANG, 1), (1, PAIR_GANG, 1), (2, WIDE_GANG, 1), (3, ONE, 4)];
    let kinds = &[
        ("rebuild", account::Class::Scheduled, true, Some(2000)),
        ("follow", account::Class::Deferred, false, None),
        ("tidy", account::Class::Idle, true, Some(1000)),
    ];
    source.finish(config(guarantees, kinds))
}

/// The franchise office's day: short urgent confirmations in bursts, assessments, and long
/// refreshes.
pub fn franchise(seed: u64) -> Workload {
    let mut source = Source::new(seed);
    let confirm = Draw {
        kind: "confirm",
        run: (300, 2_500),
        due: (20_000, 40_000),
        shapes: &[ONE],
        accounts: &[0, 1, 2, 3],
        short: true,
    };
    let assess = Draw {
        kind: "assess",
        run: (10_000, 60_000),
        due: (5 * MINUTE, 15 * MINUTE),
        shapes: &[ONE, TWO, FOUR, WIDE_GANG],
        accounts: &[0, 1, 2],
        short: false,
    };
    let refresh = Draw {
        kind: "refresh",
        run: (4 * MINUTE, 20 * MINUTE),
        due: (120 * MINUTE, 240 * MINUTE),
        shapes: &[FOUR, WHOLE, PAIR_GANG, RACK_GANG],
        accounts: &[0, 1, 2, 3],
        short: false,
    };
    source.draw(&confirm, 1500, 0, 120 * MINUTE);
    source.draw(&assess, 700, 0, 120 * MINUTE);
    source.draw(&refresh, 70, 0, 110 * MINUTE);
    for burst in 1..12 {
        let start = burst * 10 * MINUTE + source.between(0, MINUTE);
        let count = source.between(100, 250);
        source.draw(&confirm, count, start, start + 8_000);
    }
    let guarantees: &[(u32, shape::Shape, u32)] =
        &[(0, ONE, 6), (1, ONE, 6), (2, PAIR_GANG, 1), (3, ONE, 4)];
    let kinds = &[
        ("confirm", account::Class::Urgent, false, None),
        ("assess", account::Class::Scheduled, true, None),
        ("refresh", account::Class::Deferred, true, Some(1000)),
    ];
    source.finish(config(guarantees, kinds))
}

/// The workers: three to a rack, three data centres, of different speeds.
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

impl Source {
    fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), arrivals: Vec::new() }
    }

    /// A number in the half-open range.
    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.random.next_u64() % (to - from)
    }

    fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        let index = self.between(0, items.len() as u64);
        items[index as usize]
    }

    fn draw(&mut self, draw: &Draw, count: u64, from: u64, to: u64) {
        for _ in 0..count {
            let submitted = self.between(from, to);
            let mut work = self.between(draw.run.0, draw.run.1);
            if self.between(0, STRAGGLER_ONE_IN) == 0 {
                work *= STRAGGLER_FACTOR;
            }
            let due = self.between(draw.due.0, draw.due.1);
            let queued = plan::Queued {
                job: ids::JobKey(0),
                account: name(self.pick(draw.accounts)),
                service: SERVICE.to_owned(),
                kind: draw.kind.to_owned(),
                shape: self.pick(draw.shapes),
                run_time: time::Millis(self.declared(work)),
                submitted: time::Tick(submitted),
                deadline: time::Tick(submitted + due),
            };
            self.arrivals.push(Arrival { queued, work, short: draw.short });
        }
    }

    /// A declared run time: wrong by up to ten times, either way.
    fn declared(&mut self, work: u64) -> u64 {
        let factor = self.between(100, 1000);
        if self.between(0, 2) == 0 { work * factor / 100 } else { work * 100 / factor }
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
        let mine = guarantees.iter().filter(|(account, ..)| *account == number);
        let account = account::Account {
            name: name(number),
            guarantees: mine
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
