//! Taking running work over when a replica begins to lead.

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
    /// Takes a running job over: as a claim of its account's guarantee where it matches one, else
    /// as lent work, else as work that can't be stopped.
    pub(super) fn adopt(
        &mut self,
        now: time::Tick,
        queued: plan::Queued,
        members: &[job::Member],
        since: time::Tick,
    ) {
        if self.jobs.contains_key(&queued.job) {
            return;
        }
        let mut work = self.work(&queued);
        let place: fit::Place = members
            .iter()
            .filter_map(|member| Some((self.fleet.find(member.worker)?, member.tasks)))
            .collect();
        work.stage = job_state::Stage::Running(since);
        let stoppable = self.catalog.kinds[work.kind].stoppable();
        let hold = match self.adopted_claim(&work, &place) {
            Some(picks) => job_state::Hold::Claim(picks),
            None if stoppable => job_state::Hold::Lent,
            None => job_state::Hold::Pinned,
        };
        let key = work.key;
        if hold == job_state::Hold::Lent {
            work.hold = job_state::Hold::Lent;
            self.lent.insert(work.lent_rank());
        }
        self.jobs.insert(key, work);
        self.take(key, place.clone(), hold);
        for (worker, _) in place {
            self.reserve.worker_changed(&mut self.fleet, worker);
        }
        self.pack(now);
        self.version += 1;
    }

    /// Moves an unused unit of the same shape under the job.
    fn adopted_claim(
        &mut self,
        work: &job_state::Work,
        place: &fit::Place,
    ) -> Option<Vec<guarantee::Pick>> {
        if work.class > account::Class::Scheduled {
            return None;
        }
        let unused =
            |unit: &guarantee::Unit| unit.users == 0 && !unit.retired && unit.shape == work.shape;
        let (key, _) = self.reserve.of(work.account).find(|(_, unit)| unused(unit))?;
        if !self.adjacent(place, work.shape.adjacency) {
            return None;
        }
        self.reserve.move_to(&mut self.fleet, key, place);
        for &(worker, _) in place {
            let crowded = !self.fleet.room(worker, capacity::Room::Reservable).covered();
            let others = self.reserve.unused_on(worker).into_iter().filter(|other| *other != key);
            for other in others.collect::<Vec<_>>() {
                if crowded {
                    self.reserve.move_to(&mut self.fleet, other, &Vec::new());
                }
            }
        }
        let picks = place.iter().enumerate();
        Some(picks.map(|(cell, &(_, tasks))| guarantee::Pick { unit: key, cell, tasks }).collect())
    }

    fn adjacent(&self, place: &fit::Place, adjacency: shape::Adjacency) -> bool {
        let site = |index: usize| {
            let worker = &self.fleet.workers[index];
            match adjacency {
                shape::Adjacency::Cell => 0,
                shape::Adjacency::DataCenter => self.fleet.racks[worker.rack].center,
                shape::Adjacency::Rack => worker.rack,
                shape::Adjacency::Worker => index,
            }
        };
        let mut sites = place.iter().map(|&(worker, _)| site(worker));
        let first = sites.next();
        sites.all(|other| Some(other) == first)
    }
}
