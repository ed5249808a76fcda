//! Giving places out and taking them back: the books of what each job holds.

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
    /// Gives a place to a waiting job, once the victims and whatever else is being stopped there
    /// have stopped.
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

    /// Books a place for a job.
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

    /// Takes the place of a job back, and places those who waited for it.
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
        self.version += 1;
        self.pack(now);
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            self.preemption_done(waiter, out);
        }
    }

    /// Puts the promised jobs of a worker back into the queue.
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

    /// Emits the order to prepare and release a job at its place.
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

    /// Takes the promise of a lent place back; the job waits again.
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
        self.version += 1;
    }

    /// Stops a lent job for others. One that is not released yet is stopped when it is.
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

    /// The jobs being stopped that hold a part of a promised place.
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

    /// Adds what a job takes to its workers' books, or subtracts it.
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
