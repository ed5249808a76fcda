//! The disks of a group's replicas are full one after another. Changes are answered all the while,
//! and soon after each turn, and none that was acknowledged is lost.

use std::collections::BTreeSet;
use std::time;

use hemlockcleat::control::machine::Log as _;

use crate::replica_support;
use crate::store_disk;
use crate::support;

/// How long a change may take: what was full before may still be opened afresh when the next disk
/// is full, and an election comes on top; the rest is for a busy machine.
const ANSWERED: time::Duration = time::Duration::from_secs(8);

/// How long a turn may take on a busy machine.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// Bytes of a change: a few dozen are followed by a snapshot.
const LONG: usize = 300_000;

/// The pause between two changes.
const PACE: time::Duration = time::Duration::from_millis(10);

/// A group of kept replicas, and the changes that it has acknowledged.
struct Bed {
    group: replica_support::Group,
    kept: Vec<replica_support::Kept>,
    acknowledged: u64,
}

impl Bed {
    async fn start(count: u64) -> Self {
        let group = replica_support::Group::bind(count).await;
        let kept = group.nodes.iter().map(replica_support::Node::keep).collect();
        group.leader().await;
        Self { group, kept, acknowledged: 0 }
    }

    /// Makes one more change.
    async fn change(&mut self) {
        let mut entry = vec![0; LONG];
        entry[..8].copy_from_slice(&self.acknowledged.to_le_bytes());
        let put = tokio::time::timeout(ANSWERED, self.group.put(&entry)).await;
        assert!(put.is_ok(), "change {} is not answered", self.acknowledged);
        self.acknowledged += 1;
        tokio::time::sleep(PACE).await;
    }

    /// Makes changes while files named so on a node's disk take no bytes, until the node has been
    /// opened afresh twice.
    async fn turn(&mut self, node: usize, full: &'static str) {
        let kept = &self.kept[node];
        let (disk, opened) = (kept.disk.clone(), kept.opened.clone());
        let before = opened.get();
        disk.fail(store_disk::Faults { full_prefix: Some(full), ..Default::default() });
        let give_up = time::Instant::now() + PATIENCE;
        while opened.get() < before + 2 {
            assert!(time::Instant::now() < give_up, "node {node} is not opened afresh");
            self.change().await;
        }
        disk.fail(store_disk::Faults::default());
    }

    /// Ends it all. Every node has every change by then.
    async fn stop(mut self) {
        self.change().await;
        // One that is being opened afresh has yet to come back.
        let (group, count) = (&self.group, self.acknowledged as usize);
        let entries = |node: &replica_support::Node| node.machine.borrow().entries.clone();
        let agreed = || {
            let first = entries(&group.nodes[0]);
            let agrees = |node: &replica_support::Node| node.runs() && entries(node) == first;
            first.len() >= count && group.nodes.iter().all(agrees)
        };
        replica_support::until("the same changes everywhere", agreed).await;
        let made: BTreeSet<_> =
            entries(&group.nodes[0]).iter().map(|(_, entry)| entry[..8].to_vec()).collect();
        for number in 0..self.acknowledged {
            assert!(made.contains(number.to_le_bytes().as_slice()), "change {number} is lost");
        }
        for kept in self.kept {
            kept.stop().await;
        }
        self.group.stop().await;
    }
}

#[rstest::rstest]
#[case::everything("")]
#[case::log("log")]
#[case::snapshots("snapshot")]
fn disks_full_by_turns(#[case] full: &'static str) {
    support::run(async move {
        let mut bed = Bed::start(3).await;
        for node in 0..3 {
            bed.turn(node, full).await;
            let leader = bed.group.leader().await;
            bed.turn(leader, full).await;
        }
        bed.stop().await;
    });
}

/// The newcomer's disk is full while it is fed the log and a snapshot; then the others' are.
#[rstest::rstest]
#[case::everything("")]
#[case::snapshots("snapshot")]
fn disks_full_while_a_replica_joins(#[case] full: &'static str) {
    support::run(async move {
        let mut bed = Bed::start(3).await;
        // Enough for a snapshot, which the newcomer needs.
        for _ in 0..40 {
            bed.change().await;
        }
        let newcomer = bed.group.add().await;
        bed.kept.push(bed.group.nodes[newcomer].keep());
        let disk = bed.kept[newcomer].disk.clone();
        let opened = bed.kept[newcomer].opened.clone();
        replica_support::until("the newcomer", || bed.group.nodes[newcomer].runs()).await;
        disk.fail(store_disk::Faults { full_prefix: Some(full), ..Default::default() });
        let members = bed.group.nodes.iter().map(replica_support::Node::member);
        let members: Vec<_> = members.collect();
        let give_up = time::Instant::now() + PATIENCE;
        while opened.get() < 3 {
            assert!(time::Instant::now() < give_up, "the newcomer takes nothing in");
            let leader = bed.group.nodes[bed.group.leader().await].replica();
            let _ = tokio::time::timeout(PACE, leader.reconfigure(members.clone())).await;
            bed.change().await;
        }
        disk.fail(store_disk::Faults::default());
        let leader = bed.group.leader().await;
        bed.turn(leader, full).await;
        bed.group.reconfigure(&[0, 1, 2, 3]).await;
        bed.turn(newcomer, full).await;
        bed.stop().await;
    });
}
