//! The planner: which waiting job starts where.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::account;
use crate::core::ids;
use crate::core::placement::fit;
use crate::core::placement::fleet;
use crate::core::placement::plan;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;

/// A job's position in the queue: its class, its deadline, its key.
type Rank = (account::Class, time::Tick, ids::JobKey);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Placed,
}

#[derive(Clone, Debug)]
struct Job {
    queued: plan::Queued,
    class: account::Class,
    stage: Stage,
    place: fit::Place,
}

/// The decisions of one cell.
#[derive(Debug, Default)]
pub struct Planner {
    config: account::Config,
    fleet: fleet::Fleet,
    jobs: BTreeMap<ids::JobKey, Job>,
    queue: BTreeSet<Rank>,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one input in and appends the decisions that follow from it.
    pub fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>) {
        let _ = now;
        match input {
            plan::Input::Config(config) => self.config = config,
            plan::Input::Worker { key, spec, epoch, open } => {
                let open = open && !self.config.drained.contains(&spec.name);
                self.fleet.announce(key, &spec, epoch, open);
            }
            plan::Input::WorkerLost(key) => {
                if let Some(index) = self.fleet.find(key) {
                    self.fleet.change(index, |worker| worker.alive = false);
                }
            }
            plan::Input::Queued(queued) => self.enqueue(queued),
            plan::Input::Running { queued, members, .. } => self.running(queued, &members),
            plan::Input::Released(_) | plan::Input::Tick => {}
            plan::Input::PlaceFailed { job, .. } => self.requeue(job),
            plan::Input::Ended { job, .. } => self.remove(job),
            plan::Input::Withdrawn(job) => self.remove(job),
        }
        self.schedule(out);
    }

    /// The guarantees that can't be packed now: the account, and what is missing.
    pub fn shortfall(&self) -> Vec<(String, String)> {
        Vec::new()
    }

    /// What is known of a worker's health: `good`, `suspect`, `probation` or `unknown`.
    pub fn health(&self, key: ids::WorkerKey) -> &'static str {
        match self.fleet.find(key) {
            Some(_) => "good",
            None => "unknown",
        }
    }

    fn enqueue(&mut self, queued: plan::Queued) {
        if self.jobs.contains_key(&queued.job) {
            return;
        }
        let class = self.class(&queued);
        self.queue.insert((class, queued.deadline, queued.job));
        let job = Job { class, stage: Stage::Waiting, place: Vec::new(), queued };
        self.jobs.insert(job.queued.job, job);
    }

    fn class(&self, queued: &plan::Queued) -> account::Class {
        let kind = self.config.kind(&queued.service, &queued.kind);
        kind.map_or(account::Class::Deferred, |kind| kind.class)
    }

    fn running(&mut self, queued: plan::Queued, members: &[crate::core::ledger::job::Member]) {
        let class = self.class(&queued);
        let place: fit::Place = members
            .iter()
            .filter_map(|member| Some((self.fleet.find(member.worker)?, member.tasks)))
            .collect();
        self.hold(&place, queued.shape.accelerators, true);
        let job = Job { class, stage: Stage::Placed, place, queued };
        self.jobs.insert(job.queued.job, job);
    }

    fn requeue(&mut self, key: ids::JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let place = std::mem::take(&mut job.place);
        job.stage = Stage::Waiting;
        let accelerators = job.queued.shape.accelerators;
        self.queue.insert((job.class, job.queued.deadline, key));
        self.hold(&place, accelerators, false);
    }

    fn remove(&mut self, key: ids::JobKey) {
        let Some(job) = self.jobs.remove(&key) else { return };
        self.queue.remove(&(job.class, job.queued.deadline, key));
        self.hold(&job.place, job.queued.shape.accelerators, false);
    }

    fn hold(&mut self, place: &fit::Place, accelerators: u32, take: bool) {
        for &(worker, tasks) in place {
            let amount = fleet::Amount::of(tasks, accelerators);
            self.fleet.change(worker, |worker| {
                worker.held =
                    if take { worker.held.plus(amount) } else { worker.held.minus(amount) };
            });
        }
    }

    fn schedule(&mut self, out: &mut Vec<plan::Output>) {
        let mut blocked = BTreeSet::new();
        let mut pending = false;
        for rank in self.queue.clone() {
            let (class, _, key) = rank;
            if class == account::Class::Idle && pending {
                return;
            }
            let job = &self.jobs[&key];
            let (name, shape) = (job.queued.service.clone(), job.queued.shape);
            let service = self.fleet.service(&name);
            if blocked.contains(&(service, shape)) {
                pending = true;
            } else if let Some(place) = self.find(service, shape) {
                self.queue.remove(&rank);
                self.place(key, place, out);
            } else if let Some(refusal) = self.unplaceable(service, shape) {
                self.queue.remove(&rank);
                self.jobs.remove(&key);
                out.push(plan::Output::Refuse { job: key, refusal });
            } else {
                pending = true;
                blocked.insert((service, shape));
            }
        }
    }

    fn find(&self, service: usize, shape: shape::Shape) -> Option<fit::Place> {
        let service = Some(service);
        let room = fleet::Room::Free;
        fit::find(
            &self.fleet,
            &fit::Ask { service, shape, room, slow_first: false, skip: &|_| false },
        )
    }

    fn place(&mut self, key: ids::JobKey, place: fit::Place, out: &mut Vec<plan::Output>) {
        let accelerators = self.jobs[&key].queued.shape.accelerators;
        self.hold(&place, accelerators, true);
        let members = place
            .iter()
            .map(|&(worker, tasks)| {
                let worker = &self.fleet.workers[worker];
                crate::core::ledger::job::Member { worker: worker.key, epoch: worker.epoch, tasks }
            })
            .collect();
        if let Some(job) = self.jobs.get_mut(&key) {
            job.place = place;
            job.stage = Stage::Placed;
        }
        out.push(plan::Output::Place { job: key, members });
    }

    /// Why no set of known workers could ever hold the shape, if that is so.
    fn unplaceable(&self, service: usize, shape: shape::Shape) -> Option<verdict::Refusal> {
        if self.fleet.workers.is_empty() {
            return None;
        }
        let mut empty = self.fleet.clone();
        for index in 0..empty.workers.len() {
            empty.change(index, |worker| {
                worker.alive = true;
                worker.open = true;
                worker.trust = fleet::Trust::Good;
                worker.held = fleet::Amount::default();
            });
        }
        let room = fleet::Room::Free;
        let service = Some(service);
        let ask = fit::Ask { service, shape, room, slow_first: false, skip: &|_| false };
        match fit::find(&empty, &ask) {
            Some(_) => None,
            None => Some(verdict::Refusal::not_run(
                verdict::Reason::Unplaceable,
                format!("no set of known workers holds {shape}"),
            )),
        }
    }
}
