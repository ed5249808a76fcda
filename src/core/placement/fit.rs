//! The search for a placement: which workers take how many tasks of a shape.
//!
//! The search is a best fit that keeps racks fully available: it prefers one worker to one rack,
//! one rack to one data centre, and one data centre to the whole cell, as tight as the shape
//! requires or tighter where that costs nothing; good workers to suspect ones, and workers of one
//! speed to several speeds.

use crate::core::placement::capacity;
use crate::core::placement::fleet;
use crate::core::shape;

/// Maximum number of workers of a pool tried for a job that runs on one worker.
const MAX_WORKERS_TRIED: usize = 2048;

/// Maximum number of racks tried in each data centre for a job that runs on one worker, before the
/// pools are searched.
const MAX_RACKS_TRIED: usize = 64;

/// Maximum number of equally available racks compared by speed in each data centre.
const MAX_TIED_RACKS: usize = 16;

/// The positions of workers in the fleet, with the number of tasks on each.
pub type Placement = Vec<(usize, u32)>;

/// What a search asks for.
pub struct Query<'a> {
    /// Index of the service that the workers must offer, if any.
    pub service: Option<usize>,
    /// Shape to place.
    pub shape: shape::Shape,
    /// Capacity that the placement may use.
    pub availability: capacity::Availability,
    /// Whether slower workers are used first.
    pub slow_first: bool,
    /// Whether one slot is left on each worker for each free accelerator, so that tasks without
    /// accelerators don't make accelerators unusable; [`find`] tries this first for such tasks.
    pub reserve_slots: bool,
    /// Whether a worker must not be used.
    pub excluded: &'a dyn Fn(usize) -> bool,
}

impl Query<'_> {
    fn total_accelerators(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// The sort key for speeds, preferred speeds first.
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
        if !self.reserve_slots {
            return tasks;
        }
        let free = fleet.available(worker, capacity::Availability::Free);
        let spare = (available.slots.min(free.slots) - free.accelerators.max(0)).max(0);
        tasks.min(u32::try_from(spare).unwrap_or(u32::MAX))
    }
}

/// The best placement for the shape, if one is available now.
pub fn find(fleet: &fleet::Fleet, query: &Query) -> Option<Placement> {
    if query.shape.accelerators > 0 {
        return find_in(fleet, query);
    }
    find_in(fleet, &Query { reserve_slots: true, ..*query }).or_else(|| find_in(fleet, query))
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

/// The best-fitting good worker in the rack with the fewest available accelerators, among the first
/// racks tried.
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

/// Fills workers of one speed and trust if they suffice, else any of the workers.
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

/// Spreads the tasks: fills workers completely in the given order, and puts the rest on the worker
/// that fits it best.
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
    let best_fit = rest.iter().position(|(_, available)| *available >= left).unwrap_or(0);
    if let Some(&(worker, _)) = rest.get(best_fit) {
        placement.push((worker, left));
    }
    placement
}
