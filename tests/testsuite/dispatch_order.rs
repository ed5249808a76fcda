//! Order in which steps of one rank are served, replayed without sockets.

use hemlockcleat::core::dispatch::queue;
use hemlockcleat::core::dispatch::wait;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// A wide job of the lowest rank has started all of its tasks on one worker when urgent work
/// preempts two of them. A later job of its rank, with eight tasks of 2 s, waits for the same
/// resources and must not be served before the two remaining tasks.
#[rstest::rstest]
#[case::estimate_too_long(4500, 1000)]
#[case::late_by_its_estimate(2000, 4500)]
fn remainder_of_a_job_is_not_passed_by_later_jobs(
    #[case] estimate: u32,
    #[case] preempted_after: u64,
) {
    let mut world = flow::World::with_workers(1);
    world.submit(2, "wide", vec![model::Step { estimate, ..flow::step(8, 1) }]);
    world.tick(1);
    let runs = world.take_starts();
    assert_eq!(runs.len(), 8);
    let running: Vec<_> = runs.into_iter().map(|(_, task, run)| (task, run, 10)).collect();
    world.now += preempted_after;
    world.report(flow::worker(0, 1), &running, &[]);
    world.submit(0, "hi", vec![flow::step(1, 2)]);
    world.submit(2, "later", vec![flow::step(8, 1)]);
    world.tick(1);
    let stops = world.take_stops();
    assert_eq!(stops.len(), 2, "{stops:?}");
    let mut running = running;
    running.retain(|(task, ..)| stops.iter().all(|(_, stopped, _)| stopped != task));
    let ends = stops.iter().zip(1..);
    let ends =
        ends.map(|((_, task, run), n)| flow::finished(n, task, *run, model::EndReason::Stopped));
    world.report(flow::worker(0, 1), &running, &ends.collect::<Vec<_>>());
    world.tick(1);
    let (_, urgent, run) = world.take_starts().remove(0);
    assert_eq!(urgent.id, "hi");
    world.now += 1500;
    running.iter_mut().for_each(|(_, _, percent)| *percent = 40);
    let ended = flow::finished(3, &urgent, run, model::EndReason::Done);
    world.report(flow::worker(0, 1), &running, &[ended]);
    world.tick(1);
    let started: Vec<_> = world.take_starts().into_iter().map(|(_, task, _)| task.id).collect();
    assert_eq!(started, ["wide", "wide"]);
}

/// Two of thirteen tasks have started, so the remainder is not a small one and the job does not
/// keep its position.
#[test]
fn job_that_has_hardly_begun_lets_shorter_ones_pass() {
    let mut world = flow::World::with_workers(1);
    world.submit(2, "first", vec![model::Step { estimate: 4000, ..flow::step(1, 6) }]);
    world.tick(1);
    let (_, first, run) = world.take_starts().remove(0);
    world.submit(2, "wide", vec![model::Step { estimate: 12_000, ..flow::step(13, 1) }]);
    world.tick(1);
    let wide: Vec<_> =
        world.take_starts().into_iter().map(|(_, task, run)| (task, run, 10)).collect();
    assert_eq!(wide.len(), 2);
    world.submit(2, "short", vec![flow::step(6, 1)]);
    world.now += 1000;
    let ended = flow::finished(1, &first, run, model::EndReason::Done);
    world.report(flow::worker(0, 1), &wide, &[ended]);
    world.tick(1);
    let started: Vec<_> = world.take_starts().into_iter().map(|(_, task, _)| task.id).collect();
    assert_eq!(started, ["short"; 6]);
}

/// An urgent job comes within its account's guarantee while it waits. Placements of its former rank
/// must not be counted for its new one.
#[test]
fn step_whose_rank_changes_is_counted_anew() {
    let first_task = model::TaskKey { job: ids::JobKey(1), occurrence: 0, step: 0, index: 0 };
    let waiting = |rank| queue::WaitingStep {
        rank,
        sort_prospect: queue::Prospect::InTime,
        due: 0,
        prospect: queue::Prospect::InTime,
        first_task,
    };
    let mut waits = wait::WaitTimes::default();
    waits.record_placed(queue::URGENT_RANK, 5);
    waits.begin(&waiting(queue::URGENT_RANK), time::Tick(0));
    waits.begin(&waiting(queue::GUARANTEED_RANK), time::Tick(1000));
    waits.record_placed(queue::GUARANTEED_RANK, 2);
    waits.record_placed(queue::URGENT_RANK, 1);
    let long_wait = waits
        .long_wait(&waiting(queue::GUARANTEED_RANK), 1, time::Tick(6000))
        .expect("a report is due");
    assert_eq!(
        (long_wait.same_rank, long_wait.other_ranks, long_wait.waited),
        (2, 1, time::Millis(6000))
    );
}
