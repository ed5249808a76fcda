//! Random sequences of inputs to the planner. After every step the invariants are checked against
//! the test's own model: I1 (all guarantees pack and can be reclaimed) and I2 (gangs are placed
//! whole, and capacity is allocated only after it is free).

use std::collections::{BTreeMap, BTreeSet};

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;
use proptest::prelude::Strategy;
use proptest::test_runner;

use crate::support::plans;

const WORKERS: u32 = 11;

const SLOTS: u32 = 8;

const KINDS: [&str; 5] = ["confirm", "assess", "rebuild", "follow", "tidy"];

#[derive(Clone, Debug)]
enum Event {
    Queue { account: usize, kind: usize, shape: usize },
    Release(usize),
    FailPlacement(usize),
    End(usize, usize),
    EndPreempted(usize),
    Withdraw(usize),
    LoseWorker(u32),
    DisableWorker(u32),
    EnableWorker(u32),
    Configure(usize),
    AdvanceTime(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Placed,
    Running,
    Stopping,
}

struct Job {
    queued: plan::Queued,
    stage: Stage,
    members: Vec<job::Member>,
}

struct Model {
    cell: plans::Cell,
    config: account::Config,
    jobs: BTreeMap<ids::JobKey, Job>,
    usable: BTreeSet<u32>,
    cluster_changed: bool,
    next_key: u64,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let index = 0..64_usize;
    let worker = 0..WORKERS;
    let event = proptest::prop_oneof![
        10 => (0..2_usize, 0..5_usize, 0..6_usize)
            .prop_map(|(account, kind, shape)| Event::Queue { account, kind, shape }),
        8 => index.clone().prop_map(Event::Release),
        1 => index.clone().prop_map(Event::FailPlacement),
        5 => (index.clone(), 0..4_usize).prop_map(|(nth, result)| Event::End(nth, result)),
        4 => index.clone().prop_map(Event::EndPreempted),
        1 => index.prop_map(Event::Withdraw),
        1 => worker.clone().prop_map(Event::LoseWorker),
        1 => worker.clone().prop_map(Event::DisableWorker),
        2 => worker.prop_map(Event::EnableWorker),
        1 => (0..4_usize).prop_map(Event::Configure),
        3 => (0..20_000_u64).prop_map(Event::AdvanceTime),
    ];
    proptest::collection::vec(event, 1..150)
}

fn shape(index: usize) -> shape::Shape {
    let new_shape =
        |tasks, accelerators, adjacency| shape::Shape { tasks, accelerators, adjacency };
    match index {
        0 => new_shape(1, 1, shape::Adjacency::Cell),
        1 => new_shape(1, 4, shape::Adjacency::Cell),
        2 => new_shape(2, 8, shape::Adjacency::Rack),
        3 => new_shape(3, 8, shape::Adjacency::Rack),
        4 => new_shape(4, 4, shape::Adjacency::DataCenter),
        _ => new_shape(6, 2, shape::Adjacency::Cell),
    }
}

fn config(index: usize) -> account::Config {
    let guarantees: &[_] = match index {
        0 => &[],
        1 => &[("big", shape(3), 2), ("small", shape(0), 6)],
        2 => &[("big", shape(2), 1), ("small", shape(4), 1), ("small", shape(1), 4)],
        _ => &[("big", shape(3), 1), ("big", shape(0), 4), ("small", shape(5), 2)],
    };
    plans::config(guarantees)
}

impl Model {
    fn new() -> Self {
        let config = config(1);
        Self {
            cell: plans::Cell::new(config.clone(), WORKERS),
            config,
            jobs: BTreeMap::new(),
            usable: (0..WORKERS).collect(),
            cluster_changed: false,
            next_key: 1,
        }
    }

    fn nth(&self, stages: &[Stage], nth: usize) -> Option<ids::JobKey> {
        let keys: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| stages.contains(&job.stage))
            .map(|(key, _)| *key)
            .collect();
        keys.get(nth % keys.len().max(1)).copied()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Queue { account, kind, shape: index } => {
                let account = ["big", "small"][account];
                let input = plans::queued(self.next_key, account, KINDS[kind], shape(index));
                let plan::Input::Queued(mut queued) = input else { unreachable!() };
                queued.submitted = self.cell.now;
                queued.deadline = self.cell.now + time::HOUR;
                self.next_key += 1;
                self.queue(queued);
            }
            Event::Release(nth) => {
                let Some(key) = self.nth(&[Stage::Placed], nth) else { return };
                self.set_stage(key, Stage::Running);
                self.step(plan::Input::Released(key));
            }
            Event::FailPlacement(nth) => {
                let Some(key) = self.nth(&[Stage::Placed], nth) else { return };
                let worker = self.jobs[&key].members.first().map(|member| member.worker);
                self.set_stage(key, Stage::Waiting);
                self.step(plan::Input::PlaceFailed { job: key, worker });
            }
            Event::End(nth, result) => {
                let Some(key) = self.nth(&[Stage::Running], nth) else { return };
                let worker = self.jobs[&key].members[0].worker;
                let result = match result {
                    0 => plan::RunResult::Failed(worker),
                    1 => plan::RunResult::Cancelled,
                    _ => plan::RunResult::Done,
                };
                self.jobs.remove(&key);
                self.step(plan::Input::Ended { job: key, result });
            }
            Event::EndPreempted(nth) => {
                let Some(key) = self.nth(&[Stage::Stopping], nth) else { return };
                let job = self.jobs.remove(&key).unwrap();
                let result = plan::RunResult::Preempted;
                self.step(plan::Input::Ended { job: key, result });
                self.queue(job.queued);
            }
            Event::Withdraw(nth) => {
                let Some(key) = self.nth(&[Stage::Waiting], nth) else { return };
                self.jobs.remove(&key);
                self.step(plan::Input::Withdrawn(key));
            }
            Event::LoseWorker(worker) => self.lose_worker(worker),
            Event::DisableWorker(worker) => {
                self.cluster_changed = true;
                self.usable.remove(&worker);
                self.step(plans::announce(worker, false));
            }
            Event::EnableWorker(worker) => {
                self.usable.insert(worker);
                self.step(plans::announce(worker, true));
            }
            Event::Configure(index) => {
                self.cluster_changed = true;
                self.config = config(index);
                self.step(plan::Input::Config(self.config.clone()));
            }
            Event::AdvanceTime(millis) => {
                self.cell.now = self.cell.now + time::Millis(millis);
                self.step(plan::Input::Tick);
            }
        }
    }

    fn queue(&mut self, queued: plan::Queued) {
        let job = Job { queued: queued.clone(), stage: Stage::Waiting, members: Vec::new() };
        self.jobs.insert(queued.job, job);
        self.step(plan::Input::Queued(queued));
    }

    fn lose_worker(&mut self, worker: u32) {
        self.cluster_changed = true;
        self.usable.remove(&worker);
        let key = ids::WorkerKey(worker);
        self.step(plan::Input::WorkerLost(key));
        let placed_there = |job: &Job| job.members.iter().any(|member| member.worker == key);
        let lost: Vec<_> =
            self.jobs.iter().filter(|(_, job)| placed_there(job)).map(|(key, _)| *key).collect();
        for key in lost {
            if self.jobs[&key].stage == Stage::Placed {
                self.set_stage(key, Stage::Waiting);
                self.step(plan::Input::PlaceFailed { job: key, worker: None });
            } else {
                self.jobs.remove(&key);
                self.step(plan::Input::Ended { job: key, result: plan::RunResult::Lost });
            }
        }
    }

    fn set_stage(&mut self, key: ids::JobKey, stage: Stage) {
        let job = self.jobs.get_mut(&key).unwrap();
        job.stage = stage;
        if stage == Stage::Waiting {
            job.members.clear();
        }
    }

    fn step(&mut self, input: plan::Input) {
        for output in self.cell.step(input) {
            match output {
                plan::Output::Place { job, members } => self.placed(job, members),
                plan::Output::Preempt { job, .. } => self.preempted(job),
                plan::Output::Refuse { job, .. } => {
                    assert!(
                        self.cluster_changed,
                        "{job} refused although no worker or guarantee changed"
                    );
                    assert_eq!(self.jobs.remove(&job).unwrap().stage, Stage::Waiting);
                }
            }
        }
        self.check_usage();
        self.check_packing();
    }

    /// I2: a placement is whole, adjacent, on usable workers, and for a waiting job.
    fn placed(&mut self, key: ids::JobKey, members: Vec<job::Member>) {
        let job = self.jobs.get_mut(&key).unwrap();
        assert_eq!(job.stage, Stage::Waiting, "{key} placed twice");
        let shape = job.queued.shape;
        assert_eq!(members.iter().map(|member| member.tasks).sum::<u32>(), shape.tasks);
        let workers: Vec<_> = members.iter().map(|member| member.worker.0).collect();
        assert!(workers.iter().all(|worker| self.usable.contains(worker)), "{key} on {workers:?}");
        assert!(adjacent(&workers, shape.adjacency), "{key} of {shape} on {workers:?}");
        job.stage = Stage::Placed;
        job.members = members;
    }

    fn preempted(&mut self, key: ids::JobKey) {
        let job = self.jobs.get_mut(&key).unwrap();
        assert_eq!(job.stage, Stage::Running, "{key} is preempted but not running");
        assert!(preemptible(&self.config, &job.queued), "{key} is not preemptible");
        job.stage = Stage::Stopping;
    }

    /// I2: no capacity is allocated twice; the placements of all jobs fit every worker.
    fn check_usage(&self) {
        let mut usage = BTreeMap::<u32, (u32, u32)>::new();
        for job in self.jobs.values() {
            add_usage(&mut usage, job);
        }
        for (worker, (slots, accelerators)) in usage {
            assert!(slots <= SLOTS && accelerators <= 8, "worker {worker} is overcommitted");
        }
    }

    /// I1: every guarantee is packed beside the non-preemptible jobs or reported as a shortfall.
    fn check_packing(&self) {
        let packing = self.cell.planner.packing();
        let mut reserved = BTreeMap::<u32, (u32, u32)>::new();
        for gang in &packing {
            if gang.parts.is_empty() {
                continue;
            }
            assert_eq!(gang.parts.iter().map(|cell| cell.1).sum::<u32>(), gang.shape.tasks);
            let workers: Vec<_> = gang.parts.iter().map(|(worker, _)| worker.0).collect();
            assert!(adjacent(&workers, gang.shape.adjacency), "{gang:?}");
            let usable = workers.iter().all(|worker| self.usable.contains(worker));
            assert!(usable || !gang.claims.is_empty(), "{gang:?} reserves an unusable worker");
            for &(worker, tasks) in &gang.parts {
                let entry = reserved.entry(worker.0).or_default();
                entry.0 += tasks;
                entry.1 += tasks * gang.shape.accelerators;
            }
        }
        let claims: BTreeSet<_> = packing.iter().flat_map(|gang| gang.claims.clone()).collect();
        for (key, job) in &self.jobs {
            if !claims.contains(key) && !preemptible(&self.config, &job.queued) {
                add_usage(&mut reserved, job);
            }
        }
        for (worker, (slots, accelerators)) in reserved {
            let fits = slots <= SLOTS && accelerators <= 8;
            assert!(fits, "worker {worker} can't hold every guarantee");
        }
        self.check_counts(&packing);
    }

    fn check_counts(&self, packing: &[plan::PackedGang]) {
        let mut unpacked = 0;
        for account in self.config.accounts.values() {
            for guarantee in &account.guarantees {
                let matching = |gang: &&plan::PackedGang| {
                    gang.account == account.name && gang.shape == guarantee.shape && !gang.retired
                };
                let gangs: Vec<_> = packing.iter().filter(matching).collect();
                assert_eq!(gangs.len(), guarantee.count as usize);
                unpacked += gangs.iter().filter(|gang| gang.parts.is_empty()).count();
            }
        }
        let shortfall = self.cell.planner.shortfall();
        assert_eq!(shortfall.is_empty(), unpacked == 0, "{shortfall:?}");
        assert!(
            self.cluster_changed || unpacked == 0,
            "{shortfall:?} although no worker or guarantee changed"
        );
    }

    /// I1: every unclaimed guarantee, claimed in a copy of the planner, starts once the jobs that
    /// are being stopped have ended.
    fn check_reclaim(&self) {
        for gang in self.cell.planner.packing() {
            if gang.parts.is_empty() || gang.retired || !gang.claims.is_empty() {
                continue;
            }
            let mut cell = plans::Cell { planner: self.cell.planner.clone(), now: self.cell.now };
            let mut out = cell.step(plans::queued(u64::MAX, &gang.account, "confirm", gang.shape));
            for key in self.in_stage(Stage::Placed) {
                out.extend(cell.step(plan::Input::Released(key)));
            }
            let mut stopping = self.in_stage(Stage::Stopping);
            stopping.extend(out.iter().filter_map(|output| match output {
                plan::Output::Preempt { job, .. } => Some(*job),
                _ => None,
            }));
            for job in stopping {
                let result = plan::RunResult::Preempted;
                out.extend(cell.step(plan::Input::Ended { job, result }));
            }
            let claimed = out.iter().any(
                |output| matches!(output, plan::Output::Place { job, .. } if job.0 == u64::MAX),
            );
            assert!(claimed, "{gang:?} could not be reclaimed: {out:?}");
        }
    }

    fn in_stage(&self, stage: Stage) -> Vec<ids::JobKey> {
        self.jobs.iter().filter(|(_, job)| job.stage == stage).map(|(key, _)| *key).collect()
    }
}

fn add_usage(usage: &mut BTreeMap<u32, (u32, u32)>, job: &Job) {
    for member in &job.members {
        let entry = usage.entry(member.worker.0).or_default();
        entry.0 += member.tasks;
        entry.1 += member.tasks * job.queued.shape.accelerators;
    }
}

fn preemptible(config: &account::Config, queued: &plan::Queued) -> bool {
    config.kind(&queued.service, &queued.kind).unwrap().repeatable
}

fn adjacent(workers: &[u32], adjacency: shape::Adjacency) -> bool {
    let site = |worker: &u32| match adjacency {
        shape::Adjacency::Cell => 0,
        shape::Adjacency::DataCenter => worker / 3 % 3,
        shape::Adjacency::Rack => worker / 3,
        shape::Adjacency::Worker => *worker,
    };
    workers.iter().map(site).collect::<BTreeSet<_>>().len() <= 1
}

#[test]
fn random_sequences_hold_invariants() {
    let config = test_runner::Config {
        cases: 250,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&events(), |events| {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
            model.check_reclaim();
        }
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}
