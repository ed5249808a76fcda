//! Processes that freeze, and links that swallow what passes.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;
use crate::support::deployment::relay;

/// Requests of one case.
const COUNT: usize = 16;

/// How long callers wait at the first send.
const WAIT: time::Duration = time::Duration::from_secs(5);

/// Longer than a worker's lease with its margin, and than any leader lease.
const PAST_LEASE: time::Duration = time::Duration::from_secs(7);

/// How long bytes may still be on their way after a rule has been set.
const IN_FLIGHT: time::Duration = time::Duration::from_millis(300);

/// How long each task runs, in milliseconds: it is met by the fault, and ends behind it.
const RUN_MS: u64 = 2500;

async fn loaded(workers: usize) -> Cluster {
    Cluster::start(cluster::Size { entries: 2, workers }).await
}

async fn task_runs(cluster: &Cluster) {
    cluster.until("a task runs", async || cluster.running() > 0).await;
}

#[test]
fn freeze_leader() {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = loaded(3).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "freeze", COUNT, RUN_MS, WAIT);
        let fault = async {
            task_runs(&cluster).await;
            let leader = cluster.leader().await;
            cluster.controls[leader].signal("STOP");
            cluster
                .until("another replica leads", async || {
                    cluster.leader_now().await.is_some_and(|now| now != leader)
                })
                .await;
            cluster.controls[leader].signal("CONT");
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let words = checker::check(&cluster, &sent).await;
        let refused = checker::count(&words, &cluster::KINDS, "not-run");
        let done = checker::count(&words, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "no worker was lost: {words:?}");
    });
}

#[test]
fn freeze_agent_past_lease() {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = loaded(2).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "freeze", COUNT, RUN_MS, WAIT);
        let fault = async {
            task_runs(&cluster).await;
            cluster.agents[0].signal("STOP");
            cluster.until("its lease has run out", async || cluster.alive().await == Some(1)).await;
            cluster.agents[0].signal("CONT");
            cluster.until("it is back", async || cluster.alive().await == Some(2)).await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let words = checker::check(&cluster, &sent).await;
        let done = checker::count(&words, &[cluster::REPEATABLE], "done");
        assert_eq!(done, COUNT / 2, "{words:?}");
    });
}

#[test]
fn cut_leader_silently() {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = loaded(3).await;
        let caller = cluster.caller();
        let leader = cluster.leader().await;
        let load = checker::send(&caller, "cut", COUNT, RUN_MS, WAIT);
        let fault = async {
            task_runs(&cluster).await;
            cluster.isolate(leader).await;
            let other = async || cluster.leader_now().await.is_some_and(|now| now != leader);
            cluster.until("another replica leads", other).await;
            tokio::time::sleep(PAST_LEASE).await;
            cluster.heal();
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let words = checker::check(&cluster, &sent).await;
        let refused = checker::count(&words, &cluster::KINDS, "not-run");
        let done = checker::count(&words, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "no worker was lost: {words:?}");
    });
}

/// Which way bytes between the agent and control vanish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Up,
    Down,
    Both,
}

impl Way {
    fn rule(self) -> relay::Rule {
        let open = relay::Rule::OPEN;
        let closed = relay::Rule::BLACKHOLE;
        match self {
            Way::Up => relay::Rule { up: closed.up, down: open.down },
            Way::Down => relay::Rule { up: open.up, down: closed.down },
            Way::Both => closed,
        }
    }
}

/// What the first agent's connections have carried.
async fn carried(cluster: &Cluster) -> relay::Carried {
    let mut sum = relay::Carried::default();
    for relay in &cluster.relays {
        let carried = relay.carried().await;
        let carried = carried.get(&cluster.agents[0].id()).copied().unwrap_or_default();
        sum.up += carried.up;
        sum.down += carried.down;
    }
    sum
}

#[rstest]
fn cut_agent_silently(#[values(Way::Up, Way::Down, Way::Both)] way: Way) {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = loaded(2).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "cut", COUNT, RUN_MS, WAIT);
        let fault = async {
            task_runs(&cluster).await;
            for relay in &cluster.relays {
                relay.set(cluster.agents[0].id(), way.rule()).await;
            }
            // What was being written when the rule came still passes.
            tokio::time::sleep(IN_FLIGHT).await;
            let before = carried(&cluster).await;
            tokio::time::sleep(PAST_LEASE).await;
            let after = carried(&cluster).await;
            assert!(way == Way::Down || after.up == before.up, "nothing passes up");
            assert!(way == Way::Up || after.down == before.down, "nothing passes down");
            cluster.heal();
            cluster.until("it is back", async || cluster.alive().await == Some(2)).await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let words = checker::check(&cluster, &sent).await;
        let done = checker::count(&words, &[cluster::REPEATABLE], "done");
        assert_eq!(done, COUNT / 2, "{words:?}");
    });
}
