//! Restoring running jobs when a replica becomes leader.

use crate::core::account;
use crate::core::ledger::job;
use crate::core::placement::capacity;
use crate::core::placement::fit;
use crate::core::placement::guarantee;
use crate::core::placement::job_state;
use crate::core::placement::plan;
use crate::core::placement::planner::Planner;
use crate::core::shape;
use crate::core::time;

impl Planner {
    /// Restores a running job: as a claim on its account's guarantee if it matches one, else as a
    /// preemptible job if its kind permits that, else as a non-preemptible job.
    pub(super) fn restore(
        &mut self,
        now: time::Tick,
        queued: plan::Queued,
        members: &[job::Member],
        since: time::Tick,
    ) {
        if self.jobs.contains_key(&queued.job) {
            return;
        }
        let mut job = self.job_state(&queued);
        let placement: fit::Placement = members
            .iter()
            .filter_map(|member| Some((self.fleet.find(member.worker)?, member.tasks)))
            .collect();
        job.stage = job_state::Stage::Running(since);
        let preemptible = self.catalog.kinds[job.kind].preemptible();
        let allocation = match self.restore_claim(&job, &placement) {
            Some(claims) => job_state::Allocation::Guaranteed(claims),
            None if preemptible => job_state::Allocation::Preemptible,
            None => job_state::Allocation::NonPreemptible,
        };
        let key = job.key;
        if allocation == job_state::Allocation::Preemptible {
            job.allocation = job_state::Allocation::Preemptible;
            self.preemptible.insert(job.preemption_rank());
        }
        self.jobs.insert(key, job);
        self.assign(key, placement.clone(), allocation);
        for (worker, _) in placement {
            self.guarantees.worker_changed(&mut self.fleet, worker);
        }
        self.pack(now);
        self.capacity_version += 1;
    }

    /// Moves an unclaimed gang of the job's shape to the job's placement and returns the claims on
    /// it.
    fn restore_claim(
        &mut self,
        job: &job_state::JobState,
        placement: &fit::Placement,
    ) -> Option<Vec<guarantee::Claim>> {
        if job.class > account::Class::Scheduled {
            return None;
        }
        let unclaimed = |gang: &guarantee::Gang| {
            gang.claimants == 0 && !gang.retired && gang.shape == job.shape
        };
        let (key, _) = self.guarantees.of_account(job.account).find(|(_, gang)| unclaimed(gang))?;
        if !self.adjacent(placement, job.shape.adjacency) {
            return None;
        }
        self.guarantees.move_to(&mut self.fleet, key, placement);
        for &(worker, _) in placement {
            let overcommitted =
                !self.fleet.available(worker, capacity::Availability::Reservable).is_non_negative();
            let others =
                self.guarantees.unclaimed_on(worker).into_iter().filter(|other| *other != key);
            for other in others.collect::<Vec<_>>() {
                if overcommitted {
                    self.guarantees.move_to(&mut self.fleet, other, &Vec::new());
                }
            }
        }
        let claims = placement.iter().enumerate();
        Some(
            claims.map(|(part, &(_, tasks))| guarantee::Claim { gang: key, part, tasks }).collect(),
        )
    }

    fn adjacent(&self, placement: &fit::Placement, adjacency: shape::Adjacency) -> bool {
        let site = |index: usize| {
            let worker = &self.fleet.workers[index];
            match adjacency {
                shape::Adjacency::Cell => 0,
                shape::Adjacency::DataCenter => self.fleet.racks[worker.rack].center,
                shape::Adjacency::Rack => worker.rack,
                shape::Adjacency::Worker => index,
            }
        };
        let mut sites = placement.iter().map(|&(worker, _)| site(worker));
        let first = sites.next();
        sites.all(|other| Some(other) == first)
    }
}
