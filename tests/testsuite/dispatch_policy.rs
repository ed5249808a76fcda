//! Load patterns that decide the placement of work, replayed without sockets.

use hemlockcleat::core::dispatch::health;
use hemlockcleat::core::dispatch::progress;
use hemlockcleat::core::dispatch::queue;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::directory;
use hemlockcleat::core::workflow::model;

use crate::support::flow;

/// A started task: host, task, run.
type Started = (u32, model::TaskName, u32);

fn name(id: &str, index: u32) -> model::TaskName {
    model::TaskName { id: id.to_owned(), occurrence: 0, step: 0, index }
}

fn task(job: u64, index: u32) -> model::TaskKey {
    model::TaskKey { job: ids::JobKey(job), occurrence: 0, step: 0, index }
}

/// Fills every worker with one run of eight accelerators and reports the runs as active.
fn filled(workers: u32, step: model::Step) -> flow::World {
    let mut world = flow::World::with_workers(workers);
    world.submit(2, "low", vec![model::Step { count: workers, accelerators: 8, ..step }]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), workers as usize);
    world.now += 1000;
    for (host, task, run) in starts {
        world.report(flow::worker(host, 1), &[(task, run, 10)], &[]);
    }
    world.orders.clear();
    world
}

#[test]
fn small_tasks_keep_whole_workers_free() {
    let mut world = flow::World::with_workers(3);
    world.submit(1, "aa", vec![flow::step(5, 1)]);
    world.tick(1);
    let hosts: std::collections::BTreeSet<_> =
        world.take_starts().into_iter().map(|(host, _, _)| host).collect();
    assert_eq!(hosts.len(), 1);
}

#[test]
fn gang_stays_on_one_rack() {
    // Rack r0 has hosts 0 to 2, rack r1 hosts 3 to 5; one worker of r0 is occupied.
    let mut world = flow::World::with_workers(6);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let occupied = world.take_starts()[0].0;
    world.submit(1, "bb", vec![flow::gang(3, 8)]);
    world.tick(1);
    let racks: std::collections::BTreeSet<_> =
        world.take_starts().into_iter().map(|(host, _, _)| host / 3).collect();
    assert_eq!(racks.into_iter().collect::<Vec<_>>(), [1 - occupied / 3]);
}

#[test]
fn gang_spans_racks_when_waiting_costs_more() {
    let mut world = flow::World::with_workers(4);
    world.submit(1, "aa", vec![flow::step(2, 8)]);
    world.tick(1);
    let occupied: Vec<_> = world.take_starts().into_iter().map(|(host, _, _)| host).collect();
    assert_eq!(occupied, [0, 1], "an empty worker remains on each rack");
    world.submit(1, "bb", vec![flow::gang(2, 8)]);
    world.tick(1);
    assert_eq!(world.take_starts(), [], "the gang waits for a rack first");
    let mut hosts = std::collections::BTreeSet::new();
    for _ in 0..4 {
        world.now += 500;
        for host in 0..4 {
            world.report(flow::worker(host, 1), &[], &[]);
        }
        world.tick(1);
        let starts = world.take_starts().into_iter().filter(|(_, task, _)| task.id == "bb");
        hosts.extend(starts.map(|(host, _, _)| host));
    }
    assert_eq!(hosts.into_iter().collect::<Vec<_>>(), [2, 3]);
}

#[test]
fn guaranteed_work_preempts_lower_work() {
    let mut world = filled(3, model::Step { checkpoints: true, ..flow::step(1, 8) });
    // The account's guarantee is 16 accelerators.
    world.submit(0, "hi", vec![flow::step(2, 8)]);
    world.tick(1);
    let stops = world.take_stops();
    assert_eq!(stops.len(), 2, "{stops:?}");
    for (number, (host, task, run)) in stops.iter().enumerate() {
        let ended = flow::finished(1, task, *run, model::EndReason::Stopped);
        world.report(flow::worker(*host, 1), &[], &[ended]);
        world.tick(1);
        let starts = world.take_starts();
        assert_eq!(starts.len(), 1, "after stop {number}: {starts:?}");
        assert_eq!(starts[0].1.id, "hi", "the freed capacity is reserved for the urgent job");
    }
}

/// Returns a configuration with these guarantees of two accounts.
fn guarantees(version: u64, couriers: u32, movers: u32) -> command::Command {
    let mut directory = flow::directory(version);
    directory.accounts[0].guarantee = couriers;
    directory.accounts.push(directory::Account {
        name: "movers".to_owned(),
        credentials: vec!["other key".to_owned()],
        guarantee: movers,
    });
    command::Command::Configure(directory)
}

/// Returns a world whose two workers each run an urgent job of the first account, under these
/// guarantees.
fn occupied_by_couriers(couriers: u32, movers: u32) -> flow::World {
    let mut world = flow::World::with_workers(2);
    world.apply(guarantees(2, couriers, movers));
    for id in ["aa", "bb"] {
        world.submit(0, id, vec![flow::step(1, 8)]);
        world.tick(1);
        for (host, task, run) in world.take_starts() {
            world.report(flow::worker(host, 1), &[(task, run, 10)], &[]);
        }
    }
    world
}

/// Submits an urgent job of the second account, and returns the jobs that are stopped for it.
fn stopped_for_movers(world: &mut flow::World) -> Vec<String> {
    let queue = flow::queue(0);
    let workflow =
        model::Workflow { spec: "spec".to_owned(), steps: vec![flow::step(1, 8)], schedule: None };
    world.apply(command::Command::Submit(command::Submission {
        queue: queue.address(),
        id: "cc".to_owned(),
        account: "movers".to_owned(),
        pool: queue.pool,
        priority: 0,
        attempts: queue.attempts,
        workflow,
    }));
    world.orders.clear();
    world.tick(1);
    world.take_stops().into_iter().map(|(_, task, _)| task.id).collect()
}

/// Guards against guaranteed capacity that stays with the runs of an account to which it was
/// guaranteed when they were placed.
#[test]
fn reduced_guarantee_holds_for_active_runs() {
    let mut world = occupied_by_couriers(16, 0);
    world.apply(guarantees(3, 8, 8));
    assert_eq!(stopped_for_movers(&mut world), ["bb"]);
}

/// Guards against stops of runs that are within their account's guarantee by now, though they were
/// not when they were placed.
#[test]
fn raised_guarantee_holds_for_active_runs() {
    let mut world = occupied_by_couriers(8, 8);
    world.apply(guarantees(3, 16, 8));
    assert_eq!(stopped_for_movers(&mut world), Vec::<String>::new());
}

/// Guards against stops of runs within their account's guarantee that a new leader has adopted.
#[test]
fn guarantee_holds_for_adopted_runs() {
    let mut world = occupied_by_couriers(16, 8);
    world.change_leader();
    for (host, id) in [(0, "aa"), (1, "bb")] {
        world.connect(host);
        world.report(flow::worker(host, 1), &[(name(id, 0), 1, 10)], &[]);
    }
    assert_eq!(stopped_for_movers(&mut world), Vec::<String>::new());
}

/// The only worker with lower-ranked work to stop is suspect after a recent failure. The stop frees
/// capacity there for the urgent task, which therefore has to start there at once.
#[test]
fn urgent_work_uses_capacity_freed_on_a_suspect_worker() {
    let mut world = flow::World::with_workers(1);
    world.submit(2, "bad", vec![flow::step(1, 1)]);
    world.tick(1);
    let host = 0;
    for number in 1..=2 {
        let (_, task, run) = world.take_starts()[0].clone();
        let failed = flow::finished(number, &task, run, model::EndReason::Failed);
        world.report(flow::worker(host, 1), &[], &[failed]);
        world.tick(1);
    }
    world.submit(2, "low", vec![model::Step { checkpoints: true, ..flow::step(1, 8) }]);
    world.tick(1);
    let (_, low, run) = world
        .take_starts()
        .into_iter()
        .find(|(_, task, _)| task.id == "low")
        .expect("the lower task fits");
    world.now += 1000;
    world.report(flow::worker(host, 1), &[(low.clone(), run, 10)], &[]);
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops().len(), 1);
    let ended = flow::finished(3, &low, run, model::EndReason::Stopped);
    world.report(flow::worker(host, 1), &[], &[ended]);
    world.tick(1);
    let started: Vec<_> = world.take_starts().into_iter().map(|(_, task, _)| task.id).collect();
    assert_eq!(started, ["hi"]);
}

/// A wide urgent job of long tasks is alone in the queue. It takes what is free, but stops others
/// only up to half of the pool: what it stopped would wait beside it, take the room that its own
/// ends free, and be stopped again a moment later.
#[rstest::rstest]
#[case::with_free_workers(3, 5, 0)]
#[case::with_a_full_pool(5, 3, 2)]
fn long_urgent_job_stops_others_up_to_its_share(
    #[case] low: u32,
    #[case] urgent: u32,
    #[case] stopped: usize,
) {
    let mut world = flow::World::with_workers(5);
    world.submit(2, "low", vec![model::Step { checkpoints: true, ..flow::step(low, 8) }]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), low as usize);
    world.now += 1000;
    for (host, task, run) in starts {
        world.report(flow::worker(host, 1), &[(task, run, 10)], &[]);
    }
    world.submit(0, "hi", vec![model::Step { estimate: 8000, ..flow::step(urgent, 8) }]);
    world.tick(1);
    assert_eq!(world.take_stops().len(), stopped);
}

/// A burst of urgent gangs of whole workers meets a fleet full of wide gangs of lower rank. To stop
/// one of them costs more than one urgent task is worth, but frees the room of all its members.
#[test]
fn urgent_gang_beyond_its_guarantee_stops_a_gang_that_costs_less_than_it() {
    let mut world = filled(3, flow::gang(1, 8));
    // The stop loses one second on each of the three workers; urgent task takes two.
    world.submit(0, "hi", vec![flow::gang(3, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops().len(), 3);
}

/// The same, but the gang of lower rank has run for longer than the urgent one will.
#[test]
fn urgent_gang_beyond_its_guarantee_spares_a_gang_that_costs_more_than_it() {
    let mut world = filled(3, flow::gang(1, 8));
    world.now += 2000;
    world.submit(0, "hi", vec![flow::gang(3, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops(), []);
}

#[test]
fn urgent_work_beyond_its_guarantee_stops_no_long_work() {
    // Each stop loses ten seconds of work on eight accelerators, without a checkpoint.
    let mut world = filled(3, flow::step(1, 8));
    world.now += 10_000;
    for host in 0..3 {
        let running: Vec<_> = world.dispatch.workers()[&host].allocated.keys().copied().collect();
        let running: Vec<_> =
            running.iter().map(|key| (name("low", key.task.index), key.run, 20)).collect();
        world.report(flow::worker(host, 1), &running, &[]);
    }
    world.orders.clear();
    world.submit(0, "hi", vec![flow::step(3, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops(), []);
}

/// Worker 0 has half the speed of the others. Within a guarantee its capacity counts, since all of
/// the job has to start; beyond the guarantee the task would be late there anyway and lower-ranked
/// work would be lost for nothing. A gang that needs a single rack takes the workers that the rack
/// has.
#[rstest::rstest]
#[case::within_its_guarantee(2, flow::step(2, 8), &[0, 1])]
#[case::beyond_its_guarantee(2, flow::step(3, 8), &[1])]
#[case::gang_of_one_rack(3, flow::gang(3, 8), &[0, 1, 2])]
fn urgent_work_stops_lower_work_on_a_slow_worker(
    #[case] workers: u32,
    #[case] step: model::Step,
    #[case] stopped: &[u32],
) {
    let mut health = health::Health::default();
    for _ in 0..6 {
        for host in 0..workers {
            health.learn_speed(host, "queue", if host == 0 { 0.5 } else { 1.0 });
        }
    }
    let mut world = flow::World::with_health(workers, health);
    world.submit(2, "low", vec![model::Step { checkpoints: true, ..flow::step(workers, 8) }]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), workers as usize);
    world.now += 1000;
    for (host, task, run) in starts {
        world.report(flow::worker(host, 1), &[(task, run, 10)], &[]);
    }
    world.submit(0, "hi", vec![step]);
    world.tick(1);
    let mut hosts: Vec<_> = world.take_stops().into_iter().map(|(host, _, _)| host).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, stopped);
}

#[test]
fn lower_work_preempts_nothing() {
    let mut world = filled(2, model::Step { checkpoints: true, ..flow::step(1, 8) });
    world.submit(1, "mid", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops(), []);
}

#[test]
fn stalled_run_is_moved() {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts()[0].clone();
    for percent in [10, 20, 30, 30, 30, 30, 30, 30, 30, 30] {
        world.now += 500;
        world.report(flow::worker(host, 1), &[(task.clone(), run, percent)], &[]);
        world.report(flow::worker(1 - host, 1), &[], &[]);
        world.tick(1);
    }
    assert_eq!(world.take_stops().first(), Some(&(host, task, run)));
}

#[test]
fn run_on_an_unreachable_worker_is_not_stopped() {
    let mut world = flow::World::with_workers(2);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts()[0].clone();
    // No report arrives for five seconds, in which the run makes progress.
    for percent in [Some(10), Some(20), None, None, None, None, None, None, None, None, Some(90)] {
        world.now += 500;
        if let Some(percent) = percent {
            world.report(flow::worker(host, 1), &[(task.clone(), run, percent)], &[]);
        }
        world.report(flow::worker(1 - host, 1), &[], &[]);
        world.tick(1);
    }
    assert_eq!(world.take_stops(), []);
}

#[test]
fn steady_run_is_not_stopped() {
    let mut world = flow::World::with_workers(2);
    // The estimate is 2 s, and the run takes 50 s.
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts()[0].clone();
    for half_seconds in 1..90 {
        world.now += 500;
        world.report(flow::worker(host, 1), &[(task.clone(), run, half_seconds)], &[]);
        world.tick(1);
    }
    assert_eq!(world.take_stops(), []);
}

#[test]
fn worker_that_fails_every_task_is_suspended() {
    let mut health = health::Health::default();
    let now = time::Tick(1000);
    assert!(health.accepts_tasks(1, now));
    // Failures of two tasks of one job are enough.
    health.record_failure(1, task(7, 0), now);
    health.record_failure(1, task(7, 1), now);
    assert!(!health.accepts_tasks(1, now));
    health.record_success(1);
    assert!(health.accepts_tasks(1, time::Tick(60_000)));
}

#[test]
fn failing_job_counts_against_one_worker_at_most() {
    let mut health = health::Health::default();
    let now = time::Tick(1000);
    for host in 1..6 {
        for index in 0..4 {
            health.record_failure(host, task(7, index), now);
        }
    }
    let paused = (1..6).filter(|host| !health.accepts_tasks(*host, now)).count();
    assert_eq!(paused, 1);
}

#[test]
fn slow_worker_is_known_after_a_few_runs() {
    let mut health = health::Health::default();
    // Callers of this queue estimate twice the actual time of their tasks; worker 4 has half the
    // speed.
    for _ in 0..4 {
        for host in 1..=4 {
            health.learn_speed(host, "queue", if host == 4 { 0.9 } else { 2.0 });
        }
    }
    let slow = |host: &u32| health.speed(*host) < health.slow_threshold();
    let slow: Vec<_> = (1..=4).filter(slow).collect();
    assert_eq!(slow, [4]);
}

#[rstest::rstest]
#[case::as_estimated(2000, &[(500, 25), (1000, 50)], 1000)]
#[case::twice_as_long(2000, &[(1000, 25), (2000, 50)], 2000)]
#[case::nothing_heard(2000, &[], 2000)]
fn remaining_time(#[case] estimate: u32, #[case] reports: &[(u64, u32)], #[case] expected: u64) {
    let mut progress = progress::Progress::new(estimate, time::Tick(0));
    let mut now = 0;
    for (at, percent) in reports {
        now = *at;
        progress.update(time::Tick(now), *percent);
    }
    assert_eq!(progress.remaining(time::Tick(now), 1.0).0, expected);
}

#[test]
fn long_step_leaves_half_of_the_pool_to_others() {
    let mut world = flow::World::with_workers(4);
    let long = model::Step { estimate: 60_000, ..flow::step(6, 8) };
    world.submit(0, "hog", vec![long]);
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.submit(1, "bb", vec![flow::step(1, 8)]);
    world.tick(1);
    let starts = world.take_starts();
    let of = |id: &str| starts.iter().filter(|(_, task, _)| task.id == id).count();
    assert_eq!((of("hog"), of("aa"), of("bb")), (2, 1, 1));
}

#[rstest::rstest]
#[case::long(10_000, 4)]
#[case::very_long(60_000, 2)]
fn step_that_waits_alone(#[case] estimate: u32, #[case] starts: usize) {
    let mut world = flow::World::with_workers(4);
    world.submit(1, "hog", vec![model::Step { estimate, ..flow::step(6, 8) }]);
    world.tick(1);
    assert_eq!(world.take_starts().len(), starts);
}

/// Runs a gang of two on two workers. The first member advances by `steps.0` percent each half
/// second and the second by `steps.1`, until the first has completed its own work.
fn uneven_gang(world: &mut flow::World, rounds: u32, steps: (u32, u32)) -> Vec<Started> {
    world.submit(1, "gg", vec![flow::gang(2, 8)]);
    world.tick(1);
    let mut members = world.take_starts();
    members.sort_by_key(|(_, task, _)| task.index);
    for round in 1..=rounds {
        world.now += 500;
        let percents = [(steps.0 * round).min(100), (steps.1 * round).min(100)];
        for ((host, task, run), percent) in members.iter().zip(percents) {
            world.report(flow::worker(*host, 1), &[(task.clone(), *run, percent)], &[]);
        }
        world.tick(1);
    }
    members
}

#[test]
fn member_that_waits_for_its_gang_is_not_stopped() {
    let mut world = flow::World::with_workers(2);
    uneven_gang(&mut world, 14, (50, 5));
    assert_eq!(world.take_stops(), []);
}

#[test]
fn complete_gang_that_does_not_end_is_moved() {
    let mut world = flow::World::with_workers(2);
    uneven_gang(&mut world, 14, (50, 50));
    let stopped: std::collections::BTreeSet<_> =
        world.take_stops().into_iter().map(|(host, _, _)| host).collect();
    assert_eq!(stopped.len(), 2);
}

/// The gang has ended, and the worker of its fast member has not listed that yet.
#[rstest::rstest]
#[case::rest_complete(None)]
#[case::rest_ended(Some(model::EndReason::Done))]
fn gang_that_has_just_ended_is_not_stopped(#[case] end: Option<model::EndReason>) {
    let mut world = flow::World::with_workers(2);
    let members = uneven_gang(&mut world, 19, (50, 5));
    let (host, task, run) = members[1].clone();
    world.now += 500;
    match end {
        Some(reason) => {
            let ended = flow::finished(1, &task, run, reason);
            world.report(flow::worker(host, 1), &[], &[ended]);
        }
        None => world.report(flow::worker(host, 1), &[(task, run, 100)], &[]),
    }
    world.tick(1);
    assert_eq!(world.take_stops(), []);
}

#[test]
fn member_that_waits_for_its_gang_does_not_end_soon() {
    let mut world = flow::World::with_workers(2);
    let members = uneven_gang(&mut world, 4, (50, 5));
    world.orders.clear();
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_stops().len(), members.len(), "no run ends within seconds by itself");
}

#[test]
fn gang_distinguishes_fast_and_slow_workers() {
    let mut world = flow::World::with_workers(2);
    let members = uneven_gang(&mut world, 3, (12, 30));
    let (slow, fast) = (members[0].0, members[1].0);
    for (host, task, run) in &members {
        let ended = flow::finished(1, task, *run, model::EndReason::Done);
        world.report(flow::worker(*host, 1), &[], &[ended]);
    }
    world.orders.clear();
    world.submit(0, "hi", vec![flow::step(1, 8)]);
    world.tick(1);
    assert_eq!(world.take_starts()[0].0, fast, "the gang ran slower on {slow}");
}

/// A burst of four jobs for one worker; each takes its estimate of 2 s and has to end within 7 s.
#[test]
fn late_job_is_passed_by_jobs_that_can_meet_their_objectives() {
    let mut world = flow::World::with_workers(1);
    for (at, id) in [(0, "aa"), (100, "bb"), (4000, "cc"), (6500, "dd")] {
        world.tick(at - world.now.min(at));
        world.submit(1, id, vec![flow::step(1, 8)]);
    }
    let mut order = Vec::new();
    // The first run takes 6.5 s instead.
    for (number, took) in [(1, 0), (2, 2000), (3, 2000), (4, 2000)] {
        world.now += took;
        world.report(flow::worker(0, 1), &[], &[]);
        world.tick(1);
        let (host, task, run) = world.take_starts().remove(0);
        let ended = flow::finished(number, &task, run, model::EndReason::Done);
        order.push(task.id);
        world.report(flow::worker(host, 1), &[], &[ended]);
        world.orders.clear();
    }
    assert_eq!(order, ["aa", "cc", "dd", "bb"]);
}

/// Returns the prospect at a time of the step that is served first.
fn first_prospect(world: &flow::World, now: u64) -> queue::Prospect {
    let mut queue = queue::Queue::new(&world.registry);
    queue.refresh(&world.registry, flow::moment(now));
    queue.steps().next().expect("a waiting step").prospect
}

#[rstest::rstest]
#[case::in_time(0, queue::Prospect::InTime)]
#[case::just_in_time(5700, queue::Prospect::InTime)]
#[case::too_late(5900, queue::Prospect::Late)]
#[case::past_its_objective(7100, queue::Prospect::Late)]
#[case::past_any_use(21_100, queue::Prospect::Spent)]
fn prospect_of_a_waiting_job(#[case] after: u64, #[case] expected: queue::Prospect) {
    let mut world = flow::World::default();
    world.submit(1, "aa", vec![flow::step(1, 8)]);
    assert_eq!(first_prospect(&world, after), expected);
}

/// The second of two steps waits for the first, whose time has passed by then.
#[test]
fn prospect_counts_remaining_steps() {
    let mut world = flow::World::default();
    let second = model::Step { after: vec![0], ..flow::step(1, 1) };
    world.submit(1, "aa", vec![model::Step { estimate: 9000, ..flow::step(1, 8) }, second]);
    // All of it has to end within three times 11 s and 1 s.
    assert_eq!(first_prospect(&world, 27_000), queue::Prospect::InTime);
    assert_eq!(first_prospect(&world, 28_000), queue::Prospect::Late);
}
