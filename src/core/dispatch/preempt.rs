//! What to stop so that urgent work fits.
//!
//! Answers a fleet full of lower work when an urgent job arrives: each of its tasks takes the
//! worker where the least unsaved work has to be stopped; a gang that is slowed across racks takes
//! the cheapest rack. What ends by itself within the time that a stop takes is not stopped.
//! Stopping one member of a gang stops all of it, and its room elsewhere is used as well. Tasks
//! that last are never stopped for others. Where stopping costs too much, room is kept as it comes
//! free, so that large tasks are not starved by small ones that fill every gap.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::model;

/// How much work a stopped task with checkpoints loses, with its restore.
const MAX_CHECKPOINT_LOSS: time::Millis = time::Millis(700);

/// A run that ends within this time is waited for instead of stopped: a stop takes as long.
const ENDS_SOON: time::Millis = time::Millis(350);

/// What a worker counts that is slower than others, or on which something has failed, in the unit
/// of [`loss`]: as much as a task on all its accelerators loses in a second.
const UNRELIABLE_COST: u64 = 64_000;

/// The most work that may be thrown away for urgent work beyond a guarantee, as a share of that
/// work itself, in percent.
const MAX_LOSS_PERCENT: u64 = 100;

/// What to stop, and the room that is then to be kept.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The runs to stop.
    pub victims: BTreeSet<model::RunKey>,
    /// Room for the step, by host.
    pub reserved: fit::Reserved,
    /// Whether the room is there only once something has ended.
    pub deferred: bool,
    /// The work that is lost.
    cost: u64,
}

/// What the choice depends on besides the sites.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The runs that may be going on.
    pub runs: &'a runs::Runs,
    /// How fast workers are.
    pub health: &'a health::Health,
    /// The rank of the step; only runs of a higher one are stopped.
    pub rank: u32,
    /// The time.
    pub now: order::Timestamp,
}

/// How room comes free.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Lower work is stopped for it.
    Stop,
    /// Whatever runs there ends by itself.
    Wait,
}

/// Plans room for tasks of a step: for all `count` of a gang, for as many as it is worth for others.
/// None if there is no such room.
pub fn plan(
    candidates: &[fit::Candidate],
    context: Context<'_>,
    demand: fit::Demand<'_>,
    count: usize,
    method: Method,
) -> Option<Plan> {
    let candidates = fit::with_affinity(candidates, demand);
    let candidate_sets = fit::candidate_sets(&candidates, demand, count);
    let plans =
        candidate_sets.iter().filter_map(|set| plan_within(set, context, demand, count, method));
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
    context: Context<'_>,
    demand: fit::Demand<'_>,
    count: usize,
    method: Method,
) -> Option<Plan> {
    let mut set = Candidates::new(candidates, context, method);
    let need = Resources::of_step(demand.step);
    let own = work(need, u64::from(demand.step.estimate));
    let bounded = method == Method::Stop && context.rank > queue::GUARANTEED_RANK;
    let limit = if bounded { own.saturating_mul(MAX_LOSS_PERCENT) / 100 } else { u64::MAX };
    let mut plan = Plan::default();
    let mut planned = 0;
    while planned < count {
        let Some((cost, host)) = set.cheapest(need).filter(|(cost, _)| *cost <= limit) else {
            break;
        };
        planned += 1;
        plan.cost = plan.cost.saturating_add(cost);
        set.mark_stopped(host, need, &mut plan.victims);
        let candidate = set.candidates.get_mut(&host)?;
        candidate.allocate(need);
        let reserved = plan.reserved.entry(host).or_default();
        *reserved = reserved.saturating_add(need);
    }
    let enough = if demand.step.gang { planned == count } else { planned > 0 };
    enough.then_some(plan)
}

/// Something that may be stopped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preemptible {
    cost: u64,
    key: model::RunKey,
}

/// What becomes of a run with all that falls with it.
#[derive(Clone, Copy)]
struct StopCost {
    /// How long it still takes.
    remaining: time::Millis,
    /// What stopping it throws away, in core milliseconds.
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

struct Candidates<'a> {
    candidates: BTreeMap<u32, fit::Candidate>,
    runs: &'a runs::Runs,
    /// What may be stopped on each host, the cheapest first.
    preemptible: BTreeMap<u32, Vec<Preemptible>>,
}

impl<'a> Candidates<'a> {
    fn new(candidates: &[fit::Candidate], context: Context<'a>, method: Method) -> Self {
        let mut preemptible: BTreeMap<u32, Vec<Preemptible>> = BTreeMap::new();
        let held = [runs::State::Ordered, runs::State::Running];
        let mut gangs = BTreeMap::new();
        for (key, run) in context.runs.iter() {
            let stopping = run.state == runs::State::Stopping;
            let protected = method == Method::Stop && run.rank <= context.rank;
            if !stopping && (protected || !held.contains(&run.state)) {
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
            preemptible
                .entry(run.incarnation.host)
                .or_default()
                .push(Preemptible { cost, key: *key });
        }
        preemptible.values_mut().for_each(|list| list.sort());
        let candidates =
            candidates.iter().map(|candidate| (candidate.host, candidate.clone())).collect();
        Self { candidates, runs: context.runs, preemptible }
    }

    /// The host where the need can be met with the least loss, and that loss.
    fn cheapest(&self, need: Resources) -> Option<(u64, u32)> {
        let costs = self.candidates.iter().filter_map(|(host, candidate)| {
            let (cost, _) = self.victims(*host, candidate, need)?;
            let penalty = if candidate.slow || candidate.suspect { UNRELIABLE_COST } else { 0 };
            Some((cost.saturating_add(penalty), candidate.free.accelerators, *host))
        });
        costs.min().map(|(cost, _, host)| (cost, host))
    }

    fn victims(
        &self,
        host: u32,
        candidate: &fit::Candidate,
        need: Resources,
    ) -> Option<(u64, Vec<model::RunKey>)> {
        if candidate.spread_left == 0 {
            return None;
        }
        let (mut free, mut cost, mut victims) = (candidate.free, 0, Vec::new());
        for preemptible in self.preemptible.get(&host).into_iter().flatten() {
            if free.covers(need) {
                break;
            }
            free = free.saturating_add(self.runs[&preemptible.key].resources);
            cost = preemptible.cost.saturating_add(cost);
            victims.push(preemptible.key);
        }
        free.covers(need).then_some((cost, victims))
    }

    /// Counts what has to be stopped on a host as stopped, with the rest of its gangs.
    fn mark_stopped(&mut self, host: u32, need: Resources, victims: &mut BTreeSet<model::RunKey>) {
        let candidate = &self.candidates[&host];
        let Some((_, chosen)) = self.victims(host, candidate, need) else { return };
        for key in chosen {
            let members: Vec<_> =
                runs::gang_of(self.runs, key).map(|(member, _)| *member).collect();
            for member in members {
                if !victims.insert(member) {
                    continue;
                }
                let run = &self.runs[&member];
                if let Some(list) = self.preemptible.get_mut(&run.incarnation.host) {
                    list.retain(|listed| listed.key != member);
                }
                if let Some(candidate) = self.candidates.get_mut(&run.incarnation.host) {
                    candidate.free = candidate.free.saturating_add(run.resources);
                }
            }
        }
    }
}

/// The work that stopping a run throws away, in core milliseconds.
fn loss(run: &runs::Run, context: Context<'_>) -> u64 {
    let age = context.now.tick - run.placed_at;
    let lost = if run.checkpoints { age.min(MAX_CHECKPOINT_LOSS) } else { age };
    work(run.resources, lost.0)
}

/// What is done in a room within some milliseconds, in core milliseconds.
fn work(resources: Resources, millis: u64) -> u64 {
    // An accelerator is worth eight cores.
    let cores = u64::from(resources.accelerators) * 8 + u64::from(resources.cpu / 1000);
    millis.saturating_mul(cores.max(1))
}
