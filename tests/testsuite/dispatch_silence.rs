//! Workers whose reports are late for a while, but for less than their lease.

use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// The work of a worker that was silent goes on: it is neither placed elsewhere meanwhile nor given
/// up when the late report comes, whether the same leader gets it or the next.
#[rstest::rstest]
fn run_of_a_silent_worker_goes_on(
    #[values(1000, 3000, 6000, flow::LEASE - 100)] silence: u64,
    #[values(false, true)] new_leader: bool,
) {
    let mut world = flow::World::with_workers(2);
    let key = world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts().remove(0);
    world.report(flow::worker(host, 1), &[(task.clone(), run, 5)], &[]);
    world.orders.clear();
    let until = world.now + silence;
    let change_at = world.now + silence / 2;
    while world.now < until {
        if new_leader && world.now <= change_at && change_at < world.now + 100 {
            world.change_leader();
            world.connect(1 - host);
        }
        world.tick(100);
        world.report(flow::worker(1 - host, 1), &[], &[]);
        assert_eq!(
            world.take_starts(),
            [],
            "after {} ms of silence",
            silence - (until - world.now)
        );
    }
    world.connect(host);
    world.report(flow::worker(host, 1), &[(task.clone(), run, 50)], &[]);
    world.tick(100);
    assert_eq!(world.take_starts(), [], "the late report shows the run");
    let first = model::TaskKey { job: key, occurrence: 0, step: 0, index: 0 };
    let known = world.registry.jobs[&key].task(first).expect("the job is active");
    assert_eq!((known.run, known.state), (run, job::TaskState::At(flow::incarnation(host, 1))));
    let done = flow::finished(1, &task, run, model::EndReason::Done);
    world.report(flow::worker(host, 1), &[], &[done]);
    assert_eq!(world.registry.jobs[&key].phase, job::Phase::Completed);
}
