//! Which incarnation of a worker an order is for, and when the incarnation before is over.
//!
//! Workers start again under their names, take what was sent to their earlier incarnations, and are
//! announced by others.

use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::agent;
use hemlockcleat::runner::backend;

use crate::support;
use crate::support::flow;
use crate::support::worker;
use crate::workflow;
use crate::workflow::Site;

/// Longer than a test needs to order things while a task runs.
const LONG: time::Duration = time::Duration::from_millis(1800);

/// When the second incarnation of a worker begins, in milliseconds since 1970-01-01 UTC.
const REBORN: u64 = 1_800_000_000_000;

/// Nobody answers there.
struct Nobody;

impl backend::Backend for Nobody {
    fn poll(
        &self,
        _: backend::Poll,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, backend::PollError>> {
        Box::pin(future::ready(Err(backend::PollError::Unanswered("nobody".to_owned()))))
    }

    fn start(
        &self,
        _: backend::Launch,
    ) -> future::LocalBoxFuture<'static, Result<backend::LaunchReply, backend::CallError>> {
        Box::pin(future::ready(Err(backend::CallError("nobody".to_owned()))))
    }

    fn stop(
        &self,
        _: model::TaskName,
        _: u32,
        _: u64,
    ) -> future::LocalBoxFuture<'static, Result<(), backend::CallError>> {
        Box::pin(future::ready(Err(backend::CallError("nobody".to_owned()))))
    }
}

/// Two workers, of which only the first takes tasks.
async fn two_workers() -> Site {
    let site = Site::start(1, 2).await;
    announce(&site, 1, true).await;
    site.configure().await;
    // The leader knows the first worker once a task has run there.
    site.submit(1, "first", flow::step(1, 1)).await;
    assert_eq!(site.ended(1, "first").await, job::Phase::Completed);
    site.checker.starts.set(0);
    for worker in &site.workers {
        worker.work.set(LONG);
    }
    site
}

/// The worker of a host says that it takes tasks, or that it leaves.
async fn announce(site: &Site, host: usize, draining: bool) {
    let announcement = order::Announcement { draining, ..site.announcement(host) };
    let backend = rc::Rc::new(worker::Calls(site.workers[host].clone()));
    let update = agent::WorkerUpdate {
        incarnation: announcement.incarnation,
        announcement: Some(announcement),
        drain_left: None,
        backend,
    };
    site.runners[host].update(update).await;
}

#[test]
fn start_for_an_earlier_life_does_not_run_in_the_next() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        first.keeps.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| first.kept_starts() > 0).await;
        first.keeps.set(false);
        // The start is ordered again, and that one is carried out.
        workflow::until(|| first.is_busy()).await;
        first.restart(REBORN);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        workflow::until(|| site.workers[1].is_busy()).await;
        first.carry_out();
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

/// Another writer announces an incarnation later than the one that comes.
#[test]
fn start_for_an_earlier_life_does_not_run_after_a_stray_announcement() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        let incarnation =
            model::Incarnation { started: REBORN + 60_000, ..site.announcement(0).incarnation };
        let announcement = order::Announcement { incarnation, ..site.announcement(0) };
        let backend = rc::Rc::new(Nobody);
        site.runners[0]
            .update(agent::WorkerUpdate {
                announcement: Some(announcement),
                drain_left: None,
                incarnation,
                backend,
            })
            .await;
        first.keeps.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| first.kept_starts() > 0).await;
        first.keeps.set(false);
        workflow::until(|| first.is_busy()).await;
        first.restart(REBORN);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        workflow::until(|| site.workers[1].is_busy()).await;
        first.carry_out();
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

/// Nobody leads when the next incarnation takes the start; its deadline is one of the incarnation before.
#[test]
fn run_of_an_earlier_life_is_stopped_when_the_lease_is_over() {
    support::run(async {
        let mut site = two_workers().await;
        let first = site.workers[0].clone();
        first.keeps.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| first.kept_starts() > 0).await;
        first.work.set(LONG * 10);
        let stopped = site.stop_leader().await;
        first.restart(REBORN);
        first.carry_out();
        assert!(first.is_busy());
        first.keeps.set(false);
        announce(&site, 0, true).await;
        workflow::until(|| !first.is_busy()).await;
        assert!(first.has_stopped());
        first.work.set(LONG);
        site.start_replica(stopped).await;
        announce(&site, 1, false).await;
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn run_that_the_next_life_has_begun_is_not_placed_again() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        first.keeps.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| first.kept_starts() > 0).await;
        first.restart(REBORN);
        first.carry_out();
        assert!(first.is_busy());
        first.keeps.set(false);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn hold_for_an_earlier_life_forgets_no_end_of_the_next() {
    support::run(async {
        let site = Site::start(1, 1).await;
        let worker = site.workers[0].clone();
        site.configure().await;
        site.submit(1, "aa", flow::step(3, 1)).await;
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        workflow::until(|| worker.ends() == 0).await;
        worker.keeps.set(true);
        workflow::until(|| worker.kept_holds() > 0).await;
        worker.restart(REBORN);
        worker.keeps.set(false);
        site.announce(0).await;
        site.submit(1, "bb", flow::step(2, 1)).await;
        workflow::until(|| worker.is_busy()).await;
        worker.keeps.set(true);
        workflow::until(|| worker.ends() == 2).await;
        worker.carry_out();
        worker.keeps.set(false);
        assert_eq!(site.ended(1, "bb").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 5, "each task once");
        site.stop().await;
    });
}

#[test]
fn life_that_nobody_answers_for_ends_no_run() {
    support::run(async {
        let site = two_workers().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| site.workers[0].is_busy()).await;
        let incarnation =
            model::Incarnation { started: REBORN, ..site.announcement(0).incarnation };
        let announcement = order::Announcement {
            incarnation,
            pool: "elsewhere".to_owned(),
            ..site.announcement(0)
        };
        let backend = rc::Rc::new(Nobody);
        let update = agent::WorkerUpdate {
            announcement: Some(announcement),
            drain_left: None,
            incarnation,
            backend,
        };
        site.runners[0].update(update).await;
        announce(&site, 1, false).await;
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 1);
        // The worker is still of use.
        announce(&site, 1, true).await;
        site.announce(0).await;
        site.submit(1, "bb", flow::step(1, 1)).await;
        assert_eq!(site.ended(1, "bb").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn worker_that_runs_on_after_it_left_ends_no_run() {
    support::run(async {
        let site = two_workers().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::until(|| site.workers[0].is_busy()).await;
        let incarnation = site.announcement(0).incarnation;
        let backend = rc::Rc::new(worker::Calls(site.workers[0].clone()));
        let update =
            agent::WorkerUpdate { announcement: None, drain_left: None, incarnation, backend };
        site.runners[0].update(update).await;
        announce(&site, 1, false).await;
        assert_eq!(site.ended(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}
