//! Control replicas that lose their disk, are replaced, or come back far behind.

use std::fs;
use std::process;
use std::time;

use serde_json::json;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;
use crate::support::deployment::relay;

/// Requests of one case.
const COUNT: usize = 12;

/// How long callers wait at the first send.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// Tickets that pass a stopped replica by.
const TICKETS: u64 = 300;

async fn start() -> Cluster {
    Cluster::start(cluster::Size { entries: 2, workers: 2 }).await
}

async fn load(cluster: &Cluster, prefix: &str) -> Vec<checker::Sent> {
    checker::send(&cluster.caller(), prefix, COUNT, 20, WAIT).await
}

/// Whether `hemlockcleat store` does not object to the data folder of a stopped replica.
fn verified(cluster: &Cluster, replica: u64, action: &str) -> bool {
    let command = process::Command::new(env!("CARGO_BIN_EXE_hemlockcleat"))
        .args(["store", action])
        .arg(cluster.data_folder(replica))
        .output();
    command.expect("the command runs").status.success()
}

fn wipe(cluster: &Cluster, replica: u64) {
    fs::remove_dir_all(cluster.data_folder(replica)).expect("the data folder is there");
}

#[test]
fn lost_disk_does_not_count() {
    let _turn = daemon::turn();
    support::run(async {
        let mut cluster = start().await;
        let mut sent = load(&cluster, "before").await;
        let wiped = (cluster.leader().await + 1) % 3;
        cluster.controls[wiped].kill();
        wipe(&cluster, wiped as u64 + 1);
        cluster.start_control(wiped);
        cluster.until("its store is refused as unknown", async || cluster.stranger(wiped)).await;
        // One of three is lost: the rest goes on.
        sent.extend(load(&cluster, "between").await);
        // With a second host lost, the empty one must not make a majority.
        let other = 3 - wiped - cluster.leader().await;
        cluster.controls[other].kill();
        let refused = load(&cluster, "alone").await;
        assert!(refused.iter().all(|sent| !sent.accepted()), "one of three must not accept");
        cluster.start_control(other);
        sent.extend(refused);
        let words = checker::check(&cluster, &sent).await;
        let done = checker::count(&words, &cluster::KINDS, "done");
        assert!(done >= 2 * COUNT, "nothing acknowledged is lost: {words:?}");
    });
}

#[test]
fn second_host_lost_after_repair() {
    let _turn = daemon::turn();
    support::run(async {
        let mut cluster = start().await;
        let mut sent = load(&cluster, "before").await;
        let lost = (cluster.leader().await + 1) % 3;
        cluster.controls[lost].kill();
        wipe(&cluster, lost as u64 + 1);
        cluster.replace_control(lost, 4).await;
        sent.extend(load(&cluster, "repaired").await);
        // The second host goes for good, right behind the repair.
        let second = cluster.leader().await;
        cluster.controls[second].kill();
        wipe(&cluster, second as u64 + 1);
        sent.extend(load(&cluster, "second").await);
        let words = checker::check(&cluster, &sent).await;
        let done = checker::count(&words, &cluster::KINDS, "done");
        assert!(done >= 2 * COUNT, "nothing acknowledged is lost: {words:?}");
        assert_eq!(checker::count(&words, &cluster::KINDS, "may-have-run"), 0, "{words:?}");
    });
}

#[test]
fn restart_far_behind() {
    let _turn = daemon::turn();
    support::run(async {
        let mut cluster = start().await;
        let behind = (cluster.leader().await + 1) % 3;
        cluster.controls[behind].kill();
        for action in ["verify", "inspect"] {
            assert!(verified(&cluster, behind as u64 + 1, action), "store {action}");
        }
        let entry = cluster.entries[1].id();
        for relay in &cluster.relays {
            relay.set(entry, relay::Rule::BLACKHOLE).await;
        }
        for number in 2..2 + TICKETS {
            let ticket = json!({
                "number": number,
                "accounts": {cluster::ACCOUNT: cluster::account(100 + number as u32)},
            });
            let response = cluster.ticket(0, &ticket).await.expect("a response");
            assert_eq!(response.status, 200, "{}", response.json());
        }
        cluster.start_control(behind);
        cluster.heal();
        let caught_up = async || {
            let Some(status) = cluster.operate(0, "/v1/status").await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            replicas.len() == 3 && replicas.iter().all(|replica| replica["behind"] == 0)
        };
        cluster.until("the replica has caught up", caught_up).await;
        // With the leader gone, what it caught up with is part of every majority.
        let leader = cluster.leader().await;
        cluster.controls[leader].kill();
        let revision = async || {
            let accounts = cluster.operate(1, "/v1/accounts").await;
            accounts.is_some_and(|accounts| {
                accounts["accounts"][cluster::ACCOUNT]["queue_limit"] == 101 + TICKETS
            })
        };
        cluster.until("the last ticket is in force everywhere", revision).await;
        let sent = load(&cluster, "after").await;
        checker::check(&cluster, &sent).await;
    });
}
