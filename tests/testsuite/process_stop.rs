//! Tests of the planned stop of each role under load: no request is interrupted, and the daemon
//! exits within its time limit.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Number of requests in one case.
const COUNT: usize = 16;

/// Run time of each task, in milliseconds.
const RUN_MS: u64 = 1000;

/// Wait time of a request's first send.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// Role of the daemon that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Entry,
    Leader,
    Follower,
    Agent,
}

#[rstest]
fn stop_cuts_nothing(#[values(Role::Entry, Role::Leader, Role::Follower, Role::Agent)] role: Role) {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let mut cluster = Cluster::start(size).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "stop", COUNT, RUN_MS, WAIT);
        let stop = async {
            cluster.wait_until("a task runs", async || cluster.running_tasks() > 0).await;
            let leader = cluster.leader().await;
            match role {
                Role::Entry => cluster.entries[0].stop().await,
                Role::Leader => cluster.controls[leader].stop().await,
                Role::Follower => cluster.controls[(leader + 1) % 3].stop().await,
                Role::Agent => cluster.agents[0].stop().await,
            }
        };
        let (sent, ended) = futures_util::join!(load, stop);
        assert!(ended, "the daemon exits with success within its time limit");
        let answered = sent.iter().filter(|sent| sent.answered()).count();
        assert_eq!(answered, COUNT, "every caller gets a response");
        if role == Role::Entry {
            cluster.start_entry(0);
        }
        let counts = checker::check(&cluster, &sent).await;
        let refused = checker::count(&counts, &cluster::KINDS, "not-run");
        let done = checker::count(&counts, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "{counts:?}");
    });
}
