//! External numbers at the bounds of their types.

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::lease;

use crate::support::flow;

/// The largest number of tasks of one workflow.
const MAX_TASKS: u32 = 64 * 4096;

fn name(id: &str, index: u32) -> model::TaskName {
    model::TaskName { id: id.to_owned(), occurrence: 0, step: 0, index }
}

#[rstest::rstest]
#[case::farthest(u64::MAX)]
#[case::near(u64::MAX - 5)]
#[case::signed(i64::MAX as u64)]
fn clock_of_a_worker_at_its_bound(#[case] clock: u64) {
    let mut lease = lease::Lease::default();
    let sequence = lease.next_report(time::Tick(0));
    lease.grant(sequence, time::Millis(9000));
    lease.set_clock(clock, time::Tick(100));
    let deadline = lease.deadline().expect("a lease and a clock");
    assert!(deadline >= clock, "{deadline}");
}

#[rstest::rstest]
#[case::percent_then_less(&[50, u32::MAX, 60])]
#[case::percent_from_the_start(&[u32::MAX, 50, 60])]
#[case::percent_near_the_bound(&[u32::MAX - 4, 10, u32::MAX])]
fn progress_at_its_bound(#[case] percents: &[u32]) {
    let mut world = flow::World::with_workers(1);
    world.submit(0, "aa", vec![flow::step(1, 8)]);
    world.tick(100);
    assert_eq!(world.take_starts().len(), 1);
    for percent in percents {
        world.report(flow::worker(0, 1), &[(name("aa", 0), 1, *percent)], &[]);
        world.tick(500);
    }
    world.submit(0, "bb", vec![flow::step(1, 8)]);
    world.tick(500);
    let ended = flow::finished(1, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], &[ended]);
    world.tick(500);
    assert_eq!(world.take_starts().len(), 1, "the worker is still used");
}

#[test]
fn end_without_a_number_acknowledges_no_other() {
    let mut world = flow::World::with_workers(1);
    world.submit(0, "aa", vec![flow::step(1, 8)]);
    world.tick(100);
    world.orders.clear();
    // The decision on the end is proposed but not committed yet.
    let ended = flow::finished(0, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], &[ended]);
    let seen = world.orders.iter().filter_map(|(_, order)| match order {
        order::Order::Acknowledge { number, .. } => Some(*number),
        _ => None,
    });
    assert_eq!(seen.max().unwrap_or(0), 0);
}

#[rstest::rstest]
#[case::accelerators(model::Step { accelerators: u32::MAX, ..flow::step(2, 0) })]
#[case::long(model::Step { estimate: u32::MAX, accelerators: u32::MAX, ..flow::step(4096, 0) })]
#[case::all(model::Step {
    cpu: u32::MAX, memory: u32::MAX, worker_limit: u32::MAX, estimate: u32::MAX, latency: u32::MAX,
    disruptions: u32::MAX, ..flow::step(4096, u32::MAX)
})]
#[case::gang(model::Step { accelerators: u32::MAX, ..flow::gang(4096, 0) })]
fn job_at_the_bounds_leaves_capacity_for_others(
    #[case] step: model::Step,
    #[values(0, 1)] priority: u32,
) {
    let mut world = flow::World::with_workers(1);
    for id in ["aa", "ab", "ac"] {
        world.submit(priority, id, vec![step.clone(), step.clone()]);
    }
    world.submit(2, "bb", vec![flow::step(1, 8)]);
    for _ in 0..8 {
        world.tick(1000);
        world.report(flow::worker(0, 1), &[], &[]);
    }
    let placed = world.take_starts();
    assert!(placed.iter().any(|(_, task, _)| task.id == "bb"), "{placed:?}");
}

#[test]
fn workers_that_announce_the_largest_capacity() {
    let mut world = flow::World::with_workers(3);
    let all = order::Resources { cpu: u32::MAX, memory: u32::MAX, accelerators: u32::MAX };
    for host in 0..2 {
        let announcement = order::Announcement { capacity: all, ..flow::worker(host, 1) };
        world.report(announcement, &[], &[]);
    }
    let long = model::Step { estimate: 600_000, ..flow::step(4, 8) };
    world.submit(1, "aa", vec![long.clone()]);
    world.submit(1, "bb", vec![model::Step { gang: true, ..long }]);
    world.tick(1000);
    assert!(!world.take_starts().is_empty());
}

#[test]
fn worker_that_drains_for_ever() {
    let mut world = flow::World::with_workers(1);
    world.submit(0, "aa", vec![flow::step(1, 8)]);
    world.tick(100);
    let report = order::Report {
        sequence: u64::MAX,
        worker: Some(order::Announcement { draining: true, ..flow::worker(0, 1) }),
        departed: None,
        drain_left: Some(u64::MAX),
        fresh: true,
        running: Vec::new(),
        finished: Vec::new(),
    };
    world.dispatch.report(&world.registry, 0, report, flow::moment(world.now));
    world.settle();
    world.tick(1000);
    world.submit(0, "bb", vec![flow::step(1, 8)]);
    world.tick(1000);
    assert!(
        world.take_starts().iter().all(|(_, task, _)| task.id == "aa"),
        "a draining worker gets no task"
    );
}

#[rstest::rstest]
#[case::one_task_for_ever(1, u32::MAX, false)]
#[case::one_too_many(1, MAX_TASKS + 1, false)]
#[case::all_tasks_twice(4096, 65, false)]
#[case::at_the_bound(4096, 64, true)]
#[case::at_the_bound_one_by_one(1, MAX_TASKS, true)]
fn workflow_with_many_occurrences(#[case] count: u32, #[case] times: u32, #[case] sound: bool) {
    let schedule = model::Schedule { first: u64::MAX, interval: u64::MAX, count: times };
    let workflow = model::Workflow {
        spec: String::new(),
        steps: vec![flow::step(count, 1)],
        schedule: Some(schedule),
    };
    assert_eq!(workflow.validation_error().is_none(), sound);
}
