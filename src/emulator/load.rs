//! Descriptions of loads, and the jobs generated from them.

use std::f64::consts;

use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::core::dispatch::order;
use crate::core::workflow::directory;
use crate::core::workflow::model;

/// The pool of all workers.
pub const POOL: &str = "pool";

/// The host part of every queue's address.
const HOST: &str = "queues.example";

/// The work of a job, relative to the mean of its kind, from which its worth does not grow further,
/// as a factor of the kind's worth.
const MAX_WORTH_FACTOR: f64 = 4.0;

/// The part of a job's worth that does not depend on its work.
const BASE_WORTH: f64 = 0.3;

/// A log-normal distribution, cut off at `max`.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The standard deviation relative to the mean.
    pub deviation: f64,
    /// The largest value.
    pub max: f64,
}

/// A kind of jobs, each in a queue of its own.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The name of the kind and of its queue.
    pub name: String,
    /// The rank of the queue; 0 is urgent.
    pub priority: u32,
    /// The mean number of jobs a second.
    pub rate: f64,
    /// The number of tasks, for each 100 workers.
    pub width: Spread,
    /// The run time of a task on a worker of speed 1, in milliseconds.
    pub run_time: Spread,
    /// The numbers of accelerators that a task may need, each as likely as the others.
    pub accelerators: Vec<u32>,
    /// The processor time that a task needs, in thousandths of a core.
    pub cpu: u32,
    /// The memory that a task needs, in MB.
    pub memory: u32,
    /// The share of jobs whose tasks form a gang.
    pub gang: f64,
    /// The share of gangs that run slower across racks.
    pub one_rack: f64,
    /// The share of jobs whose tasks save checkpoints.
    pub checkpoints: f64,
    /// The share of jobs with a second step of the same size after the first.
    pub second_step: f64,
    /// The largest relative error of the callers' estimates, up or down.
    pub estimate_error: f64,
    /// The share of runs that fail.
    pub failures: f64,
    /// The share of jobs that are cancelled.
    pub cancelled: f64,
    /// The number of failures of a task at which its job fails.
    pub attempts: u32,
    /// The objective, in thousandths of a job's longest chain of work.
    pub stretch: u32,
    /// The part of the objective that does not depend on the work, in milliseconds.
    pub latency: u32,
    /// The worth of a job of mean work that ends within its objective.
    pub worth: f64,
    /// The worth of a job of mean work that ends later, within three objectives.
    pub late_worth: f64,
}

/// A time in which more jobs of a kind arrive.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// The index of the kind.
    pub kind: usize,
    /// The begin and the end, in milliseconds.
    pub span: (u64, u64),
    /// The factor of the kind's rate.
    pub factor: f64,
}

/// A load on a fleet.
#[derive(Clone, Debug)]
pub struct Load {
    /// The number of workers.
    pub workers: u32,
    /// The number of workers of a rack.
    pub rack: u32,
    /// The speeds of workers, in turn.
    pub speeds: Vec<f64>,
    /// The resources of a worker.
    pub capacity: order::Resources,
    /// The kinds of jobs.
    pub kinds: Vec<Kind>,
    /// Times with more jobs.
    pub bursts: Vec<Burst>,
    /// The number of client accounts.
    pub accounts: u32,
    /// The part of all accelerators that is guaranteed to the accounts, in percent.
    pub guaranteed: u32,
    /// The time in which jobs arrive, in milliseconds.
    pub arrivals: u64,
    /// The time for which the load is played, in milliseconds.
    pub length: u64,
    /// The slowdown of a gang across racks.
    pub rack_penalty: f64,
    /// The time that a stop takes, in milliseconds.
    pub stop_time: u64,
}

/// A generated job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The time at which it is submitted, in milliseconds.
    pub arrives: u64,
    /// The time at which it is cancelled, in milliseconds.
    pub cancelled: Option<u64>,
    /// The index of its kind.
    pub kind: usize,
    /// The number of its client account.
    pub account: u32,
    /// The job as its caller describes it.
    pub workflow: model::Workflow,
    /// The run time of each task of each step on a worker of speed 1, in milliseconds.
    pub run_times: Vec<Vec<f64>>,
    /// Its worth if it ends within its objective, and if it ends within three.
    pub worth: (f64, f64),
    /// The longest chain of work on a worker of speed 1, in milliseconds.
    pub chain: u64,
    /// The time from its submission within which it has to end, in milliseconds.
    pub objective: u64,
    /// The work, as milliseconds of whole workers.
    pub work: f64,
}

impl Load {
    /// Returns a load like that of a cooperative that rebuilds rounds, drafts messages and tidies
    /// records: wide gangs of middle rank, many small urgent gangs, and wide steps of single tasks.
    /// `factor` scales the rates; at 1, the work of the jobs is about what the workers can do while
    /// they arrive.
    pub fn cooperative(workers: u32, factor: f64) -> Self {
        let spread = |mean, deviation, max| Spread { mean, deviation, max };
        let rebuild = Kind {
            name: "rebuild".to_owned(),
            priority: 1,
            rate: 1.0 * factor,
            width: spread(10.4, 0.8, 62.0),
            run_time: spread(7200.0, 0.3, 76_000.0),
            accelerators: vec![1, 2, 4, 8, 8],
            cpu: 13_000,
            memory: 68_000,
            gang: 1.0,
            one_rack: 0.6,
            checkpoints: 0.45,
            second_step: 0.0,
            estimate_error: 0.9,
            failures: 0.02,
            cancelled: 0.05,
            attempts: 2,
            stretch: 3000,
            latency: 1000,
            worth: 3.0,
            late_worth: 1.5,
        };
        let draft = Kind {
            name: "draft".to_owned(),
            priority: 0,
            rate: 5.4 * factor,
            width: spread(3.2, 0.8, 19.0),
            run_time: spread(2100.0, 0.5, 22_000.0),
            cpu: 3700,
            memory: 11_000,
            one_rack: 0.8,
            checkpoints: 0.0,
            estimate_error: 0.2,
            failures: 0.05,
            cancelled: 0.0,
            attempts: 4,
            stretch: 1500,
            latency: 250,
            worth: 4.0,
            late_worth: 0.8,
            ..rebuild.clone()
        };
        let tidy = Kind {
            name: "tidy".to_owned(),
            priority: 2,
            rate: 0.9 * factor,
            width: spread(32.0, 0.8, 195.0),
            run_time: spread(6500.0, 0.3, 68_000.0),
            accelerators: vec![1],
            cpu: 2800,
            memory: 11_000,
            gang: 0.0,
            one_rack: 0.0,
            second_step: 0.3,
            failures: 0.005,
            cancelled: 0.15,
            attempts: 3,
            latency: 3000,
            worth: 1.0,
            late_worth: 0.5,
            ..rebuild.clone()
        };
        Self {
            workers,
            rack: 20,
            speeds: vec![0.55, 1.2, 1.2, 1.2],
            capacity: order::Resources { cpu: 32_000, memory: 131_072, accelerators: 8 },
            kinds: vec![rebuild, draft, tidy],
            bursts: Vec::new(),
            accounts: 10,
            guaranteed: 60,
            arrivals: 34_000,
            length: 60_000,
            rack_penalty: 3.0,
            stop_time: 400,
        }
    }

    /// Returns the load with more jobs of a kind for some time.
    #[must_use]
    pub fn with_burst(mut self, kind: usize, span: (u64, u64), factor: f64) -> Self {
        self.bursts.push(Burst { kind, span, factor });
        self
    }

    /// Returns the configuration of the queues and accounts.
    pub fn directory(&self) -> directory::Directory {
        let queue = |kind: &Kind| directory::Queue {
            name: kind.name.clone(),
            host: HOST.to_owned(),
            prefix: format!("/{}/", kind.name),
            pool: POOL.to_owned(),
            priority: kind.priority,
            attempts: kind.attempts,
            stretch: kind.stretch,
            latency: kind.latency,
            timeout: 3000,
            public: false,
        };
        let all = u64::from(self.workers) * u64::from(self.capacity.accelerators);
        let each = all * u64::from(self.guaranteed) / 100 / u64::from(self.accounts.max(1));
        let account = |number| directory::Account {
            name: account(number),
            credentials: vec![format!("key-{number}")],
            guarantee: each as u32,
        };
        directory::Directory {
            version: 1,
            document: Vec::new(),
            queues: self.kinds.iter().map(queue).collect(),
            pools: vec![directory::Pool {
                name: POOL.to_owned(),
                enforces_capacity: true,
                standby: false,
            }],
            accounts: (0..self.accounts).map(account).collect(),
        }
    }

    /// Returns the jobs of a seed in the order of their arrival.
    pub fn jobs(&self, seed: u64) -> Vec<Job> {
        let mut jobs = Vec::new();
        for (number, kind) in self.kinds.iter().enumerate() {
            // A stream of its own keeps the jobs of a kind independent of the other kinds.
            let stream = number as u64;
            let mut generator = Generator::new(seed, stream);
            let bursts: Vec<_> = self.bursts.iter().filter(|burst| burst.kind == number).collect();
            let burst = |at: u64| {
                let now = bursts.iter().filter(|burst| burst.span.0 <= at && at < burst.span.1);
                now.map(|burst| burst.factor).fold(1.0, f64::max)
            };
            let peak = bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
            let mut at = 0.0;
            loop {
                at += generator.exponential(1000.0 / (kind.rate * peak).max(1e-9));
                if at >= self.arrivals as f64 {
                    break;
                }
                let arrives = at as u64;
                if generator.uniform() < burst(arrives) / peak {
                    jobs.push(generator.job(self, number, arrives));
                }
            }
        }
        jobs.sort_by_key(|job| (job.arrives, job.kind));
        jobs
    }

    /// Returns the part of a whole worker that a task of a step takes.
    pub fn share(&self, step: &model::Step) -> f64 {
        let part = |need: u32, all: u32| f64::from(need) / f64::from(all.max(1));
        let capacity = self.capacity;
        part(step.accelerators, capacity.accelerators)
            .max(part(step.cpu, capacity.cpu))
            .max(part(step.memory, capacity.memory))
    }
}

/// Returns the name of a client account.
pub fn account(number: u32) -> String {
    format!("account-{number}")
}

/// A generator of one kind of jobs.
struct Generator {
    rng: ChaCha8Rng,
}

impl Generator {
    fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self { rng }
    }

    /// Returns a number from 0 up to 1.
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.uniform()).ln() * mean
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        radius * (consts::TAU * self.uniform()).cos()
    }

    fn spread(&mut self, spread: Spread) -> f64 {
        let variance = (1.0 + spread.deviation * spread.deviation).ln();
        let mean = spread.mean.ln() - variance / 2.0;
        (mean + self.normal() * variance.sqrt()).exp().min(spread.max)
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[(self.rng.next_u64() % values.len() as u64) as usize]
    }

    fn job(&mut self, load: &Load, number: usize, arrives: u64) -> Job {
        let kind = &load.kinds[number];
        let scale = f64::from(load.workers) / 100.0;
        let count = (self.spread(kind.width) * scale).round().max(1.0) as u32;
        let gang = self.uniform() < kind.gang;
        let one_rack = gang && self.uniform() < kind.one_rack;
        let checkpoints = self.uniform() < kind.checkpoints;
        let steps = if self.uniform() < kind.second_step { 2 } else { 1 };
        let accelerators = self.one_of(&kind.accelerators);
        let run_time = self.spread(kind.run_time).max(100.0);
        let limit = (1.0 + kind.estimate_error).ln();
        let error = ((self.uniform() * 2.0 - 1.0) * limit).exp();
        let step = |after: Vec<u32>| model::Step {
            count,
            cpu: kind.cpu,
            memory: kind.memory,
            accelerators,
            estimate: (run_time * error) as u32,
            after,
            gang,
            one_rack,
            checkpoints,
            ..Default::default()
        };
        let workflow = model::Workflow {
            spec: String::new(),
            steps: (0..steps).map(|step_number| step((0..step_number).collect())).collect(),
            schedule: None,
        };
        let mut run_times = Vec::new();
        for _ in 0..steps {
            let uneven = |generator: &mut Self| run_time * (0.2 * generator.normal()).exp();
            run_times.push((0..count).map(|_| uneven(self)).collect::<Vec<f64>>());
        }
        let chain: f64 =
            run_times.iter().map(|tasks| tasks.iter().copied().fold(0.0, f64::max)).sum();
        let share = load.share(&workflow.steps[0]);
        let work = run_times.iter().flatten().sum::<f64>() * share;
        let mean_work = kind.width.mean * scale * kind.run_time.mean * (1.0 + kind.second_step);
        let relative = run_times.iter().flatten().sum::<f64>() / mean_work;
        let size = (BASE_WORTH + (1.0 - BASE_WORTH) * relative).min(MAX_WORTH_FACTOR);
        let cancelled = (self.uniform() < kind.cancelled)
            .then(|| arrives + (self.uniform() * chain * 2.0) as u64);
        Job {
            arrives,
            cancelled,
            kind: number,
            account: (self.rng.next_u64() % u64::from(load.accounts.max(1))) as u32,
            workflow,
            run_times,
            worth: (kind.worth * size, kind.late_worth * size),
            chain: chain as u64,
            objective: (chain * f64::from(kind.stretch) / 1000.0) as u64 + u64::from(kind.latency),
            work,
        }
    }
}
