//! Tests of suspended processes, and of connections that silently drop all data.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;
use crate::support::deployment::relay;

/// Number of requests in one case.
const COUNT: usize = 16;

/// Wait time of a request's first send.
const WAIT: time::Duration = time::Duration::from_secs(5);

/// Duration of a partition: longer than a worker's lease with its margin, and than any leader
/// lease.
const PARTITION_TIME: time::Duration = time::Duration::from_secs(7);

/// Longest time that data stays in flight after a rule has been set.
const IN_FLIGHT: time::Duration = time::Duration::from_millis(300);

/// Run time of each task, in milliseconds: the fault begins while it runs, and it ends later.
const RUN_MS: u64 = 2500;

async fn start(workers: usize) -> Cluster {
    Cluster::start(cluster::Size { entries: 2, workers }).await
}

async fn wait_task_running(cluster: &Cluster) {
    cluster.wait_until("a task runs", async || cluster.running_tasks() > 0).await;
}

#[test]
fn freeze_leader() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = start(3).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "freeze", COUNT, RUN_MS, WAIT);
        let fault = async {
            wait_task_running(&cluster).await;
            let leader = cluster.leader().await;
            cluster.controls[leader].signal("STOP");
            cluster
                .wait_until("another replica leads", async || {
                    cluster.current_leader().await.is_some_and(|now| now != leader)
                })
                .await;
            cluster.controls[leader].signal("CONT");
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let counts = checker::check(&cluster, &sent).await;
        let refused = checker::count(&counts, &cluster::KINDS, "not-run");
        let done = checker::count(&counts, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "no worker was lost: {counts:?}");
    });
}

#[test]
fn freeze_agent_past_lease() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = start(2).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "freeze", COUNT, RUN_MS, WAIT);
        let fault = async {
            wait_task_running(&cluster).await;
            cluster.agents[0].signal("STOP");
            cluster
                .wait_until("the lease of the agent has expired", async || {
                    cluster.alive_workers().await == Some(1)
                })
                .await;
            cluster.agents[0].signal("CONT");
            cluster
                .wait_until("the agent is back", async || cluster.alive_workers().await == Some(2))
                .await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let counts = checker::check(&cluster, &sent).await;
        let done = checker::count(&counts, &[cluster::REPEATABLE], "done");
        assert_eq!(done, COUNT / 2, "{counts:?}");
    });
}

#[test]
fn cut_leader_silently() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = start(3).await;
        let caller = cluster.caller();
        let leader = cluster.leader().await;
        let load = checker::send(&caller, "cut", COUNT, RUN_MS, WAIT);
        let fault = async {
            wait_task_running(&cluster).await;
            cluster.isolate(leader).await;
            let other = async || cluster.current_leader().await.is_some_and(|now| now != leader);
            cluster.wait_until("another replica leads", other).await;
            tokio::time::sleep(PARTITION_TIME).await;
            cluster.heal();
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let counts = checker::check(&cluster, &sent).await;
        let refused = checker::count(&counts, &cluster::KINDS, "not-run");
        let done = checker::count(&counts, &cluster::KINDS, "done");
        assert_eq!(done + refused, COUNT, "no worker was lost: {counts:?}");
    });
}

/// Direction in which data between the agent and control is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
    Both,
}

impl Direction {
    fn rule(self) -> relay::Rule {
        let open = relay::Rule::OPEN;
        let closed = relay::Rule::BLACKHOLE;
        match self {
            Direction::Up => relay::Rule { up: closed.up, down: open.down },
            Direction::Down => relay::Rule { up: open.up, down: closed.down },
            Direction::Both => closed,
        }
    }
}

/// Returns the bytes forwarded on the first agent's connections.
async fn agent_traffic(cluster: &Cluster) -> relay::Traffic {
    let mut sum = relay::Traffic::default();
    for relay in &cluster.relays {
        let sources = relay.traffic().await;
        let traffic = sources.get(&cluster.agents[0].id()).copied().unwrap_or_default();
        sum.up += traffic.up;
        sum.down += traffic.down;
    }
    sum
}

#[rstest]
fn cut_agent_silently(
    #[values(Direction::Up, Direction::Down, Direction::Both)] direction: Direction,
) {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = start(2).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "cut", COUNT, RUN_MS, WAIT);
        let fault = async {
            wait_task_running(&cluster).await;
            for relay in &cluster.relays {
                relay.set_rule(cluster.agents[0].id(), direction.rule()).await;
            }
            // Data that was being written when the rule was set is still forwarded.
            tokio::time::sleep(IN_FLIGHT).await;
            let before = agent_traffic(&cluster).await;
            tokio::time::sleep(PARTITION_TIME).await;
            let after = agent_traffic(&cluster).await;
            assert!(
                direction == Direction::Down || after.up == before.up,
                "no data is forwarded up"
            );
            assert!(
                direction == Direction::Up || after.down == before.down,
                "no data is forwarded down"
            );
            cluster.heal();
            cluster
                .wait_until("the agent is back", async || cluster.alive_workers().await == Some(2))
                .await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let counts = checker::check(&cluster, &sent).await;
        let done = checker::count(&counts, &[cluster::REPEATABLE], "done");
        assert_eq!(done, COUNT / 2, "{counts:?}");
    });
}
