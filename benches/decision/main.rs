//! The cost of one decision depending on the number of workers.
//!
//! `cargo bench --bench decision` fills cells of 11, 250, 2,500 and 25,000 workers with 22 tasks
//! per worker, and then times single steps: the immediate start of small jobs and of gangs of up to
//! 1024 tasks, their ends, the same for small jobs while a large gang waits, and the cancellation
//! of many waiting jobs.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::placement::planner;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;

const SIZES: [u32; 4] = [11, 250, 2_500, 25_000];

const CENTERS: u32 = 15;

/// Number of tasks that run on each worker when the timing begins.
const TASKS: u32 = 22;

/// Number of slots of a worker.
const SLOTS: u32 = 32;

/// Number of accelerators of a worker.
const ACCELERATORS: u32 = 8;

/// Number of accounts, each with guarantees.
const ACCOUNTS: u32 = 110;

/// Number of times that each step is timed.
const ROUNDS: u64 = 1_000;

/// Longest step that can be recorded, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

const SERVICE: &str = "service";

/// A cell with running jobs.
struct Cell {
    planner: planner::Planner,
    now: u64,
    next_key: u64,
    workers: u32,
    jobs: usize,
}

fn main() {
    println!("| workers | tasks | step | p50, us | p99, us | max, us |");
    println!("|---|---|---|---|---|---|");
    for size in SIZES {
        let before = resident_kib();
        let mut cell = Cell::new(size);
        let jobs = cell.fill(size);
        let tasks = size * TASKS;
        let memory = resident_kib().saturating_sub(before) / 1024;
        let small = shape::Shape::single(1);
        let gang = (size / 2).min(1024);
        let gang_shape =
            shape::Shape { tasks: gang, accelerators: 1, adjacency: shape::Adjacency::Cell };
        let row = |step: &str, times: &Histogram<u64>| print_row(size, tasks, step, times);
        let (start, end) = cell.time_starts("assess", small, ROUNDS);
        row("small job starts", &start);
        row("small job ends", &end);
        let (start, _) = cell.time_starts("confirm", small, ROUNDS);
        row("unrepeatable small job starts", &start);
        let (start, end) = cell.time_starts("rebuild", gang_shape, ROUNDS / 10);
        row(&format!("gang of {gang} starts"), &start);
        row(&format!("gang of {gang} ends"), &end);
        let (start, end) = cell.time_while_blocked(small);
        row("small job starts while a gang waits", &start);
        row("small job ends while a gang waits", &end);
        let (each, total) = cell.time_cancels();
        row("cancel one of 10,000 waiting", &each);
        println!("| {size} | {tasks} | cancel all 10,000, us | {total} | | |");
        println!("| {size} | {tasks} | memory, MiB, {jobs} jobs | {memory} | | |");
    }
}

fn print_row(size: u32, tasks: u32, step: &str, times: &Histogram<u64>) {
    let [p50, p99, max] = [0.5, 0.99, 1.0].map(|q| times.value_at_quantile(q) as f64 / 1000.0);
    println!("| {size} | {tasks} | {step} | {p50:.1} | {p99:.1} | {max:.1} |");
}

impl Cell {
    fn new(size: u32) -> Self {
        let planner = planner::Planner::new();
        let mut cell = Self { planner, now: 0, next_key: 1, workers: size, jobs: 0 };
        for worker in 0..size {
            let spec = spec(worker);
            let (key, epoch) = (ids::WorkerKey(worker), ids::Epoch(1));
            cell.step(plan::Input::Worker { key, spec, epoch, schedulable: true });
        }
        cell.step(plan::Input::Config(config(size)));
        cell
    }

    fn step(&mut self, input: plan::Input) -> Vec<plan::Output> {
        let mut out = Vec::new();
        self.planner.step(time::Tick(self.now), input, &mut out);
        out
    }

    /// Fills the cell with gangs of 34 tasks. The share of gangs with accelerators is such that
    /// nine in ten accelerators are in use.
    fn fill(&mut self, size: u32) -> usize {
        let mut remaining = size * TASKS;
        let mut number = 0;
        while remaining > 0 {
            let tasks = remaining.min(34);
            let accelerators = u32::from(number * 18 % 55 < 18);
            let shape = shape::Shape { tasks, accelerators, adjacency: shape::Adjacency::Cell };
            let queued = self.queued("refresh", shape);
            self.start(queued);
            remaining -= tasks;
            number += 1;
        }
        self.jobs
    }

    fn queued(&mut self, kind: &str, shape: shape::Shape) -> plan::Queued {
        let key = self.next_key;
        self.next_key += 1;
        plan::Queued {
            job: ids::JobKey(key),
            account: format!("account-{}", key % u64::from(ACCOUNTS)),
            service: SERVICE.to_owned(),
            kind: kind.to_owned(),
            shape,
            run_time: time::Millis::from_secs(3600),
            submitted: time::Tick(self.now),
            deadline: time::Tick(self.now + 4 * time::HOUR.0),
        }
    }

    fn start(&mut self, queued: plan::Queued) -> bool {
        let key = queued.job;
        let out = self.step(plan::Input::Queued(queued));
        let placed = matches!(out[..], [plan::Output::Place { .. }]);
        if placed {
            self.step(plan::Input::Released(key));
            self.jobs += 1;
        }
        placed
    }

    /// Times the start of jobs that find a placement, and their ends.
    fn time_starts(
        &mut self,
        kind: &str,
        shape: shape::Shape,
        rounds: u64,
    ) -> (Histogram<u64>, Histogram<u64>) {
        let (mut starts, mut ends) = (histogram(), histogram());
        let mut placed = 0;
        for _ in 0..rounds {
            self.now += 1;
            let queued = self.queued(kind, shape);
            let job = queued.job;
            let start = Instant::now();
            let out = self.step(plan::Input::Queued(queued));
            starts.saturating_record(nanos(start));
            placed += usize::from(matches!(out[..], [plan::Output::Place { .. }]));
            self.step(plan::Input::Released(job));
            let start = Instant::now();
            self.step(plan::Input::Ended { job, result: plan::RunResult::Done });
            ends.saturating_record(nanos(start));
        }
        assert!(placed as u64 * 10 >= rounds * 9, "{placed} of {rounds} {kind} {shape} placed");
        (starts, ends)
    }

    /// Times the start and the end of small jobs while a large gang finds no placement.
    fn time_while_blocked(&mut self, shape: shape::Shape) -> (Histogram<u64>, Histogram<u64>) {
        let tasks = self.workers.min(1024);
        let all =
            shape::Shape { tasks, accelerators: ACCELERATORS, adjacency: shape::Adjacency::Cell };
        let mut placed = Vec::new();
        let mut blocking = histogram();
        let blocked = loop {
            let queued = self.queued("rebuild", all);
            let key = queued.job;
            let start = Instant::now();
            let waits = !self.start(queued);
            if waits {
                blocking.saturating_record(nanos(start));
                break key;
            }
            placed.push(key);
        };
        let step = format!("gang of {tasks} finds no place");
        print_row(self.workers, self.workers * TASKS, &step, &blocking);
        let times = self.time_starts("assess", shape, ROUNDS);
        self.step(plan::Input::Withdrawn(blocked));
        for job in placed {
            self.step(plan::Input::Ended { job, result: plan::RunResult::Done });
        }
        times
    }

    /// Times the withdrawal of 10,000 waiting jobs. Returns the time of each, and that of all in
    /// microseconds.
    fn time_cancels(&mut self) -> (Histogram<u64>, u128) {
        let shape =
            shape::Shape { tasks: 1024, accelerators: 32, adjacency: shape::Adjacency::Cell };
        let keys: Vec<_> = (0..10_000)
            .map(|_| {
                let queued = self.queued("refresh", shape);
                let key = queued.job;
                self.step(plan::Input::Queued(queued));
                key
            })
            .collect();
        let mut times = histogram();
        let all = Instant::now();
        for key in keys {
            let start = Instant::now();
            self.step(plan::Input::Withdrawn(key));
            times.saturating_record(nanos(start));
        }
        (times, all.elapsed().as_micros())
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_NANOS, 3).expect("the bounds are in order")
}

fn nanos(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// The resident memory of this process in KiB, or 0 if the system does not provide it.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn spec(worker: u32) -> job::WorkerSpec {
    let rack = worker / 3;
    job::WorkerSpec {
        name: format!("worker-{worker}"),
        data_center: format!("center-{}", rack % CENTERS),
        rack: format!("rack-{rack}"),
        services: vec![SERVICE.to_owned()],
        slots: SLOTS,
        connections: 64,
        accelerators: ACCELERATORS,
        processors: 32,
        memory: 128 * 1024,
        speed: 80 + rack % 3 * 20,
    }
}

/// Accounts with guarantees of about a quarter of the cell.
fn config(size: u32) -> account::Config {
    let mut config = account::Config::default();
    let racks = size / 3;
    for number in 0..ACCOUNTS {
        let count = (racks / 4 + number) / ACCOUNTS;
        let shape = shape::Shape { tasks: 3, accelerators: 8, adjacency: shape::Adjacency::Rack };
        let account = account::Account {
            name: format!("account-{number}"),
            guarantees: vec![account::Guarantee { shape, count }],
            weight: 1,
            queue_limit: 100_000,
            tokens: Vec::new(),
        };
        config.accounts.insert(account.name.clone(), account);
    }
    let kinds = [
        ("confirm", account::Class::Urgent, false, None),
        ("assess", account::Class::Urgent, true, None),
        ("rebuild", account::Class::Scheduled, true, Some(time::Millis(1000))),
        ("refresh", account::Class::Deferred, true, Some(time::Millis(1000))),
    ];
    let kinds = kinds.map(|(name, class, repeatable, checkpoint)| {
        let name = name.to_owned();
        let (answer_limit, deadline) = (1 << 20, time::HOUR);
        let kind = account::Kind {
            name: name.clone(),
            class,
            repeatable,
            checkpoint,
            answer_limit,
            deadline,
        };
        (name, kind)
    });
    let service = account::Service { name: SERVICE.to_owned(), kinds: BTreeMap::from(kinds) };
    config.services.insert(SERVICE.to_owned(), service);
    config
}
