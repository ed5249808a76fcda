//! Workers with more ends than they list at a time, replayed without sockets.

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// The number of ends that the first list lacks.
const UNLISTED: u32 = 30;

const TASKS: u32 = order::MAX_LISTED_ENDS as u32 + UNLISTED;

/// A task of which a worker has room for all.
fn small_step() -> model::Step {
    model::Step { cpu: 1, memory: 0, ..flow::step(TASKS, 0) }
}

fn name(index: u32) -> model::TaskName {
    model::TaskName { id: "aa".to_owned(), occurrence: 0, step: 0, index }
}

fn done(index: u32) -> order::Finished {
    flow::finished(u64::from(index) + 1, &name(index), 1, model::EndReason::Done)
}

/// Returns a world in which the only worker was ordered to start all tasks.
fn ordered_world() -> flow::World {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![small_step()]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), TASKS as usize);
    world
}

fn acknowledged(world: &flow::World) -> Option<u64> {
    world.orders.iter().rev().find_map(|(_, order)| match order {
        order::Order::Acknowledge { number, .. } => Some(*number),
        _ => None,
    })
}

/// All tasks end while there is no leader. The first report to the next leader can't name them all.
#[test]
fn new_leader_orders_no_start_of_a_run_whose_end_is_unlisted() {
    let mut world = ordered_world();
    world.change_leader();
    world.connect(0);
    let ends: Vec<_> = (0..TASKS).map(done).collect();
    let (listed, unlisted) = ends.split_at(order::MAX_LISTED_ENDS);
    for _ in 0..4 {
        world.now += 600;
        world.report(flow::worker(0, 1), &[], listed);
    }
    assert_eq!(acknowledged(&world), Some(order::MAX_LISTED_ENDS as u64));
    assert_eq!(world.take_starts(), []);
    world.report(flow::worker(0, 1), &[], unlisted);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
    let phases: Vec<_> = world.registry.jobs.values().map(|job| job.phase).collect();
    assert_eq!(phases, [job::Phase::Completed]);
}

/// A run that the worker never started is ordered again by the first list that isn't truncated.
#[test]
fn missing_start_is_resent_once_all_ends_are_listed() {
    let mut world = ordered_world();
    world.change_leader();
    world.connect(0);
    let ends: Vec<_> = (0..TASKS - 1).map(done).collect();
    let (listed, unlisted) = ends.split_at(order::MAX_LISTED_ENDS);
    world.report(flow::worker(0, 1), &[], listed);
    assert_eq!(world.take_starts(), []);
    world.report(flow::worker(0, 1), &[], unlisted);
    assert_eq!(world.take_starts(), [(0, name(TASKS - 1), 1)]);
}

/// The next incarnation has carried out the starts that were sent to the one before.
#[test]
fn run_with_an_end_unlisted_by_the_next_incarnation_is_not_lost() {
    let mut world = ordered_world();
    let ends: Vec<_> = (0..TASKS - 1).map(done).collect();
    let (listed, unlisted) = ends.split_at(order::MAX_LISTED_ENDS);
    world.report(flow::worker(0, 2), &[], listed);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
    world.report(flow::worker(0, 2), &[], unlisted);
    world.tick(1);
    assert_eq!(world.take_starts(), [(0, name(TASKS - 1), 2)], "only this one is lost");
}
