//! The whole path as separate processes, without faults.

use std::time;

use crate::support;
use crate::support::checker;
use crate::support::cluster;
use crate::support::daemon;

#[test]
fn path_answers_every_request() {
    let _turn = daemon::turn();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let cluster = cluster::Cluster::start(size).await;
        let sent =
            checker::send(&cluster.caller(), "plain", 20, 20, time::Duration::from_secs(10)).await;
        let words = checker::check(&cluster, &sent).await;
        assert_eq!(checker::count(&words, &cluster::KINDS, "done"), 20, "{words:?}");
    });
}

#[test]
fn cancel_tells_the_truth() {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = cluster::Cluster::start(cluster::Size { entries: 2, workers: 1 }).await;
        let caller = cluster.caller();
        // More than the worker's slots: some run and some wait when the cancellations come.
        let sent = checker::send(&caller, "cancel", 30, 800, time::Duration::ZERO).await;
        cluster.until("a task runs", async || cluster.running() > 0).await;
        for sent in &sent {
            caller.cancel(1, sent.key()).await.expect("a response");
        }
        let words = checker::check(&cluster, &sent).await;
        assert!(checker::count(&words, &cluster::KINDS, "not-run") > 0, "{words:?}");
        assert!(checker::count(&words, &cluster::KINDS, "done") < 30, "{words:?}");
    });
}
