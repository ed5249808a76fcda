//! Tests of single decisions of the planner.

use hemlockcleat::core::ids;
use hemlockcleat::core::placement::feasible;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::placement::planner;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;
use hemlockcleat::core::verdict;
use rstest::rstest;

use crate::support::plans;

#[test]
fn place_gang_one_rack() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    let placed = cell.queue(1, "big", "rebuild", plans::rack(3, 8));
    let racks: Vec<_> = placed.iter().map(|member| plans::rack_of(member.worker)).collect();
    assert_eq!(racks.len(), 3);
    assert!(racks.iter().all(|rack| *rack == racks[0]));
}

#[test]
fn refuse_unplaceable() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    assert_eq!(cell.step(plans::queued(1, "big", "rebuild", plans::rack(4, 8))), []);
    cell.now = time::Tick(3000);
    let out = cell.step(plan::Input::Tick);
    let [plan::Output::Refuse { refusal, .. }] = &out[..] else { panic!("{out:?}") };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(refusal.reason, verdict::Reason::Unplaceable);
}

#[test]
fn wait_no_workers() {
    let mut cell = plans::Cell::new(plans::config(&[]), 0);
    assert_eq!(cell.step(plans::queued(1, "big", "rebuild", plans::rack(4, 8))), []);
}

#[test]
fn place_once() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    assert_eq!(cell.queue(1, "big", "confirm", shape::Shape::single(1)).len(), 1);
    assert_eq!(cell.step(plans::queued(1, "big", "confirm", shape::Shape::single(1))), []);
    assert_eq!(cell.step(plan::Input::Tick), []);
}

#[test]
fn check_reports_largest_count() {
    let config = plans::config(&[("big", plans::rack(3, 8), 4)]);
    let specs: Vec<_> = (0..11).map(plans::spec).collect();
    let refs: Vec<_> = specs.iter().collect();
    let shortfall = feasible::check(&config, &refs).unwrap_err();
    assert_eq!((shortfall.count, shortfall.fits), (4, 3));
    let config = plans::config(&[("big", plans::rack(3, 8), 3)]);
    assert_eq!(feasible::check(&config, &refs), Ok(()));
}

#[test]
fn queue_class_order() {
    let mut cell = plans::Cell::new(plans::config(&[]), 1);
    cell.queue(1, "big", "confirm", shape::Shape::single(8));
    for (key, kind) in [(2, "tidy"), (3, "follow"), (4, "rebuild"), (5, "confirm")] {
        assert_eq!(cell.step(plans::queued(key, "big", kind, shape::Shape::single(8))), []);
    }
    let mut order = Vec::new();
    let mut ended = 1;
    while let Some(next) = cell.end(ended).first() {
        let plan::Output::Place { job, .. } = next else { panic!("{next:?}") };
        order.push(job.0);
        ended = job.0;
    }
    assert_eq!(order, [5, 4, 3, 2]);
}

#[test]
fn health_unknown() {
    let planner = planner::Planner::new();
    assert_eq!(planner.health(ids::WorkerKey(9)), "unknown");
    assert_eq!(planner.shortfall(), []);
}

fn placed(out: &[plan::Output]) -> Vec<u64> {
    let key = |output: &plan::Output| match output {
        plan::Output::Place { job, .. } => Some(job.0),
        _ => None,
    };
    out.iter().filter_map(key).collect()
}

fn preempted(out: &[plan::Output]) -> Vec<(u64, u64)> {
    let key = |output: &plan::Output| match output {
        plan::Output::Preempt { job, grace } => Some((job.0, grace.0)),
        _ => None,
    };
    out.iter().filter_map(key).collect()
}

fn ended(key: u64, result: plan::RunResult) -> plan::Input {
    plan::Input::Ended { job: ids::JobKey(key), result }
}

/// A job that is submitted at the cell's current time.
fn queued_now(
    cell: &plans::Cell,
    key: u64,
    kind: &str,
    shape: shape::Shape,
    run_time: u64,
) -> plan::Input {
    let plan::Input::Queued(mut queued) = plans::queued(key, "big", kind, shape) else {
        unreachable!()
    };
    queued.run_time = time::Millis(run_time);
    queued.submitted = cell.now;
    queued.deadline = cell.now + time::HOUR;
    plan::Input::Queued(queued)
}

#[test]
fn claim_preempts_jobs() {
    let mut cell = plans::Cell::new(plans::config(&[("big", plans::rack(3, 8), 3)]), 9);
    for key in 1..=3 {
        cell.queue(key, "small", "rebuild", plans::rack(3, 8));
    }
    cell.now = time::Tick(1000);
    let out = cell.step(plans::queued(4, "big", "confirm", plans::rack(3, 8)));
    let [(victim, grace)] = preempted(&out)[..] else { panic!("{out:?}") };
    assert_eq!((placed(&out), grace), (vec![], 1000));
    assert_eq!(cell.step(plan::Input::Tick), []);
    let out = cell.step(ended(victim, plan::RunResult::Preempted));
    assert_eq!((placed(&out), preempted(&out)), (vec![4], vec![]));
}

#[test]
fn nonpreemptible_leaves_guarantees() {
    let mut cell = plans::Cell::new(plans::config(&[("big", plans::rack(3, 8), 3)]), 11);
    for key in 1..=2 {
        cell.queue(key, "small", "confirm", shape::Shape::single(8));
    }
    assert_eq!(cell.step(plans::queued(3, "small", "confirm", shape::Shape::single(1))), []);
    assert_eq!(cell.queue(4, "small", "assess", shape::Shape::single(1)).len(), 1);
    for key in 5..=7 {
        let out = cell.step(plans::queued(key, "big", "confirm", plans::rack(3, 8)));
        for (victim, _) in preempted(&out) {
            cell.step(ended(victim, plan::RunResult::Preempted));
        }
    }
    assert_eq!(cell.planner.shortfall(), []);
    let claims = cell.planner.packing().iter().filter(|gang| gang.claims.len() == 1).count();
    assert_eq!(claims, 3);
}

#[test]
fn idle_waits_for_pending() {
    let mut cell = plans::Cell::new(plans::config(&[]), 3);
    cell.queue(1, "big", "confirm", shape::Shape::single(1));
    assert_eq!(cell.step(plans::queued(2, "big", "follow", plans::rack(3, 8))), []);
    assert_eq!(cell.step(plans::queued(3, "big", "tidy", shape::Shape::single(1))), []);
    let out = cell.step(plan::Input::Withdrawn(ids::JobKey(2)));
    assert_eq!(placed(&out), [3]);
}

#[rstest]
#[case::urgent("confirm")]
#[case::scheduled("rebuild")]
#[case::deferred("follow")]
fn idle_yields(#[case] kind: &str) {
    let mut cell = plans::Cell::new(plans::config(&[]), 1);
    cell.queue(1, "big", "tidy", shape::Shape::single(8));
    let out = cell.step(plans::queued(2, "big", kind, shape::Shape::single(1)));
    assert_eq!(preempted(&out), [(1, 1000)]);
    assert_eq!(placed(&cell.step(ended(1, plan::RunResult::Preempted))), [2]);
}

#[test]
fn preempted_backs_off() {
    let mut cell = plans::Cell::new(plans::config(&[]), 1);
    cell.queue(1, "big", "tidy", shape::Shape::single(8));
    cell.step(plans::queued(2, "big", "confirm", shape::Shape::single(1)));
    cell.step(ended(1, plan::RunResult::Preempted));
    cell.step(plan::Input::Released(ids::JobKey(2)));
    cell.end(2);
    let again = plans::queued(1, "big", "tidy", shape::Shape::single(8));
    assert_eq!(cell.step(again), [], "a preempted job restarts only after its back-off");
    cell.now = time::Tick(1000);
    assert_eq!(placed(&cell.step(plan::Input::Tick)), [1]);
}

#[test]
fn failing_worker_excluded_then_probed() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    let one = shape::Shape::single(1);
    let bad = cell.queue(1, "big", "assess", one)[0].worker;
    cell.step(ended(1, plan::RunResult::Failed(bad)));
    assert_eq!(cell.planner.health(bad), "suspect");
    let next = cell.queue(2, "big", "assess", one)[0].worker;
    assert_ne!(next, bad, "a suspect worker is used only if no good worker has capacity");
    cell.end(2);
    for other in (0..11).filter(|other| *other != bad.0) {
        cell.step(plans::announce(other, false));
    }
    for key in 3..=6 {
        let (account, kind) = if key % 2 == 0 { ("big", "assess") } else { ("small", "confirm") };
        assert_eq!(cell.queue(key, account, kind, one)[0].worker, bad);
        cell.step(ended(key, plan::RunResult::Failed(bad)));
        if cell.planner.health(bad) == "probation" {
            break;
        }
    }
    assert_eq!(cell.planner.health(bad), "probation");
    assert_eq!(cell.step(plans::queued(10, "big", "confirm", one)), []);
    cell.now = time::Tick(60_000);
    for key in 11..=12 {
        assert_eq!(cell.queue(key, "big", "assess", one)[0].worker, bad, "a probe");
        cell.end(key);
    }
    assert_eq!(cell.planner.health(bad), "good");
}

#[test]
fn failing_job_workers_good() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..4 {
        let worker = cell.queue(1, "big", "assess", shape::Shape::single(1))[0].worker;
        assert!(used.insert(worker), "placed twice on {worker}");
        cell.step(ended(1, plan::RunResult::Failed(worker)));
    }
    assert!(used.iter().all(|worker| cell.planner.health(*worker) == "good"));
}

#[test]
fn excluded_share_bounded() {
    let mut cell = plans::Cell::new(plans::config(&[]), 11);
    for key in 0..400 {
        let (account, kind) = if key % 2 == 0 { ("big", "assess") } else { ("small", "rebuild") };
        let out = cell.step(plans::queued(key, account, kind, shape::Shape::single(1)));
        let [plan::Output::Place { members, .. }] = &out[..] else { panic!("{out:?}") };
        let worker = members[0].worker;
        cell.step(plan::Input::Released(ids::JobKey(key)));
        cell.step(ended(key, plan::RunResult::Failed(worker)));
    }
    let excluded = (0..11).filter(|&key| cell.planner.health(ids::WorkerKey(key)) == "probation");
    assert!(excluded.count() <= 2);
}

#[test]
fn flapping_worker_suspect() {
    let mut cell = plans::Cell::new(plans::config(&[]), 3);
    for _ in 0..3 {
        cell.step(plan::Input::WorkerLost(ids::WorkerKey(0)));
        cell.step(plans::announce(0, true));
    }
    assert_eq!(cell.planner.health(ids::WorkerKey(0)), "suspect");
}

#[rstest]
#[case::short(60_000, true)]
#[case::long(600_000, false)]
fn backfill_by_recorded_run_time(#[case] usual: u64, #[case] starts: bool) {
    let mut cell = plans::Cell::new(plans::config(&[]), 1);
    for key in 1..=10 {
        cell.queue(key, "big", "follow", shape::Shape::single(1));
        cell.now = cell.now + time::Millis(usual);
        cell.end(key);
    }
    let four = shape::Shape::single(4);
    assert_eq!(placed(&cell.step(queued_now(&cell, 11, "rebuild", four, 300_000))), [11]);
    cell.step(plan::Input::Released(ids::JobKey(11)));
    let eight = shape::Shape::single(8);
    assert_eq!(cell.step(queued_now(&cell, 12, "rebuild", eight, 300_000)), []);
    let out = cell.step(queued_now(&cell, 13, "follow", shape::Shape::single(1), 1));
    assert_eq!(!placed(&out).is_empty(), starts);
}

#[test]
fn leader_change_keeps_packing() {
    let config = plans::config(&[("big", plans::rack(3, 8), 2)]);
    let mut old = plans::Cell::new(config.clone(), 11);
    let jobs =
        [(1, "big", "confirm", plans::rack(3, 8)), (2, "small", "confirm", plans::rack(1, 8))];
    let mut new = plans::Cell::new(config, 11);
    for (key, account, kind, shape) in jobs {
        let members = old.queue(key, account, kind, shape);
        let plan::Input::Queued(queued) = plans::queued(key, account, kind, shape) else {
            unreachable!()
        };
        assert_eq!(new.step(plan::Input::Running { queued, members, since: old.now }), []);
    }
    assert_eq!(new.planner.shortfall(), []);
    let claims: Vec<_> = new.planner.packing().into_iter().map(|gang| gang.claims.len()).collect();
    assert_eq!(claims.iter().sum::<usize>(), 1);
    assert_eq!(placed(&new.step(plans::queued(3, "big", "confirm", plans::rack(3, 8)))), [3]);
}

#[test]
fn lost_worker_shortfall_reported() {
    let mut cell = plans::Cell::new(plans::config(&[("big", plans::rack(3, 8), 3)]), 11);
    cell.step(plan::Input::WorkerLost(ids::WorkerKey(0)));
    let shortfall = cell.planner.shortfall();
    assert_eq!(shortfall, [("big".to_owned(), "1 of 3x8@rack can't be packed now".to_owned())]);
    cell.step(plans::announce(0, true));
    assert_eq!(cell.planner.shortfall(), []);
}

#[test]
fn cancelled_allocation_frees_capacity() {
    let mut cell = plans::Cell::new(plans::config(&[]), 1);
    cell.queue(1, "big", "tidy", shape::Shape::single(8));
    let out = cell.step(plans::queued(2, "big", "confirm", shape::Shape::single(8)));
    assert_eq!(preempted(&out), [(1, 1000)]);
    assert_eq!(cell.step(plan::Input::Withdrawn(ids::JobKey(2))), []);
    assert_eq!(cell.step(ended(1, plan::RunResult::Preempted)), []);
    assert_eq!(cell.queue(3, "big", "confirm", shape::Shape::single(8)).len(), 1);
}
