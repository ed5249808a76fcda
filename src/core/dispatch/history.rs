//! Health of workers as derived from the log: run times, and reasons for the ends of runs.
//!
//! Every replica maintains it, so that a new leader knows slow and failing workers. After a restart
//! it is rebuilt from the entries of the log.

use std::collections::BTreeMap;

use crate::core::dispatch::health;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// The largest number of runs whose start is remembered.
const MAX_RUNS: usize = 65_536;

/// A run that was placed.
#[derive(Clone, Copy, Debug)]
struct Placed {
    host: u32,
    /// The time of the placement in the log.
    at: time::Wall,
    /// Whether the run does all the work of its task, rather than resuming from a checkpoint.
    from_start: bool,
}

/// The state derived from the log.
#[derive(Debug, Default)]
pub struct History {
    health: health::Health,
    placed: BTreeMap<model::RunKey, Placed>,
}

impl History {
    /// Returns the health of the workers.
    pub fn health(&self) -> &health::Health {
        &self.health
    }

    /// Handles an event of the registry; `at` is the time in the log.
    pub fn event(
        &mut self,
        registry: &registry::Registry,
        event: &command::Event,
        at: time::Wall,
        now: time::Tick,
    ) {
        match event {
            command::Event::Placed(key, incarnation) if self.placed.len() < MAX_RUNS => {
                let job = registry.jobs.get(&key.task.job);
                let task = job.and_then(|job| job.task(key.task));
                let from_start = task.is_some_and(|task| task.checkpoint.is_empty());
                self.placed.insert(*key, Placed { host: incarnation.host, at, from_start });
            }
            command::Event::Ended(key, reason) => {
                let Some(placed) = self.placed.remove(key) else { return };
                self.ended(registry, *key, *reason, placed, at, now);
            }
            _ => {}
        }
    }

    fn ended(
        &mut self,
        registry: &registry::Registry,
        key: model::RunKey,
        reason: model::EndReason,
        placed: Placed,
        at: time::Wall,
        now: time::Tick,
    ) {
        let Some(job) = registry.jobs.get(&key.task.job) else { return };
        let step = job.step(key.task.step);
        match reason {
            model::EndReason::Done => {
                self.health.record_success(placed.host);
                let took = (at - placed.at).0;
                if placed.from_start && !step.gang && took > 0 {
                    let ratio = f64::from(step.estimate.max(1)) / took as f64;
                    self.health.learn_speed(placed.host, &job.submission.queue, ratio);
                }
            }
            model::EndReason::Failed => self.health.record_failure(placed.host, key.task, now),
            _ => {}
        }
    }
}
