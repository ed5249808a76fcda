//! Choice of runs to preempt for urgent steps.
//!
//! When an urgent job finds the fleet full of lower-ranked work, each of its tasks takes the worker
//! where the least unsaved work has to be stopped; a gang that is slower across racks takes the
//! cheapest rack. A run that ends within the time that a stop takes is not stopped. Stopping one
//! member of a gang stops all of it, and the resources of the other members are used as well.
//! Long-running tasks are never stopped for others. Where stopping costs too much, resources are
//! reserved as they become free, so that small tasks that fill every gap don't starve large ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::queue;
use crate::core::dispatch::ranks;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::model;

/// The most work that stopping a task with checkpoints loses, including its restore.
const MAX_CHECKPOINT_LOSS: time::Millis = time::Millis(700);

/// The remaining time up to which a run is awaited instead of stopped, since a stop takes as long.
const ENDS_SOON: time::Millis = time::Millis(350);

/// The additional cost of a slow or suspect worker, in the unit of [`loss`]: the loss of one second
/// on all its accelerators.
const UNRELIABLE_COST: u64 = 64_000;

/// The most work that may be lost for urgent work beyond a guarantee, in percent of that work: of a
/// task, or of a whole gang.
const MAX_LOSS_PERCENT: u64 = 100;

/// Runs to stop, and the resources to reserve then.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The runs to stop.
    pub victims: BTreeSet<model::RunKey>,
    /// The resources reserved for the step, by host.
    pub reserved: fit::Reserved,
    /// Whether the resources become available only after some run has ended.
    pub deferred: bool,
    /// The lost work.
    cost: u64,
}

/// The inputs of the choice other than the candidates.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The runs that may be active.
    pub runs: &'a runs::Runs,
    /// The speed and reliability of workers.
    pub health: &'a health::Health,
    /// The current ranks of jobs. Those at the placement of their runs may no longer hold, as
    /// guarantees change and other jobs of an account end.
    pub ranks: &'a ranks::Ranks,
    /// The rank of the step; only runs of higher numbers are stopped.
    pub rank: u32,
    /// The current time.
    pub now: order::Timestamp,
}

/// The way in which resources become free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Method {
    /// Runs of lower priority are stopped.
    Stop,
    /// Runs end by themselves.
    Wait,
}

/// Plans resources for tasks of a step: for all `count` tasks of a gang, otherwise for as many as
/// are worth their cost. Returns `None` if there are none. `victims` are those of the same method
/// and rank.
pub fn plan(
    candidates: &[fit::Candidate],
    victims: &Victims,
    context: Context<'_>,
    demand: fit::Demand<'_>,
    count: usize,
    method: Method,
) -> Option<Plan> {
    let candidates = fit::local_candidates(candidates, demand);
    let candidate_sets = fit::candidate_sets(&candidates, demand, count);
    let plans = candidate_sets
        .iter()
        .filter_map(|set| plan_within(set, victims, context, demand, count, method));
    let mut plan = plans.min_by_key(|plan| plan.cost)?;
    plan.deferred = method == Method::Wait || !plan.victims.is_empty();
    let ends_soon = |key: &model::RunKey| {
        let running = context.runs.get(key).is_some_and(|run| run.state == runs::State::Running);
        running
            && runs::remaining(context.runs, *key, context.health, context.now.tick) <= ENDS_SOON
    };
    plan.victims.retain(|key| method == Method::Stop && !ends_soon(key));
    Some(plan)
}

fn plan_within(
    candidates: &[fit::Candidate],
    victims: &Victims,
    context: Context<'_>,
    demand: fit::Demand<'_>,
    count: usize,
    method: Method,
) -> Option<Plan> {
    let need = Resources::of_step(demand.step);
    if demand.step.gang && fit::places(candidates, need) < count {
        return None;
    }
    let mut simulation = Simulation::new(candidates, victims, context.runs, need);
    let own_work = work(need, u64::from(demand.step.estimate));
    let bounded = method == Method::Stop && context.rank > queue::GUARANTEED_RANK;
    let limit = if bounded { own_work.saturating_mul(MAX_LOSS_PERCENT) / 100 } else { u64::MAX };
    let within_limit = |spent: u64, cost: u64| match demand.step.gang {
        // All members start or none, and the first victims may free the room of several.
        true => spent.saturating_add(cost) <= limit.saturating_mul(count as u64),
        false => cost <= limit,
    };
    let mut plan = Plan::default();
    let mut planned = 0;
    while planned < count {
        let cheapest = simulation.cheapest().filter(|(cost, _)| within_limit(plan.cost, *cost));
        let Some((cost, host)) = cheapest else { break };
        planned += 1;
        plan.cost = plan.cost.saturating_add(cost);
        simulation.allocate(host);
        let reserved = plan.reserved.entry(host).or_default();
        *reserved = reserved.saturating_add(need);
    }
    plan.victims = simulation.stopped;
    let enough = if demand.step.gang { planned == count } else { planned > 0 };
    enough.then_some(plan)
}

/// A run that may be stopped, with the cost of stopping or awaiting it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preemptible {
    cost: u64,
    key: model::RunKey,
    resources: Resources,
}

/// The cost of freeing the resources of a run, including its gang.
#[derive(Clone, Copy)]
struct StopCost {
    /// The remaining time of the run.
    remaining: time::Millis,
    /// The work that a stop loses, in core milliseconds.
    loss: u64,
}

impl StopCost {
    fn of_run(key: model::RunKey, context: Context<'_>) -> Self {
        let members = runs::gang_of(context.runs, key);
        Self {
            remaining: runs::remaining(context.runs, key, context.health, context.now.tick),
            loss: members.map(|(_, member)| loss(member, context)).fold(0, u64::saturating_add),
        }
    }
}

/// The runs that may be stopped or awaited for steps of one rank.
#[derive(Debug, Default)]
pub struct Victims {
    /// The runs on each host, the cheapest first.
    by_host: BTreeMap<u32, Vec<Preemptible>>,
}

impl Victims {
    /// Returns the runs that a method may use for steps of the context's rank.
    pub fn new(context: Context<'_>, method: Method) -> Self {
        let mut by_host: BTreeMap<u32, Vec<Preemptible>> = BTreeMap::new();
        let active = [runs::State::Ordered, runs::State::Running];
        let mut gangs = BTreeMap::new();
        for (key, run) in context.runs.iter() {
            let stopping = run.state == runs::State::Stopping;
            let may_stop = run.preemptible && context.ranks.of(key.task) > context.rank;
            let protected = method == Method::Stop && !may_stop;
            if !stopping && (protected || !active.contains(&run.state)) {
                continue;
            }
            let stop_cost = if run.gang {
                *gangs.entry(key.gang_key()).or_insert_with(|| StopCost::of_run(*key, context))
            } else {
                StopCost::of_run(*key, context)
            };
            let free =
                stopping || (run.state == runs::State::Running && stop_cost.remaining <= ENDS_SOON);
            let cost = match method {
                _ if free => 0,
                Method::Stop => stop_cost.loss,
                Method::Wait => stop_cost.remaining.0,
            };
            let preemptible = Preemptible { cost, key: *key, resources: run.resources };
            by_host.entry(run.incarnation.host).or_default().push(preemptible);
        }
        by_host.values_mut().for_each(|list| list.sort());
        Self { by_host }
    }
}

/// The candidates, as they would be after the stops that are planned so far.
struct Simulation<'a> {
    candidates: BTreeMap<u32, fit::Candidate>,
    victims: &'a Victims,
    runs: &'a runs::Runs,
    need: Resources,
    /// The runs that are planned to be stopped.
    stopped: BTreeSet<model::RunKey>,
    /// The hosts that can satisfy the need, by cost and then by free accelerators.
    by_cost: BTreeSet<(u64, u32, u32)>,
}

impl<'a> Simulation<'a> {
    fn new(
        candidates: &[fit::Candidate],
        victims: &'a Victims,
        runs: &'a runs::Runs,
        need: Resources,
    ) -> Self {
        let by_host: BTreeMap<u32, fit::Candidate> =
            candidates.iter().map(|candidate| (candidate.host, *candidate)).collect();
        let mut simulation = Self {
            candidates: by_host,
            victims,
            runs,
            need,
            stopped: BTreeSet::new(),
            by_cost: BTreeSet::new(),
        };
        simulation.by_cost =
            candidates.iter().filter_map(|candidate| simulation.cost(candidate)).collect();
        simulation
    }

    /// Returns the least cost of a host that can satisfy the need, and the host.
    fn cheapest(&self) -> Option<(u64, u32)> {
        self.by_cost.first().map(|(cost, _, host)| (*cost, *host))
    }

    /// Returns the entry of a candidate in [`Self::by_cost`]; `None` if it can't satisfy the need.
    fn cost(&self, candidate: &fit::Candidate) -> Option<(u64, u32, u32)> {
        let cost = self.for_need(candidate, |_| {})?;
        let penalty = if candidate.slow || candidate.suspect { UNRELIABLE_COST } else { 0 };
        Some((cost.saturating_add(penalty), candidate.free.accelerators, candidate.host))
    }

    /// Returns the cost of freeing what the need lacks on a candidate, and calls `visit` with each
    /// run to stop.
    fn for_need(
        &self,
        candidate: &fit::Candidate,
        mut visit: impl FnMut(model::RunKey),
    ) -> Option<u64> {
        if candidate.limit_left == 0 {
            return None;
        }
        let (mut free, mut cost) = (candidate.free, 0_u64);
        let list = self.victims.by_host.get(&candidate.host).into_iter().flatten();
        for preemptible in list.filter(|preemptible| !self.stopped.contains(&preemptible.key)) {
            if free.covers(self.need) {
                break;
            }
            free = free.saturating_add(preemptible.resources);
            cost = preemptible.cost.saturating_add(cost);
            visit(preemptible.key);
        }
        free.covers(self.need).then_some(cost)
    }

    /// Allocates the need on a host. The runs to stop there count as stopped, with their gangs.
    fn allocate(&mut self, host: u32) {
        let mut chosen = Vec::new();
        self.for_need(&self.candidates[&host], |key| chosen.push(key));
        let mut changed = BTreeSet::from([host]);
        let before: Vec<_> = chosen
            .iter()
            .flat_map(|key| runs::gang_of(self.runs, *key))
            .map(|(member, run)| (*member, run.incarnation.host, run.resources))
            .collect();
        changed.extend(before.iter().map(|(_, member_host, _)| *member_host));
        for changed_host in &changed {
            let entry = self.candidates.get(changed_host).and_then(|known| self.cost(known));
            entry.map(|entry| self.by_cost.remove(&entry));
        }
        for (member, member_host, resources) in before {
            if self.stopped.insert(member)
                && let Some(candidate) = self.candidates.get_mut(&member_host)
            {
                candidate.free = candidate.free.saturating_add(resources);
            }
        }
        if let Some(candidate) = self.candidates.get_mut(&host) {
            candidate.allocate(self.need);
        }
        for changed_host in &changed {
            let entry = self.candidates.get(changed_host).and_then(|known| self.cost(known));
            self.by_cost.extend(entry);
        }
    }
}

/// Returns the work that stopping a run loses, in core milliseconds.
fn loss(run: &runs::Run, context: Context<'_>) -> u64 {
    let age = context.now.tick - run.placed_at;
    let lost = if run.checkpoints { age.min(MAX_CHECKPOINT_LOSS) } else { age };
    work(run.resources, lost.0)
}

/// Returns the work done on some resources within a time, in core milliseconds.
fn work(resources: Resources, millis: u64) -> u64 {
    // One accelerator counts as much as eight cores.
    let cores = u64::from(resources.accelerators) * 8 + u64::from(resources.cpu / 1000);
    millis.saturating_mul(cores.max(1))
}
