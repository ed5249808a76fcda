//! Choice of workers for the tasks of a step.
//!
//! The rules cover four kinds of load:
//!
//! - Many small tasks beside large ones: a task takes the worker where it leaves the least capacity
//!   free, so that empty workers stay empty.
//! - Workers of different speed: urgent tasks take slow workers last, and the fastest of equal
//!   ones; tasks of low priority do the opposite.
//! - Gangs that are slower across racks: they take the fullest rack that holds the whole gang, and
//!   no other placement while waiting costs less.
//! - Data on one rack: its workers are used first, others once the step has waited long enough.

use std::collections::BTreeMap;

use crate::core::dispatch::fleet;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::time;
use crate::core::workflow::model;

/// The least time for which a step waits for workers near its data, or a gang for a single rack.
const MIN_LOCALITY_WAIT: time::Millis = time::Millis(1500);

/// The longest time for which a step waits for locality.
const MAX_LOCALITY_WAIT: time::Millis = time::Millis(15_000);

/// The most runs that a worker is given at a time, however little each of them needs. Each of its
/// reports lists all of them.
pub const MAX_WORKER_RUNS: u32 = 1024;

/// The part of [`MAX_WORKER_RUNS`] that is left to urgent work.
pub const URGENT_WORKER_RUNS: u32 = 256;

/// A worker that may take tasks of a step.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The host of the worker's agent.
    pub host: u32,
    /// The incarnation of the worker.
    pub incarnation: model::Incarnation,
    /// The rack of the worker.
    pub rack: fleet::RackKey,
    /// The resources that are neither occupied nor reserved for others.
    pub free: Resources,
    /// The full capacity of the worker.
    pub capacity: Resources,
    /// The number of further tasks of the step that the worker may take.
    pub limit_left: u32,
    /// Whether the worker is slower than the threshold.
    pub slow: bool,
    /// The relative speed, in percent.
    pub speed: u32,
    /// Whether a task has failed on the worker since its last success.
    pub suspect: bool,
}

impl Candidate {
    /// Returns how many tasks of the same need fit into an amount of resources of the worker.
    fn tasks_within(&self, resources: Resources, need: Resources) -> usize {
        let part = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        let tasks = part(resources.cpu, need.cpu)
            .min(part(resources.memory, need.memory))
            .min(part(resources.accelerators, need.accelerators))
            .min(self.limit_left);
        tasks as usize
    }

    /// Subtracts the resources of one task of the step.
    pub fn allocate(&mut self, resources: Resources) {
        self.free = self.free.saturating_sub(resources);
        self.limit_left = self.limit_left.saturating_sub(1);
    }
}

/// A rack that a step prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rack {
    /// A rack with workers.
    Known(fleet::RackKey),
    /// A rack that no worker has announced.
    Unknown,
}

impl Rack {
    fn holds(self, candidate: &Candidate) -> bool {
        self == Self::Known(candidate.rack)
    }
}

/// Resources that are reserved for a step, by host.
pub type Reserved = BTreeMap<u32, Resources>;

/// The demand of a step.
#[derive(Clone, Copy)]
pub struct Demand<'a> {
    /// The step.
    pub step: &'a model::Step,
    /// The rack with the step's data; `None` if it prefers no rack.
    pub data: Option<Rack>,
    /// The pool that runs the step.
    pub pool: &'a str,
    /// Whether the job is urgent.
    pub urgent: bool,
    /// Whether all other ranks take precedence, so that the step avoids the workers that they
    /// prefer.
    pub low_priority: bool,
    /// The time for which the step has waited.
    pub waited: time::Millis,
    /// Whether more than half of the pool's accelerators are in use; otherwise waiting for a better
    /// placement is not worthwhile.
    pub contended: bool,
}

impl Demand<'_> {
    /// Returns how long to wait for workers on which the step runs at full speed: elsewhere it
    /// would take longer by twice its own time.
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

/// Returns the workers of a pool that accept tasks, with all that they have free.
pub fn open_workers(
    workers: &BTreeMap<u32, fleet::Worker>,
    health: &health::Health,
    pool: &str,
    now: order::Timestamp,
) -> Vec<Candidate> {
    let slow = health.slow_threshold();
    let mut open = Vec::new();
    for (host, worker) in workers {
        let Some(announcement) = &worker.announcement else { continue };
        let accepts = worker.accepts_tasks(now.tick) && health.accepts_tasks(*host, now.tick);
        if announcement.pool != pool || !accepts {
            continue;
        }
        let speed = health.speed(*host);
        open.push(Candidate {
            host: *host,
            incarnation: announcement.incarnation,
            rack: worker.rack,
            free: worker.free(),
            capacity: announcement.capacity,
            limit_left: MAX_WORKER_RUNS.saturating_sub(worker.allocated.count() as u32),
            slow: speed < slow,
            speed: (speed * 100.0) as u32,
            suspect: health.is_suspect(*host),
        });
    }
    open
}

/// Returns the open workers that satisfy the constraint of a step, less what is reserved for
/// others and for urgent work. `open` is sorted by host.
pub fn candidates<'a>(
    open: &[Candidate],
    workers: &BTreeMap<u32, fleet::Worker>,
    demand: Demand<'_>,
    reserved: impl Iterator<Item = &'a Reserved>,
) -> Vec<Candidate> {
    let step = demand.step;
    let mut candidates = open.to_vec();
    if !demand.urgent {
        for candidate in &mut candidates {
            candidate.limit_left = candidate.limit_left.saturating_sub(URGENT_WORKER_RUNS);
        }
    }
    for (host, resources) in reserved.flatten() {
        if let Ok(index) = candidates.binary_search_by_key(host, |candidate| candidate.host) {
            candidates[index].free = candidates[index].free.saturating_sub(*resources);
        }
    }
    if let Some(label) = &step.constraint {
        candidates.retain(|candidate| {
            let worker = workers.get(&candidate.host);
            let announcement = worker.and_then(|worker| worker.announcement.as_ref());
            announcement.is_some_and(|announcement| announcement.labels.contains(label))
        });
    }
    if step.worker_limit > 0 {
        for candidate in &mut candidates {
            candidate.limit_left = candidate.limit_left.min(step.worker_limit);
        }
    }
    candidates
}

/// Returns how many tasks of the same need the candidates can take.
pub fn free_places(candidates: &[Candidate], need: Resources) -> usize {
    let each = candidates.iter().map(|candidate| candidate.tasks_within(candidate.free, need));
    each.fold(0, usize::saturating_add)
}

/// Returns how many tasks of the same need the candidates could take if they were idle.
pub fn places(candidates: &[Candidate], need: Resources) -> usize {
    let each = candidates.iter().map(|candidate| candidate.tasks_within(candidate.capacity, need));
    each.fold(0, usize::saturating_add)
}

/// Returns the candidates that a step may use now: those near its data, or all if there are none or
/// the step has waited long enough.
pub fn local_candidates(candidates: &[Candidate], demand: Demand<'_>) -> Vec<Candidate> {
    let Some(rack) = demand.data else { return candidates.to_vec() };
    let local: Vec<Candidate> =
        candidates.iter().filter(|candidate| rack.holds(candidate)).copied().collect();
    if local.is_empty() || !demand.waits_for_locality() { candidates.to_vec() } else { local }
}

/// Returns the sets of candidates on which a gang may be placed now, the best first.
pub fn candidate_sets(
    candidates: &[Candidate],
    demand: Demand<'_>,
    count: usize,
) -> Vec<Vec<Candidate>> {
    if !(demand.step.gang && demand.step.one_rack) {
        return vec![candidates.to_vec()];
    }
    let mut racks: BTreeMap<fleet::RackKey, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(candidate.rack).or_default().push(*candidate);
    }
    let mut candidate_sets: Vec<Vec<Candidate>> = racks.into_values().collect();
    let need = Resources::of_step(demand.step);
    let fits_when_empty = candidate_sets.iter().any(|set| places(set, need) >= count);
    if !fits_when_empty || !demand.waits_for_locality() {
        candidate_sets.push(candidates.to_vec());
    }
    candidate_sets
}

/// The workers assigned to some tasks, in the order of the tasks.
pub type Assignment = Vec<(u32, model::Incarnation)>;

/// Assigns workers to up to `count` tasks of a step. A gang gets all or none.
pub fn choose(candidates: &[Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    if !demand.step.gang {
        return choose_tasks(candidates, demand, count);
    }
    let need = Resources::of_step(demand.step);
    if free_places(candidates, need) < count {
        return Assignment::new();
    }
    let mut best: Option<((usize, u32, u32), Assignment)> = None;
    for mut set in candidate_sets(candidates, demand, count) {
        if free_places(&set, need) < count {
            continue;
        }
        let chosen = pack(&mut set, demand, count);
        let used = |candidate: &&Candidate| chosen.iter().any(|(host, _)| *host == candidate.host);
        let used: Vec<&Candidate> = set.iter().filter(used).collect();
        let unsuitable = used
            .iter()
            .filter(|candidate| candidate.suspect || (candidate.slow && demand.urgent))
            .count();
        let left =
            set.iter().map(|candidate| candidate.free.accelerators).fold(0, u32::saturating_add);
        // The slowest member determines the speed of a gang.
        let slowest = used.iter().map(|candidate| speed_cost(candidate, demand)).max().unwrap_or(0);
        let cost = (unsuitable, left, slowest);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, chosen));
        }
    }
    best.map(|(_, chosen)| chosen).unwrap_or_default()
}

fn choose_tasks(candidates: &[Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    let Some(rack) = demand.data else {
        return pack(&mut candidates.to_vec(), demand, count);
    };
    let has_affinity = |candidate: &&Candidate| rack.holds(candidate);
    let mut set: Vec<Candidate> = candidates.iter().filter(has_affinity).copied().collect();
    let none_local = set.is_empty();
    let mut chosen = pack(&mut set, demand, count);
    if chosen.len() < count && (none_local || !demand.waits_for_locality()) {
        let mut remote: Vec<Candidate> =
            candidates.iter().filter(|candidate| !has_affinity(candidate)).copied().collect();
        chosen.extend(pack(&mut remote, demand, count - chosen.len()));
    }
    chosen
}

/// Assigns up to `count` tasks, each to the cheapest candidate.
fn pack(set: &mut [Candidate], demand: Demand<'_>, count: usize) -> Assignment {
    let need = Resources::of_step(demand.step);
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fits = set
            .iter_mut()
            .filter(|candidate| candidate.limit_left > 0 && candidate.free.covers(need));
        let Some(candidate) = fits.min_by_key(|candidate| cost(candidate, demand, need)) else {
            break;
        };
        candidate.allocate(need);
        chosen.push((candidate.host, candidate.incarnation));
    }
    chosen
}

/// Returns the cost of a candidate, with the most important criterion first.
fn cost(candidate: &Candidate, demand: Demand<'_>, need: Resources) -> (bool, bool, u32, u32, u32) {
    let left = candidate.free.saturating_sub(need);
    let unsuitable =
        if demand.low_priority { !candidate.slow } else { candidate.slow && demand.urgent };
    (candidate.suspect, unsuitable, left.accelerators, left.cpu, speed_cost(candidate, demand))
}

/// Returns the cost of a candidate's speed: urgent steps prefer the fastest workers, those of low
/// priority the slowest.
fn speed_cost(candidate: &Candidate, demand: Demand<'_>) -> u32 {
    match (demand.urgent, demand.low_priority) {
        (true, _) => u32::MAX - candidate.speed,
        (false, true) => candidate.speed,
        (false, false) => 0,
    }
}
