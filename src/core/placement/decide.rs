//! One pass over the queue, and the decision on one job.
//!
//! A job is tried in this order: its account's guarantee where nothing stands in the way, room
//! that no guarantee reserves, reserved room if it can be stopped again, room that unused
//! guarantees can be moved out of, its guarantee with others stopped, and last the places of work
//! that yields to its class.

use std::cmp;
use std::collections::BTreeSet;

use crate::core::account;
use crate::core::ids;
use crate::core::placement::capacity;
use crate::core::placement::fit;
use crate::core::placement::guarantee;
use crate::core::placement::job_state;
use crate::core::placement::plan;
use crate::core::placement::planner::Planner;
use crate::core::time;
use crate::core::verdict;

/// How long deferred work waits before it counts as scheduled.
const AGEING: time::Millis = time::Millis::from_secs(600);

/// How long deferred work is passed by for earlier deadlines.
pub(super) const PATIENCE: time::Millis = time::Millis::from_secs(1200);

/// How long work that can't be stopped, of the classes that may wait, does so before it may use
/// its account's guarantee.
const CLAIM_AGE: time::Millis = time::Millis::from_secs(60);

/// An account is over its share when it borrows this much of it, in percent.
const OVER_SHARE: i128 = 125;

/// The order in which groups are tried.
type Rank = (account::Class, bool, time::Tick, usize);

impl Planner {
    /// Tries the waiting jobs of these groups, in the order of the queue.
    pub(super) fn pass(
        &mut self,
        now: time::Tick,
        groups: impl IntoIterator<Item = usize>,
        out: &mut Vec<plan::Output>,
    ) {
        let mut ranks: BTreeSet<_> =
            groups.into_iter().filter_map(|group| self.rank(now, group)).collect();
        while let Some((class, _, _, group)) = ranks.pop_first() {
            if class == account::Class::Idle && self.queue.pending() > 0 {
                return;
            }
            let Some(key) = self.queue.group(group).head() else { continue };
            if self.decide(now, key, out) {
                ranks.extend(self.rank(now, group));
            } else {
                self.queue.block(group, self.version);
                self.plan_future(now, key);
            }
        }
    }

    fn rank(&self, now: time::Tick, group: usize) -> Option<Rank> {
        let state = self.queue.group(group);
        let work = self.jobs.get(&state.head()?)?;
        let class = effective_class(now, work);
        let over = class != account::Class::Scheduled && self.over_share(state.account);
        Some((class, over, self.latest_start(work), group))
    }

    /// The last moment at which the job can start and still meet its deadline; for deferred work
    /// at most a fixed time after its submission, so that late deadlines don't starve it.
    fn latest_start(&self, work: &job_state::Work) -> time::Tick {
        let runs = &self.catalog.kinds[work.kind].runs;
        let span = runs.quantile(super::estimate::USUAL, work.declared, 100);
        let latest = time::Tick(work.deadline.0.saturating_sub(span.0));
        match work.class {
            account::Class::Deferred => latest.min(work.submitted + PATIENCE),
            _ => latest,
        }
    }

    /// Whether an account borrows more than its weight entitles it to.
    fn over_share(&self, account: usize) -> bool {
        let state = &self.catalog.accounts[account];
        if state.borrowed <= 0 {
            return false;
        }
        let all: i64 = self.catalog.accounts.iter().map(|account| account.borrowed).sum();
        let weight = i128::from(state.weight.max(1)) * OVER_SHARE;
        i128::from(state.borrowed) * i128::from(self.catalog.active_weight()) * 100
            > i128::from(all) * weight
    }

    /// Gives the job a place, a promise or a refusal; returns whether it did.
    fn decide(&mut self, now: time::Tick, key: ids::JobKey, out: &mut Vec<plan::Output>) -> bool {
        let Some(work) = self.jobs.get(&key).cloned() else { return true };
        let claims = self.may_claim(now, &work);
        let stoppable = self.catalog.kinds[work.kind].stoppable();
        claims && self.claim_exact(now, &work, out)
            || stoppable && self.probe(now, &work, out)
            || self.spare(now, &work, stoppable, out)
            || claims && self.claim_part(&work, out)
            || stoppable && self.borrow(now, &work, out)
            || !stoppable && self.make_room(now, &work, out)
            || claims && self.reclaim(now, &work, out)
            || self.displace(now, &work, stoppable, out)
            || self.refuse(now, &work, out)
    }

    fn may_claim(&self, now: time::Tick, work: &job_state::Work) -> bool {
        match work.class {
            account::Class::Urgent | account::Class::Scheduled => true,
            account::Class::Deferred | account::Class::Idle => {
                let stoppable = self.catalog.kinds[work.kind].stoppable();
                !stoppable && now - work.submitted >= CLAIM_AGE
            }
        }
    }

    /// Searches for a place. Places kept for others come last where the job may use them at all,
    /// and so do workers on which it failed.
    pub(super) fn search(
        &self,
        now: time::Tick,
        work: &job_state::Work,
        room: capacity::Room,
    ) -> Option<fit::Place> {
        let kept = |worker: usize| {
            let others = self.futures.iter().filter(|future| future.job != work.key);
            others.into_iter().any(|future| future.holds(worker))
        };
        let failed = |worker: usize| self.health.failed_there(work.key, worker);
        let against = self.futures_against(now, work);
        let barred = |worker: usize| against.iter().any(|future| future.holds(worker));
        let find = |skip: &dyn Fn(usize) -> bool| {
            let ask = self.ask(work, room, skip);
            fit::find(&self.fleet, &ask)
        };
        let polite = |worker: usize| kept(worker) || failed(worker);
        let usual = |worker: usize| barred(worker) || failed(worker);
        let mut found = find(&polite);
        if found.is_none() && !self.futures.is_empty() {
            found = find(&usual);
        }
        if found.is_none() && self.health.has_failed(work.key) {
            found = find(&barred);
        }
        found
    }

    fn ask<'a>(
        &self,
        work: &job_state::Work,
        room: capacity::Room,
        skip: &'a dyn Fn(usize) -> bool,
    ) -> fit::Ask<'a> {
        fit::Ask {
            service: Some(work.service),
            shape: work.shape,
            room,
            slow_first: work.class == account::Class::Idle,
            thrifty: false,
            skip,
        }
    }

    /// A unit of just this shape, where nothing stands in the way or it can move to free room.
    fn claim_exact(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let exact = |unit: &guarantee::Unit| unit.shape == work.shape && unit.users == 0;
        let units: Vec<_> = self
            .reserve
            .of(work.account)
            .filter(|(_, unit)| exact(unit) && !unit.retired)
            .map(|(key, _)| key)
            .collect();
        let Some(&first) = units.first() else { return false };
        for unit in units {
            if self.claim_unit(work, unit, out) {
                return true;
            }
        }
        let Some(place) = self.search(now, work, capacity::Room::Spare) else { return false };
        self.reserve.move_to(&mut self.fleet, first, &place);
        self.version += 1;
        self.claim_unit(work, first, out)
    }

    /// Units of other shapes that have room for the job, where nothing stands in the way.
    fn claim_part(&mut self, work: &job_state::Work, out: &mut Vec<plan::Output>) -> bool {
        let mut units: Vec<_> =
            self.reserve.of(work.account).map(|(key, unit)| (unit.shape.total(), key)).collect();
        units.sort_unstable();
        if units.into_iter().any(|(_, unit)| self.claim_unit(work, unit, out)) {
            return true;
        }
        let picks = self.reserve.picks_across(&self.fleet, work.account, work.service, work.shape);
        picks.is_some_and(|picks| self.claim_picks(work, picks, out))
    }

    fn claim_unit(
        &mut self,
        work: &job_state::Work,
        unit: guarantee::UnitKey,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let picks = self.reserve.picks(&self.fleet, unit, work.service, work.shape);
        picks.is_some_and(|picks| self.claim_picks(work, picks, out))
    }

    fn claim_picks(
        &mut self,
        work: &job_state::Work,
        picks: Vec<guarantee::Pick>,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let place = self.reserve.place(&picks);
        let free = place.iter().all(|&(worker, tasks)| {
            let room = self.fleet.room(worker, capacity::Room::Free);
            room.tasks(work.shape.accelerators) >= tasks
        });
        if free {
            self.grant(work.key, place, job_state::Hold::Claim(picks), BTreeSet::new(), out);
        }
        free
    }

    /// Repeatable work probes an excluded worker that is due.
    fn probe(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if work.shape.tasks > 1 || !self.catalog.kinds[work.kind].repeatable {
            return false;
        }
        let urgent = work.class == account::Class::Urgent;
        let fits = |worker: &usize| {
            let state = &self.fleet.workers[*worker];
            let room = self.fleet.room(*worker, capacity::Room::Free);
            state.alive
                && state.schedulable
                && self.fleet.offers(*worker, Some(work.service))
                && room.tasks(work.shape.accelerators) > 0
        };
        let Some(worker) = self.health.probes(now, urgent).find(fits) else { return false };
        self.health.probing(worker, work.key);
        self.grant(work.key, vec![(worker, 1)], job_state::Hold::Lent, BTreeSet::new(), out);
        true
    }

    /// Room that nothing holds and no guarantee reserves.
    fn spare(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        stoppable: bool,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(place) = self.search(now, work, capacity::Room::Spare) else { return false };
        let hold = if stoppable { job_state::Hold::Lent } else { job_state::Hold::Pinned };
        self.grant(work.key, place, hold, BTreeSet::new(), out);
        true
    }

    /// Free room, reserved or not, for work that can be stopped.
    fn borrow(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(place) = self.search(now, work, capacity::Room::Free) else { return false };
        self.grant(work.key, place, job_state::Hold::Lent, BTreeSet::new(), out);
        true
    }

    /// Free room that unused guarantees can be moved out of, for work that can't be stopped.
    fn make_room(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(place) = self.search(now, work, capacity::Room::Free) else { return false };
        let cleared = self.reserve.clear_way(&mut self.fleet, &place, work.shape.accelerators);
        if cleared {
            self.grant(work.key, place, job_state::Hold::Pinned, BTreeSet::new(), out);
        }
        cleared
    }

    fn refuse(
        &mut self,
        now: time::Tick,
        work: &job_state::Work,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if !self.settled(now) || self.could_ever_fit(work) {
            return false;
        }
        self.queue.remove(work);
        self.catalog.accounts[work.account].waiting -= 1;
        self.jobs.remove(&work.key);
        self.health.forget(work.key);
        let detail = format!("no set of known workers could hold {}", work.shape);
        let refusal = verdict::Refusal::not_run(verdict::Reason::Unplaceable, detail);
        out.push(plan::Output::Refuse { job: work.key, refusal });
        true
    }

    fn could_ever_fit(&self, work: &job_state::Work) -> bool {
        let ask = fit::Ask {
            service: Some(work.service),
            shape: work.shape,
            room: capacity::Room::Free,
            slow_first: false,
            thrifty: false,
            skip: &|_| false,
        };
        fit::find(&self.empty, &ask).is_some()
    }

    /// The order in which two jobs stand to each other.
    pub(super) fn comes_before(&self, a: &job_state::Work, b: &job_state::Work) -> cmp::Ordering {
        (a.class, self.latest_start(a), a.key).cmp(&(b.class, self.latest_start(b), b.key))
    }
}

/// The class that a job counts as: deferred work counts as scheduled once it has waited long.
pub(super) fn effective_class(now: time::Tick, work: &job_state::Work) -> account::Class {
    let aged = work.class == account::Class::Deferred && now - work.submitted >= AGEING;
    if aged { account::Class::Scheduled } else { work.class }
}
