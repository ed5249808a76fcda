//! How fast each worker is, and whether it can be trusted with tasks.
//!
//! Answers three loads: workers of very different speed (urgent work avoids the slow ones),
//! workers that fail all that they start (after two failures of different tasks without a success
//! they get none for a while, longer each time; a job that fails everywhere is held against one
//! worker at most), and workers on which tasks stand still. It is kept
//! by host, since a machine's speed outlives its worker.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::ids;
use crate::core::time;
use crate::core::workflow::model;

/// How much workers differ in speed before anything is known: the variance of its logarithm.
const PRIOR_VARIANCE: f64 = 0.12;

/// How much a worker's speed may have changed since the last run: the same, for each run.
const VARIANCE_PER_RUN: f64 = 0.01;

/// The smallest variance of one run's evidence.
const MIN_NOISE: f64 = 0.05;

/// The variance of one run's evidence before anything is known of its queue.
const INITIAL_NOISE: f64 = 0.2;

/// The weight of a new run in what is known of its queue, at least.
const MIN_WEIGHT: f64 = 0.05;

/// Failures of different tasks without a success after which a worker gets no tasks.
const MAX_FAILED_TASKS: usize = 2;

/// Jobs that have failed whose first worker is remembered.
const MAX_BLAMED_JOBS: usize = 256;

/// How long a worker gets no tasks the first time, and at most.
const SUSPENSION: (time::Millis, time::Millis) = (time::Millis(3000), time::Millis(12_000));

/// A worker is slow below this share of the fleet's usual speed: a step between the speeds that
/// machines of one fleet have, which differ by a factor of two.
const SLOW_RATIO: f64 = 0.72;

/// What is known of the runs of one queue against their estimates.
#[derive(Clone, Copy, Debug)]
struct Queue {
    mean: f64,
    noise: f64,
    runs: u32,
}

/// What is known of one worker.
#[derive(Clone, Debug)]
struct Worker {
    /// The logarithm of its speed.
    speed: f64,
    /// The variance of that.
    variance: f64,
    /// The tasks that have failed there since the last success.
    failed_tasks: Vec<model::TaskKey>,
    /// No tasks before this point.
    suspended_until: time::Tick,
    suspension: time::Millis,
}

impl Default for Worker {
    fn default() -> Self {
        Self {
            speed: 0.0,
            variance: PRIOR_VARIANCE,
            failed_tasks: Vec::new(),
            suspended_until: time::Tick(0),
            suspension: SUSPENSION.0,
        }
    }
}

impl Worker {
    /// Takes in evidence of its speed: how far it lies off, and the variance of that.
    fn learn(&mut self, error: f64, noise: f64) {
        let variance = self.variance + VARIANCE_PER_RUN;
        let gain = variance / (variance + noise);
        self.speed += gain * error;
        self.variance = variance * (1.0 - gain);
    }
}

/// What is known of all workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: BTreeMap<u32, Worker>,
    queues: BTreeMap<String, Queue>,
    /// The worker on which a job failed first, for jobs that have failed lately.
    blamed: VecDeque<(ids::JobKey, u32)>,
}

impl Health {
    /// Learns from a run of a queue: its speed against its estimate.
    pub fn learn_speed(&mut self, host: u32, queue: &str, ratio: f64) {
        let seen = ratio.clamp(0.01, 100.0).ln();
        let fresh = Queue { mean: 0.0, noise: INITIAL_NOISE, runs: 0 };
        let known = self.queues.entry(queue.to_owned()).or_insert(fresh);
        let worker = self.workers.entry(host).or_default();
        let error = seen - known.mean - worker.speed;
        known.runs += 1;
        let weight = (1.0 / f64::from(known.runs)).max(MIN_WEIGHT);
        known.mean += weight * (seen - worker.speed - known.mean);
        if known.runs > 1 {
            known.noise += weight * (error * error - known.noise);
        }
        worker.learn(error, known.noise.max(MIN_NOISE));
    }

    /// Learns from the members of a gang: their speeds against one estimate. How wrong that is
    /// does not matter, since it is the same for all of them.
    pub fn learn_gang_speeds(&mut self, ratios: &[(u32, f64)]) {
        let seen: Vec<_> =
            ratios.iter().map(|(host, ratio)| (*host, ratio.clamp(0.01, 100.0).ln())).collect();
        let errors = seen
            .iter()
            .map(|(host, seen)| seen - self.workers.get(host).map_or(0.0, |worker| worker.speed));
        let common = errors.sum::<f64>() / seen.len().max(1) as f64;
        for (host, seen) in seen {
            let worker = self.workers.entry(host).or_default();
            worker.learn(seen - common - worker.speed, MIN_NOISE);
        }
    }

    /// A task was done there.
    pub fn record_success(&mut self, host: u32) {
        let worker = self.workers.entry(host).or_default();
        worker.failed_tasks.clear();
        worker.suspension = SUSPENSION.0;
    }

    /// A task has failed there.
    pub fn record_failure(&mut self, host: u32, task: model::TaskKey, now: time::Tick) {
        let first = self.blamed.iter().find(|(job, _)| *job == task.job);
        match first {
            Some((_, blamed)) if *blamed != host => return,
            Some(_) => {}
            None => {
                self.blamed.push_back((task.job, host));
                if self.blamed.len() > MAX_BLAMED_JOBS {
                    self.blamed.pop_front();
                }
            }
        }
        let worker = self.workers.entry(host).or_default();
        if !worker.failed_tasks.contains(&task) {
            worker.failed_tasks.push(task);
        }
        if worker.failed_tasks.len() >= MAX_FAILED_TASKS {
            self.suspend(host, now);
        }
    }

    /// The worker gets no tasks for a while, longer each time until it succeeds with one.
    pub fn suspend(&mut self, host: u32, now: time::Tick) {
        let worker = self.workers.entry(host).or_default();
        worker.suspended_until = now + worker.suspension;
        worker.suspension = time::Millis(worker.suspension.0 * 2).min(SUSPENSION.1);
    }

    /// Whether the worker may get tasks.
    pub fn accepts_tasks(&self, host: u32, now: time::Tick) -> bool {
        self.workers.get(&host).is_none_or(|worker| worker.suspended_until <= now)
    }

    /// Whether something has failed there and nothing succeeded since.
    pub fn is_suspect(&self, host: u32) -> bool {
        self.workers.get(&host).is_some_and(|worker| !worker.failed_tasks.is_empty())
    }

    /// The worker's speed; 1 where nothing is known.
    pub fn speed(&self, host: u32) -> f64 {
        self.workers.get(&host).map_or(1.0, |worker| worker.speed.exp())
    }

    /// The speed below which a worker is clearly slower than the fleet usually is.
    pub fn slow_threshold(&self) -> f64 {
        self.median_speed() * SLOW_RATIO
    }

    /// The speed that half of the workers reach.
    fn median_speed(&self) -> f64 {
        let mut speeds: Vec<f64> = self.workers.values().map(|worker| worker.speed).collect();
        if speeds.is_empty() {
            return 1.0;
        }
        let middle = speeds.len() / 2;
        speeds.select_nth_unstable_by(middle, f64::total_cmp).1.exp()
    }
}
