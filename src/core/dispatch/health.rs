//! Speed of each worker, and whether it may get tasks.
//!
//! The rules cover three kinds of load: workers of very different speed (urgent work avoids the
//! slow ones), workers that fail every task (after two failures of different tasks without a
//! success they get no tasks for a while, longer each time; a job that fails everywhere counts
//! against one worker at most), and workers on which tasks stall. The state is kept by host, since
//! the speed of a machine outlives its worker.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::core::ids;
use crate::core::time;
use crate::core::workflow::model;

/// The prior variance of the logarithm of a worker's speed.
const PRIOR_VARIANCE: f64 = 0.12;

/// The variance that is added for each run, since the speed of a worker may have changed.
const VARIANCE_PER_RUN: f64 = 0.01;

/// The smallest variance of the evidence from one run.
const MIN_NOISE: f64 = 0.05;

/// The variance of the evidence from one run before anything is known about its queue.
const INITIAL_NOISE: f64 = 0.2;

/// The least weight of a new run in the state of its queue.
const MIN_WEIGHT: f64 = 0.05;

/// The number of different tasks that may fail without a success before a worker is suspended.
const FAILED_TASKS_TO_SUSPEND: usize = 2;

/// The number of failed jobs for which the first failing worker is remembered.
const MAX_BLAMED_JOBS: usize = 256;

/// The first and the longest time for which a worker is suspended.
const SUSPENSION: (time::Millis, time::Millis) = (time::Millis(3000), time::Millis(12_000));

/// The part of the fleet's median speed below which a worker is slow. It lies between the speeds of
/// machines of one fleet, which differ by a factor of two.
const SLOW_RATIO: f64 = 0.72;

/// The statistics of a queue's runs relative to their estimates.
#[derive(Clone, Copy, Debug)]
struct QueueStats {
    mean: f64,
    noise: f64,
    runs: u32,
}

/// The state of one worker.
#[derive(Clone, Debug)]
struct Worker {
    /// The logarithm of the speed.
    speed: f64,
    /// The variance of the logarithm of the speed.
    variance: f64,
    /// The tasks that have failed on the worker since its last success.
    failed_tasks: Vec<model::TaskKey>,
    /// The time until which the worker gets no tasks.
    suspended_until: time::Tick,
    /// The length of the next suspension.
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
    /// Updates the speed with evidence: its deviation from the expected value, and its variance.
    fn learn(&mut self, error: f64, noise: f64) {
        let variance = self.variance + VARIANCE_PER_RUN;
        let gain = variance / (variance + noise);
        self.speed += gain * error;
        self.variance = variance * (1.0 - gain);
    }
}

/// The state of all workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    workers: BTreeMap<u32, Worker>,
    queues: BTreeMap<String, QueueStats>,
    /// The worker on which a job failed first, for recently failed jobs.
    blamed: VecDeque<(ids::JobKey, u32)>,
}

impl Health {
    /// Learns from a run of a queue; `ratio` is its speed relative to its estimate.
    pub fn learn_speed(&mut self, host: u32, queue: &str, ratio: f64) {
        let log_ratio = ratio.clamp(0.01, 100.0).ln();
        let initial = QueueStats { mean: 0.0, noise: INITIAL_NOISE, runs: 0 };
        let stats = self.queues.entry(queue.to_owned()).or_insert(initial);
        let worker = self.workers.entry(host).or_default();
        let error = log_ratio - stats.mean - worker.speed;
        stats.runs += 1;
        let weight = (1.0 / f64::from(stats.runs)).max(MIN_WEIGHT);
        stats.mean += weight * (log_ratio - worker.speed - stats.mean);
        if stats.runs > 1 {
            stats.noise += weight * (error * error - stats.noise);
        }
        worker.learn(error, stats.noise.max(MIN_NOISE));
    }

    /// Learns from the members of a gang, whose speeds are relative to one estimate. An error of
    /// the estimate has no effect, since it is the same for all members.
    pub fn learn_gang_speeds(&mut self, ratios: &[(u32, f64)]) {
        let log_ratio: Vec<_> =
            ratios.iter().map(|(host, ratio)| (*host, ratio.clamp(0.01, 100.0).ln())).collect();
        let errors = log_ratio.iter().map(|(host, log_ratio)| {
            log_ratio - self.workers.get(host).map_or(0.0, |worker| worker.speed)
        });
        let mean_error = errors.sum::<f64>() / log_ratio.len().max(1) as f64;
        for (host, log_ratio) in log_ratio {
            let worker = self.workers.entry(host).or_default();
            worker.learn(log_ratio - mean_error - worker.speed, MIN_NOISE);
        }
    }

    /// Records that a task succeeded on a worker.
    pub fn record_success(&mut self, host: u32) {
        let worker = self.workers.entry(host).or_default();
        worker.failed_tasks.clear();
        worker.suspension = SUSPENSION.0;
    }

    /// Records that a task failed on a worker.
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
        if worker.failed_tasks.len() >= FAILED_TASKS_TO_SUSPEND {
            self.suspend(host, now);
        }
    }

    /// Suspends a worker for a while, longer each time until a task succeeds there.
    pub fn suspend(&mut self, host: u32, now: time::Tick) {
        let worker = self.workers.entry(host).or_default();
        worker.suspended_until = now + worker.suspension;
        worker.suspension = time::Millis(worker.suspension.0 * 2).min(SUSPENSION.1);
    }

    /// Returns whether the worker is not suspended.
    pub fn accepts_tasks(&self, host: u32, now: time::Tick) -> bool {
        self.workers.get(&host).is_none_or(|worker| worker.suspended_until <= now)
    }

    /// Returns whether a task has failed on the worker since its last success.
    pub fn is_suspect(&self, host: u32) -> bool {
        self.workers.get(&host).is_some_and(|worker| !worker.failed_tasks.is_empty())
    }

    /// Returns the relative speed of the worker; 1 if nothing is known.
    pub fn speed(&self, host: u32) -> f64 {
        self.workers.get(&host).map_or(1.0, |worker| worker.speed.exp())
    }

    /// Returns the speed below which a worker counts as slow.
    pub fn slow_threshold(&self) -> f64 {
        self.median_speed() * SLOW_RATIO
    }

    /// Returns the median speed of the fleet.
    fn median_speed(&self) -> f64 {
        let mut speeds: Vec<f64> = self.workers.values().map(|worker| worker.speed).collect();
        if speeds.is_empty() {
            return 1.0;
        }
        let median = speeds.len() / 2;
        speeds.select_nth_unstable_by(median, f64::total_cmp).1.exp()
    }
}
