//! Tests of a deployment of separate processes without faults, and of the checker.

use std::time;

use hemlockcleat::standin::record;
use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::daemon;

#[test]
fn path_answers_every_request() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let cluster = cluster::Cluster::start(size).await;
        let sent =
            checker::send(&cluster.caller(), "plain", 20, 20, time::Duration::from_secs(10)).await;
        let counts = checker::check(&cluster, &sent).await;
        assert_eq!(checker::count(&counts, &cluster::KINDS, "done"), 20, "{counts:?}");
    });
}

#[test]
fn cancel_tells_the_truth() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = cluster::Cluster::start(cluster::Size { entries: 2, workers: 1 }).await;
        let caller = cluster.caller();
        // More requests than the worker has slots, so that some run and some wait when cancelled.
        let sent = checker::send(&caller, "cancel", 30, 800, time::Duration::ZERO).await;
        cluster.wait_until("a task runs", async || cluster.running_tasks() > 0).await;
        for sent in &sent {
            caller.cancel(1, sent.key()).await.expect("a response");
        }
        let counts = checker::check(&cluster, &sent).await;
        assert!(checker::count(&counts, &cluster::KINDS, "not-run") > 0, "{counts:?}");
        assert!(checker::count(&counts, &cluster::KINDS, "done") < 30, "{counts:?}");
    });
}

#[test]
fn status_names_the_leader() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let mut cluster = cluster::Cluster::start(cluster::Size { entries: 1, workers: 1 }).await;
        let first = cluster.leader().await;
        assert!(cluster.logged_leading(first), "the replica has logged that it leads");
        cluster.controls[first].kill();
        let next = cluster.leader().await;
        assert_ne!(next, first);
        assert!(cluster.logged_leading(next), "the replica has logged that it leads");
    });
}

fn run(task: &str, end: record::End) -> record::Run {
    record::Run {
        task: task.to_owned(),
        worker: "worker-0".to_owned(),
        service: cluster::SERVICE.to_owned(),
        kind: cluster::ONCE.to_owned(),
        key: "key".to_owned(),
        gang: 1,
        accelerators: 1,
        started: 1,
        ended: Some(2),
        end: Some(end),
    }
}

fn outcome(label: &str, answer: &str) -> checker::Outcome {
    checker::Outcome { label: label.to_owned(), retryable: false, answer: answer.into() }
}

const OWN: &str = r#"{"key":"key","attempt":"7.1","payload":"{\"number\":0,\"run_ms\":20}"}"#;
const OTHER: &str = r#"{"key":"other","attempt":"7.1","payload":"{\"number\":0,\"run_ms\":20}"}"#;

#[rstest]
#[case::done("done", OWN, &["7.1.0"])]
#[case::in_doubt("may-have-run", "", &["7.1.0"])]
#[case::not_run("not-run", "", &[])]
fn checker_passes(#[case] label: &str, #[case] answer: &str, #[case] tasks: &[&str]) {
    check_one(label, answer, tasks);
}

fn check_one(label: &str, answer: &str, tasks: &[&str]) {
    let sent = checker::SentRequest::new("key", cluster::ONCE);
    let record: Vec<_> = tasks.iter().map(|task| run(task, record::End::Done)).collect();
    checker::check_one(&sent, &outcome(label, answer), &record);
}

#[rstest]
#[case::twice("done", OWN, &["7.1.0", "7.2.0"])]
#[case::same_task_twice("done", OWN, &["7.1.0", "7.1.0"])]
#[case::not_run_but_ran("not-run", "", &["7.1.0"])]
#[case::crossed("done", OTHER, &["7.1.0"])]
#[case::never_ran("done", OWN, &[])]
#[case::other_attempt("done", OWN, &["8.1.0"])]
#[case::cut_short("done", "{\"key\":\"key\"", &["7.1.0"])]
#[should_panic]
fn checker_catches(#[case] label: &str, #[case] answer: &str, #[case] tasks: &[&str]) {
    check_one(label, answer, tasks);
}
