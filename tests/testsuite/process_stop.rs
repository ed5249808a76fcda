//! The planned stop of each role under load: it cuts off nothing and ends in its bound.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Requests of one case.
const COUNT: usize = 16;

/// How long each task runs, in milliseconds.
const RUN_MS: u64 = 1000;

/// How long callers wait at the first send.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// Who is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Entry,
    Leader,
    Follower,
    Agent,
}

#[rstest]
fn stop_cuts_nothing(#[values(Role::Entry, Role::Leader, Role::Follower, Role::Agent)] role: Role) {
    let _turn = daemon::turn();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let mut cluster = Cluster::start(size).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "stop", COUNT, RUN_MS, WAIT);
        let stop = async {
            cluster.until("a task runs", async || cluster.running() > 0).await;
            let leader = cluster.leader().await;
            match role {
                Role::Entry => cluster.entries[0].stop().await,
                Role::Leader => cluster.controls[leader].stop().await,
                Role::Follower => cluster.controls[(leader + 1) % 3].stop().await,
                Role::Agent => cluster.agents[0].stop().await,
            }
        };
        let (sent, ended) = futures_util::join!(load, stop);
        assert!(ended, "it ends by itself, in its bound, with success");
        let answered = sent.iter().filter(|sent| sent.answered()).count();
        assert_eq!(answered, COUNT, "no caller is cut off");
        if role == Role::Entry {
            cluster.start_entry(0);
        }
        let words = checker::check(&cluster, &sent).await;
        let refused = checker::count(&words, &cluster::KINDS, "not-run");
        let done = checker::count(&words, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "{words:?}");
    });
}
