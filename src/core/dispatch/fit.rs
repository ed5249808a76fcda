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
use crate::core::dispatch::order::Resources;
use crate::core::time;
use crate::core::workflow::model;

/// How long a step waits at least for workers near its data, or a gang for one rack.
const MIN_LOCALITY_WAIT: time::Millis = time::Millis(1500);

/// How long it waits at most.
const MAX_LOCALITY_WAIT: time::Millis = time::Millis(15_000);

/// A worker that may take tasks of a step.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The host of its agent.
    pub host: u32,
    /// Its incarnation.
    pub incarnation: model::Incarnation,
    /// Its rack.
    pub rack: String,
    /// Room that nothing occupies or is kept for.
    pub free: Resources,
    /// Its whole capacity.
    pub capacity: Resources,
    /// Tasks of the step that it may still take.
    pub spread_left: u32,
    /// Whether it is slower than others.
    pub slow: bool,
    /// Its speed, in percent of the common one.
    pub speed: u32,
    /// Whether something has failed there lately.
    pub suspect: bool,
}

impl Candidate {
    /// Takes the room of one task of the step off it.
    pub fn allocate(&mut self, resources: Resources) {
        self.free = self.free.saturating_sub(resources);
        self.spread_left = self.spread_left.saturating_sub(1);
    }
}

/// Room that is kept for a step, by host.
pub type Reserved = BTreeMap<u32, Resources>;

/// What a step asks of workers.
#[derive(Clone, Copy)]
pub struct Demand<'a> {
    /// The step.
    pub step: &'a model::Step,
    /// The pool that runs it.
    pub pool: &'a str,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it gives way to all others: it is to keep off the workers that they want.
    pub low_priority: bool,
    /// How long it has waited.
    pub waited: time::Millis,
    /// Whether more than half of the pool's accelerators are taken: with room to spare, waiting
    /// for better places is not worth it.
    pub contended: bool,
}

impl Demand<'_> {
    /// How long it is worth waiting for workers on which the step runs at full speed: elsewhere it
    /// would take twice its own time longer.
    fn locality_wait(&self) -> time::Millis {
        if !self.contended {
            return MIN_LOCALITY_WAIT;
        }
        time::Millis(u64::from(self.step.estimate) * 2).clamp(MIN_LOCALITY_WAIT, MAX_LOCALITY_WAIT)
    }

    fn waits_for_locality(&self) -> bool {
        self.waited < self.locality_wait()
    }
}

/// The open workers of a pool that satisfy a step's constraint.
pub fn candidates(
    workers: &BTreeMap<u32, fleet::Worker>,
    health: &health::Health,
    demand: Demand<'_>,
    reserved: &Reserved,
    now: order::Timestamp,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let slow = health.slow_threshold();
    for (host, worker) in workers {
        let Some(announcement) = &worker.announcement else { continue };
        let constraint = demand.step.constraint.as_ref();
        let labelled = constraint.is_none_or(|label| announcement.labels.contains(label));
        let open = worker.accepts_tasks(now.tick) && health.accepts_tasks(*host, now.tick);
        if announcement.pool != demand.pool || !labelled || !open {
            continue;
        }
        let reserved = reserved.get(host).copied().unwrap_or_default();
        let speed = health.speed(*host);
        candidates.push(Candidate {
            host: *host,
            incarnation: announcement.incarnation,
            rack: announcement.rack.clone(),
            free: worker.free().saturating_sub(reserved),
            capacity: announcement.capacity,
            spread_left: if demand.step.worker_limit == 0 {
                u32::MAX
            } else {
                demand.step.worker_limit
            },
            slow: speed < slow,
            speed: (speed * 100.0) as u32,
            suspect: health.is_suspect(*host),
        });
    }
    candidates
}

/// The sites that a step may use at present: those near its data, unless it has waited long enough
/// or there are none.
pub fn with_affinity(candidates: &[Candidate], demand: Demand<'_>) -> Vec<Candidate> {
    let Some(rack) = &demand.step.affinity else { return candidates.to_vec() };
    let with_affinity: Vec<Candidate> =
        candidates.iter().filter(|candidate| candidate.rack == *rack).cloned().collect();
    if with_affinity.is_empty() || !demand.waits_for_locality() {
        candidates.to_vec()
    } else {
        with_affinity
    }
}

/// The sets of sites on which a gang may be placed at present, the best first.
pub fn candidate_sets(
    candidates: &[Candidate],
    demand: Demand<'_>,
    count: usize,
) -> Vec<Vec<Candidate>> {
    if !(demand.step.gang && demand.step.one_rack) {
        return vec![candidates.to_vec()];
    }
    let racks: BTreeSet<&str> =
        candidates.iter().map(|candidate| candidate.rack.as_str()).collect();
    let on_rack = |rack: &&str| -> Vec<Candidate> {
        candidates.iter().filter(|candidate| candidate.rack == **rack).cloned().collect()
    };
    let mut candidate_sets: Vec<Vec<Candidate>> = racks.iter().map(on_rack).collect();
    let fits_when_empty = candidate_sets.iter().any(|set| {
        let mut empty = set.clone();
        empty.iter_mut().for_each(|candidate| candidate.free = candidate.capacity);
        pack(&mut empty, demand, count).len() == count
    });
    if !fits_when_empty || !demand.waits_for_locality() {
        candidate_sets.push(candidates.to_vec());
    }
    candidate_sets
}

/// A choice of workers for some tasks, in the order of the tasks.
pub type Assignment = Vec<(u32, model::Incarnation)>;

/// Finds places for up to `count` tasks of a step. A gang gets all or none.
pub fn choose(candidates: &[Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    if !demand.step.gang {
        return choose_tasks(candidates, demand, count);
    }
    let mut best: Option<((usize, u32, u32), Assignment)> = None;
    for mut set in candidate_sets(candidates, demand, count) {
        let chosen = pack(&mut set, demand, count);
        if chosen.len() < count {
            continue;
        }
        let used = |candidate: &&Candidate| chosen.iter().any(|(host, _)| *host == candidate.host);
        let used: Vec<&Candidate> = set.iter().filter(used).collect();
        let unsuitable = used
            .iter()
            .filter(|candidate| candidate.suspect || (candidate.slow && demand.urgent))
            .count();
        let left =
            set.iter().map(|candidate| candidate.free.accelerators).fold(0, u32::saturating_add);
        // A gang is as fast as its slowest member.
        let slowest = used.iter().map(|candidate| speed_cost(candidate, demand)).max().unwrap_or(0);
        let cost = (unsuitable, left, slowest);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, chosen));
        }
    }
    best.map(|(_, chosen)| chosen).unwrap_or_default()
}

fn choose_tasks(candidates: &[Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    let Some(rack) = &demand.step.affinity else {
        return pack(&mut candidates.to_vec(), demand, count);
    };
    let has_affinity = |candidate: &&Candidate| candidate.rack == *rack;
    let mut set: Vec<Candidate> = candidates.iter().filter(has_affinity).cloned().collect();
    let none_local = set.is_empty();
    let mut chosen = pack(&mut set, demand, count);
    if chosen.len() < count && (none_local || !demand.waits_for_locality()) {
        let mut far: Vec<Candidate> =
            candidates.iter().filter(|candidate| !has_affinity(candidate)).cloned().collect();
        chosen.extend(pack(&mut far, demand, count - chosen.len()));
    }
    chosen
}

/// Puts up to `count` tasks, each where it is best.
fn pack(set: &mut [Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    let need = Resources::of_step(demand.step);
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fits = set
            .iter_mut()
            .filter(|candidate| candidate.spread_left > 0 && candidate.free.covers(need));
        let Some(candidate) = fits.min_by_key(|candidate| cost(candidate, demand, need)) else {
            break;
        };
        candidate.allocate(need);
        chosen.push((candidate.host, candidate.incarnation));
    }
    chosen
}

/// What speaks against a site, in the order in which it matters.
fn cost(candidate: &Candidate, demand: Demand<'_>, need: Resources) -> (bool, bool, u32, u32, u32) {
    let left = candidate.free.saturating_sub(need);
    let unsuitable =
        if demand.low_priority { !candidate.slow } else { candidate.slow && demand.urgent };
    (candidate.suspect, unsuitable, left.accelerators, left.cpu, speed_cost(candidate, demand))
}

/// What a site's speed speaks against it: urgent steps go for the fastest, those that give way to
/// all others for the slowest.
fn speed_cost(candidate: &Candidate, demand: Demand<'_>) -> u32 {
    match (demand.urgent, demand.low_priority) {
        (true, _) => u32::MAX - candidate.speed,
        (false, true) => candidate.speed,
        (false, false) => 0,
    }
}
