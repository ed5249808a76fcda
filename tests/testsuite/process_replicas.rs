//! Tests of control replicas that lose their disk, are replaced, or restart far behind the leader.

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

/// Number of requests of one load.
const COUNT: usize = 12;

/// Wait time of a request's first send.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// Number of tickets that are accepted while a replica is stopped.
const TICKETS: u64 = 300;

async fn start() -> Cluster {
    Cluster::start(cluster::Size { entries: 2, workers: 2 }).await
}

async fn load(cluster: &Cluster, prefix: &str) -> Vec<checker::SentRequest> {
    checker::send(&cluster.caller(), prefix, COUNT, 20, WAIT).await
}

/// Returns whether `hemlockcleat store` accepts the data folder of a stopped replica.
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
    let _exclusive = daemon::exclusive();
    support::run(async {
        let mut cluster = start().await;
        let mut sent = load(&cluster, "before").await;
        let wiped = (cluster.leader().await + 1) % 3;
        cluster.controls[wiped].kill();
        wipe(&cluster, wiped as u64 + 1);
        cluster.start_control(wiped);
        cluster
            .wait_until("the wiped replica is refused as unknown", async || {
                cluster.logged_unknown(wiped)
            })
            .await;
        // With one of three lost, the others keep serving.
        sent.extend(load(&cluster, "between").await);
        // With a second host lost, the empty replica must not count towards a quorum.
        let other = 3 - wiped - cluster.leader().await;
        cluster.controls[other].kill();
        let refused = load(&cluster, "alone").await;
        assert!(refused.iter().all(|sent| !sent.accepted()), "one of three must not accept");
        cluster.start_control(other);
        sent.extend(refused);
        let counts = checker::check(&cluster, &sent).await;
        let done = checker::count(&counts, &cluster::KINDS, "done");
        assert!(done >= 2 * COUNT, "nothing acknowledged is lost: {counts:?}");
    });
}

#[test]
fn second_host_lost_after_repair() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let mut cluster = start().await;
        let mut sent = load(&cluster, "before").await;
        let lost = (cluster.leader().await + 1) % 3;
        cluster.controls[lost].kill();
        wipe(&cluster, lost as u64 + 1);
        cluster.replace_control(lost, 4).await;
        sent.extend(load(&cluster, "repaired").await);
        // The second host is lost permanently, immediately after the repair.
        let second = cluster.leader().await;
        cluster.controls[second].kill();
        wipe(&cluster, second as u64 + 1);
        sent.extend(load(&cluster, "second").await);
        let counts = checker::check(&cluster, &sent).await;
        let done = checker::count(&counts, &cluster::KINDS, "done");
        assert!(done >= 2 * COUNT, "nothing acknowledged is lost: {counts:?}");
        assert_eq!(checker::count(&counts, &cluster::KINDS, "may-have-run"), 0, "{counts:?}");
    });
}

#[test]
fn restart_far_behind() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let mut cluster = start().await;
        let behind = (cluster.leader().await + 1) % 3;
        cluster.controls[behind].kill();
        for action in ["verify", "inspect"] {
            assert!(verified(&cluster, behind as u64 + 1, action), "store {action}");
        }
        let entry = cluster.entries[1].id();
        for relay in &cluster.relays {
            relay.set_rule(entry, relay::Rule::BLACKHOLE).await;
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
            let Some(status) = cluster.get(0, "/v1/status").await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            replicas.len() == 3 && replicas.iter().all(|replica| replica["behind"] == 0)
        };
        cluster.wait_until("the replica has caught up", caught_up).await;
        // Without the leader, the replica that caught up is part of every quorum.
        let leader = cluster.leader().await;
        cluster.controls[leader].kill();
        let revision = async || {
            let accounts = cluster.get(1, "/v1/accounts").await;
            accounts.is_some_and(|accounts| {
                accounts["accounts"][cluster::ACCOUNT]["queue_limit"] == 101 + TICKETS
            })
        };
        cluster.wait_until("the last ticket is in force everywhere", revision).await;
        let sent = load(&cluster, "after").await;
        checker::check(&cluster, &sent).await;
    });
}
