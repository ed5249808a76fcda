//! Where the tasks of a step fit.
//!
//! Answers three loads: many small tasks beside large ones (a task takes the worker where it
//! leaves the least room over, so that whole workers stay whole), gangs that are slowed across
//! racks (the fullest rack that holds all of it), and data on one rack (its workers first; others
//! once the step has waited a while).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fleet;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Room;
use crate::core::time;
use crate::core::workflow::model;

/// How long a step waits for workers near its data, or a gang for one rack, before it runs slowed.
const NEAR_PATIENCE: time::Millis = time::Millis(1200);

/// A worker that may take tasks of a step.
#[derive(Clone, Debug)]
pub struct Site {
    /// The host of its agent.
    pub host: u32,
    /// Its life.
    pub life: model::Life,
    /// Its rack.
    pub rack: String,
    /// Room that nothing occupies or is kept for.
    pub free: Room,
    /// Its whole capacity.
    pub capacity: Room,
    /// Tasks of the step that it may still take.
    pub spread: u32,
}

/// Room that is kept for a step, by host.
pub type Kept = BTreeMap<u32, Room>;

/// The open workers of a pool that satisfy a step's constraint.
pub fn sites(
    workers: &BTreeMap<u32, fleet::Worker>,
    pool: &str,
    step: &model::Step,
    kept: &Kept,
    now: order::Moment,
) -> Vec<Site> {
    let mut sites = Vec::new();
    for (host, worker) in workers {
        let Some(said) = &worker.said else { continue };
        let labelled = step.constraint.as_ref().is_none_or(|label| said.labels.contains(label));
        if said.pool != pool || !labelled || !worker.is_open(now.tick) {
            continue;
        }
        let kept = kept.get(host).copied().unwrap_or_default();
        sites.push(Site {
            host: *host,
            life: said.life,
            rack: said.rack.clone(),
            free: worker.free().minus(kept),
            capacity: said.capacity,
            spread: if step.spread == 0 { u32::MAX } else { step.spread },
        });
    }
    sites
}

/// A choice of workers for some tasks, in the order of the tasks.
pub type Choice = Vec<(u32, model::Life)>;

/// Finds places for up to `count` tasks of a step that has waited for `waited`. A gang gets all or
/// none.
pub fn choose(sites: &[Site], step: &model::Step, count: usize, waited: time::Millis) -> Choice {
    let patient = waited < NEAR_PATIENCE;
    if step.gang {
        return choose_gang(sites, step, count, patient).unwrap_or_default();
    }
    let near = |site: &&Site| step.affinity.as_ref().is_none_or(|rack| *rack == site.rack);
    let mut ground: Vec<Site> = sites.iter().filter(near).cloned().collect();
    let mut chosen = pack(&mut ground, step, count);
    let none_near = ground.is_empty();
    if chosen.len() < count && step.affinity.is_some() && (!patient || none_near) {
        let mut far: Vec<Site> = sites.iter().filter(|site| !near(site)).cloned().collect();
        chosen.extend(pack(&mut far, step, count - chosen.len()));
    }
    chosen
}

fn choose_gang(sites: &[Site], step: &model::Step, count: usize, patient: bool) -> Option<Choice> {
    let whole = |ground: &mut Vec<Site>| {
        let chosen = pack(ground, step, count);
        (chosen.len() == count).then_some(chosen)
    };
    if !step.one_rack {
        return whole(&mut sites.to_vec());
    }
    let racks: BTreeSet<&str> = sites.iter().map(|site| site.rack.as_str()).collect();
    let on_rack = |rack: &str| -> Vec<Site> {
        sites.iter().filter(|site| site.rack == rack).cloned().collect()
    };
    let mut best: Option<(u32, Choice)> = None;
    for rack in &racks {
        let mut ground = on_rack(rack);
        let Some(chosen) = whole(&mut ground) else { continue };
        let left = ground.iter().map(|site| site.free.accelerators).sum();
        if best.as_ref().is_none_or(|(least, _)| left < *least) {
            best = Some((left, chosen));
        }
    }
    if let Some((_, chosen)) = best {
        return Some(chosen);
    }
    let could_ever = racks.iter().any(|rack| {
        let mut empty = on_rack(rack);
        empty.iter_mut().for_each(|site| site.free = site.capacity);
        whole(&mut empty).is_some()
    });
    if patient && could_ever { None } else { whole(&mut sites.to_vec()) }
}

/// Puts up to `count` tasks, each where it leaves the least over.
fn pack(ground: &mut [Site], step: &model::Step, count: usize) -> Choice {
    let need = Room::of(step);
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fits = ground.iter_mut().filter(|site| site.spread > 0 && site.free.holds(need));
        let Some(site) = fits.min_by_key(|site| leftover(site.free.minus(need))) else { break };
        site.free = site.free.minus(need);
        site.spread -= 1;
        chosen.push((site.host, site.life));
    }
    chosen
}

/// What stays free at a worker, in the order in which it matters to later tasks.
fn leftover(free: Room) -> (u32, u32) {
    (free.accelerators, free.cpu)
}
