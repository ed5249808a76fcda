//! Drives a scheduler through a workload in virtual time, with one fake pool of workers.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::time;

use crate::baseline::Scheduler;
use crate::workload;

/// From the decision to the start of the tasks, in milliseconds: prepare, commit, start.
const START_DELAY: u64 = 20;

/// From the end of a stopped run to its return to the queue, in milliseconds.
const REQUEUE_DELAY: u64 = 5;

/// How often the scheduler is told the time, in milliseconds.
const TICK: u64 = 500;

/// How often fragmentation is sampled, in milliseconds.
const SAMPLE: u64 = 10_000;

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    /// When its tasks first started.
    pub started: Option<u64>,
    /// When it was done.
    pub done: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// How often it was stopped for others.
    pub stopped: u32,
}

/// The outcome of one drive.
pub struct Outcome {
    /// The fates of the arrivals, in their order.
    pub fates: Vec<Fate>,
    /// The mean of the largest placeable gang over the free accelerators, while jobs arrive.
    pub placeable: f64,
    /// The share of accelerators held, over the same time.
    pub busy: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Start(usize, u32),
    End(usize, u32),
    Stopped(usize, u32),
    Requeue(usize),
    Tick,
    Sample,
}

struct Run {
    members: Vec<job::Member>,
    number: u32,
    running: Option<u64>,
}

/// The state of one drive.
struct Drive<'a> {
    workload: &'a workload::Workload,
    speeds: Vec<u64>,
    free: Vec<u32>,
    left: Vec<u64>,
    runs: BTreeMap<usize, Run>,
    fates: Vec<Fate>,
    events: BTreeSet<(u64, u64, Event)>,
    number: u64,
    attempts: u32,
    open: usize,
    samples: Vec<f64>,
    held: Vec<f64>,
}

/// Runs the whole workload.
pub fn drive(workload: &workload::Workload, scheduler: &mut dyn Scheduler) -> Outcome {
    let workers = workload::workers();
    let mut out = Vec::new();
    let start = time::Tick(0);
    scheduler.step(start, plan::Input::Config(workload.config.clone()), &mut out);
    for (number, spec) in workers.iter().enumerate() {
        let key = ids::WorkerKey(number as u32);
        let input = plan::Input::Worker {
            key,
            spec: spec.clone(),
            epoch: ids::Epoch(1),
            schedulable: true,
        };
        scheduler.step(start, input, &mut out);
    }
    let mut drive = Drive {
        workload,
        speeds: workers.iter().map(|spec| u64::from(spec.speed)).collect(),
        free: workers.iter().map(|spec| spec.accelerators).collect(),
        left: workload.arrivals.iter().map(|arrival| arrival.work).collect(),
        runs: BTreeMap::new(),
        fates: vec![Fate::default(); workload.arrivals.len()],
        events: BTreeSet::new(),
        number: 0,
        attempts: 0,
        open: workload.arrivals.len(),
        samples: Vec::new(),
        held: Vec::new(),
    };
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        drive.at(arrival.queued.submitted.0, Event::Arrive(index));
    }
    drive.at(TICK, Event::Tick);
    drive.at(SAMPLE, Event::Sample);
    drive.run(scheduler);
    Outcome { placeable: mean(&drive.samples), busy: mean(&drive.held), fates: drive.fates }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Drive<'_> {
    fn at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number, event));
    }

    fn run(&mut self, scheduler: &mut dyn Scheduler) {
        let mut out = Vec::new();
        while self.open > 0 {
            let Some((now, _, event)) = self.events.pop_first() else { return };
            if let Some(input) = self.handle(now, event) {
                scheduler.step(time::Tick(now), input, &mut out);
            }
            for output in std::mem::take(&mut out) {
                self.obey(now, output);
            }
        }
    }

    fn handle(&mut self, now: u64, event: Event) -> Option<plan::Input> {
        match event {
            Event::Arrive(index) | Event::Requeue(index) => {
                Some(plan::Input::Queued(self.workload.arrivals[index].queued.clone()))
            }
            Event::Start(index, number) => self.start(now, index, number),
            Event::End(index, number) => self.end(now, index, number),
            Event::Stopped(index, number) => self.stopped(now, index, number),
            Event::Tick => {
                self.at(now + TICK, Event::Tick);
                Some(plan::Input::Tick)
            }
            Event::Sample => {
                let last = self.workload.arrivals.last().map_or(0, |last| last.queued.submitted.0);
                if now < last {
                    self.at(now + SAMPLE, Event::Sample);
                }
                self.sample();
                None
            }
        }
    }

    fn start(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        let run = self.runs.get_mut(&index).filter(|run| run.number == number)?;
        run.running = Some(now);
        self.fates[index].started.get_or_insert(now);
        let speed = slowest(&self.speeds, &run.members);
        self.at(now + (self.left[index] * 100).div_ceil(speed), Event::End(index, number));
        Some(plan::Input::Released(self.key(index)))
    }

    fn end(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        self.clear(index, number)?;
        self.fates[index].done = Some(now);
        self.open -= 1;
        let job = self.key(index);
        Some(plan::Input::Ended { job, result: plan::RunResult::Done })
    }

    fn stopped(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        let run = self.clear(index, number)?;
        let ran = now - run.running.unwrap_or(now);
        if self.grace(index).is_some() {
            let done = ran * slowest(&self.speeds, &run.members) / 100;
            self.left[index] = self.left[index].saturating_sub(done).max(1);
        }
        self.fates[index].stopped += 1;
        self.at(now + REQUEUE_DELAY, Event::Requeue(index));
        let job = self.key(index);
        Some(plan::Input::Ended { job, result: plan::RunResult::Preempted })
    }

    fn clear(&mut self, index: usize, number: u32) -> Option<Run> {
        if self.runs.get(&index)?.number != number {
            return None;
        }
        let run = self.runs.remove(&index)?;
        let accelerators = self.workload.arrivals[index].queued.shape.accelerators;
        for member in &run.members {
            self.free[member.worker.0 as usize] += member.tasks * accelerators;
        }
        Some(run)
    }

    fn obey(&mut self, now: u64, output: plan::Output) {
        match output {
            plan::Output::Place { job, members } => {
                let index = job.0 as usize - 1;
                let accelerators = self.workload.arrivals[index].queued.shape.accelerators;
                for member in &members {
                    self.free[member.worker.0 as usize] -= member.tasks * accelerators;
                }
                self.attempts += 1;
                let number = self.attempts;
                assert!(!self.runs.contains_key(&index), "job placed twice");
                self.runs.insert(index, Run { members, number, running: None });
                self.at(now + START_DELAY, Event::Start(index, number));
            }
            plan::Output::Preempt { job, grace } => {
                let index = job.0 as usize - 1;
                let number = self.runs[&index].number;
                self.at(now + grace.0.max(1), Event::Stopped(index, number));
            }
            plan::Output::Refuse { job, .. } => {
                self.fates[job.0 as usize - 1].refused = true;
                self.open -= 1;
            }
        }
    }

    /// The largest gang of single accelerators that one rack could take, over what could at best
    /// be placeable with as many accelerators free.
    fn sample(&mut self) {
        let free: u32 = self.free.iter().sum();
        let racks = self.free.chunks(3);
        let largest = racks.map(|rack| rack.iter().sum::<u32>()).max().unwrap_or(0);
        let rack = 3 * workload::ACCELERATORS;
        if free > 0 {
            self.samples.push(f64::from(largest) / f64::from(free.min(rack)));
        }
        let all = f64::from(workload::WORKERS * workload::ACCELERATORS);
        self.held.push(1.0 - f64::from(free) / all);
    }

    fn grace(&self, index: usize) -> Option<time::Millis> {
        let queued = &self.workload.arrivals[index].queued;
        self.workload.config.kind(&queued.service, &queued.kind)?.checkpoint
    }

    fn key(&self, index: usize) -> ids::JobKey {
        self.workload.arrivals[index].queued.job
    }
}

fn slowest(speeds: &[u64], members: &[job::Member]) -> u64 {
    let speed = members.iter().map(|member| speeds[member.worker.0 as usize]).min();
    speed.unwrap_or(100)
}
