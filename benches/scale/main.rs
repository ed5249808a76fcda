//! What many waiting tasks cost a control replica: memory, passes, snapshots and restarts.
//!
//! `cargo bench --bench scale` fills the registry with jobs of three shapes: with times to come, with
//! times that are past, and without times, which wait for a pool that is full. Each row stands for a
//! number of tasks as at the users' sites, and for 10, 100 and 1,000 times as many, and is measured in
//! a process of its own. Two arguments, shape and factor, measure one row.

use std::env;
use std::fs;
use std::process;
use std::time;

use hemlockcleat::core::dispatch;
use hemlockcleat::core::dispatch::health;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::time as core_time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::directory;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::snapshot;

const SHAPES: [&str; 3] = ["to come", "past", "without"];
const FACTORS: [u32; 4] = [1, 10, 100, 1000];

/// The jobs of each shape and their times, at factor 1.
const JOBS: u32 = 9;
const TIMES: u32 = 29;

/// The number of workers, and of passes that are timed.
const WORKERS: u32 = 11;
const PASSES: u32 = 20;

/// The time of the measurement, in milliseconds since 1970-01-01 UTC.
const NOW: u64 = 1_800_000_000_000;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).filter(|text| text != "--bench").collect();
    if let [shape, factor] = arguments.as_slice() {
        let factor = factor.parse().expect("a number");
        measure(shape, factor);
        return;
    }
    println!(
        "| times | tasks | memory, KiB | pass, us | snapshot, KiB | written, ms | read, ms \
         | restart, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let program = env::current_exe().expect("the path of this program");
    for shape in SHAPES {
        for factor in FACTORS {
            let row = process::Command::new(&program).args([shape, &factor.to_string()]).status();
            assert!(row.is_ok_and(|status| status.success()), "{shape} {factor}");
        }
    }
}

fn moment(now: u64) -> order::Timestamp {
    order::Timestamp { tick: core_time::Tick(now - NOW), wall: core_time::Wall(now) }
}

fn queue() -> directory::Queue {
    directory::Queue {
        name: "queue".to_owned(),
        host: "queues.example".to_owned(),
        prefix: "/queue/".to_owned(),
        pool: "pool".to_owned(),
        priority: 1,
        attempts: 4,
        stretch: 3000,
        latency: 1000,
        timeout: 3000,
        public: false,
    }
}

fn configure() -> command::Command {
    command::Command::Configure(directory::Directory {
        version: 1,
        document: Vec::new(),
        queues: vec![queue()],
        pools: vec![directory::Pool {
            name: "pool".to_owned(),
            enforces_capacity: true,
            standby: false,
        }],
        accounts: Vec::new(),
    })
}

/// Returns the submissions of a shape. All together have `JOBS * TIMES * factor` tasks.
fn submissions(shape: &str, factor: u32) -> Vec<command::Submission> {
    let times = TIMES * factor;
    let first = if shape == "past" { NOW - 30_000 * u64::from(times) } else { NOW + 600_000 };
    let schedule = model::Schedule { first, interval: 30_000, count: times };
    let schedule = (shape != "without").then_some(schedule);
    let (jobs, tasks) = if schedule.is_some() { (JOBS, 1) } else { (JOBS * times / 3, 3) };
    let step = model::Step {
        count: tasks,
        cpu: 2000,
        memory: 1000,
        accelerators: 1,
        estimate: 2000,
        ..Default::default()
    };
    let submission = |number| command::Submission {
        queue: queue().address(),
        id: format!("{number:016x}"),
        account: "account".to_owned(),
        pool: "pool".to_owned(),
        priority: 1,
        attempts: 4,
        workflow: model::Workflow {
            spec: "(text)".to_owned(),
            steps: vec![step.clone()],
            schedule: schedule.clone(),
        },
    };
    (0..jobs).map(submission).collect()
}

/// Applies the entries of a log, as a replica does that starts again.
fn replay(submissions: &[command::Submission]) -> registry::Registry {
    let mut registry = registry::Registry::default();
    let submit = submissions.iter().cloned().map(command::Command::Submit);
    for (index, command) in (1..).zip([configure()].into_iter().chain(submit)) {
        registry.apply(ids::LogIndex(index), core_time::Wall(NOW), command, &mut Vec::new());
    }
    registry
}

fn announcement(host: u32) -> order::Announcement {
    order::Announcement {
        incarnation: model::Incarnation { host, started: 1 },
        name: format!("w{host}"),
        pool: "pool".to_owned(),
        labels: Vec::new(),
        rack: format!("r{}", host / 3),
        capacity: order::Resources { cpu: 32_000, memory: 131_072, accelerators: 8 },
        draining: false,
    }
}

fn measure(shape: &str, factor: u32) {
    let submissions = submissions(shape, factor);
    let before = resident_kib();
    let (mut registry, restart) = timed(|| replay(&submissions));
    let mut leader = dispatch::Dispatch::new(
        &registry,
        health::Health::default(),
        dispatch::DEFAULT_LEASE,
        moment(NOW),
    );
    for host in 0..WORKERS {
        leader.connected(host, moment(NOW));
        let report = order::Report {
            sequence: 1,
            worker: Some(announcement(host)),
            departed: None,
            drain_left: None,
            fresh: true,
            running: Vec::new(),
            finished: Vec::new(),
        };
        leader.report(&registry, host, report, moment(NOW));
    }
    leader.tick(&registry, moment(NOW));
    place(&mut registry, &mut leader, submissions.len() as u64 + 2);
    let mut slowest = time::Duration::ZERO;
    for pass in 1..=PASSES {
        let now = moment(NOW + 100 * u64::from(pass));
        slowest = slowest.max(timed(|| leader.tick(&registry, now)).1);
        leader.take_effects();
    }
    let memory = resident_kib().saturating_sub(before);
    let ledger = state::Ledger { workflows: registry, ..Default::default() };
    let (bytes, written) = timed(|| codec::encode(&snapshot::Ledger::from(&ledger)));
    let (_, read) = timed(|| {
        let stored = codec::decode_snapshot::<snapshot::Ledger>(&bytes).expect("a snapshot");
        state::Ledger::try_from(stored).expect("a ledger")
    });
    println!(
        "| {shape} | {} | {memory} | {} | {} | {:.1} | {:.1} | {:.1} |",
        JOBS * TIMES * factor,
        slowest.as_micros(),
        bytes.len() / 1024,
        written.as_secs_f64() * 1000.0,
        read.as_secs_f64() * 1000.0,
        restart.as_secs_f64() * 1000.0,
    );
}

/// Applies the placements that the leader has proposed.
fn place(registry: &mut registry::Registry, leader: &mut dispatch::Dispatch, mut index: u64) {
    let effects = leader.take_effects();
    for effect in effects {
        let order::Effect::Propose(command) = effect else { continue };
        let mut events = Vec::new();
        let now = core_time::Wall(NOW);
        registry.apply(ids::LogIndex(index), now, command, &mut events);
        index += 1;
        events.iter().for_each(|event| leader.event(registry, event, moment(NOW)));
    }
}

fn timed<T>(act: impl FnOnce() -> T) -> (T, time::Duration) {
    let started = time::Instant::now();
    let result = act();
    (result, started.elapsed())
}

fn resident_kib() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4
}
