//! Replicas over real sockets and real folders.

use hemlockcleat::control::machine::Log as _;

use crate::replica_support;
use crate::support;

#[rstest::rstest]
#[case::one(1)]
#[case::three(3)]
fn propose_applies_everywhere(#[case] count: u64) {
    support::run(async move {
        let group = replica_support::Group::start(count).await;
        for number in 0..50_u64 {
            group.put(&number.to_le_bytes()).await;
        }
        group.applied(50).await;
        let first = group.nodes[0].machine.borrow().entries.clone();
        for node in &group.nodes {
            assert_eq!(node.machine.borrow().entries, first);
        }
        let leader = group.leader().await;
        group.nodes[leader].replica().barrier().await.expect("it leads");
        group.stop().await;
    });
}

#[rstest::rstest]
#[case::one(1)]
#[case::three(3)]
fn restart_keeps_entries(#[case] count: u64) {
    support::run(async move {
        let mut group = replica_support::Group::start(count).await;
        group.put(b"before").await;
        for node in &mut group.nodes {
            node.stop().await;
        }
        for node in &mut group.nodes {
            node.start().await;
        }
        group.put(b"after").await;
        group.applied(2).await;
        for node in &group.nodes {
            let entries = node.machine.borrow().entries.clone();
            let entries: Vec<_> = entries.iter().map(|(_, entry)| entry.as_slice()).collect();
            assert_eq!(entries, [b"before".as_slice(), b"after".as_slice()]);
        }
        group.stop().await;
    });
}

#[test]
fn wiped_replica_is_replaced() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        group.put(b"one").await;
        let lost = (group.leader().await + 1) % 3;
        group.nodes[lost].stop().await;
        group.nodes[lost].wipe();
        group.nodes[lost].start().await;
        // It keeps its name and its address, and counts for nothing until it is admitted.
        group.put(b"two").await;
        assert!(group.nodes[lost].machine.borrow().entries.is_empty());
        let replicas: Vec<_> = group.nodes.iter().map(|node| node.member()).collect();
        let admitted = || group.nodes[lost].replica().view().peers.iter().all(|peer| peer.voter);
        while group.nodes[lost].replica().view().peers.len() != 3 || !admitted() {
            let leader = group.leader().await;
            let _ = group.nodes[leader].replica().reconfigure(replicas.clone()).await;
        }
        group.applied(2).await;
        // Losing a second host right after the repair loses nothing acknowledged.
        let second = (0..3).find(|&node| node != lost).expect("another");
        group.nodes[second].stop().await;
        group.nodes[second].wipe();
        group.put(b"three").await;
        group.applied(3).await;
        let entries = group.nodes[lost].machine.borrow().entries.clone();
        let entries: Vec<_> = entries.iter().map(|(_, entry)| entry.as_slice()).collect();
        assert_eq!(entries, [b"one".as_slice(), b"two".as_slice(), b"three".as_slice()]);
        group.stop().await;
    });
}
