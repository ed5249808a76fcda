//! One pass over the queue, and the decision on one job.
//!
//! A job tries, in this order: its account's guarantee where that capacity is free, capacity that
//! no guarantee reserves, reserved capacity if the job is preemptible, capacity from which
//! unclaimed gangs can be moved away if it is not, its guarantee with other jobs preempted, and
//! last the placements of jobs that yield to its class.

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

/// How long a deferred job waits before it counts as scheduled.
const AGEING_TIME: time::Millis = time::Millis::from_secs(600);

/// How long deferred jobs may be passed over for jobs with earlier deadlines.
pub(super) const MAX_DEFERRAL: time::Millis = time::Millis::from_secs(1200);

/// How long a non-preemptible job of class deferred or idle waits before it may claim its account's
/// guarantee.
const MIN_CLAIM_AGE: time::Millis = time::Millis::from_secs(60);

/// Percentage of its share from which an account counts as exceeding it.
const SHARE_LIMIT_PERCENT: i128 = 125;

/// The order in which groups are tried: class, whether the account exceeds its share, latest start,
/// and index of the group.
type Rank = (account::Class, bool, time::Tick, usize);

impl Planner {
    /// Tries the waiting jobs of these groups, in the order of [`Rank`].
    pub(super) fn try_groups(
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
                self.queue.block(group, self.capacity_version);
                self.plan_reservation(now, key);
            }
        }
    }

    fn rank(&self, now: time::Tick, group: usize) -> Option<Rank> {
        let state = self.queue.group(group);
        let job = self.jobs.get(&state.head()?)?;
        let class = effective_class(now, job);
        let exceeds_share = class != account::Class::Scheduled && self.exceeds_share(state.account);
        Some((class, exceeds_share, self.latest_start(job), group))
    }

    /// The latest time at which the job can start and still meet its deadline. For a deferred job
    /// it is at most a fixed time after its submission, so that jobs with late deadlines don't
    /// starve.
    fn latest_start(&self, job: &job_state::JobState) -> time::Tick {
        let run_times = &self.catalog.kinds[job.kind].run_times;
        let run_time = run_times.quantile(super::estimate::MEDIAN_PERCENT, job.run_time, 100);
        let latest = time::Tick(job.deadline.0.saturating_sub(run_time.0));
        match job.class {
            account::Class::Deferred => latest.min(job.submitted + MAX_DEFERRAL),
            _ => latest,
        }
    }

    /// Whether an account borrows more than its weight entitles it to.
    fn exceeds_share(&self, account: usize) -> bool {
        let state = &self.catalog.accounts[account];
        if state.borrowed <= 0 {
            return false;
        }
        let total_borrowed: i64 =
            self.catalog.accounts.iter().map(|account| account.borrowed).sum();
        let weight = i128::from(state.weight.max(1)) * SHARE_LIMIT_PERCENT;
        i128::from(state.borrowed) * i128::from(self.catalog.active_weight()) * 100
            > i128::from(total_borrowed) * weight
    }

    /// Allocates a placement to the job or refuses it. Returns whether either happened.
    fn decide(&mut self, now: time::Tick, key: ids::JobKey, out: &mut Vec<plan::Output>) -> bool {
        let Some(job) = self.jobs.get(&key).cloned() else { return true };
        let may_claim = self.may_claim(now, &job);
        let preemptible = self.catalog.kinds[job.kind].preemptible();
        may_claim && self.claim_exact(now, &job, out)
            || preemptible && self.place_probe(now, &job, out)
            || self.place_spare(now, &job, preemptible, out)
            || may_claim && self.claim_partial(&job, out)
            || preemptible && self.place_borrowed(now, &job, out)
            || !preemptible && self.move_guarantees(now, &job, out)
            || may_claim && self.reclaim(now, &job, out)
            || self.preempt_others(now, &job, preemptible, out)
            || self.refuse(now, &job, out)
    }

    fn may_claim(&self, now: time::Tick, job: &job_state::JobState) -> bool {
        match job.class {
            account::Class::Urgent | account::Class::Scheduled => true,
            account::Class::Deferred | account::Class::Idle => {
                let preemptible = self.catalog.kinds[job.kind].preemptible();
                !preemptible && now - job.submitted >= MIN_CLAIM_AGE
            }
        }
    }

    /// Searches for a placement. Workers reserved for other jobs, where the job may use them at
    /// all, and workers on which it failed are used only if no others suffice.
    pub(super) fn find_placement(
        &self,
        now: time::Tick,
        job: &job_state::JobState,
        availability: capacity::Availability,
    ) -> Option<fit::Placement> {
        let reserved = |worker: usize| {
            let others = self.reservations.iter().filter(|reservation| reservation.job != job.key);
            others.into_iter().any(|reservation| reservation.includes(worker))
        };
        let failed = |worker: usize| self.health.failed_on_worker(job.key, worker);
        let conflicting = self.conflicting_reservations(now, job);
        let blocked =
            |worker: usize| conflicting.iter().any(|reservation| reservation.includes(worker));
        let find = |excluded: &dyn Fn(usize) -> bool| {
            let query = self.query(job, availability, excluded);
            fit::find(&self.fleet, &query)
        };
        let skip_reserved = |worker: usize| reserved(worker) || failed(worker);
        let skip_conflicting = |worker: usize| blocked(worker) || failed(worker);
        let mut found = find(&skip_reserved);
        if found.is_none() && !self.reservations.is_empty() {
            found = find(&skip_conflicting);
        }
        if found.is_none() && self.health.has_failed(job.key) {
            found = find(&blocked);
        }
        found
    }

    fn query<'a>(
        &self,
        job: &job_state::JobState,
        availability: capacity::Availability,
        excluded: &'a dyn Fn(usize) -> bool,
    ) -> fit::Query<'a> {
        fit::Query {
            service: Some(job.service),
            shape: job.shape,
            availability,
            slow_first: job.class == account::Class::Idle,
            reserve_slots: false,
            excluded,
        }
    }

    /// Claims a gang of the job's exact shape whose capacity is free or that can be moved to free
    /// capacity.
    fn claim_exact(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let exact = |gang: &guarantee::Gang| gang.shape == job.shape && gang.claimants == 0;
        let gangs: Vec<_> = self
            .guarantees
            .of_account(job.account)
            .filter(|(_, gang)| exact(gang) && !gang.retired)
            .map(|(key, _)| key)
            .collect();
        let Some(&first) = gangs.first() else { return false };
        for gang in gangs {
            if self.claim_gang(job, gang, out) {
                return true;
            }
        }
        let Some(placement) = self.find_placement(now, job, capacity::Availability::Spare) else {
            return false;
        };
        self.guarantees.move_to(&mut self.fleet, first, &placement);
        self.capacity_version += 1;
        self.claim_gang(job, first, out)
    }

    /// Claims gangs of other shapes whose free capacity fits the job.
    fn claim_partial(&mut self, job: &job_state::JobState, out: &mut Vec<plan::Output>) -> bool {
        let mut gangs: Vec<_> = self
            .guarantees
            .of_account(job.account)
            .map(|(key, gang)| (gang.shape.total(), key))
            .collect();
        gangs.sort_unstable();
        if gangs.into_iter().any(|(_, gang)| self.claim_gang(job, gang, out)) {
            return true;
        }
        let claims =
            self.guarantees.claims_across(&self.fleet, job.account, job.service, job.shape);
        claims.is_some_and(|claims| self.use_claims(job, claims, out))
    }

    fn claim_gang(
        &mut self,
        job: &job_state::JobState,
        gang: guarantee::GangKey,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let claims = self.guarantees.claims(&self.fleet, gang, job.service, job.shape);
        claims.is_some_and(|claims| self.use_claims(job, claims, out))
    }

    fn use_claims(
        &mut self,
        job: &job_state::JobState,
        claims: Vec<guarantee::Claim>,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let placement = self.guarantees.placement(&claims);
        let free = placement.iter().all(|&(worker, tasks)| {
            let available = self.fleet.available(worker, capacity::Availability::Free);
            available.max_tasks(job.shape.accelerators) >= tasks
        });
        if free {
            self.allocate(
                job.key,
                placement,
                job_state::Allocation::Guaranteed(claims),
                BTreeSet::new(),
                out,
            );
        }
        free
    }

    /// Places a repeatable job as a probe on an excluded worker that is due for one.
    fn place_probe(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if job.shape.tasks > 1 || !self.catalog.kinds[job.kind].repeatable {
            return false;
        }
        let urgent = job.class == account::Class::Urgent;
        let fits = |worker: &usize| {
            let state = &self.fleet.workers[*worker];
            let available = self.fleet.available(*worker, capacity::Availability::Free);
            state.alive
                && state.schedulable
                && self.fleet.offers(*worker, Some(job.service))
                && available.max_tasks(job.shape.accelerators) > 0
        };
        let Some(worker) = self.health.due_probes(now, urgent).find(fits) else { return false };
        self.health.probe_started(worker, job.key);
        self.allocate(
            job.key,
            vec![(worker, 1)],
            job_state::Allocation::Preemptible,
            BTreeSet::new(),
            out,
        );
        true
    }

    /// Places the job on capacity that is neither allocated nor reserved for a guarantee.
    fn place_spare(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        preemptible: bool,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(placement) = self.find_placement(now, job, capacity::Availability::Spare) else {
            return false;
        };
        let allocation = if preemptible {
            job_state::Allocation::Preemptible
        } else {
            job_state::Allocation::NonPreemptible
        };
        self.allocate(job.key, placement, allocation, BTreeSet::new(), out);
        true
    }

    /// Places a preemptible job on free capacity, reserved or not.
    fn place_borrowed(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(placement) = self.find_placement(now, job, capacity::Availability::Free) else {
            return false;
        };
        self.allocate(job.key, placement, job_state::Allocation::Preemptible, BTreeSet::new(), out);
        true
    }

    /// Places a non-preemptible job on free capacity after moving unclaimed gangs away from it.
    fn move_guarantees(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        let Some(placement) = self.find_placement(now, job, capacity::Availability::Free) else {
            return false;
        };
        let moved = self.guarantees.move_away(&mut self.fleet, &placement, job.shape.accelerators);
        if moved {
            self.allocate(
                job.key,
                placement,
                job_state::Allocation::NonPreemptible,
                BTreeSet::new(),
                out,
            );
        }
        moved
    }

    fn refuse(
        &mut self,
        now: time::Tick,
        job: &job_state::JobState,
        out: &mut Vec<plan::Output>,
    ) -> bool {
        if !self.is_settled(now) || self.could_ever_fit(job) {
            return false;
        }
        self.queue.remove(job);
        self.catalog.accounts[job.account].waiting -= 1;
        self.jobs.remove(&job.key);
        self.health.forget_job(job.key);
        let detail = format!("no set of known workers could hold {}", job.shape);
        let refusal = verdict::Refusal::not_run(verdict::Reason::Unplaceable, detail);
        out.push(plan::Output::Refuse { job: job.key, refusal });
        true
    }

    fn could_ever_fit(&self, job: &job_state::JobState) -> bool {
        let query = fit::Query {
            service: Some(job.service),
            shape: job.shape,
            availability: capacity::Availability::Free,
            slow_first: false,
            reserve_slots: false,
            excluded: &|_| false,
        };
        fit::find(&self.empty_fleet, &query).is_some()
    }

    /// The scheduling order of two jobs.
    pub(super) fn comes_before(
        &self,
        a: &job_state::JobState,
        b: &job_state::JobState,
    ) -> cmp::Ordering {
        (a.class, self.latest_start(a), a.key).cmp(&(b.class, self.latest_start(b), b.key))
    }
}

/// The class that a job counts as: a deferred job counts as scheduled once it has waited long
/// enough.
pub(super) fn effective_class(now: time::Tick, job: &job_state::JobState) -> account::Class {
    let aged = job.class == account::Class::Deferred && now - job.submitted >= AGEING_TIME;
    if aged { account::Class::Scheduled } else { job.class }
}
