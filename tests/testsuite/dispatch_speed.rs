//! Choice among workers of equal capacity by their speed, replayed without sockets.

use hemlockcleat::core::dispatch::health;

use crate::support::flow;

/// Returns a world with workers of these speeds, by host; none is slow enough to be avoided.
fn world_with_speeds(speeds: &[f64]) -> flow::World {
    let mut health = health::Health::default();
    let ratios: Vec<_> = (0..).zip(speeds.iter().copied()).collect();
    for _ in 0..8 {
        health.learn_gang_speeds(&ratios);
    }
    flow::World::with_health(speeds.len() as u32, health)
}

/// Most of the fleet is idle, and the objective of the urgent task leaves no time for a slower
/// worker.
#[test]
fn urgent_task_is_not_left_on_a_slower_idle_worker() {
    let mut world = world_with_speeds(&[1.0, 1.1, 1.2, 1.3]);
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    world.tick(1);
    let hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    assert_eq!(hosts, [3]);
}

#[test]
fn urgent_gang_is_not_left_on_a_slower_idle_rack() {
    // Rack r0 has hosts 0 to 2, rack r1 hosts 3 to 5.
    let mut world = world_with_speeds(&[1.0, 1.1, 1.2, 1.3, 1.4, 1.4]);
    world.submit(0, "hi", vec![flow::gang(2, 8)]);
    world.tick(1);
    let mut hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [4, 5]);
}

/// Speed decides only among workers with the same remaining capacity, so that empty workers stay
/// empty.
#[test]
fn urgent_task_leaves_an_empty_fast_worker_free() {
    let mut world = world_with_speeds(&[1.0, 1.1]);
    world.submit(1, "aa", vec![flow::step(1, 4)]);
    world.tick(1);
    let broken = world.take_starts()[0].0;
    assert_eq!(broken, 0);
    world.submit(0, "hi", vec![flow::step(1, 4)]);
    world.tick(1);
    assert_eq!(world.take_starts()[0].0, broken);
}

/// Tasks of the lowest rank leave the faster workers to the other ranks.
#[test]
fn lowest_rank_takes_the_slowest_of_equal_workers() {
    let mut world = world_with_speeds(&[1.2, 1.1, 1.0]);
    world.submit(2, "low", vec![flow::step(1, 8)]);
    world.tick(1);
    let hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    assert_eq!(hosts, [2]);
}
