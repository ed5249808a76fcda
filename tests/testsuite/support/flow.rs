//! Workflows, workers and a leader in memory, for tests of the registry and the dispatcher.

use hemlockcleat::core::dispatch;
use hemlockcleat::core::dispatch::health;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::directory;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;

/// The host part of every queue's address.
pub const HOST: &str = "queues.example";

/// The lease that agents get on their workers, in milliseconds.
pub const LEASE: u64 = 9000;

/// Returns a queue of a rank, at `/pN/`, whose tasks may fail twice.
pub fn queue(priority: u32) -> directory::Queue {
    directory::Queue {
        name: format!("p{priority}"),
        host: HOST.to_owned(),
        prefix: format!("/p{priority}/"),
        pool: "pool".to_owned(),
        priority,
        attempts: 2,
        stretch: 3000,
        latency: 1000,
        timeout: 3000,
        public: false,
    }
}

/// Returns three queues, one pool, and one account with a guarantee of 16 accelerators.
pub fn directory(version: u64) -> directory::Directory {
    directory::Directory {
        version,
        document: format!("version {version}").into_bytes(),
        queues: (0..3).map(queue).collect(),
        pools: vec![directory::Pool {
            name: "pool".to_owned(),
            enforces_capacity: true,
            standby: false,
        }],
        accounts: vec![directory::Account {
            name: "couriers".to_owned(),
            credentials: vec!["key".to_owned()],
            guarantee: 16,
        }],
    }
}

/// Returns a step whose tasks need this many accelerators, with an estimate of two seconds.
pub fn step(count: u32, accelerators: u32) -> model::Step {
    model::Step { count, accelerators, cpu: 1000, memory: 10, estimate: 2000, ..Default::default() }
}

pub fn gang(count: u32, accelerators: u32) -> model::Step {
    model::Step { gang: true, one_rack: true, ..step(count, accelerators) }
}

pub fn incarnation(host: u32, started: u64) -> model::Incarnation {
    model::Incarnation { host, started }
}

/// Returns a worker with 8 accelerators on a rack of three.
pub fn worker(host: u32, started: u64) -> order::Announcement {
    let rack = format!("r{}", host / 3);
    order::Announcement {
        incarnation: incarnation(host, started),
        name: format!("w{host}"),
        pool: "pool".to_owned(),
        labels: vec!["a".to_owned(), rack.clone()],
        rack,
        capacity: order::Resources { cpu: 32_000, memory: 1000, accelerators: 8 },
        draining: false,
    }
}

/// A registry with a leader's dispatcher; proposals are applied immediately and in order.
pub struct World {
    pub registry: registry::Registry,
    pub dispatch: dispatch::Dispatch,
    /// Orders to agents since they were last taken.
    pub orders: Vec<(u32, order::Order)>,
    /// Milliseconds since the start.
    pub now: u64,
    index: u64,
    reports: u64,
}

impl Default for World {
    fn default() -> Self {
        let mut world = Self {
            registry: registry::Registry::default(),
            dispatch: new_leader(&registry::Registry::default(), 0),
            orders: Vec::new(),
            now: 0,
            index: 0,
            reports: 0,
        };
        world.apply(command::Command::Configure(directory(1)));
        world
    }
}

/// Returns a new leader's dispatcher for a registry.
fn new_leader(registry: &registry::Registry, now: u64) -> dispatch::Dispatch {
    let lease = time::Millis(LEASE);
    dispatch::Dispatch::new(registry, health::Health::default(), lease, moment(now))
}

pub fn moment(now: u64) -> order::Timestamp {
    order::Timestamp { tick: time::Tick(now), wall: time::Wall(now) }
}

impl World {
    /// Returns a world with workers on hosts 0 to `count` - 1, in racks of three.
    pub fn with_workers(count: u32) -> Self {
        Self::with_health(count, health::Health::default())
    }

    /// Returns a world whose leader starts with this health of the workers.
    pub fn with_health(count: u32, health: health::Health) -> Self {
        let mut world = Self::default();
        let lease = time::Millis(LEASE);
        world.dispatch = dispatch::Dispatch::new(&world.registry, health, lease, moment(0));
        for host in 0..count {
            world.connect(host);
            world.report(worker(host, 1), &[], &[]);
        }
        world.orders.clear();
        world
    }

    /// Replaces the leader; the state of the previous one is lost.
    pub fn change_leader(&mut self) {
        self.dispatch = new_leader(&self.registry, self.now);
        self.orders.clear();
    }

    pub fn connect(&mut self, host: u32) {
        self.dispatch.connected(host, moment(self.now));
    }

    /// Applies a command as the next entry of the log.
    pub fn apply(&mut self, command: command::Command) -> command::Outcome {
        self.index += 1;
        let mut events = Vec::new();
        let index = ids::LogIndex(self.index);
        let outcome = self.registry.apply(index, time::Wall(self.now), command, &mut events);
        for event in events {
            self.dispatch.event(&self.registry, &event, moment(self.now));
        }
        outcome
    }

    /// Submits a job to the queue of a rank and returns its key.
    pub fn submit(&mut self, priority: u32, id: &str, steps: Vec<model::Step>) -> ids::JobKey {
        let workflow = model::Workflow { spec: "spec".to_owned(), steps, schedule: None };
        self.submit_workflow(priority, id, workflow)
    }

    pub fn submit_workflow(
        &mut self,
        priority: u32,
        id: &str,
        workflow: model::Workflow,
    ) -> ids::JobKey {
        let queue = queue(priority);
        let submission = command::Submission {
            queue: queue.address(),
            id: id.to_owned(),
            account: "couriers".to_owned(),
            pool: queue.pool,
            priority,
            attempts: queue.attempts,
            workflow,
        };
        match self.apply(command::Command::Submit(submission)) {
            command::Outcome::Accepted(key) => ids::JobKey(key),
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Reports a worker with its active runs (task, run and percent) and its ended runs.
    pub fn report(
        &mut self,
        announcement: order::Announcement,
        running: &[(model::TaskName, u32, u32)],
        finished: &[order::Finished],
    ) {
        self.report_as(true, announcement, running, finished);
    }

    /// Reports a worker whose lists are too old to count.
    pub fn report_stale(&mut self, announcement: order::Announcement) {
        self.report_as(false, announcement, &[], &[]);
    }

    fn report_as(
        &mut self,
        fresh: bool,
        announcement: order::Announcement,
        running: &[(model::TaskName, u32, u32)],
        finished: &[order::Finished],
    ) {
        self.reports += 1;
        let running = running.iter().map(|(task, run, percent)| order::Running {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: *percent,
        });
        let report = order::Report {
            sequence: self.reports,
            departed: None,
            drain_left: None,
            fresh,
            running: running.collect(),
            finished: finished.to_vec(),
            worker: Some(announcement),
        };
        let host = report.worker.as_ref().map_or(0, |announcement| announcement.incarnation.host);
        self.dispatch.report(&self.registry, host, report, moment(self.now));
        self.settle();
    }

    /// Advances the time and lets the leader decide.
    pub fn tick(&mut self, millis: u64) {
        self.now += millis;
        self.dispatch.tick(&self.registry, moment(self.now));
        self.settle();
    }

    /// Lets the leader decide, and returns its proposals instead of applying them.
    pub fn propose(&mut self) -> Vec<command::Command> {
        self.dispatch.tick(&self.registry, moment(self.now));
        let effects = self.dispatch.take_effects().into_iter();
        let proposed = effects.filter_map(|effect| match effect {
            order::Effect::Propose(command) => Some(command),
            order::Effect::Order(..)
            | order::Effect::Stopping(..)
            | order::Effect::StepWaited(..)
            | order::Effect::LongWait(..)
            | order::Effect::WorkerLost(..)
            | order::Effect::UnexpectedRun(..) => None,
        });
        proposed.collect()
    }

    /// Applies proposals until there are none, and collects the orders.
    pub fn settle(&mut self) {
        loop {
            let effects = self.dispatch.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    order::Effect::Propose(command) => {
                        self.apply(command);
                    }
                    order::Effect::Order(host, order) => self.orders.push((host, order)),
                    order::Effect::Stopping(..)
                    | order::Effect::StepWaited(..)
                    | order::Effect::LongWait(..)
                    | order::Effect::WorkerLost(..)
                    | order::Effect::UnexpectedRun(..) => {}
                }
            }
        }
    }

    /// Takes the ordered starts: host, task, run.
    pub fn take_starts(&mut self) -> Vec<(u32, model::TaskName, u32)> {
        let orders = std::mem::take(&mut self.orders);
        let starts = orders.into_iter().filter_map(|(host, order)| match order {
            order::Order::Start(start) => Some((host, start.task, start.run)),
            _ => None,
        });
        starts.collect()
    }

    /// Takes the ordered stops: host, task, run.
    pub fn take_stops(&mut self) -> Vec<(u32, model::TaskName, u32)> {
        let orders = std::mem::take(&mut self.orders);
        let stops = orders.into_iter().filter_map(|(host, order)| match order {
            order::Order::Stop { task, run, .. } => Some((host, task, run)),
            _ => None,
        });
        stops.collect()
    }
}

/// Returns the end of a run as its worker lists it.
pub fn finished(
    number: u64,
    task: &model::TaskName,
    run: u32,
    reason: model::EndReason,
) -> order::Finished {
    order::Finished { number, task: task.clone(), run, reason, checkpoint: String::new() }
}
