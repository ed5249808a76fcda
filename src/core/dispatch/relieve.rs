//! Stopping what would get on better elsewhere.
//!
//! Answers workers on which tasks stand still, and workers that leave before their tasks can end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::lead;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::order::Room;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// How long before a worker leaves its tasks with checkpoints are stopped: a stop takes 400 ms, and
/// its report has to arrive.
const LAST_STOP: time::Millis = time::Millis(900);

impl lead::Dispatch {
    /// Stops what would get on better elsewhere: runs that stand still, and those that a leaving
    /// worker can't end.
    pub(super) fn relieve(&mut self, registry: &registry::Registry, now: Moment) {
        let still = self.still_hosts(registry);
        for host in &still {
            self.health.pause(*host, now.tick);
        }
        let mut moved = Vec::new();
        for (key, run) in &self.runs {
            let Some(job) = registry.jobs.get(&key.task.job) else { continue };
            let step = job.step(key.task.step);
            if run.state != runs::State::Running || step.long_running || step.best_effort {
                continue;
            }
            let stuck = still.contains(&run.incarnation.host) && self.is_still(registry, *key);
            let doomed = self.is_doomed(*key, run, now)
                && (run.saves || self.fits_elsewhere(job, key, registry, now));
            if stuck || doomed {
                moved.push((*key, if stuck { order::Why::Still } else { order::Why::Leaving }));
            }
        }
        for (key, why) in moved {
            self.stop(registry, key, why, now);
        }
    }

    /// Whether a run stands still. One that the registry no longer holds has ended with its gang.
    fn is_still(&self, registry: &registry::Registry, key: model::RunKey) -> bool {
        let task = registry.jobs.get(&key.task.job).and_then(|job| job.task(key.task));
        let is_placed = task.is_some_and(|task| matches!(task.state, job::TaskState::At(_)));
        is_placed && runs::is_still(&self.runs, key, &self.health)
    }

    /// The hosts on which everything stands still.
    pub(super) fn still_hosts(&self, registry: &registry::Registry) -> BTreeSet<u32> {
        let mut still: BTreeMap<u32, bool> = BTreeMap::new();
        for (key, run) in self.runs.iter().filter(|(_, run)| run.state == runs::State::Running) {
            let so_far = still.entry(run.incarnation.host).or_insert(true);
            *so_far &= self.is_still(registry, *key);
        }
        still.into_iter().filter(|(_, still)| *still).map(|(host, _)| host).collect()
    }

    /// Whether a run's worker leaves before the run can end, and it is time to stop it.
    fn is_doomed(&self, key: model::RunKey, run: &runs::Run, now: Moment) -> bool {
        let worker = self.workers.get(&run.incarnation.host);
        let Some(stays) = worker.and_then(|worker| worker.stays) else { return false };
        let left = stays - now.tick;
        let remaining = runs::remaining(&self.runs, key, &self.health, now.tick);
        remaining > left && (!run.saves || left <= LAST_STOP)
    }

    /// Whether a task could run elsewhere at once.
    pub(super) fn fits_elsewhere(
        &self,
        job: &job::Job,
        key: &model::RunKey,
        registry: &registry::Registry,
        now: Moment,
    ) -> bool {
        let first = model::TaskKey { index: 0, ..key.task };
        let rank = queue::plain_rank(job);
        let prospect = queue::Prospect::InTime;
        let waiting = queue::Waiting { rank, turn: prospect, due: 0, prospect, first };
        let ask = self.ask(registry, job, &waiting, now);
        let need = Room::of(ask.step);
        self.sites(ask, &waiting, now).iter().any(|site| site.free.holds(need))
    }
}
