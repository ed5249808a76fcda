//! The planner's view of the workers: an arena with indices by pool, rack and data centre.
//!
//! Every change of a worker goes through [`Fleet::change`], which updates the indices at a cost
//! that depends on the size of the worker's rack and not of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::ids;
use crate::core::ledger::job;
use crate::core::placement::capacity;

/// The entry of a worker in one index: its available accelerators, whether its whole rack is
/// available, and its position in the arena. The first entry with enough accelerators is the best
/// fit.
type Entry = (i64, bool, usize);

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Key of the worker.
    pub key: ids::WorkerKey,
    /// Lease epoch for new members.
    pub epoch: ids::Epoch,
    /// Whether the worker may get new work.
    pub schedulable: bool,
    /// Whether the worker is known to the ledger and not lost.
    pub alive: bool,
    /// How far the worker is trusted.
    pub trust: capacity::Trust,
    /// Speed in percent of the reference worker.
    pub speed: u32,
    /// Index of the rack.
    pub rack: usize,
    /// Index of the pool.
    pub pool: usize,
    /// Total capacity.
    pub total: capacity::Amount,
    /// Capacity of all jobs with a placement here, including those awaiting preemption.
    pub allocated: capacity::Amount,
    /// Capacity of non-preemptible jobs outside of guarantees.
    pub nonpreemptible: capacity::Amount,
    /// Capacity reserved for guarantees.
    pub reserved: capacity::Amount,
    /// Capacity of preemptible jobs of class idle outside of guarantees.
    pub idle: capacity::Amount,
    /// Capacity of jobs that are being stopped.
    pub stopping: capacity::Amount,
    /// Keys of the jobs with a placement here.
    pub jobs: Vec<ids::JobKey>,
    entries: [Option<Entry>; capacity::AVAILABILITY_COUNT],
    counted_available: [i64; capacity::AVAILABILITY_COUNT],
    counted_accelerators: i64,
}

/// A set of workers with the same services, speed and trust.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Indices of the services offered, sorted.
    pub services: Vec<usize>,
    /// Speed in percent of the reference worker.
    pub speed: u32,
    /// How far the workers are trusted.
    pub trust: capacity::Trust,
    index: [BTreeSet<Entry>; capacity::AVAILABILITY_COUNT],
}

/// A rack.
#[derive(Clone, Debug)]
pub struct Rack {
    /// Index of the data centre.
    pub center: usize,
    /// Positions of its workers, in the order of their first announcement.
    pub workers: Vec<usize>,
    /// Number of accelerators of its usable workers.
    pub total: i64,
    available: [i64; capacity::AVAILABILITY_COUNT],
}

/// A data centre.
#[derive(Clone, Debug, Default)]
pub struct Center {
    /// Indices of its racks.
    pub racks: Vec<usize>,
    available: [i64; capacity::AVAILABILITY_COUNT],
    index: [BTreeSet<(i64, usize)>; capacity::AVAILABILITY_COUNT],
}

/// All workers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Workers by position; a lost worker keeps its position.
    pub workers: Vec<Worker>,
    /// Racks by index.
    pub racks: Vec<Rack>,
    /// Data centres by index.
    pub centers: Vec<Center>,
    /// Pools by index.
    pub pools: Vec<Pool>,
    by_key: BTreeMap<ids::WorkerKey, usize>,
    services: BTreeMap<String, usize>,
    center_names: BTreeMap<String, usize>,
    rack_names: BTreeMap<(usize, String), usize>,
    pool_names: BTreeMap<(Vec<usize>, u32, capacity::Trust), usize>,
}

impl Fleet {
    /// The position of a worker in the arena.
    pub fn find(&self, key: ids::WorkerKey) -> Option<usize> {
        self.by_key.get(&key).copied()
    }

    /// Returns the index of a service, adding it if it is unknown.
    pub fn service(&mut self, name: &str) -> usize {
        if let Some(&service) = self.services.get(name) {
            return service;
        }
        let service = self.services.len();
        self.services.insert(name.to_owned(), service);
        service
    }

    /// Adds a worker, or updates it with a new announcement. Returns its position.
    pub fn announce(
        &mut self,
        key: ids::WorkerKey,
        spec: &job::WorkerSpec,
        epoch: ids::Epoch,
        schedulable: bool,
    ) -> usize {
        let index = match self.find(key) {
            Some(index) => index,
            None => self.insert(key, spec),
        };
        let rack = self.rack(&spec.data_center, &spec.rack);
        self.move_rack(index, rack);
        let services = self.service_set(&spec.services);
        let slots = i64::from(spec.slots.min(spec.connections));
        let total = capacity::Amount { slots, accelerators: i64::from(spec.accelerators) };
        let trust = self.workers[index].trust;
        let pool = self.pool(services, spec.speed, trust);
        self.change(index, |worker| {
            worker.epoch = epoch;
            worker.schedulable = schedulable;
            worker.alive = true;
            worker.speed = spec.speed;
            worker.pool = pool;
            worker.total = total;
        });
        index
    }

    /// Sets how far a worker is trusted.
    pub fn set_trust(&mut self, index: usize, trust: capacity::Trust) {
        let pool = &self.pools[self.workers[index].pool];
        let pool = self.pool(pool.services.clone(), pool.speed, trust);
        self.change(index, |worker| {
            worker.trust = trust;
            worker.pool = pool;
        });
    }

    /// Changes a worker and updates the indices.
    pub fn change(&mut self, index: usize, edit: impl FnOnce(&mut Worker)) {
        let old_pool = self.workers[index].pool;
        edit(&mut self.workers[index]);
        if self.workers[index].pool != old_pool {
            self.remove_entries(index, old_pool);
        }
        let rack_changed = self.update_totals(index);
        self.update_entries(index);
        if rack_changed {
            for peer in self.racks[self.workers[index].rack].workers.clone() {
                self.update_entries(peer);
            }
        }
    }

    /// Whether a worker may get new work or reserved capacity.
    pub fn usable(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        worker.alive && worker.schedulable && worker.trust != capacity::Trust::Probation
    }

    /// Whether a worker offers a service; true if there is no service to offer.
    pub fn offers(&self, index: usize, service: Option<usize>) -> bool {
        let services = &self.pools[self.workers[index].pool].services;
        service.is_none_or(|service| services.binary_search(&service).is_ok())
    }

    /// The available capacity of a worker, whether it is usable or not.
    pub fn available(
        &self,
        index: usize,
        availability: capacity::Availability,
    ) -> capacity::Amount {
        let worker = &self.workers[index];
        let free = worker.total.minus(worker.allocated);
        let reservable = worker.total.minus(worker.nonpreemptible).minus(worker.reserved);
        match availability {
            capacity::Availability::Free => free,
            capacity::Availability::Reservable => reservable,
            capacity::Availability::Spare => free.min(reservable),
            capacity::Availability::Reclaimable => free.plus(worker.idle).plus(worker.stopping),
        }
    }

    /// The usable workers of a pool with at least this number of available accelerators, best fit
    /// first.
    pub fn fitting(
        &self,
        pool: usize,
        availability: capacity::Availability,
        accelerators: i64,
    ) -> impl Iterator<Item = usize> + '_ {
        let from = (accelerators, false, 0);
        self.pools[pool].index[availability as usize].range(from..).map(|entry| entry.2)
    }

    /// The racks of a data centre with at least this number of available accelerators, in ascending
    /// order of that number, which is returned with the index of the rack.
    pub fn racks_with(
        &self,
        center: usize,
        availability: capacity::Availability,
        accelerators: i64,
    ) -> impl DoubleEndedIterator<Item = (i64, usize)> + '_ {
        self.centers[center].index[availability as usize].range((accelerators, 0)..).copied()
    }

    /// The number of available accelerators in a data centre.
    pub fn center_available(&self, center: usize, availability: capacity::Availability) -> i64 {
        self.centers[center].available[availability as usize]
    }

    /// The number of available accelerators in a rack.
    pub fn rack_available(&self, rack: usize, availability: capacity::Availability) -> i64 {
        self.racks[rack].available[availability as usize]
    }

    fn insert(&mut self, key: ids::WorkerKey, spec: &job::WorkerSpec) -> usize {
        let index = self.workers.len();
        let rack = self.rack(&spec.data_center, &spec.rack);
        let pool = self.pool(Vec::new(), spec.speed, capacity::Trust::Good);
        self.racks[rack].workers.push(index);
        self.by_key.insert(key, index);
        self.workers.push(Worker {
            key,
            epoch: ids::Epoch(0),
            schedulable: false,
            alive: false,
            trust: capacity::Trust::Good,
            speed: spec.speed,
            rack,
            pool,
            total: capacity::Amount::default(),
            allocated: capacity::Amount::default(),
            nonpreemptible: capacity::Amount::default(),
            reserved: capacity::Amount::default(),
            idle: capacity::Amount::default(),
            stopping: capacity::Amount::default(),
            jobs: Vec::new(),
            entries: [None; capacity::AVAILABILITY_COUNT],
            counted_available: [0; capacity::AVAILABILITY_COUNT],
            counted_accelerators: 0,
        });
        index
    }

    fn move_rack(&mut self, index: usize, rack: usize) {
        let old = self.workers[index].rack;
        if old == rack {
            return;
        }
        self.change(index, |worker| worker.alive = false);
        self.racks[old].workers.retain(|&peer| peer != index);
        self.racks[rack].workers.push(index);
        self.workers[index].rack = rack;
    }

    fn rack(&mut self, center: &str, rack: &str) -> usize {
        let next = self.centers.len();
        let center = *self.center_names.entry(center.to_owned()).or_insert(next);
        if center == next {
            self.centers.push(Center::default());
        }
        let next = self.racks.len();
        let rack = *self.rack_names.entry((center, rack.to_owned())).or_insert(next);
        if rack == next {
            self.racks.push(Rack {
                center,
                workers: Vec::new(),
                total: 0,
                available: [0; capacity::AVAILABILITY_COUNT],
            });
            self.centers[center].racks.push(rack);
            for index in &mut self.centers[center].index {
                index.insert((0, rack));
            }
        }
        rack
    }

    fn pool(&mut self, services: Vec<usize>, speed: u32, trust: capacity::Trust) -> usize {
        let next = self.pools.len();
        let name = (services.clone(), speed, trust);
        let pool = *self.pool_names.entry(name).or_insert(next);
        if pool == next {
            self.pools.push(Pool { services, speed, trust, index: Default::default() });
        }
        pool
    }

    fn service_set(&mut self, names: &[String]) -> Vec<usize> {
        let mut services: Vec<_> = names.iter().map(|name| self.service(name)).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn remove_entries(&mut self, index: usize, pool: usize) {
        for availability in capacity::Availability::ALL {
            if let Some(entry) = self.workers[index].entries[availability as usize].take() {
                self.pools[pool].index[availability as usize].remove(&entry);
            }
        }
    }

    /// Updates the totals of the worker's rack and data centre. Returns whether the rack became or
    /// ceased to be fully available in some [`capacity::Availability`].
    fn update_totals(&mut self, index: usize) -> bool {
        let usable = self.usable(index);
        let rack_key = self.workers[index].rack;
        let total = if usable { self.workers[index].total.accelerators } else { 0 };
        let before = capacity::Availability::ALL
            .map(|availability| self.fully_available(rack_key, availability));
        let total_change = total - self.workers[index].counted_accelerators;
        self.workers[index].counted_accelerators = total;
        self.racks[rack_key].total += total_change;
        for availability in capacity::Availability::ALL {
            let now = if usable { self.indexed_accelerators(index, availability) } else { 0 };
            let worker = &mut self.workers[index];
            let change = now - worker.counted_available[availability as usize];
            worker.counted_available[availability as usize] = now;
            self.add_available(rack_key, availability, change);
        }
        before
            != capacity::Availability::ALL
                .map(|availability| self.fully_available(rack_key, availability))
    }

    fn add_available(
        &mut self,
        rack_key: usize,
        availability: capacity::Availability,
        change: i64,
    ) {
        if change == 0 {
            return;
        }
        let rack = &mut self.racks[rack_key];
        let center = &mut self.centers[rack.center];
        center.index[availability as usize]
            .remove(&(rack.available[availability as usize], rack_key));
        rack.available[availability as usize] += change;
        center.available[availability as usize] += change;
        center.index[availability as usize]
            .insert((rack.available[availability as usize], rack_key));
    }

    fn fully_available(&self, rack: usize, availability: capacity::Availability) -> bool {
        let rack = &self.racks[rack];
        rack.available[availability as usize] == rack.total
    }

    /// The number of available accelerators of a worker; zero if it has no slot left.
    fn indexed_accelerators(&self, index: usize, availability: capacity::Availability) -> i64 {
        let amount = self.available(index, availability);
        if amount.slots <= 0 { 0 } else { amount.accelerators.max(0) }
    }

    fn update_entries(&mut self, index: usize) {
        let usable = self.usable(index);
        let pool = self.workers[index].pool;
        for availability in capacity::Availability::ALL {
            let fully_available = self.fully_available(self.workers[index].rack, availability);
            let fits = usable && self.available(index, availability).slots > 0;
            let entry = fits
                .then(|| (self.indexed_accelerators(index, availability), fully_available, index));
            let old = self.workers[index].entries[availability as usize];
            if old == entry {
                continue;
            }
            let tree = &mut self.pools[pool].index[availability as usize];
            if let Some(old) = old {
                tree.remove(&old);
            }
            if let Some(entry) = entry {
                tree.insert(entry);
            }
            self.workers[index].entries[availability as usize] = entry;
        }
    }
}
