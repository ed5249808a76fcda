//! Passes over many waiting tasks: what they look at, and in which order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::core::dispatch::fit;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::dispatch::queue;
use hemlockcleat::core::dispatch::ranks;
use hemlockcleat::core::dispatch::window;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::support::flow;

/// The most tasks of a job.
const MAX_TASKS: u32 = model::MAX_WORKFLOW_TASKS as u32;

/// A time at which all times of a job may be long past.
const NOW: u64 = 100_000_000_000;

fn scheduled(step: model::Step, first: u64, interval: u64, count: u32) -> model::Workflow {
    let schedule = model::Schedule { first, interval, count };
    model::Workflow { spec: "spec".to_owned(), steps: vec![step], schedule: Some(schedule) }
}

/// Returns a job whose times were all due before, every 30 s.
fn overdue(step: model::Step, count: u32) -> model::Workflow {
    scheduled(step, NOW - 30_000 * u64::from(count), 30_000, count)
}

fn world(workers: u32) -> flow::World {
    let mut world = flow::World::with_workers(workers);
    world.now = NOW;
    for host in 0..workers {
        world.report(flow::worker(host, 1), &[], &[]);
    }
    world
}

/// Each pass worked on all 86,400 past times of a job, also when nothing was free, on the thread that
/// drives the replicated log. Each leader in turn lost its leadership over it (review/13).
#[rstest::rstest]
#[case::urgent(0)]
#[case::usual(1)]
fn pass_over_past_times_looks_at_few(#[case] priority: u32) {
    let mut world = world(2);
    world.submit_workflow(priority, "aa", overdue(flow::step(1, 1), MAX_TASKS));
    world.tick(1);
    assert_eq!(world.take_starts().len(), 16, "all accelerators are in use");
    for _ in 0..5 {
        world.tick(100);
        assert!(world.dispatch.vain_looks() <= 3, "{}", world.dispatch.vain_looks());
    }
    // A long wait is logged for each step that is looked at.
    world.now += 6000;
    world.dispatch.tick(&world.registry, flow::moment(world.now));
    assert!(world.dispatch.take_effects().len() < 10);
}

/// Thousands of waiting jobs cost a pass no more than a part of them, and a slice of it less.
#[test]
fn pass_over_many_jobs_looks_at_a_part() {
    let mut world = world(1);
    for number in 0..3000 {
        world.submit(1, &format!("{number:016x}"), vec![flow::step(1, 8)]);
    }
    world.tick(1);
    assert_eq!(world.take_starts().len(), 1);
    world.dispatch.check(&world.registry, flow::moment(world.now));
    let mut before = 0;
    while !world.dispatch.decide_slice(&world.registry, flow::moment(world.now)) {
        let looks = world.dispatch.vain_looks();
        assert!(looks - before <= 64, "{looks} after {before}");
        before = looks;
    }
    let most = window::MAX_FRONT_LOOKS + window::MAX_TURN_LOOKS;
    assert_eq!(world.dispatch.vain_looks(), most);
}

/// No worker has the label that the first jobs need. The last one of thousands has its turn.
#[test]
fn job_behind_many_that_fit_nowhere_has_its_turn() {
    let mut world = world(1);
    let nowhere = model::Step { constraint: Some("nowhere".to_owned()), ..flow::step(1, 1) };
    for number in 0..2000 {
        world.submit(1, &format!("{number:016x}"), vec![nowhere.clone()]);
    }
    world.submit(1, "last", vec![flow::step(1, 1)]);
    let passes = 2000_usize.div_ceil(window::MAX_TURN_LOOKS);
    let started = (0..passes).any(|_| {
        world.tick(100);
        world.take_starts().iter().any(|(_, task, _)| task.id == "last")
    });
    assert!(started, "not within {passes} passes");
}

/// New work is not behind all past times of a job in its queue, and these run when there is room.
#[test]
fn new_work_goes_before_past_times() {
    let mut world = world(1);
    world.submit_workflow(1, "past", overdue(flow::step(1, 8), 1000));
    world.tick(1);
    let (host, task, run) = world.take_starts().remove(0);
    world.submit(1, "new", vec![flow::step(1, 8)]);
    world.tick(1);
    let ended = flow::finished(1, &task, run, model::EndReason::Done);
    world.report(flow::worker(host, 1), &[], &[ended]);
    world.tick(1);
    let (_, task, run) = world.take_starts().remove(0);
    assert_eq!(task.id, "new");
    let ended = flow::finished(2, &task, run, model::EndReason::Done);
    world.report(flow::worker(host, 1), &[], &[ended]);
    world.tick(1);
    assert_eq!(world.take_starts().remove(0).1.id, "past");
}

/// A guarantee covers what a job needs at one time, not all of its past times at once.
#[test]
fn past_times_do_not_take_more_than_the_guarantee() {
    let mut world = world(3);
    world.submit_workflow(0, "past", overdue(flow::step(1, 4), 100));
    world.tick(1);
    assert_eq!(world.take_starts().len(), 6, "the past times take what is free");
    world.submit(0, "new", vec![flow::step(1, 8)]);
    world.tick(1);
    let stopped = world.take_stops();
    assert_eq!(stopped.len(), 2, "the new job is within the guarantee of 16");
    assert!(stopped.iter().all(|(_, task, _)| task.occurrence > 0));
}

/// Tasks that need nothing fit on a worker without end. Its reports list all of its runs.
#[test]
fn worker_gets_a_bounded_number_of_runs() {
    let mut world = world(2);
    let step = model::Step { cpu: 0, memory: 0, ..flow::step(4096, 0) };
    world.submit_workflow(1, "aa", overdue(step, 64));
    world.tick(1);
    let starts = world.take_starts();
    let bound = fit::MAX_WORKER_RUNS - fit::URGENT_WORKER_RUNS;
    assert_eq!(starts.len(), 2 * bound as usize);
    world.submit(0, "urgent", vec![flow::step(1, 1)]);
    world.tick(1);
    assert_eq!(world.take_starts()[0].1.id, "urgent");
}

/// The objective of a waiting step, and its position, by the rules of docs/POLICY.md for one that is
/// looked at alone.
fn position(
    registry: &registry::Registry,
    ranks: &ranks::Ranks,
    (key, job): (ids::JobKey, &job::Job),
    (occurrence, step): (u32, u32),
    now: u64,
) -> queue::WaitingStep {
    let first_task = model::TaskKey { job: key, occurrence, step, index: 0 };
    let rank = ranks.of(first_task);
    let steps = &job.submission.workflow.steps;
    let remaining: u64 = steps[step as usize..].iter().map(|s| u64::from(s.estimate)).sum();
    let whole: u64 = steps.iter().map(|s| u64::from(s.estimate)).sum();
    let directory = registry.directory.as_ref().expect("a configuration");
    let queue = directory.queue_at(&job.submission.queue).expect("a queue");
    let span = whole * u64::from(queue.stretch) / 1000 + u64::from(queue.latency);
    let is_scheduled = job.submission.workflow.schedule.is_some();
    let since = if is_scheduled { job.due(occurrence) } else { job.accepted };
    let guaranteed = rank == queue::GUARANTEED_RANK;
    let prospect = match () {
        () if guaranteed => queue::Prospect::InTime,
        () if now > since + 3 * span => queue::Prospect::Spent,
        () if now + remaining * 60 / 100 > since + span => queue::Prospect::Late,
        () => queue::Prospect::InTime,
    };
    let work = |step: &model::Step| u64::from(step.estimate) * u64::from(step.accelerators.max(1));
    let (mut waits, mut all) = (0, 0);
    for (number, step) in (0..).zip(steps) {
        for index in 0..step.count {
            let task = job.task(model::TaskKey { job: key, occurrence, step: number, index });
            let waiting = task.expect("a task").state == job::TaskState::Waiting;
            waits += if waiting { work(step) } else { 0 };
            all += work(step);
        }
    }
    let percent = if guaranteed { 100 } else { waits * 100 / all };
    let is_remainder = prospect == queue::Prospect::Late && percent <= 50;
    queue::WaitingStep {
        rank,
        sort_prospect: if is_remainder { queue::Prospect::InTime } else { prospect },
        due: since + span * percent / 100,
        prospect,
        first_task,
    }
}

/// Returns all steps that wait, in order, looked at one by one.
fn all_waiting(
    registry: &registry::Registry,
    ranks: &ranks::Ranks,
    now: u64,
) -> Vec<queue::WaitingStep> {
    let mut found = Vec::new();
    for (key, job) in registry.active_jobs() {
        let steps = &job.submission.workflow.steps;
        for occurrence in 0..job.submission.workflow.occurrences() {
            if job.due(occurrence) > now {
                continue;
            }
            let states = |step: u32| {
                let tasks = 0..steps[step as usize].count;
                let tasks =
                    tasks.map(move |index| model::TaskKey { job: key, occurrence, step, index });
                tasks.filter_map(|task| job.task(task).map(|task| task.state)).collect::<Vec<_>>()
            };
            for step in 0..steps.len() as u32 {
                let after = &steps[step as usize].after;
                let is_done = |earlier: &u32| {
                    states(*earlier).iter().all(|state| *state == job::TaskState::Done)
                };
                let waits = states(step).contains(&job::TaskState::Waiting);
                if waits && after.iter().all(is_done) {
                    found.push(position(registry, ranks, (key, job), (occurrence, step), now));
                }
            }
        }
    }
    found.sort();
    found
}

/// Returns the steps that a pass looks at if it places all of them.
fn looked_at(registry: &registry::Registry, queue: &queue::Queue) -> Vec<queue::WaitingStep> {
    let (mut window, mut found) = (window::Window::default(), Vec::new());
    while let Some(step) = window.next(queue) {
        found.push(step);
        queue.successor(registry, &step).into_iter().for_each(|next| window.add_successor(next));
    }
    found
}

/// A registry with a queue that is told of each change.
struct Queued {
    registry: registry::Registry,
    queue: queue::Queue,
    index: u64,
    now: u64,
}

impl Queued {
    fn apply(&mut self, command: command::Command) {
        self.index += 1;
        let mut events = Vec::new();
        let now = time::Wall(self.now);
        self.registry.apply(ids::LogIndex(self.index), now, command, &mut events);
        for event in events {
            match event {
                command::Event::Configured(_) => self.queue.invalidate_all(&self.registry),
                command::Event::Submitted(job)
                | command::Event::Stopping(job)
                | command::Event::Finished(job) => self.queue.invalidate(job),
                command::Event::Placed(run, _)
                | command::Event::PlacementRejected(run)
                | command::Event::Ended(run, _) => self.queue.invalidate(run.task.job),
            }
        }
    }

    fn submit(&mut self, rng: &mut ChaCha8Rng, number: usize) {
        let mut below = |limit: u32| rng.next_u32() % limit;
        let priority = below(3);
        let queue = flow::queue(priority);
        let steps = (0..=below(2)).map(|step| model::Step {
            after: if step > 0 { vec![0] } else { Vec::new() },
            estimate: 500 + below(20) * 500,
            ..flow::step(1 + below(3), below(4))
        });
        let steps = steps.collect();
        let first = (self.now + 5000).saturating_sub(u64::from(below(120_000)));
        let interval = [0, 1, 700, 5000][below(4) as usize];
        let schedule = model::Schedule { first, interval, count: 1 + below(12) };
        let schedule = (below(3) > 0).then_some(schedule);
        self.apply(command::Command::Submit(command::Submission {
            queue: queue.address(),
            id: format!("{number}"),
            account: "couriers".to_owned(),
            pool: queue.pool,
            priority,
            attempts: 3,
            workflow: model::Workflow { spec: "spec".to_owned(), steps, schedule },
        }));
    }

    /// Places a task of a waiting step, or ends one that is placed.
    fn change(&mut self, rng: &mut ChaCha8Rng, placed: &mut BTreeMap<model::TaskKey, u32>) {
        let incarnation = flow::incarnation(1, 1);
        let placement = |task: model::TaskKey, run| command::Placement {
            job: task.job.0,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run,
            incarnation,
        };
        if rng.next_u32().is_multiple_of(2) && !placed.is_empty() {
            let number = rng.next_u32() as usize % placed.len();
            let (task, run) = placed.iter().nth(number).map(|(t, r)| (*t, *r)).expect("a task");
            placed.remove(&task);
            let reasons =
                [model::EndReason::Done, model::EndReason::Lost, model::EndReason::Failed];
            let reason = reasons[rng.next_u32() as usize % 3];
            let key = placement(task, run).key();
            self.apply(command::Command::End(vec![command::Ending::new(
                key,
                reason,
                String::new(),
            )]));
            return;
        }
        let waiting = looked_at(&self.registry, &self.queue);
        if waiting.is_empty() {
            return;
        }
        let first = waiting[rng.next_u32() as usize % waiting.len()].first_task;
        let job = &self.registry.jobs[&first.job];
        let count = job.step(first.step).count;
        let index = rng.next_u32() % count;
        let task = model::TaskKey { index, ..first };
        let Some(known) = job.task(task) else { return };
        if known.state == job::TaskState::Waiting {
            let run = known.run + 1;
            placed.insert(task, run);
            self.apply(command::Command::Place(vec![placement(task, run)]));
        }
    }
}

/// Holds the order that is kept with each change to one that is made anew from all tasks. The clock
/// also steps back.
#[rstest::rstest]
fn kept_order_is_that_of_all_steps(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let registry = registry::Registry::default();
    let queue = queue::Queue::new(&registry);
    let mut queued = Queued { registry, queue, index: 0, now: 1_000_000 };
    queued.apply(command::Command::Configure(flow::directory(1)));
    let mut placed = BTreeMap::new();
    for step in 0..300 {
        match rng.next_u32() % 10 {
            0 => queued.submit(&mut rng, step),
            1 => {
                let id = format!("{}", rng.next_u32() as usize % (step + 1));
                let address = flow::queue(rng.next_u32() % 3).address();
                queued.apply(command::Command::Cancel(address, id));
            }
            2 if step % 50 == 0 => {
                let version = step as u64 + 2;
                let mut directory = flow::directory(version);
                directory.accounts[0].guarantee = rng.next_u32() % 20;
                queued.apply(command::Command::Configure(directory));
            }
            3 if step % 7 == 0 => queued.now -= u64::from(rng.next_u32() % 8000),
            3 | 4 => queued.now += u64::from(rng.next_u32() % 4000),
            _ => queued.change(&mut rng, &mut placed),
        }
        placed.retain(|task, _| queued.registry.jobs[&task.job].is_active());
        let now = flow::moment(queued.now);
        queued.queue.refresh(&queued.registry, now);
        let expected = all_waiting(&queued.registry, queued.queue.ranks(), queued.now);
        assert_eq!(looked_at(&queued.registry, &queued.queue), expected, "step {step}");
        let jobs: BTreeSet<_> = expected.iter().map(|step| step.first_task.job).collect();
        assert_eq!(queued.queue.is_single_job(), jobs.len() <= 1, "step {step}");
        let mut fresh = queue::Queue::new(&queued.registry);
        fresh.refresh(&queued.registry, now);
        assert!(fresh.steps().eq(queued.queue.steps()), "step {step}");
    }
}

/// A pass looks at a step whose placement is proposed and not committed. When the run is lost long
/// after, the step has not waited since then.
#[test]
fn proposed_step_does_not_wait() {
    let mut world = world(1);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    let proposed = world.propose();
    assert_eq!(world.propose(), []);
    proposed.into_iter().for_each(|command| {
        world.apply(command);
    });
    world.settle();
    let (host, task, run) = world.take_starts().remove(0);
    for percent in 1..9 {
        world.now += 5000;
        world.report(flow::worker(host, 1), &[(task.clone(), run, percent)], &[]);
    }
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    let stopped = flow::finished(1, &task, run, model::EndReason::Stopped);
    world.report(flow::worker(host, 1), &[], &[stopped]);
    world.dispatch.tick(&world.registry, flow::moment(world.now));
    let effects = world.dispatch.take_effects();
    let long_wait = |effect: &order::Effect| matches!(effect, order::Effect::LongWait(_));
    assert!(!effects.iter().any(long_wait), "{effects:?}");
    assert!(effects.iter().any(|effect| matches!(effect, order::Effect::Propose(_))));
}
