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
use crate::core::dispatch::order::Room;
use crate::core::dispatch::queue;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::model;

/// How much work a stopped task with checkpoints loses, with its restore.
const SAVED_LOSS: time::Millis = time::Millis(700);

/// A run that ends within this time is waited for instead of stopped: a stop takes as long.
const SOON: time::Millis = time::Millis(350);

/// What a worker counts that is slower than others, or on which something has failed, in the unit
/// of [`loss`]: as much as a task on all its accelerators loses in a second.
const POOR: u64 = 64_000;

/// The most work that may be thrown away for urgent work beyond a guarantee, as a share of that
/// work itself, in percent.
const WORTH_LOSS: u64 = 100;

/// What to stop, and the room that is then to be kept.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The runs to stop.
    pub victims: BTreeSet<model::RunKey>,
    /// Room for the step, by host.
    pub kept: fit::Kept,
    /// Whether the room is there only once something has ended.
    pub waits: bool,
    /// The work that is lost.
    cost: u64,
}

/// What the choice depends on besides the sites.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The runs that may be going on.
    pub runs: &'a runs::Runs,
    /// How fast workers are.
    pub health: &'a health::Health,
    /// The rank of the step; only runs of a higher one are stopped.
    pub rank: u32,
    /// The time.
    pub now: order::Moment,
}

/// How room comes free.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Lower work is stopped for it.
    Stop,
    /// Whatever runs there ends by itself.
    Wait,
}

/// Plans room for tasks of a step: for all `count` of a gang, for as many as it is worth for others.
/// None if there is no such room.
pub fn plan(
    sites: &[fit::Site],
    view: View<'_>,
    ask: fit::Ask<'_>,
    count: usize,
    way: Way,
) -> Option<Plan> {
    let sites = fit::near(sites, ask);
    let grounds = fit::grounds(&sites, ask, count);
    let plans = grounds.iter().filter_map(|ground| plan_on(ground, view, ask, count, way));
    let mut plan = plans.min_by_key(|plan| plan.cost)?;
    plan.waits = way == Way::Wait || !plan.victims.is_empty();
    let ends_soon = |key: &model::RunKey| {
        let running = view.runs.get(key).is_some_and(|run| run.state == runs::State::Running);
        running && runs::remaining(view.runs, *key, view.health, view.now.tick) <= SOON
    };
    plan.victims.retain(|key| way == Way::Stop && !ends_soon(key));
    Some(plan)
}

fn plan_on(
    sites: &[fit::Site],
    view: View<'_>,
    ask: fit::Ask<'_>,
    count: usize,
    way: Way,
) -> Option<Plan> {
    let mut ground = Ground::new(sites, view, way);
    let need = Room::of(ask.step);
    let own = work(need, u64::from(ask.step.estimate));
    let bounded = way == Way::Stop && view.rank > queue::GUARANTEED;
    let limit = if bounded { own.saturating_mul(WORTH_LOSS) / 100 } else { u64::MAX };
    let mut plan = Plan::default();
    let mut planned = 0;
    while planned < count {
        let Some((cost, host)) = ground.cheapest(need).filter(|(cost, _)| *cost <= limit) else {
            break;
        };
        planned += 1;
        plan.cost = plan.cost.saturating_add(cost);
        ground.clear(host, need, &mut plan.victims);
        let site = ground.sites.get_mut(&host)?;
        site.take(need);
        let kept = plan.kept.entry(host).or_default();
        *kept = kept.plus(need);
    }
    let enough = if ask.step.gang { planned == count } else { planned > 0 };
    enough.then_some(plan)
}

/// Something that may be stopped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stoppable {
    cost: u64,
    key: model::RunKey,
}

/// What becomes of a run with all that falls with it.
#[derive(Clone, Copy)]
struct Fate {
    /// How long it still takes.
    rest: time::Millis,
    /// What stopping it throws away, in core milliseconds.
    loss: u64,
}

impl Fate {
    fn of(key: model::RunKey, view: View<'_>) -> Self {
        let members = runs::gang_of(view.runs, key);
        Self {
            rest: runs::remaining(view.runs, key, view.health, view.now.tick),
            loss: members.map(|(_, member)| loss(member, view)).fold(0, u64::saturating_add),
        }
    }
}

struct Ground<'a> {
    sites: BTreeMap<u32, fit::Site>,
    runs: &'a runs::Runs,
    /// What may be stopped on each host, the cheapest first.
    stoppable: BTreeMap<u32, Vec<Stoppable>>,
}

impl<'a> Ground<'a> {
    fn new(sites: &[fit::Site], view: View<'a>, way: Way) -> Self {
        let mut stoppable: BTreeMap<u32, Vec<Stoppable>> = BTreeMap::new();
        let held = [runs::State::Ordered, runs::State::Running];
        let mut gangs = BTreeMap::new();
        for (key, run) in view.runs.iter() {
            let stopping = run.state == runs::State::Stopping;
            let spared = way == Way::Stop && run.rank <= view.rank;
            if !stopping && (spared || !held.contains(&run.state)) {
                continue;
            }
            let fate = if run.gang {
                *gangs.entry(key.gang_key()).or_insert_with(|| Fate::of(*key, view))
            } else {
                Fate::of(*key, view)
            };
            let free = stopping || (run.state == runs::State::Running && fate.rest <= SOON);
            let cost = match way {
                _ if free => 0,
                Way::Stop => fate.loss,
                Way::Wait => fate.rest.0,
            };
            stoppable.entry(run.incarnation.host).or_default().push(Stoppable { cost, key: *key });
        }
        stoppable.values_mut().for_each(|list| list.sort());
        let sites = sites.iter().map(|site| (site.host, site.clone())).collect();
        Self { sites, runs: view.runs, stoppable }
    }

    /// The host where the need can be met with the least loss, and that loss.
    fn cheapest(&self, need: Room) -> Option<(u64, u32)> {
        let costs = self.sites.iter().filter_map(|(host, site)| {
            let (cost, _) = self.victims(*host, site, need)?;
            let poor = if site.slow || site.doubted { POOR } else { 0 };
            Some((cost.saturating_add(poor), site.free.accelerators, *host))
        });
        costs.min().map(|(cost, _, host)| (cost, host))
    }

    fn victims(
        &self,
        host: u32,
        site: &fit::Site,
        need: Room,
    ) -> Option<(u64, Vec<model::RunKey>)> {
        if site.spread == 0 {
            return None;
        }
        let (mut free, mut cost, mut victims) = (site.free, 0, Vec::new());
        for stoppable in self.stoppable.get(&host).into_iter().flatten() {
            if free.holds(need) {
                break;
            }
            free = free.plus(self.runs[&stoppable.key].room);
            cost = stoppable.cost.saturating_add(cost);
            victims.push(stoppable.key);
        }
        free.holds(need).then_some((cost, victims))
    }

    /// Counts what has to be stopped on a host as stopped, with the rest of its gangs.
    fn clear(&mut self, host: u32, need: Room, victims: &mut BTreeSet<model::RunKey>) {
        let site = &self.sites[&host];
        let Some((_, chosen)) = self.victims(host, site, need) else { return };
        for key in chosen {
            let members: Vec<_> =
                runs::gang_of(self.runs, key).map(|(member, _)| *member).collect();
            for member in members {
                if !victims.insert(member) {
                    continue;
                }
                let run = &self.runs[&member];
                if let Some(list) = self.stoppable.get_mut(&run.incarnation.host) {
                    list.retain(|listed| listed.key != member);
                }
                if let Some(site) = self.sites.get_mut(&run.incarnation.host) {
                    site.free = site.free.plus(run.room);
                }
            }
        }
    }
}

/// The work that stopping a run throws away, in core milliseconds.
fn loss(run: &runs::Run, view: View<'_>) -> u64 {
    let age = view.now.tick - run.since;
    let lost = if run.saves { age.min(SAVED_LOSS) } else { age };
    work(run.room, lost.0)
}

/// What is done in a room within some milliseconds, in core milliseconds.
fn work(room: Room, millis: u64) -> u64 {
    // An accelerator is worth eight cores.
    let cores = u64::from(room.accelerators) * 8 + u64::from(room.cpu / 1000);
    millis.saturating_mul(cores.max(1))
}
