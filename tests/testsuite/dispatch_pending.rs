//! The number of pending jobs: accepted jobs of which no task has started.

use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// The time until a lease has expired, with the tolerance for the drift of clocks.
const PAST_LEASE: u64 = flow::LEASE + 2000;

fn name(id: &str) -> model::TaskName {
    model::TaskName { id: id.to_owned(), occurrence: 0, step: 0, index: 0 }
}

fn pending(world: &mut flow::World) -> u64 {
    let now = flow::moment(world.now).tick;
    world.dispatch.pending(&world.registry, &flow::queue(1).address(), now)
}

/// Returns a world with one worker, on which one job is placed that has not started.
fn placed_world() -> flow::World {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), 1);
    world
}

/// Lets the lease of the only worker expire.
fn lose_worker(world: &mut flow::World) {
    world.dispatch.disconnected(0);
    world.tick(PAST_LEASE);
    world.tick(1);
}

#[test]
fn placed_job_is_pending_until_its_worker_lists_it() {
    let mut world = placed_world();
    assert_eq!(pending(&mut world), 1);
    world.report(flow::worker(0, 1), &[(name("aa"), 1, 0)], &[]);
    assert_eq!(pending(&mut world), 0);
}

#[test]
fn end_of_a_run_shows_its_start() {
    let mut world = placed_world();
    let failed = flow::finished(1, &name("aa"), 1, model::EndReason::Failed);
    world.report(flow::worker(0, 1), &[], &[failed]);
    assert_eq!(pending(&mut world), 0);
}

/// Guards against jobs that are missing from the count because their worker was lost before it had
/// started them.
#[test]
fn job_lost_before_its_start_is_pending() {
    let mut world = placed_world();
    lose_worker(&mut world);
    assert_eq!(pending(&mut world), 1);
    let job = world.registry.jobs.values().next().expect("a job");
    assert_eq!((job.phase, job.has_runs()), (job::Phase::Pending, false));
}

#[test]
fn job_lost_after_its_start_is_not_pending() {
    let mut world = placed_world();
    world.report(flow::worker(0, 1), &[(name("aa"), 1, 10)], &[]);
    lose_worker(&mut world);
    assert_eq!(pending(&mut world), 0);
    world.change_leader();
    assert_eq!(pending(&mut world), 0, "a new leader knows it from the log");
}

#[test]
fn refused_job_is_pending() {
    let mut world = placed_world();
    let (incarnation, task) = (flow::incarnation(0, 1), name("aa"));
    world.dispatch.closed(&world.registry, 0, incarnation, &task, 1, flow::moment(world.now));
    world.settle();
    assert_eq!(pending(&mut world), 1);
}

#[test]
fn new_leader_counts_what_its_workers_list() {
    let mut world = placed_world();
    world.change_leader();
    world.connect(0);
    assert_eq!(pending(&mut world), 1);
    world.report(flow::worker(0, 1), &[(name("aa"), 1, 10)], &[]);
    assert_eq!(pending(&mut world), 0);
}

#[test]
fn only_active_jobs_of_the_queue_are_pending() {
    let mut world = flow::World::default();
    for (priority, id) in [(1, "aa"), (1, "bb"), (2, "cc")] {
        world.submit(priority, id, vec![flow::step(1, 1)]);
    }
    let queue = flow::queue(1).address();
    world.apply(command::Command::Cancel(queue, "bb".to_owned()));
    assert_eq!(pending(&mut world), 1);
}

/// Clients may ask as often as they like while thousands of jobs wait.
#[test]
fn many_jobs_are_not_counted_for_each_call() {
    let mut world = flow::World::default();
    for number in 0..1000 {
        world.submit(1, &format!("{number:016x}"), vec![flow::step(1, 1)]);
    }
    assert_eq!(pending(&mut world), 1000);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    assert_eq!(pending(&mut world), 1000, "the jobs were counted a moment ago");
    world.now += 100;
    assert_eq!(pending(&mut world), 1001);
}
