//! Jobs of many tasks: the registry, its snapshots and the views hold what runs and what has ended out
//! of order, not what a job may come to.

use std::collections::BTreeMap;

use hemlockcleat::control::workflows;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::directory;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;
use hemlockcleat::core::workflow::spans;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::common;
use hemlockcleat::wire::snapshot;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::support::flow;

/// The most tasks of a job.
const MAX_TASKS: u32 = model::MAX_WORKFLOW_TASKS as u32;

fn workflow(steps: Vec<model::Step>, times: u32) -> model::Workflow {
    let schedule = model::Schedule { first: u64::MAX / 2, interval: 60_000, count: times };
    model::Workflow { spec: "spec".to_owned(), steps, schedule: Some(schedule) }
}

fn ledger(registry: &registry::Registry) -> state::Ledger {
    state::Ledger { workflows: registry.clone(), ..Default::default() }
}

fn encode(registry: &registry::Registry) -> Vec<u8> {
    codec::encode(&snapshot::Ledger::from(&ledger(registry)))
}

fn decode(bytes: &[u8]) -> registry::Registry {
    let stored = codec::decode_snapshot::<snapshot::Ledger>(bytes).expect("a snapshot");
    state::Ledger::try_from(stored).expect("a ledger").workflows
}

/// Nine accepted jobs of 259,200 future times each used up the memory of all control processes, and
/// again after each restart (review/12).
#[rstest::rstest]
#[case::times(1, 1, MAX_TASKS)]
#[case::wide_step(1, 4096, 64)]
#[case::steps(64, 4096, 1)]
fn new_job_takes_no_space_for_its_tasks(
    #[case] steps: usize,
    #[case] count: u32,
    #[case] times: u32,
) {
    let mut world = flow::World::default();
    for number in 0..9 {
        let workflow = workflow(vec![flow::step(count, 1); steps], times);
        world.submit_workflow(1, &format!("{number:016x}"), workflow);
    }
    for job in world.registry.jobs.values() {
        assert!(job.occurrences.is_empty());
    }
    // MAX_LISTED_TASKS of five bytes each, and what describes the jobs.
    assert!(encode(&world.registry).len() < 400_000);
}

/// A job that runs its tasks in order takes the same space at its end as at its start.
#[test]
fn tasks_done_in_order_take_no_space() {
    let mut world = flow::World::default();
    let key = world.submit_workflow(1, "aa", workflow(vec![flow::step(2, 1)], 5000));
    for occurrence in 0..4999 {
        for index in 0..2 {
            run_to_end(&mut world, key, (occurrence, index));
            assert!(world.registry.jobs[&key].open_tasks() <= 1);
        }
    }
    let job = &world.registry.jobs[&key];
    assert_eq!((job.open_tasks(), job.ranges(), job.finished), (0, 1, 4999));
    run_to_end(&mut world, key, (4999, 0));
    run_to_end(&mut world, key, (4999, 1));
    assert_eq!(world.registry.jobs[&key].phase, job::Phase::Completed);
}

fn run_to_end(world: &mut flow::World, job: ids::JobKey, (occurrence, index): (u32, u32)) {
    let incarnation = flow::incarnation(1, 1);
    let placement =
        command::Placement { job: job.0, occurrence, step: 0, index, run: 1, incarnation };
    let ending = command::Ending::new(placement.key(), model::EndReason::Done, String::new());
    world.apply(command::Command::Place(vec![placement]));
    world.apply(command::Command::End(vec![ending]));
}

/// A job that has ended keeps no task without a run, and no text that only a start needs.
#[test]
fn cancelled_job_keeps_only_its_runs() {
    let mut world = flow::World::default();
    let spec = "s".repeat(model::MAX_SPEC_BYTES);
    let step = model::Step { constraint: Some("l".repeat(100_000)), ..flow::step(50, 1) };
    let workflow = model::Workflow { spec, steps: vec![step], schedule: None };
    let key = world.submit_workflow(1, "aa", workflow);
    let incarnation = flow::incarnation(1, 1);
    let placement = |index| command::Placement {
        job: key.0,
        occurrence: 0,
        step: 0,
        index,
        run: 1,
        incarnation,
    };
    world.apply(command::Command::Place((0..20).map(placement).collect()));
    let ending =
        |index, reason| command::Ending::new(placement(index).key(), reason, String::new());
    let lost = (0..10).map(|index| ending(index, model::EndReason::Lost));
    world.apply(command::Command::End(lost.collect()));
    world.apply(command::Command::Cancel(flow::queue(1).address(), "aa".to_owned()));
    assert_eq!(world.registry.jobs[&key].open_tasks(), 10);
    let stopped = (10..20).map(|index| ending(index, model::EndReason::Stopped));
    world.apply(command::Command::End(stopped.collect()));
    let job = &world.registry.jobs[&key];
    assert_eq!((job.open_tasks(), job.occurrences.len(), job.ranges()), (0, 0, 0));
    assert!(codec::encode(job).len() < 300);
}

/// The last member of a gang that is done is missing from its worker's lists. The job no longer has
/// what a start carries, so the run is stopped.
#[test]
fn missing_member_of_a_completed_gang_is_stopped() {
    let mut world = flow::World::with_workers(2);
    let key = world.submit(1, "aa", vec![flow::gang(2, 8)]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), 2);
    let (host, task, run) = &starts[0];
    let done = flow::finished(1, task, *run, model::EndReason::Done);
    world.report(flow::worker(*host, 1), &[], &[done]);
    assert_eq!(world.registry.jobs[&key].phase, job::Phase::Completed);
    world.orders.clear();
    let (host, task, run) = &starts[1];
    world.now += 2000;
    world.report(flow::worker(*host, 1), &[], &[]);
    assert_eq!(world.take_stops(), [(*host, task.clone(), *run)]);
}

/// The operator's view of a job counts all of its tasks and lists a bounded number.
#[test]
fn view_of_many_tasks_is_bounded() {
    let mut world = flow::World::default();
    let key = world.submit_workflow(1, "aa", workflow(vec![flow::step(4096, 1)], 64));
    run_to_end(&mut world, key, (0, 0));
    let (shown, tasks) = workflows::show(&world.registry, key).expect("a known job");
    assert_eq!((shown.steps[0].waiting, shown.steps[0].done), (MAX_TASKS - 1, 1));
    assert_eq!(tasks.len(), 1000);
}

#[derive(Debug, PartialEq, bincode::Encode, bincode::Decode)]
struct EarlierOccurrence {
    steps: Vec<Vec<job::Task>>,
}

/// A workflow in the snapshots of the builds before tasks without a run had no entry.
#[derive(Debug, PartialEq, bincode::Encode, bincode::Decode)]
struct EarlierJob {
    submission: command::Submission,
    accepted: u64,
    phase: job::Phase,
    ended: u64,
    occurrences: BTreeMap<u32, EarlierOccurrence>,
    finished: u32,
    started: bool,
}

/// A snapshot of those builds.
#[derive(Debug, bincode::Encode, bincode::Decode)]
struct EarlierLedger {
    now: u64,
    config: common::Config,
    replicas: Vec<(u64, String)>,
    tickets: Vec<snapshot::TicketRecord>,
    last_tickets: Vec<(String, u64)>,
    workers: Vec<snapshot::Worker>,
    jobs: Vec<snapshot::Job>,
    expired_keys: Vec<([u8; 16], u64)>,
    cancelled_keys: Vec<([u8; 16], u64)>,
    services: Vec<(String, u64)>,
    hours: Vec<snapshot::Hour>,
    reports: Vec<(u64, u64, u64)>,
    directory: Option<directory::Directory>,
    workflows: Vec<(u64, EarlierJob)>,
    early_cancels: Vec<(String, String, u64)>,
}

/// Plays a job of two steps with random placements and ends, beside a model with the state of each
/// task. Returns the registry, the job and the model.
fn play(seed: u64, times: u32) -> (registry::Registry, ids::JobKey, EarlierJob) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = flow::World::default();
    let after = model::Step { after: vec![0], gang: seed.is_multiple_of(2), ..flow::step(3, 1) };
    let key =
        world.submit_workflow(1, "aa", workflow(vec![flow::step(4, 1), after.clone()], times));
    let submission = world.registry.jobs[&key].submission.clone();
    let new = job::NEW_TASK.clone();
    let steps = || vec![vec![new.clone(); 4], vec![new.clone(); 3]];
    let mut model = EarlierJob {
        submission: command::Submission { attempts: u32::MAX, ..submission },
        accepted: 0,
        phase: job::Phase::Pending,
        ended: 0,
        occurrences: (0..times).map(|k| (k, EarlierOccurrence { steps: steps() })).collect(),
        finished: 0,
        started: false,
    };
    if let Some(job) = world.registry.jobs.get_mut(&key) {
        job.submission.attempts = u32::MAX;
    }
    let incarnation = flow::incarnation(1, 1);
    for _ in 0..400 {
        let occurrence = rng.next_u32() % times.min(12);
        let step = rng.next_u32() % 2;
        let index = rng.next_u32() % if step == 0 { 4 } else { 3 };
        let gang = step == 1 && after.gang;
        let Some(known) = model.occurrences.get_mut(&occurrence) else { continue };
        let tasks = &mut known.steps[step as usize];
        let run = tasks[index as usize].run + 1;
        let placement =
            command::Placement { job: key.0, occurrence, step, index, run, incarnation };
        match tasks[index as usize].state {
            job::TaskState::Done => continue,
            job::TaskState::Waiting => {
                tasks[index as usize].run = run;
                tasks[index as usize].state = job::TaskState::At(incarnation);
                model.phase = job::Phase::Running;
                world.apply(command::Command::Place(vec![placement]));
            }
            job::TaskState::At(_) => {
                let reasons = [
                    model::EndReason::Done,
                    model::EndReason::Failed,
                    model::EndReason::Lost,
                    model::EndReason::Stopped,
                ];
                let reason = reasons[(rng.next_u32() % 4) as usize];
                let checkpoint = if rng.next_u32().is_multiple_of(3) { "half" } else { "" };
                let placement = command::Placement { run: run - 1, ..placement };
                let ending = command::Ending::new(placement.key(), reason, checkpoint.to_owned());
                world.apply(command::Command::End(vec![ending]));
                model.started = true;
                end_in_model(tasks, index as usize, gang, reason, checkpoint);
                if known.steps.iter().flatten().all(|task| task.state == job::TaskState::Done) {
                    model.occurrences.remove(&occurrence);
                    model.finished += 1;
                }
            }
        }
    }
    (world.registry, key, model)
}

fn end_in_model(
    tasks: &mut [job::Task],
    index: usize,
    gang: bool,
    reason: model::EndReason,
    checkpoint: &str,
) {
    if reason == model::EndReason::Done {
        for (other, task) in tasks.iter_mut().enumerate() {
            if gang || other == index {
                task.state = job::TaskState::Done;
            }
        }
        return;
    }
    let run = tasks[index].run;
    tasks[index].state = job::TaskState::Waiting;
    if !checkpoint.is_empty() {
        let members = if gang { 0..tasks.len() } else { index..index + 1 };
        tasks[members].iter_mut().for_each(|task| task.checkpoint = checkpoint.to_owned());
    }
    let counted = &mut tasks[if gang { 0 } else { index }];
    if reason == model::EndReason::Failed && counted.failed_run < run {
        counted.failed_run = run;
        counted.failures += 1;
    }
}

/// Holds the state of each task to a model that has an entry for all of them.
#[rstest::rstest]
fn tasks_match_a_model_with_all_entries(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (registry, key, model) = play(seed, 9);
    let job = &registry.jobs[&key];
    assert_eq!(
        (job.phase, job.finished, job.started),
        (model.phase, model.finished, model.started)
    );
    assert_eq!(registry.size(), job.size(), "the sum is kept with each change");
    let mut open = 0;
    for occurrence in 0..9 {
        for (step, count) in [(0, 4), (1, 3)] {
            for index in 0..count {
                let task = job.task(model::TaskKey { job: key, occurrence, step, index });
                let known = model.occurrences.get(&occurrence);
                let known = known.map(|known| &known.steps[step as usize][index as usize]);
                let state = |task: &job::Task| task.state;
                assert_eq!(task.map(state), known.map(state), "{occurrence}.{step}.{index}");
                if known.is_some_and(|known| known.state != job::TaskState::Done) {
                    assert_eq!(task, known, "{occurrence}.{step}.{index}");
                    open += u32::from(known != Some(&job::NEW_TASK));
                }
            }
        }
    }
    assert_eq!(job.open_tasks(), open, "only tasks on which something has happened have an entry");
}

/// A group is updated host by host, so each build reads the snapshots of the other.
#[rstest::rstest]
fn snapshots_of_the_earlier_format(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (registry, key, model) = play(seed, 9);
    let bytes = encode(&registry);
    let mut earlier =
        codec::decode_snapshot::<EarlierLedger>(&bytes).expect("the earlier build reads it");
    let (number, written) = earlier.workflows.remove(0);
    assert_eq!(number, key.0);
    for known in written.occurrences.values() {
        assert_eq!((known.steps[0].len(), known.steps[1].len()), (4, 3));
    }
    assert_eq!(written.occurrences.keys().count(), model.occurrences.len());
    // The numbers of tasks that are done are no longer needed.
    let state = |job: &EarlierJob| {
        let tasks = job.occurrences.iter().flat_map(|(k, o)| o.steps.iter().map(move |s| (*k, s)));
        tasks.map(|(k, s)| (k, s.iter().map(|t| t.state).collect::<Vec<_>>())).collect::<Vec<_>>()
    };
    assert_eq!(state(&written), state(&model));
    earlier.workflows = vec![(key.0, model)];
    assert_eq!(decode(&codec::encode(&earlier)), registry);
}

/// A workflow with more tasks than a snapshot lists is stored in the extension, with its state.
#[test]
fn snapshot_of_many_tasks_is_read_back() {
    for seed in 1..=6 {
        let (registry, ..) = play(seed, 30_000);
        let bytes = encode(&registry);
        assert!(bytes.len() < 10_000, "{} bytes", bytes.len());
        assert_eq!(decode(&bytes), registry, "seed {seed}");
    }
}

/// A truncated or foreign extension is refused as a whole.
#[test]
fn damaged_extension_is_refused() {
    let (registry, ..) = play(1, 30_000);
    let bytes = encode(&registry);
    assert!(codec::decode_snapshot::<snapshot::Ledger>(&bytes[..bytes.len() - 1]).is_err());
    let mut longer = bytes;
    longer.push(0);
    assert!(codec::decode_snapshot::<snapshot::Ledger>(&longer).is_err());
}

/// Holds the set to a list of flags.
#[rstest::rstest]
fn spans_match_a_list(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut spans, mut flags) = (spans::Spans::default(), [false; 60]);
    for _ in 0..60 {
        let first = rng.next_u32() % 60;
        let end = (first + rng.next_u32() % 4).min(60);
        spans.insert(first, end);
        flags[first as usize..end as usize].fill(true);
        let gaps: Vec<u32> = (0..60).filter(|number| !flags[*number as usize]).collect();
        assert_eq!(spans.gaps(60).collect::<Vec<_>>(), gaps);
        assert_eq!(spans.count() as usize, 60 - gaps.len());
        for number in 0..60 {
            assert_eq!(spans.contains(number), flags[number as usize], "{number}");
            let next = gaps.iter().copied().find(|gap| *gap >= number).unwrap_or(60);
            assert_eq!(spans.first_gap(number), next);
        }
        let runs = flags.chunk_by(|left, right| left == right).filter(|run| run[0]).count();
        assert_eq!(spans.ranges(), runs);
    }
}
