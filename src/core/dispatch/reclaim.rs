//! What to stop so that urgent work fits.
//!
//! Answers a fleet full of lower work when an urgent job arrives: each of its tasks takes the
//! worker where the least unsaved work has to be stopped. Stopping one member of a gang stops all
//! of it, and its room elsewhere is used as well. Tasks that last are never stopped for others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fit;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Room;
use crate::core::dispatch::runs;
use crate::core::workflow::model;

/// How much work a stopped task with checkpoints loses at most, with its restore, in milliseconds.
const SAVED_LOSS: u64 = 1100;

/// What to stop, and the room that is then to be kept.
#[derive(Debug, Default)]
pub struct Plan {
    /// The runs to stop.
    pub victims: BTreeSet<model::RunKey>,
    /// Room for the step, by host.
    pub kept: fit::Kept,
}

/// Plans room for `count` tasks of a step at the expense of runs of a rank above `rank`. None if
/// even that is not enough.
pub fn plan(
    sites: &[fit::Site],
    runs: &runs::Runs,
    step: &model::Step,
    count: usize,
    rank: u32,
    now: order::Moment,
) -> Option<Plan> {
    let mut ground = Ground::new(sites, runs, rank, now);
    let need = Room::of(step);
    let mut plan = Plan::default();
    for _ in 0..count {
        let host = ground.cheapest(need)?;
        ground.clear(host, need, &mut plan.victims);
        let site = ground.sites.get_mut(&host)?;
        site.free = site.free.minus(need);
        site.spread -= 1;
        let kept = plan.kept.entry(host).or_default();
        *kept = kept.plus(need);
    }
    Some(plan)
}

struct Ground<'a> {
    sites: BTreeMap<u32, fit::Site>,
    runs: &'a runs::Runs,
    /// What may be stopped on each host, the cheapest first.
    stoppable: BTreeMap<u32, Vec<(u64, model::RunKey)>>,
}

impl<'a> Ground<'a> {
    fn new(sites: &[fit::Site], runs: &'a runs::Runs, rank: u32, now: order::Moment) -> Self {
        let mut stoppable: BTreeMap<u32, Vec<(u64, model::RunKey)>> = BTreeMap::new();
        let held = [runs::State::Ordered, runs::State::Running];
        for (key, run) in runs.iter() {
            if run.rank <= rank || !held.contains(&run.state) {
                continue;
            }
            let cost = gang_of(runs, *key).map(|(_, member)| loss(member, now)).sum();
            stoppable.entry(run.life.host).or_default().push((cost, *key));
        }
        stoppable.values_mut().for_each(|list| list.sort());
        let sites = sites.iter().map(|site| (site.host, site.clone())).collect();
        Self { sites, runs, stoppable }
    }

    /// The host where the need can be met with the least loss.
    fn cheapest(&self, need: Room) -> Option<u32> {
        let costs = self.sites.iter().filter_map(|(host, site)| {
            let (cost, _) = self.victims(*host, site, need)?;
            Some((cost, site.free.accelerators, *host))
        });
        costs.min().map(|(_, _, host)| host)
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
        for (loss, key) in self.stoppable.get(&host).into_iter().flatten() {
            if free.holds(need) {
                break;
            }
            free = free.plus(self.runs[key].room);
            cost += loss;
            victims.push(*key);
        }
        free.holds(need).then_some((cost, victims))
    }

    /// Counts what has to be stopped on a host as stopped, with the rest of its gangs.
    fn clear(&mut self, host: u32, need: Room, victims: &mut BTreeSet<model::RunKey>) {
        let site = &self.sites[&host];
        let Some((_, chosen)) = self.victims(host, site, need) else { return };
        for key in chosen {
            let members: Vec<_> = gang_of(self.runs, key).map(|(member, _)| *member).collect();
            for member in members {
                if !victims.insert(member) {
                    continue;
                }
                let run = &self.runs[&member];
                if let Some(list) = self.stoppable.get_mut(&run.life.host) {
                    list.retain(|(_, listed)| *listed != member);
                }
                if let Some(site) = self.sites.get_mut(&run.life.host) {
                    site.free = site.free.plus(run.room);
                }
            }
        }
    }
}

/// The runs that a run falls with: its whole gang, or itself.
fn gang_of(
    runs: &runs::Runs,
    key: model::RunKey,
) -> impl Iterator<Item = (&model::RunKey, &runs::Run)> {
    let gang = runs.get(&key).is_some_and(|run| run.gang);
    let falls = move |other: &model::RunKey| *other == key || (gang && other.run == key.run);
    runs::of_step(runs, key.task).filter(move |(other, run)| falls(other) && run.is_held())
}

/// The work that stopping a run throws away, in accelerator or core milliseconds.
fn loss(run: &runs::Run, now: order::Moment) -> u64 {
    let age = (now.tick - run.since).0;
    let lost = if run.saves { age.min(SAVED_LOSS) } else { age };
    // An accelerator is worth eight cores.
    lost * u64::from(run.room.accelerators * 8 + run.room.cpu / 1000).max(1)
}
