//! The baselines: first in, first out, without and with backfill by declared run times.
//!
//! Both take account of workers, adjacency and slots, but not of guarantees, classes or deadlines.

use std::collections::{BTreeMap, VecDeque};

use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;

/// A scheduler under test.
pub trait Scheduler {
    /// Processes one input and appends the decisions that follow from it to `out`.
    fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>);
}

impl Scheduler for hemlockcleat::core::placement::planner::Planner {
    fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>) {
        self.step(now, input, out);
    }
}

#[derive(Clone)]
struct Worker {
    key: ids::WorkerKey,
    epoch: ids::Epoch,
    center: String,
    rack: String,
    slots: u32,
    accelerators: u32,
}

struct Running {
    queued: plan::Queued,
    members: Vec<job::Member>,
    end: time::Tick,
}

/// A first-in-first-out scheduler, with or without backfill.
pub struct Fifo {
    backfill: bool,
    workers: Vec<Worker>,
    queue: VecDeque<plan::Queued>,
    running: BTreeMap<ids::JobKey, Running>,
}

impl Fifo {
    /// Creates a baseline without workers.
    pub fn new(backfill: bool) -> Self {
        Self { backfill, workers: Vec::new(), queue: VecDeque::new(), running: BTreeMap::new() }
    }

    fn schedule(&mut self, now: time::Tick, out: &mut Vec<plan::Output>) {
        while let Some(head) = self.queue.front() {
            let Some(members) = place(&self.workers, head.shape) else { break };
            let head = self.queue.pop_front().unwrap();
            self.start(now, head, members, out);
        }
        if !self.backfill || self.queue.is_empty() {
            return;
        }
        let (start, reserved) = self.reservation(now);
        let mut index = 1;
        while index < self.queue.len() {
            let job = &self.queue[index];
            let in_time = now + job.run_time <= start;
            let workers: Vec<_> = self
                .workers
                .iter()
                .filter(|worker| in_time || !reserved.contains(&worker.key))
                .cloned()
                .collect();
            match place(&workers, job.shape) {
                Some(members) => {
                    let job = self.queue.remove(index).unwrap();
                    self.start(now, job, members, out);
                }
                None => index += 1,
            }
        }
    }

    /// The start and the workers of the first waiting job if every run ends as declared.
    fn reservation(&self, now: time::Tick) -> (time::Tick, Vec<ids::WorkerKey>) {
        let mut workers = self.workers.clone();
        let mut ends: Vec<_> = self.running.values().collect();
        ends.sort_by_key(|running| (running.end.max(now), running.queued.job));
        for running in ends {
            update_free(&mut workers, &running.members, running.queued.shape.accelerators, true);
            if let Some(members) = place(&workers, self.queue[0].shape) {
                let reserved = members.iter().map(|member| member.worker).collect();
                return (running.end.max(now), reserved);
            }
        }
        (now, Vec::new())
    }

    fn start(
        &mut self,
        now: time::Tick,
        queued: plan::Queued,
        members: Vec<job::Member>,
        out: &mut Vec<plan::Output>,
    ) {
        update_free(&mut self.workers, &members, queued.shape.accelerators, false);
        out.push(plan::Output::Place { job: queued.job, members: members.clone() });
        let end = now + queued.run_time;
        self.running.insert(queued.job, Running { queued, members, end });
    }
}

impl Scheduler for Fifo {
    fn step(&mut self, now: time::Tick, input: plan::Input, out: &mut Vec<plan::Output>) {
        match input {
            plan::Input::Worker { key, spec, epoch, .. } => self.workers.push(Worker {
                key,
                epoch,
                center: spec.data_center,
                rack: spec.rack,
                slots: spec.slots,
                accelerators: spec.accelerators,
            }),
            plan::Input::Queued(queued) => self.queue.push_back(queued),
            plan::Input::Ended { job, .. } => {
                if let Some(running) = self.running.remove(&job) {
                    let accelerators = running.queued.shape.accelerators;
                    update_free(&mut self.workers, &running.members, accelerators, true);
                }
            }
            _ => return,
        }
        self.schedule(now, out);
    }
}

/// The first region that has capacity for all tasks, filled in the order of its workers.
fn place(workers: &[Worker], shape: shape::Shape) -> Option<Vec<job::Member>> {
    let mut regions = BTreeMap::<_, Vec<&Worker>>::new();
    for worker in workers {
        let region = match shape.adjacency {
            shape::Adjacency::Cell => String::new(),
            shape::Adjacency::DataCenter => worker.center.clone(),
            shape::Adjacency::Rack => format!("{}/{}", worker.center, worker.rack),
            shape::Adjacency::Worker => format!("{:09}", worker.key.0),
        };
        regions.entry(region).or_default().push(worker);
    }
    regions.into_values().find_map(|region| fill(&region, shape))
}

fn fill(region: &[&Worker], shape: shape::Shape) -> Option<Vec<job::Member>> {
    let mut remaining = shape.tasks;
    let mut members = Vec::new();
    for worker in region {
        let available = worker.accelerators.checked_div(shape.accelerators).unwrap_or(u32::MAX);
        let tasks = available.min(worker.slots).min(remaining);
        if tasks > 0 {
            members.push(job::Member { worker: worker.key, epoch: worker.epoch, tasks });
            remaining -= tasks;
        }
    }
    (remaining == 0).then_some(members)
}

fn update_free(workers: &mut [Worker], members: &[job::Member], accelerators: u32, release: bool) {
    for member in members {
        let Some(worker) = workers.iter_mut().find(|worker| worker.key == member.worker) else {
            continue;
        };
        if release {
            worker.slots += member.tasks;
            worker.accelerators += member.tasks * accelerators;
        } else {
            worker.slots -= member.tasks;
            worker.accelerators -= member.tasks * accelerators;
        }
    }
}
