//! Random sequences of inputs to the planner, with the invariants checked after every step by
//! books of the test's own: I1 (guarantees pack and can be reclaimed) and I2 (gangs are whole, and
//! nothing is given away before it is free).

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
enum Op {
    Queue { account: usize, kind: usize, shape: usize },
    Release(usize),
    PlaceFail(usize),
    End(usize, usize),
    Stopped(usize),
    Withdraw(usize),
    Lose(u32),
    Leave(u32),
    Back(u32),
    Ticket(usize),
    Wait(u64),
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
    disturbed: bool,
    next: u64,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let any = 0..64_usize;
    let worker = 0..WORKERS;
    let op = proptest::prop_oneof![
        10 => (0..2_usize, 0..5_usize, 0..6_usize)
            .prop_map(|(account, kind, shape)| Op::Queue { account, kind, shape }),
        8 => any.clone().prop_map(Op::Release),
        1 => any.clone().prop_map(Op::PlaceFail),
        5 => (any.clone(), 0..4_usize).prop_map(|(nth, result)| Op::End(nth, result)),
        4 => any.clone().prop_map(Op::Stopped),
        1 => any.prop_map(Op::Withdraw),
        1 => worker.clone().prop_map(Op::Lose),
        1 => worker.clone().prop_map(Op::Leave),
        2 => worker.prop_map(Op::Back),
        1 => (0..4_usize).prop_map(Op::Ticket),
        3 => (0..20_000_u64).prop_map(Op::Wait),
    ];
    proptest::collection::vec(op, 1..150)
}

fn shape(index: usize) -> shape::Shape {
    let of = |tasks, accelerators, adjacency| shape::Shape { tasks, accelerators, adjacency };
    match index {
        0 => of(1, 1, shape::Adjacency::Cell),
        1 => of(1, 4, shape::Adjacency::Cell),
        2 => of(2, 8, shape::Adjacency::Rack),
        3 => of(3, 8, shape::Adjacency::Rack),
        4 => of(4, 4, shape::Adjacency::DataCenter),
        _ => of(6, 2, shape::Adjacency::Cell),
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
            disturbed: false,
            next: 1,
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

    fn apply(&mut self, op: Op) {
        match op {
            Op::Queue { account, kind, shape: index } => {
                let account = ["big", "small"][account];
                let input = plans::queued(self.next, account, KINDS[kind], shape(index));
                let plan::Input::Queued(mut queued) = input else { unreachable!() };
                queued.submitted = self.cell.now;
                queued.deadline = self.cell.now + time::HOUR;
                self.next += 1;
                self.queue(queued);
            }
            Op::Release(nth) => {
                let Some(key) = self.nth(&[Stage::Placed], nth) else { return };
                self.set(key, Stage::Running);
                self.step(plan::Input::Released(key));
            }
            Op::PlaceFail(nth) => {
                let Some(key) = self.nth(&[Stage::Placed], nth) else { return };
                let worker = self.jobs[&key].members.first().map(|member| member.worker);
                self.set(key, Stage::Waiting);
                self.step(plan::Input::PlaceFailed { job: key, worker });
            }
            Op::End(nth, result) => {
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
            Op::Stopped(nth) => {
                let Some(key) = self.nth(&[Stage::Stopping], nth) else { return };
                let job = self.jobs.remove(&key).unwrap();
                let result = plan::RunResult::Preempted;
                self.step(plan::Input::Ended { job: key, result });
                self.queue(job.queued);
            }
            Op::Withdraw(nth) => {
                let Some(key) = self.nth(&[Stage::Waiting], nth) else { return };
                self.jobs.remove(&key);
                self.step(plan::Input::Withdrawn(key));
            }
            Op::Lose(worker) => self.lose(worker),
            Op::Leave(worker) => {
                self.disturbed = true;
                self.usable.remove(&worker);
                self.step(plans::announce(worker, false));
            }
            Op::Back(worker) => {
                self.usable.insert(worker);
                self.step(plans::announce(worker, true));
            }
            Op::Ticket(index) => {
                self.disturbed = true;
                self.config = config(index);
                self.step(plan::Input::Config(self.config.clone()));
            }
            Op::Wait(millis) => {
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

    fn lose(&mut self, worker: u32) {
        self.disturbed = true;
        self.usable.remove(&worker);
        let key = ids::WorkerKey(worker);
        self.step(plan::Input::WorkerLost(key));
        let there = |job: &Job| job.members.iter().any(|member| member.worker == key);
        let lost: Vec<_> =
            self.jobs.iter().filter(|(_, job)| there(job)).map(|(key, _)| *key).collect();
        for key in lost {
            if self.jobs[&key].stage == Stage::Placed {
                self.set(key, Stage::Waiting);
                self.step(plan::Input::PlaceFailed { job: key, worker: None });
            } else {
                self.jobs.remove(&key);
                self.step(plan::Input::Ended { job: key, result: plan::RunResult::Lost });
            }
        }
    }

    fn set(&mut self, key: ids::JobKey, stage: Stage) {
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
                    assert!(self.disturbed, "{job} refused with every worker known");
                    assert_eq!(self.jobs.remove(&job).unwrap().stage, Stage::Waiting);
                }
            }
        }
        self.check_books();
        self.check_packing();
    }

    /// I2: a place is whole, adjacent, on usable workers, and for a job that waits.
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
        assert_eq!(job.stage, Stage::Running, "{key} stopped though it does not run");
        assert!(stoppable(&self.config, &job.queued), "{key} can't be stopped");
        job.stage = Stage::Stopping;
    }

    /// Nothing is given out twice: what all jobs hold fits every worker.
    fn check_books(&self) {
        let mut held = BTreeMap::<u32, (u32, u32)>::new();
        for job in self.jobs.values() {
            add(&mut held, job);
        }
        for (worker, (slots, accelerators)) in held {
            assert!(slots <= SLOTS && accelerators <= 8, "worker {worker} holds too much");
        }
    }

    /// I1: the guarantees are all packed, or named as missing, beside whatever can't be stopped.
    fn check_packing(&self) {
        let packing = self.cell.planner.packing();
        let mut kept = BTreeMap::<u32, (u32, u32)>::new();
        for gang in &packing {
            if gang.parts.is_empty() {
                continue;
            }
            assert_eq!(gang.parts.iter().map(|cell| cell.1).sum::<u32>(), gang.shape.tasks);
            let workers: Vec<_> = gang.parts.iter().map(|(worker, _)| worker.0).collect();
            assert!(adjacent(&workers, gang.shape.adjacency), "{gang:?}");
            let usable = workers.iter().all(|worker| self.usable.contains(worker));
            assert!(usable || !gang.claims.is_empty(), "{gang:?} kept on an unusable worker");
            for &(worker, tasks) in &gang.parts {
                let entry = kept.entry(worker.0).or_default();
                entry.0 += tasks;
                entry.1 += tasks * gang.shape.accelerators;
            }
        }
        let claims: BTreeSet<_> = packing.iter().flat_map(|gang| gang.claims.clone()).collect();
        for (key, job) in &self.jobs {
            if !claims.contains(key) && !stoppable(&self.config, &job.queued) {
                add(&mut kept, job);
            }
        }
        for (worker, (slots, accelerators)) in kept {
            let fits = slots <= SLOTS && accelerators <= 8;
            assert!(fits, "worker {worker} can't give every guarantee back");
        }
        self.check_counts(&packing);
    }

    fn check_counts(&self, packing: &[plan::PackedGang]) {
        let mut missing = 0;
        for account in self.config.accounts.values() {
            for guarantee in &account.guarantees {
                let mine = |gang: &&plan::PackedGang| {
                    gang.account == account.name && gang.shape == guarantee.shape && !gang.retired
                };
                let gangs: Vec<_> = packing.iter().filter(mine).collect();
                assert_eq!(gangs.len(), guarantee.count as usize);
                missing += gangs.iter().filter(|gang| gang.parts.is_empty()).count();
            }
        }
        let named = self.cell.planner.shortfall();
        assert_eq!(named.is_empty(), missing == 0, "{named:?}");
        assert!(self.disturbed || missing == 0, "{named:?} with every worker there");
    }

    /// I1 by trial: each unclaimed guarantee, claimed in a copy, starts once the stopped have
    /// stopped.
    fn check_reclaim(&self) {
        for gang in self.cell.planner.packing() {
            if gang.parts.is_empty() || gang.retired || !gang.claims.is_empty() {
                continue;
            }
            let mut cell = plans::Cell { planner: self.cell.planner.clone(), now: self.cell.now };
            let mut out = cell.step(plans::queued(u64::MAX, &gang.account, "confirm", gang.shape));
            for key in self.of_stage(Stage::Placed) {
                out.extend(cell.step(plan::Input::Released(key)));
            }
            let mut stopping = self.of_stage(Stage::Stopping);
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

    fn of_stage(&self, stage: Stage) -> Vec<ids::JobKey> {
        self.jobs.iter().filter(|(_, job)| job.stage == stage).map(|(key, _)| *key).collect()
    }
}

fn add(held: &mut BTreeMap<u32, (u32, u32)>, job: &Job) {
    for member in &job.members {
        let entry = held.entry(member.worker.0).or_default();
        entry.0 += member.tasks;
        entry.1 += member.tasks * job.queued.shape.accelerators;
    }
}

fn stoppable(config: &account::Config, queued: &plan::Queued) -> bool {
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
    let outcome = runner.run(&ops(), |ops| {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
            model.check_reclaim();
        }
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}
