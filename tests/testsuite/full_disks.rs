//! Tests of a group whose replicas' disks are full one after another. Every entry has to be committed
//! in time, also while a disk is full, and no acknowledged entry may be lost.

use std::collections::BTreeSet;
use std::time;

use hemlockcleat::control::machine::Log as _;

use crate::replica_support;
use crate::store_disk;
use crate::support;

/// Limit until an entry is committed: the replica whose disk was full before may still be reopening
/// when the next disk is full, and an election adds to that; the rest allows for a busy machine.
const COMMIT_LIMIT: time::Duration = time::Duration::from_secs(8);

/// Limit until a replica with a full disk has been reopened, on a busy machine.
const REOPEN_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Bytes of an entry, so that a few dozen entries cause a snapshot.
const ENTRY_BYTES: usize = 300_000;

/// Delay between two entries.
const ENTRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// A group of supervised replicas, and the number of entries that it has acknowledged.
struct SupervisedGroup {
    group: replica_support::Group,
    services: Vec<replica_support::SupervisedNode>,
    acknowledged: u64,
}

impl SupervisedGroup {
    async fn start(count: u64) -> Self {
        let group = replica_support::Group::bind(count).await;
        let services = group.nodes.iter().map(replica_support::Node::supervise).collect();
        group.leader().await;
        Self { group, services, acknowledged: 0 }
    }

    /// Appends one more entry.
    async fn append(&mut self) {
        let mut entry = vec![0; ENTRY_BYTES];
        entry[..8].copy_from_slice(&self.acknowledged.to_le_bytes());
        let committed = tokio::time::timeout(COMMIT_LIMIT, self.group.propose(&entry)).await;
        assert!(committed.is_ok(), "entry {} is not committed in time", self.acknowledged);
        self.acknowledged += 1;
        tokio::time::sleep(ENTRY_DELAY).await;
    }

    /// Appends entries while files with the prefix `full` on a node's disk accept no bytes, until the
    /// node has been reopened twice.
    async fn fill_disk(&mut self, node: usize, full: &'static str) {
        let service = &self.services[node];
        let (disk, opened) = (service.disk.clone(), service.open_count.clone());
        let before = opened.get();
        disk.fail(store_disk::Faults { full_prefix: Some(full), ..Default::default() });
        let deadline = time::Instant::now() + REOPEN_LIMIT;
        while opened.get() < before + 2 {
            assert!(time::Instant::now() < deadline, "node {node} is not reopened");
            self.append().await;
        }
        disk.fail(store_disk::Faults::default());
    }

    /// Waits until all nodes have the same entries, checks that none is lost, and stops the group.
    async fn stop(mut self) {
        self.append().await;
        // A node that is being reopened isn't running yet.
        let (group, count) = (&self.group, self.acknowledged as usize);
        let entries = |node: &replica_support::Node| node.machine.borrow().entries.clone();
        let agreed = || {
            let first = entries(&group.nodes[0]);
            let agrees = |node: &replica_support::Node| node.is_running() && entries(node) == first;
            first.len() >= count && group.nodes.iter().all(agrees)
        };
        replica_support::until("the same entries on all nodes", agreed).await;
        let present: BTreeSet<_> =
            entries(&group.nodes[0]).iter().map(|(_, entry)| entry[..8].to_vec()).collect();
        for number in 0..self.acknowledged {
            assert!(present.contains(number.to_le_bytes().as_slice()), "entry {number} is lost");
        }
        for service in self.services {
            service.stop().await;
        }
        self.group.stop().await;
    }
}

#[rstest::rstest]
#[case::everything("")]
#[case::log("log")]
#[case::snapshots("snapshot")]
fn disks_full_one_after_another(#[case] full: &'static str) {
    support::run(async move {
        let mut fixture = SupervisedGroup::start(3).await;
        for node in 0..3 {
            fixture.fill_disk(node, full).await;
            let leader = fixture.group.leader().await;
            fixture.fill_disk(leader, full).await;
        }
        fixture.stop().await;
    });
}

/// The disk of a joining replica is full while it receives log and snapshot, then the leader's disk,
/// then its own again.
#[rstest::rstest]
#[case::everything("")]
#[case::snapshots("snapshot")]
fn disks_full_while_a_replica_joins(#[case] full: &'static str) {
    support::run(async move {
        let mut fixture = SupervisedGroup::start(3).await;
        // Enough entries for a snapshot, which the joining replica has to receive.
        for _ in 0..40 {
            fixture.append().await;
        }
        let joining_node = fixture.group.add().await;
        fixture.services.push(fixture.group.nodes[joining_node].supervise());
        let disk = fixture.services[joining_node].disk.clone();
        let opened = fixture.services[joining_node].open_count.clone();
        replica_support::until("the joining replica to run", || {
            fixture.group.nodes[joining_node].is_running()
        })
        .await;
        disk.fail(store_disk::Faults { full_prefix: Some(full), ..Default::default() });
        let members = fixture.group.nodes.iter().map(replica_support::Node::member);
        let members: Vec<_> = members.collect();
        let deadline = time::Instant::now() + REOPEN_LIMIT;
        while opened.get() < 3 {
            assert!(time::Instant::now() < deadline, "the joining replica is not reopened");
            let leader = fixture.group.nodes[fixture.group.leader().await].replica();
            let _ = tokio::time::timeout(ENTRY_DELAY, leader.reconfigure(members.clone())).await;
            fixture.append().await;
        }
        disk.fail(store_disk::Faults::default());
        let leader = fixture.group.leader().await;
        fixture.fill_disk(leader, full).await;
        fixture.group.reconfigure(&[0, 1, 2, 3]).await;
        fixture.fill_disk(joining_node, full).await;
        fixture.stop().await;
    });
}
