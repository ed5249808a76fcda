//! Scheduling of workflows by one leader: orders, ends of runs, leases and changes of the leader.

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// A time after which every lease granted now has expired, with all allowances.
const PAST_LEASE: u64 = flow::LEASE * 2;

fn name(id: &str, index: u32) -> model::TaskName {
    model::TaskName { id: id.to_owned(), occurrence: 0, step: 0, index }
}

#[test]
fn start_follows_its_placement() {
    let mut world = flow::World::with_workers(1);
    let job = world.submit(1, "aa", vec![flow::step(2, 1)]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts, [(0, name("aa", 0), 1), (0, name("aa", 1), 1)]);
    assert!(
        world.registry.jobs[&job].has_runs(),
        "the placement is in the registry before the order"
    );
}

#[test]
fn steps_wait_for_those_before() {
    let mut world = flow::World::with_workers(1);
    let after = model::Step { after: vec![0], ..flow::step(1, 1) };
    world.submit(1, "aa", vec![flow::step(1, 1), after]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), 1);
    let done = flow::finished(1, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], &[done]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.step, 1);
}

#[test]
fn occurrences_start_when_due() {
    let mut world = flow::World::with_workers(1);
    let schedule = Some(model::Schedule { first: 1000, interval: 500, count: 2 });
    let steps = vec![flow::step(1, 1)];
    let workflow = model::Workflow { spec: String::new(), steps, schedule };
    world.submit_workflow(1, "aa", workflow);
    world.tick(900);
    assert_eq!(world.take_starts(), []);
    world.tick(101);
    assert_eq!(world.take_starts().len(), 1);
    world.tick(500);
    let starts = world.take_starts();
    assert_eq!(starts.iter().map(|(_, task, _)| task.occurrence).collect::<Vec<_>>(), [1]);
}

#[test]
fn end_is_acknowledged_once_it_is_in_the_registry() {
    let mut world = flow::World::with_workers(1);
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.orders.clear();
    let done = flow::finished(1, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], &[done]);
    let acknowledge = order::Order::Acknowledge { incarnation: flow::incarnation(0, 1), number: 1 };
    assert!(world.orders.contains(&(0, acknowledge)));
    assert_eq!(world.registry.jobs[&job].phase, job::Phase::Completed);
}

#[test]
fn acknowledgement_is_repeated_in_a_new_session() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    let done = flow::finished(1, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], std::slice::from_ref(&done));
    world.orders.clear();
    world.connect(0);
    world.report(flow::worker(0, 1), &[], &[done]);
    let acknowledge = order::Order::Acknowledge { incarnation: flow::incarnation(0, 1), number: 1 };
    assert!(world.orders.contains(&(0, acknowledge)));
}

#[test]
fn silent_worker_is_lost_only_after_its_lease() {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, _, _) = world.take_starts()[0].clone();
    world.dispatch.disconnected(host);
    world.tick(flow::LEASE);
    assert_eq!(world.take_starts(), [], "the run may still be active");
    world.now += PAST_LEASE;
    let other = 1 - host;
    world.report(flow::worker(other, 1), &[], &[]);
    world.tick(1);
    world.tick(1);
    assert_eq!(world.take_starts(), [(other, name("aa", 0), 2)]);
}

#[test]
fn another_incarnation_loses_the_runs_of_the_one_before_at_once() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.take_starts();
    world.report(flow::worker(0, 2), &[], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(0, name("aa", 0), 2)]);
}

/// The leader is replaced after placements on an incarnation that had ended, before the end of the
/// first run is committed. The new leader must not start the run again while a later run occupies
/// the worker.
#[test]
fn run_of_an_earlier_incarnation_is_lost_for_a_new_leader_too() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    let early = world.propose();
    world.report(flow::worker(0, 2), &[], &[]);
    world.submit(1, "bb", vec![flow::step(1, 8)]);
    let late = world.propose();
    early.into_iter().chain(late).for_each(|command| {
        world.apply(command);
    });
    world.change_leader();
    world.connect(0);
    world.report(flow::worker(0, 2), &[(name("bb", 0), 1, 10)], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), [], "the worker is full");
    let done = flow::finished(1, &name("bb", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 2), &[], &[done]);
    world.tick(1);
    assert_eq!(world.take_starts(), [(0, name("aa", 0), 2)]);
}

#[test]
fn late_report_of_an_earlier_incarnation_is_ignored() {
    let mut world = flow::World::with_workers(1);
    world.report(flow::worker(0, 2), &[], &[]);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.take_starts();
    world.report(flow::worker(0, 1), &[], &[]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
}

#[test]
fn new_leader_adopts_active_runs() {
    let mut world = flow::World::with_workers(1);
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.change_leader();
    world.connect(0);
    world.report(flow::worker(0, 1), &[(name("aa", 0), 1, 30)], &[]);
    world.tick(1);
    assert_eq!(world.take_stops(), []);
    let done = flow::finished(1, &name("aa", 0), 1, model::EndReason::Done);
    world.report(flow::worker(0, 1), &[], &[done]);
    assert_eq!(world.registry.jobs[&job].phase, job::Phase::Completed);
}

#[test]
fn new_leader_resends_missing_starts() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.change_leader();
    world.connect(0);
    for _ in 0..4 {
        world.now += 600;
        world.report(flow::worker(0, 1), &[], &[]);
    }
    let starts = world.take_starts();
    assert!(starts.contains(&(0, name("aa", 0), 1)), "not the same run: {starts:?}");
    assert!(starts.iter().all(|(_, _, run)| *run == 1));
}

#[test]
fn new_leader_waits_for_leases_of_the_one_before() {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, _, _) = world.take_starts()[0].clone();
    let other = 1 - host;
    world.change_leader();
    world.connect(other);
    for _ in 0..8 {
        world.now += 1000;
        world.report(flow::worker(other, 1), &[], &[]);
        world.tick(1);
    }
    assert_eq!(world.take_starts(), [], "the run may be active for a whole lease");
    for _ in 0..4 {
        world.now += 1000;
        world.report(flow::worker(other, 1), &[], &[]);
        world.tick(1);
    }
    assert_eq!(world.take_starts(), [(other, name("aa", 0), 2)]);
}

#[test]
fn unknown_run_is_stopped_and_its_worker_gets_no_more() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    let unexpected = name("elsewhere", 0);
    world.report(flow::worker(0, 1), &[(unexpected.clone(), 4, 10)], &[]);
    world.tick(1);
    assert!(world.orders.iter().any(|(_, order)| {
        matches!(order, order::Order::Stop { task, run: 4, .. } if *task == unexpected)
    }));
    assert_eq!(world.take_starts(), []);
}

#[test]
fn cancelled_runs_are_stopped() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    world.report(flow::worker(0, 1), &[(name("aa", 0), 1, 5)], &[]);
    let place = flow::queue(1).address();
    world.apply(command::Command::Cancel(place, "aa".to_owned()));
    world.settle();
    assert_eq!(world.take_stops(), [(0, name("aa", 0), 1)]);
}

#[test]
fn broken_gang_is_stopped_and_starts_again_whole() {
    let mut world = flow::World::with_workers(3);
    world.submit(1, "aa", vec![flow::gang(3, 8)]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), 3);
    for (host, task, run) in &starts {
        world.report(flow::worker(*host, 1), &[(task.clone(), *run, 5)], &[]);
    }
    let (host, task, _) = starts[0].clone();
    let failed = flow::finished(1, &task, 1, model::EndReason::Failed);
    world.orders.clear();
    world.report(flow::worker(host, 1), &[], &[failed]);
    let mut stops = world.take_stops();
    stops.sort();
    let mut members: Vec<_> = starts[1..].to_vec();
    members.sort();
    assert_eq!(stops, members);
    world.tick(1);
    assert_eq!(world.take_starts(), [], "not before the last member has ended");
    for (host, task, run) in &starts[1..] {
        let ended = flow::finished(1, task, *run, model::EndReason::Broken);
        world.report(flow::worker(*host, 1), &[], &[ended]);
    }
    world.tick(1);
    let again = world.take_starts();
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|(_, _, run)| *run == 2));
}

#[test]
fn refused_start_is_tried_elsewhere_under_another_number() {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts()[0].clone();
    let now = flow::moment(world.now);
    let registry = world.registry.clone();
    world.dispatch.closed(&registry, host, flow::incarnation(host, 1), &task, run, now);
    world.settle();
    world.tick(1);
    assert_eq!(world.take_starts(), [(1 - host, task, 2)]);
}

#[test]
fn draining_worker_gets_nothing() {
    let mut world = flow::World::with_workers(1);
    world.report(order::Announcement { draining: true, ..flow::worker(0, 1) }, &[], &[]);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
}

#[test]
fn worker_is_never_filled_beyond_its_capacity() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(5, 2)]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), 4);
    // Resources of runs that are being stopped still count as occupied.
    let place = flow::queue(1).address();
    world.apply(command::Command::Cancel(place, "aa".to_owned()));
    world.submit(1, "bb", vec![flow::step(1, 2)]);
    world.tick(1);
    assert_eq!(world.take_starts(), []);
}

#[rstest::rstest]
#[case::label(model::Step { constraint: Some("b".to_owned()), ..flow::step(1, 1) }, 0)]
#[case::own_label(model::Step { constraint: Some("a".to_owned()), ..flow::step(1, 1) }, 1)]
#[case::spread(model::Step { worker_limit: 1, ..flow::step(3, 1) }, 2)]
#[case::too_large(flow::step(1, 9), 0)]
fn constraints_hold(#[case] step: model::Step, #[case] starts: usize) {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![step]);
    world.tick(10_000);
    // The leases have expired meanwhile, so the workers report again.
    for host in 0..2 {
        world.report(flow::worker(host, 1), &[], &[]);
    }
    world.tick(1);
    assert_eq!(world.take_starts().len(), starts);
}

/// The stop was ordered while the worker's agent had no session, as after a change of leader.
#[test]
fn stop_is_resent_in_a_new_session() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    let (_, task, run) = world.take_starts()[0].clone();
    world.report(flow::worker(0, 1), &[(task.clone(), run, 10)], &[]);
    world.dispatch.disconnected(0);
    world.apply(command::Command::Cancel(flow::queue(1).address(), "aa".to_owned()));
    world.settle();
    world.orders.clear();
    world.connect(0);
    world.report(flow::worker(0, 1), &[(task.clone(), run, 20)], &[]);
    assert_eq!(world.take_stops(), [(0, task, run)]);
}

#[test]
fn stop_is_resent_while_the_run_is_listed() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    let (_, task, run) = world.take_starts()[0].clone();
    world.report(flow::worker(0, 1), &[(task.clone(), run, 10)], &[]);
    world.apply(command::Command::Cancel(flow::queue(1).address(), "aa".to_owned()));
    world.settle();
    assert_eq!(world.take_stops().len(), 1);
    let mut again = 0;
    for _ in 0..4 {
        world.now += 500;
        world.report(flow::worker(0, 1), &[(task.clone(), run, 20)], &[]);
        again += world.take_stops().len();
    }
    assert_eq!(again, 2, "each order has time to take effect before it is resent");
}

/// An agent that did not get a start gets it again at once in its next session, not only after the
/// time for missing runs.
#[test]
fn start_is_resent_in_a_new_session() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    world.tick(1);
    let started = world.take_starts();
    world.dispatch.disconnected(0);
    world.connect(0);
    world.report(flow::worker(0, 1), &[], &[]);
    assert_eq!(world.take_starts(), started);
}

#[test]
fn placement_twice_in_the_log_leaves_its_run() {
    let mut world = flow::World::with_workers(1);
    world.submit(1, "aa", vec![flow::step(1, 1)]);
    for command in world.propose() {
        world.apply(command.clone());
        world.apply(command);
    }
    world.settle();
    assert_eq!(world.take_starts(), [(0, name("aa", 0), 1)]);
    assert_eq!(world.dispatch.runs().len(), 1, "the active run is known");
    world.report(flow::worker(0, 1), &[(name("aa", 0), 1, 10)], &[]);
    assert_eq!(world.take_stops(), [], "the run is not unexpected");
}
