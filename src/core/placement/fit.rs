//! The search for a place: which workers take how many tasks of a shape.
//!
//! Best fit, with whole racks kept whole: one worker before one rack before one data centre before
//! the cell, as tight as the shape asks or tighter where that is free; good workers before
//! suspects, one speed before several.

use crate::core::placement::capacity;
use crate::core::placement::fleet;
use crate::core::shape;

/// The most workers looked at for a job that takes one worker.
const MAX_PROBES: usize = 2048;

/// The most racks of a data centre looked at for such a job before the workers are.
const MAX_RACKS: usize = 64;

/// The racks with equal room among which the speed decides, in each data centre.
const MAX_TIES: usize = 16;

/// A place: workers by their position in the fleet, with the number of tasks on each.
pub type Place = Vec<(usize, u32)>;

/// What is searched for.
pub struct Ask<'a> {
    /// The service that the workers must offer, where it matters.
    pub service: Option<usize>,
    /// The shape.
    pub shape: shape::Shape,
    /// The room it may take.
    pub room: capacity::Room,
    /// Whether slower workers are taken first.
    pub slow_first: bool,
    /// Whether a slot is left on each worker for each free accelerator, so that work without
    /// accelerators strands none; [`find`] tries this first by itself.
    pub thrifty: bool,
    /// Workers that must not be taken.
    pub skip: &'a dyn Fn(usize) -> bool,
}

impl Ask<'_> {
    fn wanted(&self) -> i64 {
        i64::try_from(self.shape.total()).unwrap_or(i64::MAX)
    }

    /// The order in which speeds are taken.
    fn speed_rank(&self, speed: u32) -> i64 {
        let speed = i64::from(speed);
        if self.slow_first { speed } else { -speed }
    }

    fn tasks_on(&self, fleet: &fleet::Fleet, worker: usize) -> u32 {
        if !fleet.usable(worker) || !fleet.offers(worker, self.service) || (self.skip)(worker) {
            return 0;
        }
        let room = fleet.room(worker, self.room);
        let tasks = room.tasks(self.shape.accelerators);
        if !self.thrifty {
            return tasks;
        }
        let free = fleet.room(worker, capacity::Room::Free);
        let beyond = (room.slots.min(free.slots) - free.accelerators.max(0)).max(0);
        tasks.min(u32::try_from(beyond).unwrap_or(u32::MAX))
    }
}

/// The best place for the shape, if there is one now.
pub fn find(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    if ask.shape.accelerators > 0 {
        return find_in(fleet, ask);
    }
    find_in(fleet, &Ask { thrifty: true, ..*ask }).or_else(|| find_in(fleet, ask))
}

fn find_in(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    let tight = match ask.shape.tasks {
        1 => shape::Adjacency::Worker,
        _ => ask.shape.adjacency,
    };
    match tight {
        shape::Adjacency::Worker => on_worker(fleet, ask),
        shape::Adjacency::Rack => on_rack(fleet, ask),
        shape::Adjacency::DataCenter => on_rack(fleet, ask).or_else(|| on_center(fleet, ask)),
        shape::Adjacency::Cell => {
            on_rack(fleet, ask).or_else(|| on_center(fleet, ask)).or_else(|| on_cell(fleet, ask))
        }
    }
}

/// The pools that offer the service, in the order in which they are tried.
fn pools(fleet: &fleet::Fleet, ask: &Ask) -> Vec<usize> {
    let offers = |pool: &fleet::Pool| {
        ask.service.is_none_or(|service| pool.services.binary_search(&service).is_ok())
    };
    let mut pools: Vec<_> =
        (0..fleet.pools.len()).filter(|&pool| offers(&fleet.pools[pool])).collect();
    pools.sort_by_key(|&pool| {
        let pool = &fleet.pools[pool];
        (pool.trust, ask.speed_rank(pool.speed))
    });
    pools
}

fn on_worker(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    let tasks = ask.shape.tasks;
    if let Some(worker) = in_fullest_rack(fleet, ask) {
        return Some(vec![(worker, tasks)]);
    }
    for pool in pools(fleet, ask) {
        let worker = fleet
            .fitting(pool, ask.room, ask.wanted())
            .take(MAX_PROBES)
            .find(|&worker| ask.tasks_on(fleet, worker) >= tasks);
        if let Some(worker) = worker {
            return Some(vec![(worker, tasks)]);
        }
    }
    None
}

/// The best fit of a good worker in the rack with the least room, among the first racks looked at.
fn in_fullest_rack(fleet: &fleet::Fleet, ask: &Ask) -> Option<usize> {
    let fits = |worker: &usize| {
        fleet.workers[*worker].trust == capacity::Trust::Good
            && ask.tasks_on(fleet, *worker) >= ask.shape.tasks
    };
    let best_in = |rack: usize| {
        let workers = fleet.racks[rack].workers.iter().copied().filter(fits);
        workers.min_by_key(|&worker| (fleet.room(worker, ask.room).accelerators, worker))
    };
    let best_of = |center: usize| {
        fleet
            .racks_from(center, ask.room, ask.wanted())
            .take(MAX_RACKS)
            .find_map(|(room, rack)| Some((room, best_in(rack)?)))
    };
    let centers = 0..fleet.centers.len();
    centers.filter_map(best_of).min().map(|(_, worker)| worker)
}

fn on_rack(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    let mut best: Option<(i64, i64, Place)> = None;
    for center in 0..fleet.centers.len() {
        let mut ties = MAX_TIES;
        for (room, rack) in fleet.racks_from(center, ask.room, ask.wanted()) {
            if ties == 0 || best.as_ref().is_some_and(|(least, ..)| *least < room) {
                break;
            }
            let Some(place) = fill_one_speed(fleet, ask, &fleet.racks[rack].workers) else {
                continue;
            };
            ties -= 1;
            let speed = ask.speed_rank(slowest(fleet, &place));
            if best.as_ref().is_none_or(|(least, fast, _)| (room, speed) < (*least, *fast)) {
                best = Some((room, speed, place));
            }
        }
    }
    best.map(|(.., place)| place)
}

fn slowest(fleet: &fleet::Fleet, place: &Place) -> u32 {
    place.iter().map(|&(worker, _)| fleet.workers[worker].speed).min().unwrap_or(0)
}

fn on_center(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    let mut centers: Vec<_> = (0..fleet.centers.len())
        .map(|center| (fleet.center_room(center, ask.room), center))
        .filter(|(room, _)| *room >= ask.wanted())
        .collect();
    centers.sort_unstable();
    centers.into_iter().find_map(|(_, center)| {
        let workers = workers_of(fleet, ask, center);
        fill_one_speed(fleet, ask, &workers)
    })
}

fn on_cell(fleet: &fleet::Fleet, ask: &Ask) -> Option<Place> {
    let mut centers: Vec<_> = (0..fleet.centers.len())
        .map(|center| (fleet.center_room(center, ask.room), center))
        .collect();
    if centers.iter().map(|(room, _)| room).sum::<i64>() < ask.wanted() {
        return None;
    }
    centers.sort_unstable_by(|a, b| b.cmp(a));
    let workers: Vec<_> =
        centers.into_iter().flat_map(|(_, center)| workers_of(fleet, ask, center)).collect();
    fill_one_speed(fleet, ask, &workers)
}

/// The workers of a data centre, those of the emptiest racks first.
fn workers_of(fleet: &fleet::Fleet, ask: &Ask, center: usize) -> Vec<usize> {
    fleet
        .racks_from(center, ask.room, 0)
        .rev()
        .flat_map(|(_, rack)| fleet.racks[rack].workers.iter().copied())
        .collect()
}

/// Fills workers of one speed if they suffice, else of all speeds.
fn fill_one_speed(fleet: &fleet::Fleet, ask: &Ask, workers: &[usize]) -> Option<Place> {
    let mut able: Vec<_> = Vec::new();
    let mut by_speed = std::collections::BTreeMap::<(capacity::Trust, u32), u64>::new();
    for &worker in workers {
        let tasks = ask.tasks_on(fleet, worker);
        if tasks > 0 {
            able.push((worker, tasks));
            let state = &fleet.workers[worker];
            *by_speed.entry((state.trust, state.speed)).or_default() += u64::from(tasks);
        }
    }
    let wanted = u64::from(ask.shape.tasks);
    if by_speed.values().sum::<u64>() < wanted {
        return None;
    }
    let mut speeds: Vec<_> =
        by_speed.iter().filter(|(_, tasks)| **tasks >= wanted).map(|(key, _)| *key).collect();
    speeds.sort_by_key(|&(trust, speed)| (trust, ask.speed_rank(speed)));
    if let Some(&(trust, speed)) = speeds.first() {
        able.retain(|&(worker, _)| {
            fleet.workers[worker].trust == trust && fleet.workers[worker].speed == speed
        });
    }
    Some(fill(ask.shape.tasks, able))
}

/// Spreads the tasks: full workers in the given order, and the rest where it fits best.
fn fill(tasks: u32, able: Vec<(usize, u32)>) -> Place {
    let mut place = Vec::new();
    let mut left = tasks;
    let mut rest = Vec::new();
    for (worker, room) in able {
        if room <= left {
            left -= room;
            place.push((worker, room));
        } else {
            rest.push((worker, room));
        }
        if left == 0 {
            return place;
        }
    }
    rest.sort_by_key(|&(worker, room)| (room, worker));
    let tight = rest.iter().position(|(_, room)| *room >= left).unwrap_or(0);
    if let Some(&(worker, _)) = rest.get(tight) {
        place.push((worker, left));
    }
    place
}
