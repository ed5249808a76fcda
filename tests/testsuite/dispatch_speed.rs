//! Which of workers that are alike in room gets a task, replayed without sockets.

use hemlockcleat::core::dispatch::health;

use crate::support::flow;

/// Workers of these speeds, by host; none so far below the others that it counts as slow.
fn uneven(speeds: &[f64]) -> flow::World {
    let mut health = health::Health::default();
    let ratios: Vec<_> = (0..).zip(speeds.iter().copied()).collect();
    for _ in 0..8 {
        health.learn_gang_speeds(&ratios);
    }
    flow::World::with_health(speeds.len() as u32, health)
}

/// Most of the fleet is idle, and the urgent task's objective leaves no time for a slower worker.
#[test]
fn urgent_task_is_not_left_on_a_slower_idle_worker() {
    let mut world = uneven(&[1.0, 1.1, 1.2, 1.3]);
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    world.tick(1);
    let hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    assert_eq!(hosts, [3]);
}

#[test]
fn urgent_gang_is_not_left_on_a_slower_idle_rack() {
    // Rack r0 has hosts 0 to 2, rack r1 hosts 3 to 5.
    let mut world = uneven(&[1.0, 1.1, 1.2, 1.3, 1.4, 1.4]);
    world.submit(0, "hi", vec![flow::gang(2, 8)]);
    world.tick(1);
    let mut hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [4, 5]);
}

/// Speed decides only where the room left over is the same: whole workers stay whole.
#[test]
fn urgent_task_breaks_no_fast_worker_into_pieces() {
    let mut world = uneven(&[1.0, 1.1]);
    world.submit(1, "aa", vec![flow::step(1, 4)]);
    world.tick(1);
    let broken = world.take_starts()[0].0;
    assert_eq!(broken, 0);
    world.submit(0, "hi", vec![flow::step(1, 4)]);
    world.tick(1);
    assert_eq!(world.take_starts()[0].0, broken);
}

/// What gives way to all others leaves the faster workers to them.
#[test]
fn last_rank_takes_the_slowest_of_like_workers() {
    let mut world = uneven(&[1.2, 1.1, 1.0]);
    world.submit(2, "low", vec![flow::step(1, 8)]);
    world.tick(1);
    let hosts: Vec<_> = world.take_starts().into_iter().map(|(host, ..)| host).collect();
    assert_eq!(hosts, [2]);
}
