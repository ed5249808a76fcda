//! The planner's single decisions.

use hemlockcleat::core::ids;
use hemlockcleat::core::placement::feasible;
use hemlockcleat::core::placement::plan;
use hemlockcleat::core::placement::planner;
use hemlockcleat::core::shape;
use hemlockcleat::core::time;
use hemlockcleat::core::verdict;

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
fn check_largest_named() {
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
