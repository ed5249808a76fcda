//! Where the tasks of a step fit.
//!
//! Answers four loads: many small tasks beside large ones (a task takes the worker where it leaves
//! the least room over, so that whole workers stay whole), workers of different speed (urgent tasks
//! take slow ones last, and the fastest of those that are alike; what gives way to all others does
//! the opposite), gangs that are slowed across racks (the fullest rack that
//! holds all of it, and no other while waiting costs less), and data on one rack (its workers
//! first, others once the step has waited a while).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::fleet;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Room;
use crate::core::time;
use crate::core::workflow::model;

/// How long a step waits at least for workers near its data, or a gang for one rack.
const NEAR_PATIENCE: time::Millis = time::Millis(1500);

/// How long it waits at most.
const MAX_PATIENCE: time::Millis = time::Millis(15_000);

/// A worker that may take tasks of a step.
#[derive(Clone, Debug)]
pub struct Site {
    /// The host of its agent.
    pub host: u32,
    /// Its incarnation.
    pub incarnation: model::Incarnation,
    /// Its rack.
    pub rack: String,
    /// Room that nothing occupies or is kept for.
    pub free: Room,
    /// Its whole capacity.
    pub capacity: Room,
    /// Tasks of the step that it may still take.
    pub spread: u32,
    /// Whether it is slower than others.
    pub slow: bool,
    /// Its speed, in percent of the common one.
    pub speed: u32,
    /// Whether something has failed there lately.
    pub doubted: bool,
}

impl Site {
    /// Takes the room of one task of the step off it.
    pub fn take(&mut self, room: Room) {
        self.free = self.free.minus(room);
        self.spread = self.spread.saturating_sub(1);
    }
}

/// Room that is kept for a step, by host.
pub type Kept = BTreeMap<u32, Room>;

/// What a step asks of workers.
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    /// The step.
    pub step: &'a model::Step,
    /// The pool that runs it.
    pub pool: &'a str,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it gives way to all others: it is to keep off the workers that they want.
    pub last: bool,
    /// How long it has waited.
    pub waited: time::Millis,
    /// Whether more than half of the pool's accelerators are taken: with room to spare, waiting
    /// for better places is not worth it.
    pub crowded: bool,
}

impl Ask<'_> {
    /// How long it is worth waiting for workers on which the step runs at full speed: elsewhere it
    /// would take twice its own time longer.
    fn patience(&self) -> time::Millis {
        if !self.crowded {
            return NEAR_PATIENCE;
        }
        time::Millis(u64::from(self.step.estimate) * 2).clamp(NEAR_PATIENCE, MAX_PATIENCE)
    }

    fn is_patient(&self) -> bool {
        self.waited < self.patience()
    }
}

/// The open workers of a pool that satisfy a step's constraint.
pub fn sites(
    workers: &BTreeMap<u32, fleet::Worker>,
    health: &health::Health,
    ask: Ask<'_>,
    kept: &Kept,
    now: order::Moment,
) -> Vec<Site> {
    let mut sites = Vec::new();
    let slow = health.slow_below();
    for (host, worker) in workers {
        let Some(said) = &worker.said else { continue };
        let constraint = ask.step.constraint.as_ref();
        let labelled = constraint.is_none_or(|label| said.labels.contains(label));
        let open = worker.is_open(now.tick) && health.is_trusted(*host, now.tick);
        if said.pool != ask.pool || !labelled || !open {
            continue;
        }
        let kept = kept.get(host).copied().unwrap_or_default();
        let speed = health.speed(*host);
        sites.push(Site {
            host: *host,
            incarnation: said.incarnation,
            rack: said.rack.clone(),
            free: worker.free().minus(kept),
            capacity: said.capacity,
            spread: if ask.step.worker_limit == 0 { u32::MAX } else { ask.step.worker_limit },
            slow: speed < slow,
            speed: (speed * 100.0) as u32,
            doubted: health.is_doubted(*host),
        });
    }
    sites
}

/// The sites that a step may use at present: those near its data, unless it has waited long enough
/// or there are none.
pub fn near(sites: &[Site], ask: Ask<'_>) -> Vec<Site> {
    let Some(rack) = &ask.step.affinity else { return sites.to_vec() };
    let near: Vec<Site> = sites.iter().filter(|site| site.rack == *rack).cloned().collect();
    if near.is_empty() || !ask.is_patient() { sites.to_vec() } else { near }
}

/// The sets of sites on which a gang may be placed at present, the best first.
pub fn grounds(sites: &[Site], ask: Ask<'_>, count: usize) -> Vec<Vec<Site>> {
    if !(ask.step.gang && ask.step.one_rack) {
        return vec![sites.to_vec()];
    }
    let racks: BTreeSet<&str> = sites.iter().map(|site| site.rack.as_str()).collect();
    let on_rack = |rack: &&str| -> Vec<Site> {
        sites.iter().filter(|site| site.rack == **rack).cloned().collect()
    };
    let mut grounds: Vec<Vec<Site>> = racks.iter().map(on_rack).collect();
    let could_ever = grounds.iter().any(|ground| {
        let mut empty = ground.clone();
        empty.iter_mut().for_each(|site| site.free = site.capacity);
        pack(&mut empty, ask, count).len() == count
    });
    if !could_ever || !ask.is_patient() {
        grounds.push(sites.to_vec());
    }
    grounds
}

/// A choice of workers for some tasks, in the order of the tasks.
pub type Choice = Vec<(u32, model::Incarnation)>;

/// Finds places for up to `count` tasks of a step. A gang gets all or none.
pub fn choose(sites: &[Site], ask: Ask<'_>, count: usize) -> Choice {
    if !ask.step.gang {
        return choose_tasks(sites, ask, count);
    }
    let mut best: Option<((usize, u32, u32), Choice)> = None;
    for mut ground in grounds(sites, ask, count) {
        let chosen = pack(&mut ground, ask, count);
        if chosen.len() < count {
            continue;
        }
        let used = |site: &&Site| chosen.iter().any(|(host, _)| *host == site.host);
        let used: Vec<&Site> = ground.iter().filter(used).collect();
        let poor = used.iter().filter(|site| site.doubted || (site.slow && ask.urgent)).count();
        let left = ground.iter().map(|site| site.free.accelerators).fold(0, u32::saturating_add);
        // A gang is as fast as its slowest member.
        let pace = used.iter().map(|site| reluctance(site, ask)).max().unwrap_or(0);
        let cost = (poor, left, pace);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, chosen));
        }
    }
    best.map(|(_, chosen)| chosen).unwrap_or_default()
}

fn choose_tasks(sites: &[Site], ask: Ask<'_>, count: usize) -> Choice {
    let Some(rack) = &ask.step.affinity else { return pack(&mut sites.to_vec(), ask, count) };
    let is_near = |site: &&Site| site.rack == *rack;
    let mut ground: Vec<Site> = sites.iter().filter(is_near).cloned().collect();
    let none_near = ground.is_empty();
    let mut chosen = pack(&mut ground, ask, count);
    if chosen.len() < count && (none_near || !ask.is_patient()) {
        let mut far: Vec<Site> = sites.iter().filter(|site| !is_near(site)).cloned().collect();
        chosen.extend(pack(&mut far, ask, count - chosen.len()));
    }
    chosen
}

/// Puts up to `count` tasks, each where it is best.
fn pack(ground: &mut [Site], ask: Ask<'_>, count: usize) -> Choice {
    let need = Room::of(ask.step);
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fits = ground.iter_mut().filter(|site| site.spread > 0 && site.free.holds(need));
        let Some(site) = fits.min_by_key(|site| cost(site, ask, need)) else { break };
        site.take(need);
        chosen.push((site.host, site.incarnation));
    }
    chosen
}

/// What speaks against a site, in the order in which it matters.
fn cost(site: &Site, ask: Ask<'_>, need: Room) -> (bool, bool, u32, u32, u32) {
    let left = site.free.minus(need);
    let unfit = if ask.last { !site.slow } else { site.slow && ask.urgent };
    (site.doubted, unfit, left.accelerators, left.cpu, reluctance(site, ask))
}

/// What a site's speed speaks against it: urgent steps go for the fastest, those that give way to
/// all others for the slowest.
fn reluctance(site: &Site, ask: Ask<'_>) -> u32 {
    match (ask.urgent, ask.last) {
        (true, _) => u32::MAX - site.speed,
        (false, true) => site.speed,
        (false, false) => 0,
    }
}
