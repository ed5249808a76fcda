//! Allocating and releasing the placements of jobs, and the workers' usage totals.

use std::collections::BTreeSet;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::placement::capacity;
use crate::core::placement::fit;
use crate::core::placement::job_state;
use crate::core::placement::plan;
use crate::core::placement::planner::Planner;
use crate::core::time;

impl Planner {
    /// Allocates a placement to a waiting job. The job is placed once the victims and any other
    /// jobs that are being stopped there have ended.
    pub(super) fn allocate(
        &mut self,
        key: ids::JobKey,
        placement: fit::Placement,
        allocation: job_state::Allocation,
        victims: BTreeSet<ids::JobKey>,
        out: &mut Vec<plan::Output>,
    ) {
        for victim in victims {
            self.preempt(victim, out);
        }
        if let Some(job) = self.jobs.get(&key) {
            self.queue.remove(job);
            self.catalog.accounts[job.account].waiting -= 1;
        }
        self.assign(key, placement, allocation);
        self.reservations.retain(|reservation| reservation.job != key);
        let blockers = self.blockers(key);
        for &victim in &blockers {
            self.waiters.entry(victim).or_default().push(key);
        }
        if blockers.is_empty() {
            self.emit_place(key, out);
        } else if let Some(job) = self.jobs.get_mut(&key) {
            job.stage = job_state::Stage::AwaitingPreemption(blockers.len());
        }
    }

    /// Records a placement for a job and counts its usage.
    pub(super) fn assign(
        &mut self,
        key: ids::JobKey,
        placement: fit::Placement,
        allocation: job_state::Allocation,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.placement = placement;
        job.allocation = allocation;
        if let job_state::Allocation::Guaranteed(claims) = &job.allocation {
            self.guarantees.claim(claims, job.shape.accelerators);
        } else {
            self.catalog.accounts[job.account].borrowed += job.accelerators();
        }
        self.update_usage(key, 1);
    }

    /// Releases the placement of a job and places the jobs that were waiting for it to stop.
    pub(super) fn deallocate(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(job) = self.jobs.get(&key) else { return };
        self.preemptible.remove(&job.preemption_rank());
        if matches!(job.stage, job_state::Stage::AwaitingPreemption(_)) {
            for waiters in self.waiters.values_mut() {
                waiters.retain(|waiter| *waiter != key);
            }
        }
        self.update_usage(key, -1);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.placement.clear();
        job.stage = job_state::Stage::Waiting;
        if let job_state::Allocation::Guaranteed(claims) = std::mem::take(&mut job.allocation) {
            self.guarantees.unclaim(&mut self.fleet, &claims, job.shape.accelerators);
        } else {
            self.catalog.accounts[job.account].borrowed -= job.accelerators();
        }
        self.capacity_version += 1;
        self.pack(now);
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            self.preemption_done(waiter, out);
        }
    }

    /// Returns the jobs on a worker that are awaiting preemption to the queue.
    pub(super) fn requeue_awaiting(&mut self, index: usize) {
        for key in self.fleet.workers[index].jobs.clone() {
            if !matches!(self.jobs[&key].stage, job_state::Stage::AwaitingPreemption(_)) {
                continue;
            }
            self.deallocate(time::Tick(0), key, &mut Vec::new());
            let job = &self.jobs[&key];
            self.catalog.accounts[job.account].waiting += 1;
            self.queue.insert(job);
        }
    }

    /// Emits the decision to prepare and release a job at its placement.
    fn emit_place(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.stage = job_state::Stage::Placed;
        if job.is_preemptible() {
            self.preemptible.insert(job.preemption_rank());
        }
        let members = job
            .placement
            .iter()
            .map(|&(worker, tasks)| {
                let worker = &self.fleet.workers[worker];
                job::Member { worker: worker.key, epoch: worker.epoch, tasks }
            })
            .collect();
        out.push(plan::Output::Place { job: key, members });
    }

    fn preemption_done(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let job_state::Stage::AwaitingPreemption(left) = job.stage else { return };
        job.stage = job_state::Stage::AwaitingPreemption(left - 1);
        if left == 1 {
            self.emit_place(key, out);
        }
    }

    /// Revokes the allocation of a preemptible job that has not been placed; the job waits again.
    fn revoke_allocation(&mut self, key: ids::JobKey) {
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| *waiter != key);
        }
        self.update_usage(key, -1);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.placement.clear();
        job.allocation = job_state::Allocation::None;
        job.stage = job_state::Stage::Waiting;
        let account = &mut self.catalog.accounts[job.account];
        account.borrowed -= job.accelerators();
        account.waiting += 1;
        self.queue.insert(job);
        self.capacity_version += 1;
    }

    /// Preempts a job. A job that has been placed but not released is stopped on its release.
    fn preempt(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(job) = self.jobs.get(&key) else { return };
        if !job.is_preemptible() {
            return;
        }
        if matches!(job.stage, job_state::Stage::AwaitingPreemption(_)) {
            self.revoke_allocation(key);
            return;
        }
        self.preemptible.remove(&job.preemption_rank());
        self.update_usage(key, -1);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let running = matches!(job.stage, job_state::Stage::Running(_));
        job.stage = job_state::Stage::Stopping(running);
        if running {
            let grace = self.catalog.kinds[job.kind].grace();
            out.push(plan::Output::Preempt { job: key, grace });
        }
        self.update_usage(key, 1);
    }

    /// The jobs being stopped that occupy a part of the job's placement.
    fn blockers(&self, key: ids::JobKey) -> BTreeSet<ids::JobKey> {
        let stopping = |key: &ids::JobKey| {
            let stage = self.jobs.get(key).map(|job| job.stage);
            matches!(stage, Some(job_state::Stage::Stopping(_)))
        };
        let placement = self.jobs.get(&key).map(|job| job.placement.as_slice()).unwrap_or_default();
        placement
            .iter()
            .filter(|&&(worker, _)| {
                !self.fleet.available(worker, capacity::Availability::Free).is_non_negative()
            })
            .flat_map(|&(worker, _)| self.fleet.workers[worker].jobs.iter().copied())
            .filter(stopping)
            .collect()
    }

    /// Adds the job's usage to the totals of its workers (`sign` is 1) or subtracts it (-1).
    fn update_usage(&mut self, key: ids::JobKey, sign: i64) {
        let Some(job) = self.jobs.get(&key) else { return };
        let stopping = matches!(job.stage, job_state::Stage::Stopping(_));
        let nonpreemptible = job.allocation == job_state::Allocation::NonPreemptible;
        let preemptible = job.allocation == job_state::Allocation::Preemptible;
        let idle = preemptible && !stopping && job.class == account::Class::Idle;
        for &(index, tasks) in &job.placement {
            let amount = capacity::Amount::for_tasks(tasks, job.shape.accelerators).signed(sign);
            self.fleet.change(index, |worker| {
                worker.allocated = worker.allocated.plus(amount);
                if nonpreemptible {
                    worker.nonpreemptible = worker.nonpreemptible.plus(amount);
                }
                if idle {
                    worker.idle = worker.idle.plus(amount);
                }
                if stopping {
                    worker.stopping = worker.stopping.plus(amount);
                }
                match worker.jobs.iter().position(|other| *other == key) {
                    Some(position) if sign < 0 => {
                        worker.jobs.swap_remove(position);
                    }
                    None if sign > 0 => worker.jobs.push(key),
                    _ => {}
                }
            });
        }
    }
}
