//! Simulates a scheduler on a workload in virtual time, with one simulated set of workers.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::time;

use crate::baseline::Scheduler;
use crate::workload;

/// Time from a decision to the start of the tasks, in milliseconds: prepare, commit, start.
const START_DELAY_MS: u64 = 20;

/// Time from the end of a preempted run to its return to the queue, in milliseconds.
const REQUEUE_DELAY_MS: u64 = 5;

/// Interval at which the scheduler gets the time, in milliseconds.
const TICK_MS: u64 = 500;

/// Interval at which fragmentation is sampled, in milliseconds.
const SAMPLE_MS: u64 = 10_000;

/// The outcome of a job.
#[derive(Clone, Debug, Default)]
pub struct JobOutcome {
    /// Time at which its tasks first started, in milliseconds.
    pub started: Option<u64>,
    /// Time at which it was done, in milliseconds.
    pub done: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Number of times it was preempted.
    pub preemptions: u32,
}

/// The result of a simulation.
pub struct SimulationResult {
    /// The outcomes of the jobs, in the order of the arrivals.
    pub outcomes: Vec<JobOutcome>,
    /// The mean ratio of the largest placeable gang to the free accelerators, while jobs arrive.
    pub placeable: f64,
    /// The mean share of accelerators in use, over the same time.
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

/// The state of a simulation.
struct Simulation<'a> {
    workload: &'a workload::Workload,
    speeds: Vec<u64>,
    free: Vec<u32>,
    remaining: Vec<u64>,
    runs: BTreeMap<usize, Run>,
    outcomes: Vec<JobOutcome>,
    events: BTreeSet<(u64, u64, Event)>,
    number: u64,
    attempts: u32,
    unfinished: usize,
    placeable_samples: Vec<f64>,
    busy_samples: Vec<f64>,
}

/// Simulates the whole workload.
pub fn simulate(workload: &workload::Workload, scheduler: &mut dyn Scheduler) -> SimulationResult {
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
    let mut simulation = Simulation {
        workload,
        speeds: workers.iter().map(|spec| u64::from(spec.speed)).collect(),
        free: workers.iter().map(|spec| spec.accelerators).collect(),
        remaining: workload.arrivals.iter().map(|arrival| arrival.run_ms).collect(),
        runs: BTreeMap::new(),
        outcomes: vec![JobOutcome::default(); workload.arrivals.len()],
        events: BTreeSet::new(),
        number: 0,
        attempts: 0,
        unfinished: workload.arrivals.len(),
        placeable_samples: Vec::new(),
        busy_samples: Vec::new(),
    };
    for (index, arrival) in workload.arrivals.iter().enumerate() {
        simulation.schedule(arrival.queued.submitted.0, Event::Arrive(index));
    }
    simulation.schedule(TICK_MS, Event::Tick);
    simulation.schedule(SAMPLE_MS, Event::Sample);
    simulation.run(scheduler);
    SimulationResult {
        placeable: mean(&simulation.placeable_samples),
        busy: mean(&simulation.busy_samples),
        outcomes: simulation.outcomes,
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number, event));
    }

    fn run(&mut self, scheduler: &mut dyn Scheduler) {
        let mut out = Vec::new();
        while self.unfinished > 0 {
            let Some((now, _, event)) = self.events.pop_first() else { return };
            if let Some(input) = self.handle(now, event) {
                scheduler.step(time::Tick(now), input, &mut out);
            }
            for output in std::mem::take(&mut out) {
                self.apply(now, output);
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
                self.schedule(now + TICK_MS, Event::Tick);
                Some(plan::Input::Tick)
            }
            Event::Sample => {
                let last = self.workload.arrivals.last().map_or(0, |last| last.queued.submitted.0);
                if now < last {
                    self.schedule(now + SAMPLE_MS, Event::Sample);
                }
                self.sample();
                None
            }
        }
    }

    fn start(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        let run = self.runs.get_mut(&index).filter(|run| run.number == number)?;
        run.running = Some(now);
        self.outcomes[index].started.get_or_insert(now);
        let speed = slowest(&self.speeds, &run.members);
        self.schedule(
            now + (self.remaining[index] * 100).div_ceil(speed),
            Event::End(index, number),
        );
        Some(plan::Input::Released(self.key(index)))
    }

    fn end(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        self.remove_run(index, number)?;
        self.outcomes[index].done = Some(now);
        self.unfinished -= 1;
        let job = self.key(index);
        Some(plan::Input::Ended { job, result: plan::RunResult::Done })
    }

    fn stopped(&mut self, now: u64, index: usize, number: u32) -> Option<plan::Input> {
        let run = self.remove_run(index, number)?;
        let ran = now - run.running.unwrap_or(now);
        if self.grace(index).is_some() {
            let done = ran * slowest(&self.speeds, &run.members) / 100;
            self.remaining[index] = self.remaining[index].saturating_sub(done).max(1);
        }
        self.outcomes[index].preemptions += 1;
        self.schedule(now + REQUEUE_DELAY_MS, Event::Requeue(index));
        let job = self.key(index);
        Some(plan::Input::Ended { job, result: plan::RunResult::Preempted })
    }

    fn remove_run(&mut self, index: usize, number: u32) -> Option<Run> {
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

    fn apply(&mut self, now: u64, output: plan::Output) {
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
                self.schedule(now + START_DELAY_MS, Event::Start(index, number));
            }
            plan::Output::Preempt { job, grace } => {
                let index = job.0 as usize - 1;
                let number = self.runs[&index].number;
                self.schedule(now + grace.0.max(1), Event::Stopped(index, number));
            }
            plan::Output::Refuse { job, .. } => {
                self.outcomes[job.0 as usize - 1].refused = true;
                self.unfinished -= 1;
            }
        }
    }

    /// Samples the accelerators in use and the largest gang of single-accelerator tasks that one
    /// rack could take, divided by the largest that could be placed with the same number of free
    /// accelerators.
    fn sample(&mut self) {
        let free: u32 = self.free.iter().sum();
        let racks = self.free.chunks(3);
        let largest = racks.map(|rack| rack.iter().sum::<u32>()).max().unwrap_or(0);
        let rack = 3 * workload::ACCELERATORS;
        if free > 0 {
            self.placeable_samples.push(f64::from(largest) / f64::from(free.min(rack)));
        }
        let all = f64::from(workload::WORKERS * workload::ACCELERATORS);
        self.busy_samples.push(1.0 - f64::from(free) / all);
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
