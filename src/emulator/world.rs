//! The sequence of events of an emulation.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time;

use crate::core::dispatch;
use crate::core::dispatch::health;
use crate::core::dispatch::order;
use crate::core::ids;
use crate::core::time::Tick;
use crate::core::time::Wall;
use crate::core::workflow::command;
use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;
use crate::emulator::fleet;
use crate::emulator::load;
use crate::emulator::outcome;

/// The time from a proposal to its commit, in milliseconds.
const COMMIT_TIME: u64 = 15;

/// The time of a message between two hosts, in milliseconds.
const MESSAGE_TIME: u64 = 3;

/// The time between two reports of an agent, in milliseconds.
const REPORT_INTERVAL: u64 = 500;

/// The time between two passes of the leader, in milliseconds; it also decides after each change.
const TICK_INTERVAL: u64 = 100;

/// The resolution with which the share of failing runs is drawn.
const FAILURE_STEPS: u64 = 10_000;

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Submit(usize),
    Cancel(usize),
    Commit(command::Command),
    Order(u32, order::Order),
    End(fleet::DueEnd),
    Report(u32),
    PeriodicReport(u32),
    Tick,
}

/// An event, ordered by time and then by its number.
#[derive(Debug, PartialEq, Eq)]
struct Due {
    at: u64,
    number: u64,
    event: Event,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // A binary heap returns the greatest element first.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct World<'a> {
    load: &'a load::Load,
    jobs: Vec<load::Job>,
    by_id: BTreeMap<String, usize>,
    ended: BTreeMap<usize, (u64, job::Phase)>,
    starts: BTreeMap<usize, outcome::Starts>,
    fleet: fleet::Fleet,
    registry: registry::Registry,
    dispatch: dispatch::Dispatch,
    events: BinaryHeap<Due>,
    now: u64,
    number: u64,
    index: u64,
    decision_time: time::Duration,
    decisions: u64,
}

/// Plays the jobs of a seed and returns the measures.
pub fn run(load: &load::Load, seed: u64) -> outcome::Outcome {
    let registry = registry::Registry::default();
    let lease = dispatch::DEFAULT_LEASE;
    let leader = dispatch::Dispatch::new(&registry, health::Health::default(), lease, moment(0));
    let jobs = load.jobs(seed);
    let mut world = World {
        load,
        by_id: (0..jobs.len()).map(|number| (id(number), number)).collect(),
        jobs,
        ended: BTreeMap::new(),
        starts: BTreeMap::new(),
        fleet: fleet::Fleet::new(load),
        registry,
        dispatch: leader,
        events: BinaryHeap::new(),
        now: 0,
        number: 0,
        index: 0,
        decision_time: time::Duration::ZERO,
        decisions: 0,
    };
    world.prepare();
    world.play();
    outcome::Outcome::new(outcome::Played {
        load,
        jobs: &world.jobs,
        ended: &world.ended,
        starts: &world.starts,
        fleet: &world.fleet,
        decisions: world.decisions,
        decision_time: world.decision_time,
    })
}

fn id(number: usize) -> String {
    format!("{number:016x}")
}

fn moment(now: u64) -> order::Timestamp {
    order::Timestamp { tick: Tick(now), wall: Wall(now) }
}

impl World<'_> {
    fn prepare(&mut self) {
        self.apply(command::Command::Configure(self.load.directory()));
        for host in 0..self.load.workers {
            self.dispatch.connected(host, moment(0));
            self.schedule(u64::from(host) * REPORT_INTERVAL / u64::from(self.load.workers), {
                Event::PeriodicReport(host)
            });
        }
        for number in 0..self.jobs.len() {
            // Agents have reported once before the first job arrives.
            self.jobs[number].arrives += 2 * REPORT_INTERVAL;
            self.schedule(self.jobs[number].arrives, Event::Submit(number));
            if let Some(at) = self.jobs[number].cancelled {
                self.schedule(at + 2 * REPORT_INTERVAL, Event::Cancel(number));
            }
        }
        self.schedule(0, Event::Tick);
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Due { at, number: self.number, event });
    }

    fn play(&mut self) {
        while let Some(due) = self.events.pop() {
            if due.at > self.load.length {
                return;
            }
            self.now = due.at;
            self.handle(due.event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Submit(number) => {
                let submission = self.submission(number);
                self.schedule(
                    now + COMMIT_TIME,
                    Event::Commit(command::Command::Submit(submission)),
                );
            }
            Event::Cancel(number) => {
                let queue = self.queue(number).address();
                let cancel = command::Command::Cancel(queue, id(number));
                self.schedule(now + COMMIT_TIME, Event::Commit(cancel));
            }
            Event::Commit(command) => {
                self.apply(command);
                self.decide(false);
            }
            Event::Order(host, order) => self.carry_out_order(host, order),
            Event::End(end) => {
                for host in self.fleet.end(end.host, &end.run, end.reason, now) {
                    self.schedule(now + MESSAGE_TIME, Event::Report(host));
                }
            }
            Event::Report(host) => {
                self.receive_report(host);
                self.decide(false);
            }
            Event::PeriodicReport(host) => {
                self.receive_report(host);
                self.schedule(now + REPORT_INTERVAL, Event::PeriodicReport(host));
            }
            Event::Tick => {
                self.decide(true);
                self.schedule(now + TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn receive_report(&mut self, host: u32) {
        let report = self.fleet.report(host, self.now);
        self.dispatch.report(&self.registry, host, report, moment(self.now));
        self.carry_out();
    }

    fn decide(&mut self, tick: bool) {
        let (started, now) = (time::Instant::now(), moment(self.now));
        match tick {
            true => self.dispatch.tick(&self.registry, now),
            false => self.dispatch.decide(&self.registry, now),
        }
        self.decision_time += started.elapsed();
        self.decisions += 1;
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for effect in self.dispatch.take_effects() {
            match effect {
                order::Effect::Propose(command) => {
                    self.schedule(self.now + COMMIT_TIME, Event::Commit(command));
                }
                order::Effect::Order(host, order) => {
                    self.schedule(self.now + MESSAGE_TIME, Event::Order(host, order));
                }
                _ => {}
            }
        }
    }

    fn carry_out_order(&mut self, host: u32, order: order::Order) {
        let now = self.now;
        match order {
            order::Order::Grant { .. } => {}
            order::Order::Start(start) => {
                let Some(number) = self.by_id.get(&start.task.id).copied() else { return };
                let first = outcome::Starts { first: now, runs: 0 };
                let starts = self.starts.entry(number).or_insert(first);
                starts.runs = starts.runs.max(start.run);
                let task = self.task(number, &start);
                for end in self.fleet.start(&start, task, now) {
                    self.schedule(end.at, Event::End(end));
                }
            }
            order::Order::Stop { task, run, .. } => {
                let run = (task, run);
                if self.fleet.begin_stop(host, &run) {
                    let at = now + self.load.stop_time / 2;
                    let reason = model::EndReason::Stopped;
                    self.schedule(at, Event::End(fleet::DueEnd { at, host, run, reason }));
                }
            }
            order::Order::Acknowledge { number, .. } => self.fleet.acknowledge(host, number),
        }
    }

    fn apply(&mut self, command: command::Command) {
        self.index += 1;
        let (index, now) = (ids::LogIndex(self.index), moment(self.now));
        let mut events = Vec::new();
        self.registry.apply(index, now.wall, command, &mut events);
        for event in &events {
            if let command::Event::Finished(key) = event {
                let job = &self.registry.jobs[key];
                let number = self.by_id[&job.submission.id];
                self.ended.insert(number, (self.now, job.phase));
            }
            self.dispatch.event(&self.registry, event, now);
        }
        self.carry_out();
    }

    fn queue(&self, number: usize) -> directory::Queue {
        self.load.directory().queues.swap_remove(self.jobs[number].kind)
    }

    fn submission(&self, number: usize) -> command::Submission {
        let (job, queue) = (&self.jobs[number], self.queue(number));
        command::Submission {
            queue: queue.address(),
            id: id(number),
            account: load::account(job.account),
            pool: queue.pool,
            priority: queue.priority,
            attempts: queue.attempts,
            workflow: job.workflow.clone(),
        }
    }

    fn task(&self, number: usize, start: &order::Start) -> fleet::Task {
        let (job, name) = (&self.jobs[number], &start.task);
        let step = &job.workflow.steps[name.step as usize];
        let kind = &self.load.kinds[job.kind];
        // Whether a run fails depends on its name only, so that it is the same under every order of
        // the events.
        let index = if step.gang { 0 } else { name.index };
        let draw = [number as u64, u64::from(name.step), u64::from(index), u64::from(start.run)];
        let draw = draw.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, part| {
            (hash ^ part).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
        });
        let fails = draw % FAILURE_STEPS < (kind.failures * FAILURE_STEPS as f64) as u64;
        fleet::Task {
            work: job.run_times[name.step as usize][name.index as usize],
            gang: if step.gang { step.count } else { 0 },
            one_rack: step.one_rack,
            checkpoints: step.checkpoints,
            resources: order::Resources::of_step(step),
            share: self.load.share(step),
            fails,
        }
    }
}
