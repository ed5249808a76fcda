//! Orders for one incarnation of a worker, and the end of an incarnation.
//!
//! Workers restart under their names, carry out orders that were sent to their earlier
//! incarnations, and are announced by other senders.

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

/// How long a run takes if a test needs time for other steps while it is in progress.
const LONG_RUN_TIME: time::Duration = time::Duration::from_millis(1800);

/// The start of the second incarnation of a worker, in milliseconds since 1970-01-01 UTC.
const RESTARTED_AT: u64 = 1_800_000_000_000;

/// An address at which no worker answers.
struct NoWorker;

impl backend::Backend for NoWorker {
    fn poll(
        &self,
        _: backend::Poll,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, backend::PollError>> {
        Box::pin(future::ready(Err(backend::PollError::Unanswered("no worker".to_owned()))))
    }

    fn start(
        &self,
        _: backend::Launch,
    ) -> future::LocalBoxFuture<'static, Result<backend::LaunchReply, backend::CallError>> {
        Box::pin(future::ready(Err(backend::CallError("no worker".to_owned()))))
    }

    fn stop(
        &self,
        _: model::TaskName,
        _: u32,
        _: u64,
    ) -> future::LocalBoxFuture<'static, Result<(), backend::CallError>> {
        Box::pin(future::ready(Err(backend::CallError("no worker".to_owned()))))
    }
}

/// Starts two workers, of which only the first accepts tasks.
async fn two_workers() -> Site {
    let site = Site::start(1, 2).await;
    announce(&site, 1, true).await;
    site.configure().await;
    // Once a task has run on the first worker, the leader knows it.
    site.submit(1, "first", flow::step(1, 1)).await;
    assert_eq!(site.wait_for_end(1, "first").await, job::Phase::Completed);
    site.checker.starts.set(0);
    for worker in &site.workers {
        worker.run_time.set(LONG_RUN_TIME);
    }
    site
}

/// Announces the worker of a host as accepting tasks, or as draining.
async fn announce(site: &Site, host: usize, draining: bool) {
    let announcement = order::Announcement { draining, ..site.announcement(host) };
    let backend = rc::Rc::new(worker::Client(site.workers[host].clone()));
    let update = agent::WorkerUpdate {
        incarnation: announcement.incarnation,
        announcement: Some(announcement),
        drain_left: None,
        backend,
    };
    site.runners[host].update(update).await;
}

#[test]
fn start_for_an_earlier_incarnation_does_not_run_in_the_next() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        first.defers.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| first.deferred_starts() > 0).await;
        first.defers.set(false);
        // The start is ordered again, and the repeated order is carried out.
        workflow::wait_until(|| first.is_busy()).await;
        first.restart(RESTARTED_AT);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        workflow::wait_until(|| site.workers[1].is_busy()).await;
        first.execute_deferred();
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

/// Another sender announces an incarnation that starts later than the one that comes next. Its token
/// must not be used, since the next incarnation has a lower one.
#[test]
fn start_for_an_earlier_incarnation_does_not_run_after_a_false_announcement() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        let incarnation = model::Incarnation {
            started: RESTARTED_AT + 60_000,
            ..site.announcement(0).incarnation
        };
        let announcement = order::Announcement { incarnation, ..site.announcement(0) };
        let backend = rc::Rc::new(NoWorker);
        site.runners[0]
            .update(agent::WorkerUpdate {
                announcement: Some(announcement),
                drain_left: None,
                incarnation,
                backend,
            })
            .await;
        first.defers.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| first.deferred_starts() > 0).await;
        first.defers.set(false);
        workflow::wait_until(|| first.is_busy()).await;
        first.restart(RESTARTED_AT);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        workflow::wait_until(|| site.workers[1].is_busy()).await;
        first.execute_deferred();
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

/// There is no leader when the next incarnation carries out the start, whose deadline is on the
/// clock of the previous incarnation.
#[test]
fn run_of_an_earlier_incarnation_is_stopped_when_the_lease_expires() {
    support::run(async {
        let mut site = two_workers().await;
        let first = site.workers[0].clone();
        first.defers.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| first.deferred_starts() > 0).await;
        first.run_time.set(LONG_RUN_TIME * 10);
        let stopped = site.stop_leader().await;
        first.restart(RESTARTED_AT);
        first.execute_deferred();
        assert!(first.is_busy());
        first.defers.set(false);
        announce(&site, 0, true).await;
        workflow::wait_until(|| !first.is_busy()).await;
        assert!(first.has_stopped());
        first.run_time.set(LONG_RUN_TIME);
        site.start_replica(stopped).await;
        announce(&site, 1, false).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn run_started_by_the_next_incarnation_is_not_placed_again() {
    support::run(async {
        let site = two_workers().await;
        let first = site.workers[0].clone();
        first.defers.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| first.deferred_starts() > 0).await;
        first.restart(RESTARTED_AT);
        first.execute_deferred();
        assert!(first.is_busy());
        first.defers.set(false);
        announce(&site, 0, true).await;
        announce(&site, 1, false).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn poll_for_an_earlier_incarnation_acknowledges_no_end_of_the_next() {
    support::run(async {
        let site = Site::start(1, 1).await;
        let worker = site.workers[0].clone();
        site.configure().await;
        site.submit(1, "aa", flow::step(3, 1)).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        workflow::wait_until(|| worker.pending_ends() == 0).await;
        worker.defers.set(true);
        workflow::wait_until(|| worker.deferred_polls() > 0).await;
        worker.restart(RESTARTED_AT);
        worker.defers.set(false);
        site.announce(0).await;
        site.submit(1, "bb", flow::step(2, 1)).await;
        workflow::wait_until(|| worker.is_busy()).await;
        worker.defers.set(true);
        workflow::wait_until(|| worker.pending_ends() == 2).await;
        worker.execute_deferred();
        worker.defers.set(false);
        assert_eq!(site.wait_for_end(1, "bb").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 5, "each task once");
        site.stop().await;
    });
}

#[test]
fn incarnation_that_never_answers_ends_no_run() {
    support::run(async {
        let site = two_workers().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| site.workers[0].is_busy()).await;
        let incarnation =
            model::Incarnation { started: RESTARTED_AT, ..site.announcement(0).incarnation };
        let announcement = order::Announcement {
            incarnation,
            pool: "elsewhere".to_owned(),
            ..site.announcement(0)
        };
        let backend = rc::Rc::new(NoWorker);
        let update = agent::WorkerUpdate {
            announcement: Some(announcement),
            drain_left: None,
            incarnation,
            backend,
        };
        site.runners[0].update(update).await;
        announce(&site, 1, false).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 1);
        // The worker can still be used.
        announce(&site, 1, true).await;
        site.announce(0).await;
        site.submit(1, "bb", flow::step(1, 1)).await;
        assert_eq!(site.wait_for_end(1, "bb").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn worker_running_after_its_departure_ends_no_run() {
    support::run(async {
        let site = two_workers().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        workflow::wait_until(|| site.workers[0].is_busy()).await;
        let incarnation = site.announcement(0).incarnation;
        let backend = rc::Rc::new(worker::Client(site.workers[0].clone()));
        let update =
            agent::WorkerUpdate { announcement: None, drain_left: None, incarnation, backend };
        site.runners[0].update(update).await;
        announce(&site, 1, false).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}
