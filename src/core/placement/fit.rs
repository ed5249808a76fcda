//! The search for a place: which workers take how many tasks of a shape.
//!
//! Best fit, with whole racks kept whole: one worker before one rack before one data centre before
//! the cell, as tight as the shape asks or tighter where that is free; good workers before
//! suspects, one speed before several.

use crate::core::placement::capacity;
use crate::core::placement::fleet;
use crate::core::shape;

/// The most workers looked at for a job that takes one worker.
const MAX_WORKERS_TRIED: usize = 2048;

/// The most racks of a data centre looked at for such a job before the workers are.
const MAX_RACKS_TRIED: usize = 64;

/// The racks with equal room among which the speed decides, in each data centre.
const MAX_TIED_RACKS: usize = 16;

/// A place: workers by their position in the fleet, with the number of tasks on each.
pub type Placement = Vec<(usize, u32)>;

/// What is searched for.
pub struct Query<'a> {
    /// The service that the workers must offer, where it matters.
    pub service: Option<usize>,
    /// The shape.
    pub shape: shape::Shape,
    /// The room it may take.
    pub availability: capacity::Availability,
    /// Whether slower workers are taken first.
    pub slow_first: bool,
    /// Whether a slot is left on each worker for each free accelerator, so that work without
    /// accelerators strands none; [`find`] tries this first by itself.
    pub spare_slots: bool,
    /// Workers that must not be taken.
    pub excluded: &'a dyn Fn(usize) -> bool,
}

impl Query<'_> {
    fn total_accelerators(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// The order in which speeds are taken.
    fn speed_rank(&self, speed: u32) -> i64 {
        let speed = i64::from(speed);
        if self.slow_first { speed } else { -speed }
    }

    fn tasks_on(&self, fleet: &fleet::Fleet, worker: usize) -> u32 {
        if !fleet.usable(worker) || !fleet.offers(worker, self.service) || (self.excluded)(worker) {
            return 0;
        }
        let available = fleet.available(worker, self.availability);
        let tasks = available.max_tasks(self.shape.accelerators);
        if !self.spare_slots {
            return tasks;
        }
        let free = fleet.available(worker, capacity::Availability::Free);
        let spare = (available.slots.min(free.slots) - free.accelerators.max(0)).max(0);
        tasks.min(u32::try_from(spare).unwrap_or(u32::MAX))
    }
}

/// The best place for the shape, if there is one now.
pub fn find(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    if query.shape.accelerators > 0 {
        return find_in(fleet, query);
    }
    find_in(fleet, &Query { spare_slots: true, ..*query }).or_else(|| find_in(fleet, query))
}

fn find_in(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    let adjacency = match query.shape.tasks {
        1 => shape::Adjacency::Worker,
        _ => query.shape.adjacency,
    };
    match adjacency {
        shape::Adjacency::Worker => on_worker(fleet, query),
        shape::Adjacency::Rack => on_rack(fleet, query),
        shape::Adjacency::DataCenter => on_rack(fleet, query).or_else(|| on_center(fleet, query)),
        shape::Adjacency::Cell => on_rack(fleet, query)
            .or_else(|| on_center(fleet, query))
            .or_else(|| on_cell(fleet, query)),
    }
}

/// The pools that offer the service, in the order in which they are tried.
fn pools(fleet: &fleet::Fleet, query: &Query) -> Vec<usize> {
    let offers = |pool: &fleet::Pool| {
        query.service.is_none_or(|service| pool.services.binary_search(&service).is_ok())
    };
    let mut pools: Vec<_> =
        (0..fleet.pools.len()).filter(|&pool| offers(&fleet.pools[pool])).collect();
    pools.sort_by_key(|&pool| {
        let pool = &fleet.pools[pool];
        (pool.trust, query.speed_rank(pool.speed))
    });
    pools
}

fn on_worker(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    let tasks = query.shape.tasks;
    if let Some(worker) = worker_in_fullest_rack(fleet, query) {
        return Some(vec![(worker, tasks)]);
    }
    for pool in pools(fleet, query) {
        let worker = fleet
            .fitting(pool, query.availability, query.total_accelerators())
            .take(MAX_WORKERS_TRIED)
            .find(|&worker| query.tasks_on(fleet, worker) >= tasks);
        if let Some(worker) = worker {
            return Some(vec![(worker, tasks)]);
        }
    }
    None
}

/// The best fit of a good worker in the rack with the least room, among the first racks looked at.
fn worker_in_fullest_rack(fleet: &fleet::Fleet, query: &Query) -> Option<usize> {
    let fits = |worker: &usize| {
        fleet.workers[*worker].trust == capacity::Trust::Good
            && query.tasks_on(fleet, *worker) >= query.shape.tasks
    };
    let best_in = |rack: usize| {
        let workers = fleet.racks[rack].workers.iter().copied().filter(fits);
        workers.min_by_key(|&worker| {
            (fleet.available(worker, query.availability).accelerators, worker)
        })
    };
    let best_of = |center: usize| {
        fleet
            .racks_with(center, query.availability, query.total_accelerators())
            .take(MAX_RACKS_TRIED)
            .find_map(|(available, rack)| Some((available, best_in(rack)?)))
    };
    let centers = 0..fleet.centers.len();
    centers.filter_map(best_of).min().map(|(_, worker)| worker)
}

fn on_rack(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    let mut best: Option<(i64, i64, Placement)> = None;
    for center in 0..fleet.centers.len() {
        let mut ties_left = MAX_TIED_RACKS;
        for (available, rack) in
            fleet.racks_with(center, query.availability, query.total_accelerators())
        {
            if ties_left == 0 || best.as_ref().is_some_and(|(least, ..)| *least < available) {
                break;
            }
            let Some(placement) = fill_uniform(fleet, query, &fleet.racks[rack].workers) else {
                continue;
            };
            ties_left -= 1;
            let speed = query.speed_rank(slowest(fleet, &placement));
            if best
                .as_ref()
                .is_none_or(|(least, least_speed, _)| (available, speed) < (*least, *least_speed))
            {
                best = Some((available, speed, placement));
            }
        }
    }
    best.map(|(.., placement)| placement)
}

fn slowest(fleet: &fleet::Fleet, placement: &Placement) -> u32 {
    placement.iter().map(|&(worker, _)| fleet.workers[worker].speed).min().unwrap_or(0)
}

fn on_center(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    let mut centers: Vec<_> = (0..fleet.centers.len())
        .map(|center| (fleet.center_available(center, query.availability), center))
        .filter(|(available, _)| *available >= query.total_accelerators())
        .collect();
    centers.sort_unstable();
    centers.into_iter().find_map(|(_, center)| {
        let workers = workers_of(fleet, query, center);
        fill_uniform(fleet, query, &workers)
    })
}

fn on_cell(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    let mut centers: Vec<_> = (0..fleet.centers.len())
        .map(|center| (fleet.center_available(center, query.availability), center))
        .collect();
    if centers.iter().map(|(available, _)| available).sum::<i64>() < query.total_accelerators() {
        return None;
    }
    centers.sort_unstable_by(|a, b| b.cmp(a));
    let workers: Vec<_> =
        centers.into_iter().flat_map(|(_, center)| workers_of(fleet, query, center)).collect();
    fill_uniform(fleet, query, &workers)
}

/// The workers of a data centre, those of the emptiest racks first.
fn workers_of(fleet: &fleet::Fleet, query: &Query, center: usize) -> Vec<usize> {
    fleet
        .racks_with(center, query.availability, 0)
        .rev()
        .flat_map(|(_, rack)| fleet.racks[rack].workers.iter().copied())
        .collect()
}

/// Fills workers of one speed if they suffice, else of all speeds.
fn fill_uniform(fleet: &fleet::Fleet, query: &Query, workers: &[usize]) -> Option<Placement> {
    let mut candidates: Vec<_> = Vec::new();
    let mut by_speed = std::collections::BTreeMap::<(capacity::Trust, u32), u64>::new();
    for &worker in workers {
        let tasks = query.tasks_on(fleet, worker);
        if tasks > 0 {
            candidates.push((worker, tasks));
            let state = &fleet.workers[worker];
            *by_speed.entry((state.trust, state.speed)).or_default() += u64::from(tasks);
        }
    }
    let wanted = u64::from(query.shape.tasks);
    if by_speed.values().sum::<u64>() < wanted {
        return None;
    }
    let mut speeds: Vec<_> =
        by_speed.iter().filter(|(_, tasks)| **tasks >= wanted).map(|(key, _)| *key).collect();
    speeds.sort_by_key(|&(trust, speed)| (trust, query.speed_rank(speed)));
    if let Some(&(trust, speed)) = speeds.first() {
        candidates.retain(|&(worker, _)| {
            fleet.workers[worker].trust == trust && fleet.workers[worker].speed == speed
        });
    }
    Some(fill_workers(query.shape.tasks, candidates))
}

/// Spreads the tasks: full workers in the given order, and the rest where it fits best.
fn fill_workers(tasks: u32, candidates: Vec<(usize, u32)>) -> Placement {
    let mut placement = Vec::new();
    let mut left = tasks;
    let mut rest = Vec::new();
    for (worker, available) in candidates {
        if available <= left {
            left -= available;
            placement.push((worker, available));
        } else {
            rest.push((worker, available));
        }
        if left == 0 {
            return placement;
        }
    }
    rest.sort_by_key(|&(worker, available)| (available, worker));
    let adjacency = rest.iter().position(|(_, available)| *available >= left).unwrap_or(0);
    if let Some(&(worker, _)) = rest.get(adjacency) {
        placement.push((worker, left));
    }
    placement
}
