//! When the leader passes over its queue, and the sums that a pass relies on.

use std::collections::BTreeMap;

use hemlockcleat::control::dispatch_loop;
use hemlockcleat::core::dispatch::fit;
use hemlockcleat::core::dispatch::fleet;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::model;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::support::flow;

/// Returns a world in which a task runs and nothing has changed since the last pass.
fn settled() -> (flow::World, (u32, model::TaskName, u32)) {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    let started = world.take_starts().remove(0);
    let (host, task, run) = started.clone();
    world.report(flow::worker(host, 1), &[(task, run, 5)], &[]);
    world.tick(1);
    assert!(!world.dispatch.is_changed());
    (world, started)
}

/// Hundreds of agents report progress twice a second. A pass after each report used up the leader's
/// processor, so that calls and sessions timed out.
#[test]
fn progress_report_calls_for_no_pass() {
    let (mut world, (host, task, run)) = settled();
    for percent in [10, 40, 90] {
        world.now += 500;
        world.report(flow::worker(host, 1), &[(task.clone(), run, percent)], &[]);
        world.report(flow::worker(1 - host, 1), &[], &[]);
        assert!(!world.dispatch.is_changed(), "after {percent}%");
    }
}

#[rstest::rstest]
#[case::end("end")]
#[case::submission("submission")]
#[case::cancellation("cancellation")]
#[case::session("session")]
#[case::stale_worker("stale")]
#[case::draining_worker("draining")]
#[case::smaller_worker("smaller")]
fn change_calls_for_a_pass(#[case] change: &str) {
    let (mut world, (host, task, run)) = settled();
    let other = flow::worker(1 - host, 1);
    match change {
        "end" => {
            let ended = flow::finished(1, &task, run, model::EndReason::Done);
            world.report(flow::worker(host, 1), &[], &[ended]);
        }
        "submission" => {
            world.submit(1, "bb", vec![flow::step(1, 1)]);
        }
        "cancellation" => {
            let cancel = command::Command::Cancel(flow::queue(1).address(), "aa".to_owned());
            world.apply(cancel);
        }
        "session" => world.connect(1 - host),
        "stale" => world.report_stale(other),
        "draining" => world.report(order::Announcement { draining: true, ..other }, &[], &[]),
        "smaller" => {
            let capacity = order::Resources { accelerators: 4, ..other.capacity };
            world.report(order::Announcement { capacity, ..other }, &[], &[]);
        }
        _ => panic!("unknown change {change}"),
    }
    assert!(world.dispatch.is_changed());
    world.dispatch.decide(&world.registry, flow::moment(world.now));
    assert!(!world.dispatch.is_changed());
}

#[test]
fn decision_after_an_end_places_what_waits() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.submit(1, "bb", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts().remove(0);
    let ended = flow::finished(1, &task, run, model::EndReason::Done);
    world.report(flow::worker(host, 1), &[], &[ended]);
    world.dispatch.decide(&world.registry, flow::moment(world.now));
    world.settle();
    let started: Vec<_> = world.take_starts().into_iter().map(|(_, task, _)| task.id).collect();
    assert_eq!(started, ["bb"]);
}

/// A leader that was paused for seconds in the middle of a pass decides as quickly as before.
#[rstest::rstest]
#[case::short_pass(1, 4)]
#[case::long_pass(60, 100)]
#[case::paused(8000, 100)]
fn passes_are_spaced_by_at_most_a_tick(#[case] took: u64, #[case] spacing: u64) {
    let took = std::time::Duration::from_millis(took);
    assert_eq!(dispatch_loop::pass_spacing(took).as_millis(), u128::from(spacing));
}

fn resources(rng: &mut ChaCha8Rng, limit: u32) -> order::Resources {
    let mut below = |limit: u32| rng.next_u32() % limit.max(1);
    order::Resources {
        cpu: below(limit * 1000),
        memory: below(limit * 100),
        accelerators: below(limit),
    }
}

/// Holds the sums of allocations to the sums over all of them, over random histories.
#[rstest::rstest]
fn allocations_leave_what_their_sum_leaves(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut worker = fleet::Worker::inherited(None, time::Tick(0));
    let capacity = order::Resources { cpu: 32_000, memory: 3000, accelerators: 8 };
    worker.announcement = Some(order::Announcement { capacity, ..flow::worker(0, 1) });
    let mut model: BTreeMap<model::RunKey, order::Resources> = BTreeMap::new();
    for step in 0..2000 {
        let task = model::TaskKey {
            job: ids::JobKey(u64::from(rng.next_u32() % 4)),
            occurrence: 0,
            step: 0,
            index: rng.next_u32() % 4,
        };
        let key = model::RunKey { task, run: 1 };
        match rng.next_u32() % 3 {
            0 => assert_eq!(worker.allocated.remove(&key), model.remove(&key).is_some()),
            _ => {
                // Now and then more than the worker has, as after it has shrunk.
                let need = resources(&mut rng, if step % 50 == 0 { 40 } else { 3 });
                worker.allocated.insert(key, need);
                model.insert(key, need);
            }
        }
        let left = model.values().fold(capacity, |left, need| left.saturating_sub(*need));
        assert_eq!(worker.free(), left, "step {step}");
        assert!(worker.allocated.keys().eq(model.keys()), "step {step}");
    }
}

/// Holds the count of places to the number of tasks that are assigned one by one.
#[rstest::rstest]
fn free_places_are_as_many_as_tasks_fit(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..300 {
        let candidates: Vec<_> = (0..rng.next_u32() % 6)
            .map(|host| fit::Candidate {
                host,
                incarnation: flow::incarnation(host, 1),
                rack: fleet::RackKey(host % 2),
                free: resources(&mut rng, 9),
                capacity: order::Resources { cpu: 9000, memory: 900, accelerators: 9 },
                limit_left: if rng.next_u32().is_multiple_of(2) { u32::MAX } else { 2 },
                slow: false,
                speed: 100,
                suspect: false,
            })
            .collect();
        let need = resources(&mut rng, 4);
        let step = model::Step {
            cpu: need.cpu.max(1),
            memory: need.memory,
            accelerators: need.accelerators,
            ..flow::step(1, 0)
        };
        let need = order::Resources::of_step(&step);
        let demand = fit::Demand {
            step: &step,
            data: None,
            pool: "pool",
            urgent: false,
            low_priority: false,
            waited: time::Millis(0),
            contended: false,
        };
        let places = fit::free_places(&candidates, need);
        // Tiny needs would fit thousands of times.
        if places < 500 {
            assert_eq!(fit::choose(&candidates, demand, places + 5).len(), places);
        }
    }
}
