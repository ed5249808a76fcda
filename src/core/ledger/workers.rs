//! The workers, their lease epochs and the tasks and accelerators allocated on them.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::ledger::outcome;

/// A worker and its allocations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// The worker's last announcement.
    pub spec: job::WorkerSpec,
    /// Random identity of the agent process that sent the last announcement.
    pub incarnation: u64,
    /// The current lease epoch; work is allocated under this epoch only.
    pub epoch: ids::Epoch,
    /// Whether the worker was announced after it was last lost.
    pub present: bool,
    /// Whether the worker announced that it is leaving and takes no new work.
    pub leaving: bool,
    /// Tasks allocated under the current epoch.
    pub tasks: u32,
    /// Accelerators allocated under the current epoch.
    pub accelerators: u32,
}

/// The workers, indexed by key and by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workers {
    /// Every worker ever announced, by key.
    pub by_key: BTreeMap<ids::WorkerKey, Worker>,
    /// Worker keys by worker name.
    pub by_name: BTreeMap<String, ids::WorkerKey>,
}

impl Workers {
    /// Returns the worker with this key.
    pub fn get(&self, key: ids::WorkerKey) -> Option<&Worker> {
        self.by_key.get(&key)
    }

    /// Returns the worker with this name, and its key.
    pub fn find(&self, name: &str) -> Option<(ids::WorkerKey, &Worker)> {
        let key = *self.by_name.get(name)?;
        Some((key, self.by_key.get(&key)?))
    }

    /// Registers or updates a worker, and returns its key and current epoch.
    ///
    /// An announcement from a new agent process ends the old epoch: the tasks of the old process
    /// are gone.
    pub fn announce(
        &mut self,
        spec: &job::WorkerSpec,
        incarnation: u64,
        leaving: bool,
        events: &mut Vec<outcome::Event>,
    ) -> (ids::WorkerKey, ids::Epoch) {
        let key = match self.by_name.get(&spec.name) {
            Some(key) => *key,
            None => self.insert(spec.clone(), incarnation),
        };
        let worker =
            self.by_key.get_mut(&key).expect("every name in by_name has a worker in by_key");
        if worker.incarnation != incarnation {
            worker.end_epoch();
            events.push(outcome::Event::WorkerLost(key));
        }
        worker.spec = spec.clone();
        worker.incarnation = incarnation;
        worker.leaving = leaving;
        worker.present = true;
        events.push(outcome::Event::WorkerChanged(key));
        (key, worker.epoch)
    }

    fn insert(&mut self, spec: job::WorkerSpec, incarnation: u64) -> ids::WorkerKey {
        let next = self.by_key.last_key_value().map_or(1, |(key, _)| key.0 + 1);
        let key = ids::WorkerKey(next);
        self.by_name.insert(spec.name.clone(), key);
        let worker = Worker {
            spec,
            incarnation,
            epoch: ids::Epoch(1),
            present: false,
            leaving: false,
            tasks: 0,
            accelerators: 0,
        };
        self.by_key.insert(key, worker);
        key
    }

    /// Ends the epoch of a lost worker. Returns false if the epoch is not the worker's current one,
    /// or the worker is already marked as lost.
    pub fn mark_lost(&mut self, key: ids::WorkerKey, epoch: ids::Epoch) -> bool {
        let Some(worker) = self.by_key.get_mut(&key) else { return false };
        if worker.epoch != epoch || !worker.present {
            return false;
        }
        worker.end_epoch();
        worker.present = false;
        true
    }

    /// Returns whether the worker may get new work: present, not leaving and not drained.
    pub fn accepts_work(&self, key: ids::WorkerKey, config: &account::Config) -> bool {
        let Some(worker) = self.by_key.get(&key) else { return false };
        worker.present && !worker.leaving && !config.drained.contains(&worker.spec.name)
    }

    /// Allocates the tasks of a member on its worker; ignored if the member's epoch has ended.
    pub fn allocate(&mut self, member: &job::Member, accelerators: u32) {
        if let Some(worker) = self.worker_in_epoch(member) {
            worker.tasks += member.tasks;
            worker.accelerators += member.tasks * accelerators;
        }
    }

    /// Frees the allocation of a member; ignored if the member's epoch has ended, which freed it.
    pub fn free(&mut self, member: &job::Member, accelerators: u32) {
        if let Some(worker) = self.worker_in_epoch(member) {
            worker.tasks = worker.tasks.saturating_sub(member.tasks);
            let freed = member.tasks * accelerators;
            worker.accelerators = worker.accelerators.saturating_sub(freed);
        }
    }

    fn worker_in_epoch(&mut self, member: &job::Member) -> Option<&mut Worker> {
        let worker = self.by_key.get_mut(&member.worker)?;
        (worker.epoch == member.epoch).then_some(worker)
    }
}

impl Worker {
    fn end_epoch(&mut self) {
        self.epoch = ids::Epoch(self.epoch.0 + 1);
        self.tasks = 0;
        self.accelerators = 0;
    }

    /// Returns whether a member fits beside the existing allocations, under the current epoch.
    pub fn fits(&self, member: &job::Member, service: &str, accelerators: u32) -> bool {
        let slots = u64::from(self.tasks) + u64::from(member.tasks);
        let needed = u64::from(member.tasks) * u64::from(accelerators);
        self.epoch == member.epoch
            && self.spec.services.iter().any(|offered| offered == service)
            && slots <= u64::from(self.spec.slots.min(self.spec.connections))
            && u64::from(self.accelerators) + needed <= u64::from(self.spec.accelerators)
    }
}
