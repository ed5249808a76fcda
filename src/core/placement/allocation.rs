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
    pub(super) fn grant(
        &mut self,
        key: ids::JobKey,
        place: fit::Place,
        hold: job_state::Hold,
        victims: BTreeSet<ids::JobKey>,
        out: &mut Vec<plan::Output>,
    ) {
        for victim in victims {
            self.stop(victim, out);
        }
        if let Some(work) = self.jobs.get(&key) {
            self.queue.remove(work);
            self.catalog.accounts[work.account].waiting -= 1;
        }
        self.take(key, place, hold);
        self.futures.retain(|future| future.job != key);
        let waits = self.blockers(key);
        for &victim in &waits {
            self.waits.entry(victim).or_default().push(key);
        }
        if waits.is_empty() {
            self.place(key, out);
        } else if let Some(work) = self.jobs.get_mut(&key) {
            work.stage = job_state::Stage::Promised(waits.len());
        }
    }

    /// Books a place for a job.
    pub(super) fn take(&mut self, key: ids::JobKey, place: fit::Place, hold: job_state::Hold) {
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.place = place;
        work.hold = hold;
        if let job_state::Hold::Claim(picks) = &work.hold {
            self.reserve.claim(picks, work.shape.accelerators);
        } else {
            self.catalog.accounts[work.account].borrowed += work.accelerators();
        }
        self.book(key, 1);
    }

    /// Takes the place of a job back, and places those who waited for it.
    pub(super) fn give_back(
        &mut self,
        now: time::Tick,
        key: ids::JobKey,
        out: &mut Vec<plan::Output>,
    ) {
        let Some(work) = self.jobs.get(&key) else { return };
        self.lent.remove(&work.lent_rank());
        if matches!(work.stage, job_state::Stage::Promised(_)) {
            for waiting in self.waits.values_mut() {
                waiting.retain(|waiting| *waiting != key);
            }
        }
        self.book(key, -1);
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.place.clear();
        work.stage = job_state::Stage::Waiting;
        if let job_state::Hold::Claim(picks) = std::mem::take(&mut work.hold) {
            self.reserve.unclaim(&mut self.fleet, &picks, work.shape.accelerators);
        } else {
            self.catalog.accounts[work.account].borrowed -= work.accelerators();
        }
        self.version += 1;
        self.pack(now);
        for waiting in self.waits.remove(&key).unwrap_or_default() {
            self.one_stopped(waiting, out);
        }
    }

    /// Puts the promised jobs of a worker back into the queue.
    pub(super) fn break_promises(&mut self, index: usize) {
        for key in self.fleet.workers[index].jobs.clone() {
            if !matches!(self.jobs[&key].stage, job_state::Stage::Promised(_)) {
                continue;
            }
            self.give_back(time::Tick(0), key, &mut Vec::new());
            let work = &self.jobs[&key];
            self.catalog.accounts[work.account].waiting += 1;
            self.queue.insert(work);
        }
    }

    /// Emits the order to prepare and release a job at its place.
    fn place(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.stage = job_state::Stage::Placed;
        if work.is_lent() {
            self.lent.insert(work.lent_rank());
        }
        let members = work
            .place
            .iter()
            .map(|&(worker, tasks)| {
                let worker = &self.fleet.workers[worker];
                job::Member { worker: worker.key, epoch: worker.epoch, tasks }
            })
            .collect();
        out.push(plan::Output::Place { job: key, members });
    }

    fn one_stopped(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get_mut(&key) else { return };
        let job_state::Stage::Promised(left) = work.stage else { return };
        work.stage = job_state::Stage::Promised(left - 1);
        if left == 1 {
            self.place(key, out);
        }
    }

    /// Takes the promise of a lent place back; the job waits again.
    fn revoke(&mut self, key: ids::JobKey) {
        for waiting in self.waits.values_mut() {
            waiting.retain(|waiting| *waiting != key);
        }
        self.book(key, -1);
        let Some(work) = self.jobs.get_mut(&key) else { return };
        work.place.clear();
        work.hold = job_state::Hold::Nothing;
        work.stage = job_state::Stage::Waiting;
        let account = &mut self.catalog.accounts[work.account];
        account.borrowed -= work.accelerators();
        account.waiting += 1;
        self.queue.insert(work);
        self.version += 1;
    }

    /// Stops a lent job for others. One that is not released yet is stopped when it is.
    fn stop(&mut self, key: ids::JobKey, out: &mut Vec<plan::Output>) {
        let Some(work) = self.jobs.get(&key) else { return };
        if !work.is_lent() {
            return;
        }
        if matches!(work.stage, job_state::Stage::Promised(_)) {
            self.revoke(key);
            return;
        }
        self.lent.remove(&work.lent_rank());
        self.book(key, -1);
        let Some(work) = self.jobs.get_mut(&key) else { return };
        let running = matches!(work.stage, job_state::Stage::Running(_));
        work.stage = job_state::Stage::Stopping(running);
        if running {
            let grace = self.catalog.kinds[work.kind].grace();
            out.push(plan::Output::Preempt { job: key, grace });
        }
        self.book(key, 1);
    }

    /// The jobs being stopped that hold a part of a promised place.
    fn blockers(&self, key: ids::JobKey) -> BTreeSet<ids::JobKey> {
        let stopping = |key: &ids::JobKey| {
            let stage = self.jobs.get(key).map(|work| work.stage);
            matches!(stage, Some(job_state::Stage::Stopping(_)))
        };
        let place = self.jobs.get(&key).map(|work| work.place.as_slice()).unwrap_or_default();
        place
            .iter()
            .filter(|&&(worker, _)| !self.fleet.room(worker, capacity::Room::Free).covered())
            .flat_map(|&(worker, _)| self.fleet.workers[worker].jobs.iter().copied())
            .filter(stopping)
            .collect()
    }

    /// Adds what a job takes to its workers' books, or subtracts it.
    fn book(&mut self, key: ids::JobKey, sign: i64) {
        let Some(work) = self.jobs.get(&key) else { return };
        let stopping = matches!(work.stage, job_state::Stage::Stopping(_));
        let pinned = work.hold == job_state::Hold::Pinned;
        let lent = work.hold == job_state::Hold::Lent;
        let idle = lent && !stopping && work.class == account::Class::Idle;
        for &(index, tasks) in &work.place {
            let amount = capacity::Amount::of(tasks, work.shape.accelerators).times(sign);
            self.fleet.change(index, |worker| {
                worker.held = worker.held.plus(amount);
                if pinned {
                    worker.pinned = worker.pinned.plus(amount);
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
