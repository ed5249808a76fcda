//! Runs of a worker that starts another incarnation, replayed without sockets.

use hemlockcleat::core::dispatch;
use hemlockcleat::core::dispatch::fleet;
use hemlockcleat::core::dispatch::health;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

fn name(id: &str) -> model::TaskName {
    model::TaskName { id: id.to_owned(), occurrence: 0, step: 0, index: 0 }
}

/// Returns a world in which a task of 8 accelerators was ordered on the first worker and the second
/// worker is free.
fn ordered_world() -> flow::World {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(0, name("aa"), 1)]);
    world.connect(1);
    world.report(flow::worker(1, 1), &[], &[]);
    world
}

#[test]
fn run_is_lost_once_the_next_incarnation_does_not_list_it() {
    let mut world = ordered_world();
    world.report(flow::worker(0, 2), &[], &[]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), 1);
}

#[test]
fn run_that_the_next_incarnation_lists_continues() {
    let mut world = ordered_world();
    world.report(flow::worker(0, 2), &[(name("aa"), 1, 10)], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
    let done = flow::finished(1, &name("aa"), 1, model::EndReason::Done);
    world.report(flow::worker(0, 2), &[], &[done]);
    assert!(!world.registry.active_jobs().any(|_| true), "the end of the run counts");
}

#[test]
fn end_in_the_next_incarnation_counts() {
    let mut world = ordered_world();
    let done = flow::finished(1, &name("aa"), 1, model::EndReason::Done);
    world.report(flow::worker(0, 2), &[], &[done]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
    assert!(!world.registry.active_jobs().any(|_| true));
}

#[test]
fn run_is_not_lost_before_the_next_incarnation_has_shown_its_lists() {
    let mut world = ordered_world();
    world.report_stale(flow::worker(0, 2));
    world.tick(1);
    assert_eq!(world.take_starts(), []);
}

/// The next incarnation never shows its lists, so the lease of the previous one still counts.
#[test]
fn run_is_lost_with_its_lease_if_the_next_incarnation_lists_nothing() {
    let mut world = ordered_world();
    for _ in 0..5 {
        world.tick(2000);
        world.report_stale(flow::worker(0, 2));
        world.report(flow::worker(1, 1), &[], &[]);
    }
    world.tick(1);
    assert_eq!(world.take_starts(), [(1, name("aa"), 2)]);
}

/// The registry holds the incarnation of the placement, even if the run continues in the next one.
#[test]
fn run_in_the_next_incarnation_is_adopted_by_a_new_leader() {
    let mut world = ordered_world();
    world.report(flow::worker(0, 2), &[(name("aa"), 1, 10)], &[]);
    world.submit(1, "bb", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(1, name("bb"), 1)]);
    world.change_leader();
    world.connect(0);
    world.connect(1);
    world.report(flow::worker(0, 2), &[(name("aa"), 1, 20)], &[]);
    world.report(flow::worker(1, 1), &[(name("bb"), 1, 10)], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
    let done = flow::finished(1, &name("aa"), 1, model::EndReason::Done);
    world.report(flow::worker(0, 2), &[], &[done]);
    assert_eq!(world.registry.active_jobs().count(), 1);
}

/// A hold that was sent to the previous incarnation may be carried out by the next one, whose clock
/// started anew. It then expires as late as the worker allows.
#[test]
fn next_incarnation_may_be_held_for_longer_than_its_lease() {
    let mut world = flow::World::default();
    let maximum = time::Millis(15_000);
    let lease_limits = fleet::LeaseLimits { duration: time::Millis(flow::LEASE), maximum };
    let now = flow::moment(0);
    world.dispatch =
        dispatch::Dispatch::new(&world.registry, health::Health::default(), lease_limits, now);
    world.connect(0);
    world.report(flow::worker(0, 1), &[], &[]);
    world.report(flow::worker(0, 2), &[], &[]);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(0, name("aa"), 1)]);
    world.connect(1);
    let last = 15;
    for second in 1..=last {
        world.tick(1000);
        world.report(flow::worker(1, 1), &[], &[]);
        assert_eq!(world.take_starts(), [], "after {second} s");
    }
    world.tick(1000);
    world.report(flow::worker(1, 1), &[], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(1, name("aa"), 2)]);
}
