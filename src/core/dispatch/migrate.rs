//! Stopping of runs that should restart elsewhere: runs that make no progress, and runs on draining
//! workers that exit before the runs can end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::leader;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::plan;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// The time before a worker exits at which its tasks with checkpoints are stopped: a stop takes 400
/// ms, and its report has to arrive.
const DRAIN_STOP_LEAD: time::Millis = time::Millis(900);

impl leader::Dispatch {
    /// Stops stalled runs, and runs that a draining worker cannot finish.
    pub(super) fn migrate(&mut self, registry: &registry::Registry, now: Timestamp) {
        let stalled = self.stalled_hosts(registry);
        for host in &stalled {
            self.health.suspend(*host, now.tick);
        }
        let mut pass = plan::Pass::default();
        let mut stopped = Vec::new();
        for (key, run) in &self.runs {
            let Some(job) = registry.jobs.get(&key.task.job) else { continue };
            let step = job.step(key.task.step);
            if run.state != runs::State::Running || step.long_running || step.best_effort {
                continue;
            }
            let stalled_run =
                stalled.contains(&run.incarnation.host) && self.is_stalled(registry, *key);
            let cut_short = self.is_cut_short(*key, run, now)
                && (run.checkpoints || self.fits_elsewhere(&mut pass, job, key, registry, now));
            if stalled_run || cut_short {
                stopped.push((
                    *key,
                    if stalled_run {
                        order::StopReason::Stalled
                    } else {
                        order::StopReason::Draining
                    },
                ));
            }
        }
        for (key, reason) in stopped {
            self.stop(registry, key, reason, now);
        }
    }

    /// Returns whether a run is stalled. A run that the registry no longer holds has ended with its
    /// gang.
    fn is_stalled(&self, registry: &registry::Registry, key: model::RunKey) -> bool {
        let task = registry.jobs.get(&key.task.job).and_then(|job| job.task(key.task));
        let is_placed = task.is_some_and(|task| matches!(task.state, job::TaskState::At(_)));
        is_placed && runs::is_stalled(&self.runs, key, &self.health)
    }

    /// Returns the hosts on which all runs are stalled.
    pub(super) fn stalled_hosts(&self, registry: &registry::Registry) -> BTreeSet<u32> {
        let mut stalled: BTreeMap<u32, bool> = BTreeMap::new();
        for (key, run) in self.runs.iter().filter(|(_, run)| run.state == runs::State::Running) {
            let all_stalled = stalled.entry(run.incarnation.host).or_insert(true);
            *all_stalled &= self.is_stalled(registry, *key);
        }
        stalled.into_iter().filter(|(_, stalled)| *stalled).map(|(host, _)| host).collect()
    }

    /// Returns whether a run's worker exits before the run can end, and the run has to be stopped
    /// now.
    fn is_cut_short(&self, key: model::RunKey, run: &runs::Run, now: Timestamp) -> bool {
        let worker = self.workers.get(&run.incarnation.host);
        let Some(deadline) = worker.and_then(|worker| worker.drain_deadline) else { return false };
        let left = deadline - now.tick;
        let remaining = runs::remaining(&self.runs, key, &self.health, now.tick);
        remaining > left && (!run.checkpoints || left <= DRAIN_STOP_LEAD)
    }

    /// Returns whether a task could run elsewhere immediately.
    pub(super) fn fits_elsewhere(
        &self,
        pass: &mut plan::Pass,
        job: &job::Job,
        key: &model::RunKey,
        registry: &registry::Registry,
        now: Timestamp,
    ) -> bool {
        let first_task = model::TaskKey { index: 0, ..key.task };
        let rank = queue::base_rank(job);
        let prospect = queue::Prospect::InTime;
        let waiting =
            queue::WaitingStep { rank, sort_prospect: prospect, due: 0, prospect, first_task };
        let demand = self.demand(pass, registry, job, &waiting, now);
        let need = Resources::of_step(demand.step);
        self.candidates(pass, demand, &waiting).iter().any(|candidate| candidate.free.covers(need))
    }
}
