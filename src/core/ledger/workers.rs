//! The workers, their lease epochs and what is granted on them.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::ledger::outcome;

/// A worker as the ledger knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// What it announced last.
    pub spec: job::WorkerSpec,
    /// The run of the agent that announced it.
    pub incarnation: u64,
    /// The epoch under which it gets work.
    pub epoch: ids::Epoch,
    /// Whether it has been announced since its last loss.
    pub present: bool,
    /// Whether it is leaving of itself.
    pub leaving: bool,
    /// Tasks granted under the present epoch.
    pub tasks: u32,
    /// Accelerators granted under the present epoch.
    pub accelerators: u32,
}

/// Workers by key and by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workers {
    /// Workers by key.
    pub by_key: BTreeMap<ids::WorkerKey, Worker>,
    /// Keys by name.
    pub by_name: BTreeMap<String, ids::WorkerKey>,
}

impl Workers {
    /// The worker with this key.
    pub fn get(&self, key: ids::WorkerKey) -> Option<&Worker> {
        self.by_key.get(&key)
    }

    /// The worker with this name.
    pub fn find(&self, name: &str) -> Option<(ids::WorkerKey, &Worker)> {
        let key = *self.by_name.get(name)?;
        Some((key, self.by_key.get(&key)?))
    }

    /// Takes an announcement. A new run of the agent ends the old epoch.
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
        let worker = self.by_key.get_mut(&key).expect("every name has its worker");
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

    /// Ends a worker's epoch. False if it had ended before.
    pub fn mark_lost(&mut self, key: ids::WorkerKey, epoch: ids::Epoch) -> bool {
        let Some(worker) = self.by_key.get_mut(&key) else { return false };
        if worker.epoch != epoch || !worker.present {
            return false;
        }
        worker.end_epoch();
        worker.present = false;
        true
    }

    /// Whether a worker may get new work.
    pub fn accepts_work(&self, key: ids::WorkerKey, config: &account::Config) -> bool {
        let Some(worker) = self.by_key.get(&key) else { return false };
        worker.present && !worker.leaving && !config.drained.contains(&worker.spec.name)
    }

    /// Grants the tasks of a member on its worker.
    pub fn grant(&mut self, member: &job::Member, accelerators: u32) {
        if let Some(worker) = self.worker_in_epoch(member) {
            worker.tasks += member.tasks;
            worker.accelerators += member.tasks * accelerators;
        }
    }

    /// Takes a grant back.
    pub fn free(&mut self, member: &job::Member, accelerators: u32) {
        if let Some(worker) = self.worker_in_epoch(member) {
            worker.tasks = worker.tasks.saturating_sub(member.tasks);
            let count = member.tasks * accelerators;
            worker.accelerators = worker.accelerators.saturating_sub(count);
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

    /// Whether a member fits beside what is granted here.
    pub fn fits(&self, member: &job::Member, service: &str, accelerators: u32) -> bool {
        let slots = u64::from(self.tasks) + u64::from(member.tasks);
        let wanted = u64::from(member.tasks) * u64::from(accelerators);
        self.epoch == member.epoch
            && self.spec.services.iter().any(|offered| offered == service)
            && slots <= u64::from(self.spec.slots.min(self.spec.connections))
            && u64::from(self.accelerators) + wanted <= u64::from(self.spec.accelerators)
    }
}
