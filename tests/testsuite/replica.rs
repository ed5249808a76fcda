//! Replicas on real sockets and data folders.

use std::time;

use hemlockcleat::control::machine;
use hemlockcleat::control::machine::Log as _;
use hemlockcleat::control::replica;
use hemlockcleat::core::consensus;
use hemlockcleat::core::ids;
use hemlockcleat::net::seeds;
use hemlockcleat::net::stream;
use hemlockcleat::store;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::disk;
use hemlockcleat::wire::peer;

use crate::replica_support;
use crate::store_disk;
use crate::support;

/// Urgent work must start within this time, also during a change of leader.
const URGENT_START_LIMIT: time::Duration = time::Duration::from_millis(1600);

/// Time within which a replica that replaces a lost host must be a voter.
const ADMISSION_LIMIT: time::Duration = time::Duration::from_secs(4);

/// Limit of a membership change, long enough for a busy machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

#[rstest::rstest]
#[case::one(1)]
#[case::three(3)]
fn propose_applies_everywhere(#[case] count: u64) {
    support::run(async move {
        let group = replica_support::Group::start(count).await;
        for number in 0..50_u64 {
            group.propose(&number.to_le_bytes()).await;
        }
        group.wait_identical(50).await;
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
        group.propose(b"before").await;
        for node in &mut group.nodes {
            node.stop().await;
        }
        for node in &mut group.nodes {
            node.start().await;
        }
        group.propose(b"after").await;
        group.wait_applied(2).await;
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
        group.propose(b"one").await;
        let lost = (group.leader().await + 1) % 3;
        group.nodes[lost].stop().await;
        group.nodes[lost].wipe();
        group.nodes[lost].start().await;
        // The wiped replica has the same number and address, but is not a member until it is admitted.
        group.propose(b"two").await;
        assert!(group.nodes[lost].machine.borrow().entries.is_empty());
        let leader = group.leader().await;
        let seen = || group.nodes[leader].replica().view().peers.iter().any(|peer| !peer.voter);
        replica_support::until("the leader to detect the loss", seen).await;
        group.reconfigure(&[0, 1, 2]).await;
        group.wait_applied(2).await;
        // The loss of a second host right after the repair loses no acknowledged entry.
        let second = (0..3).find(|&node| node != lost).expect("another");
        group.nodes[second].stop().await;
        group.nodes[second].wipe();
        group.propose(b"three").await;
        group.wait_applied(3).await;
        let entries = group.nodes[lost].machine.borrow().entries.clone();
        let entries: Vec<_> = entries.iter().map(|(_, entry)| entry.as_slice()).collect();
        assert_eq!(entries, [b"one".as_slice(), b"two".as_slice(), b"three".as_slice()]);
        group.stop().await;
    });
}

#[test]
fn leader_killed_is_replaced_in_time() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        group.propose(b"one").await;
        let leader = group.leader().await;
        let killed = time::Instant::now();
        group.nodes[leader].stop().await;
        group.leader().await;
        group.propose(b"two").await;
        assert!(killed.elapsed() < URGENT_START_LIMIT, "{:?}", killed.elapsed());
        group.stop().await;
    });
}

#[test]
fn transfer_leadership_avoids_election_timeout() {
    support::run(async {
        let group = replica_support::Group::start(3).await;
        group.propose(b"one").await;
        let leader = group.leader().await;
        let started = time::Instant::now();
        group.nodes[leader].replica().transfer_leadership().await;
        assert!(!group.nodes[leader].replica().leads());
        let next = group.leader().await;
        let took = started.elapsed();
        assert_ne!(next, leader);
        // Far less than the shortest election timeout, which a transfer doesn't wait for.
        assert!(took < consensus::ELECTION_TIMEOUT.to_duration() / 2, "{took:?}");
        let refused = group.nodes[leader].replica().propose(b"two".to_vec()).await;
        assert!(matches!(refused, Err(machine::ProposeError::NotLeader)));
        group.propose(b"two").await;
        group.stop().await;
    });
}

#[test]
fn follower_far_behind_takes_a_snapshot() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        group.propose(b"first").await;
        let late = (group.leader().await + 1) % 3;
        group.nodes[late].stop().await;
        let long = vec![7; 900_000];
        for _ in 0..24 {
            group.propose(&long).await;
        }
        // A restarted replica has only the entries after its snapshot in memory.
        for node in group.nodes.iter_mut().filter(|node| node.is_running()) {
            node.stop().await;
        }
        for node in &mut group.nodes {
            node.start().await;
        }
        group.propose(b"last").await;
        group.wait_identical(26).await;
        assert_eq!(group.nodes[late].machine.borrow().restored, 1);
        group.stop().await;
    });
}

/// A founding member that loses its disk during the bootstrap must not found a second group.
#[test]
fn founder_wiped_while_founding_founds_no_second_group() {
    support::run(async {
        let mut group = replica_support::Group::bind(3).await;
        group.nodes[1].start().await;
        group.nodes[0].start().await;
        // The third founding member is missing, so the group must not be founded.
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        assert!(group.current_leader().is_none());
        group.nodes[2].start().await;
        group.leader().await;
        group.propose(b"one").await;
        group.wait_applied(1).await;
        for node in &mut group.nodes {
            node.stop().await;
        }
        group.nodes[0].wipe();
        group.nodes[0].start().await;
        group.nodes[1].start().await;
        tokio::time::sleep(time::Duration::from_millis(1000)).await;
        assert!(
            group.current_leader().is_none(),
            "one intact founding member of three is not a quorum"
        );
        group.nodes[2].start().await;
        let leader = group.leader().await;
        assert!(leader != 0, "a wiped founding member neither leads nor votes");
        assert_eq!(group.nodes[leader].machine.borrow().entries.len(), 1);
        group.stop().await;
    });
}

#[rstest::rstest]
#[case::full(store_disk::Faults { free_bytes: Some(100), ..Default::default() })]
#[case::sync(store_disk::Faults { syncs: Some(0), ..Default::default() })]
fn failing_disk_ends_the_replica(#[case] faults: store_disk::Faults) {
    support::run(async move {
        let mut group = replica_support::Group::bind(1).await;
        let disk = store_disk::Memory::default();
        group.nodes[0].start_on(disk.clone()).await;
        group.propose(b"one").await;
        disk.fail(faults);
        let replica = group.nodes[0].replica();
        let answer = replica.propose(vec![0; 1000]).await;
        assert!(matches!(answer, Err(machine::ProposeError::Unknown)));
        assert!(!replica.failed().await.is_empty());
        group.stop().await;
    });
}

#[test]
fn second_process_on_a_folder_is_refused() {
    support::run(async {
        let mut group = replica_support::Group::start(1).await;
        let settings = group.nodes[0].settings.clone();
        let machine = group.nodes[0].machine.clone();
        let second = replica::Replica::start(&settings, seeds::Seeds::default(), machine).await;
        let error = second.err().expect("an error");
        assert!(matches!(error, replica::Error::Store(store::Error::Locked(_))), "{error}");
        group.nodes[0].stop().await;
        group.nodes[0].start().await;
        group.stop().await;
    });
}

#[test]
fn membership_grows_and_shrinks() {
    support::run(async {
        let mut group = replica_support::Group::start(1).await;
        group.propose(b"alone").await;
        for _ in 0..2 {
            let node = group.add().await;
            group.nodes[node].start().await;
        }
        group.reconfigure(&[0, 1, 2]).await;
        group.propose(b"three").await;
        group.wait_applied(2).await;
        // The first leader is removed too, and the others continue.
        group.reconfigure(&[1, 2]).await;
        group.nodes[0].stop().await;
        group.propose(b"two").await;
        group.wait_applied(3).await;
        group.stop().await;
    });
}

/// A lost voter is removed before its replacement becomes a voter. If both voted at the same time, the
/// group would have four voters, one of them lost.
#[test]
fn replaced_voter_is_never_counted_beside_its_successor() {
    support::run(async {
        let (group, members) = group_with_replacement().await;
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let leader = group.nodes[group.leader().await].replica();
            let peers = leader.view().peers;
            let voters = peers.iter().filter(|peer| peer.voter).map(|peer| peer.key);
            let voters: Vec<_> = voters.collect();
            assert!(voters.len() <= 3, "{peers:?}");
            if members.iter().all(|(key, _)| voters.contains(key)) {
                break;
            }
            assert!(time::Instant::now() < deadline, "the membership has not changed: {peers:?}");
            // A new leader has not detected the loss yet.
            let lost = peers.iter().find(|peer| members.iter().all(|(key, _)| *key != peer.key));
            if lost.is_some_and(|lost| lost.silent_for < consensus::ELECTION_TIMEOUT) {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
                continue;
            }
            let _ = leader.reconfigure(members.clone()).await;
        }
        group.propose(b"two").await;
        group.stop().await;
    });
}

/// A group that has removed a lost voter and not replaced it can't bear the loss of another disk, so
/// one call of `reconfigure` does both.
#[test]
fn removed_voter_is_replaced_in_the_same_call() {
    support::run(async {
        let (group, members) = group_with_replacement().await;
        let leader = group.nodes[group.leader().await].replica();
        leader.reconfigure(members).await.expect("a change");
        let peers = leader.view().peers;
        assert_eq!(peers.iter().filter(|peer| peer.voter).count(), 3, "{peers:?}");
        group.stop().await;
    });
}

/// A replacement that is lost before it votes must not block the group.
#[test]
fn replacement_lost_again_blocks_no_commit() {
    support::run(async {
        let (mut group, members) = group_with_replacement().await;
        let leader = group.nodes[group.leader().await].replica();
        group.nodes[3].stop().await;
        group.nodes[3].wipe();
        // Longer than a leader needs to detect a lost follower.
        tokio::time::sleep(consensus::ELECTION_TIMEOUT.to_duration() * 2).await;
        for _ in 0..3 {
            let changed = leader.reconfigure(members.clone());
            let _ = tokio::time::timeout(time::Duration::from_secs(1), changed).await;
        }
        group.propose(b"two").await;
        group.stop().await;
    });
}

/// One of the desired members accepts connections and never responds; the added replica must be
/// admitted without waiting for it.
#[test]
fn unresponsive_host_delays_no_admission() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        let added = group.add().await;
        group.nodes[added].start().await;
        let unresponsive = std::net::TcpListener::bind((support::own_host(), 0)).expect("a port");
        let unresponsive =
            unresponsive.local_addr().map(|addr| (ids::ReplicaKey(9), addr.to_string()));
        let mut members: Vec<_> = group.nodes.iter().map(replica_support::Node::member).collect();
        members.push(unresponsive.expect("an address"));
        let leader = group.nodes[group.leader().await].replica();
        let key = group.nodes[added].member().0;
        let votes = |peer: &machine::PeerView| peer.key == key && peer.voter;
        let started = time::Instant::now();
        while !leader.view().peers.iter().any(votes) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{:?}", leader.view().peers);
            let _ = leader.reconfigure(members.clone()).await;
        }
        assert!(started.elapsed() < ADMISSION_LIMIT, "{:?}", started.elapsed());
        group.stop().await;
    });
}

/// A group of three that has lost a follower, with a learner that has caught up and is to replace the
/// follower; also returns the desired members.
async fn group_with_replacement() -> (replica_support::Group, Vec<(ids::ReplicaKey, String)>) {
    let mut group = replica_support::Group::start(3).await;
    group.propose(b"one").await;
    let leader = group.leader().await;
    group.nodes[(leader + 1) % 3].stop().await;
    let added = group.add().await;
    group.nodes[added].start().await;
    let desired = [leader, (leader + 2) % 3, added];
    let members: Vec<_> = desired.iter().map(|&node| group.nodes[node].member()).collect();
    let leader = group.nodes[leader].replica();
    leader.reconfigure(members.clone()).await.expect("a learner");
    let key = members[2].0;
    let caught_up = || leader.view().peers.iter().any(|peer| peer.key == key && peer.matched.0 > 0);
    replica_support::until("the learner to catch up", caught_up).await;
    // Longer than a leader needs to detect a lost follower.
    tokio::time::sleep(consensus::ELECTION_TIMEOUT.to_duration() * 2).await;
    (group, members)
}

#[rstest::rstest]
#[case::no_hello(None, true)]
#[case::other_version(Some(codec::PROTOCOL_VERSION + 1), true)]
#[case::other_sender(Some(codec::PROTOCOL_VERSION), true)]
#[case::other_group(Some(codec::PROTOCOL_VERSION), false)]
fn peer_is_refused(#[case] version: Option<u16>, #[case] closed: bool) {
    support::run(async move {
        let group = replica_support::Group::start(1).await;
        group.propose(b"one").await;
        let before = group.nodes[0].replica().view();
        let addr = group.nodes[0].settings.listen;
        let stream =
            stream::connect::<peer::ClientMessage, peer::ServerMessage>(addr, "/peer").await;
        let (sender, mut receiver, connection) = stream.expect("a stream");
        let id = disk::Identity { replica: 9, store: 9 };
        if let Some(version) = version {
            sender
                .send(&peer::ClientMessage::Hello(peer::Hello { version, id, group: Some(9) }))
                .await;
        }
        let from = if closed { disk::Identity { replica: 8, store: 8 } } else { id };
        let to = disk::Identity { replica: 1, store: 1 };
        let body = peer::Body::Vote(99, 99, true);
        let envelope = peer::Envelope { group: 9, from, to, term: 99, body };
        sender.send(&peer::ClientMessage::Envelope(envelope)).await;
        if closed {
            while receiver.receive().await.is_some() {}
        }
        group.propose(b"two").await;
        assert_eq!(group.nodes[0].replica().view().term, before.term);
        drop((sender, connection));
        group.stop().await;
    });
}

#[test]
fn stopped_replica_refuses_at_once() {
    support::run(async {
        let group = replica_support::Group::start(1).await;
        let replica = group.nodes[0].replica();
        group.stop().await;
        let refused = replica.propose(b"late".to_vec()).await;
        assert!(matches!(refused, Err(machine::ProposeError::NotLeader)));
        assert!(!replica.leads() || replica.barrier().await.is_err());
    });
}

#[test]
fn transfer_leadership_waits_for_the_new_leader() {
    support::run(async {
        let group = replica_support::Group::start(3).await;
        let leader = group.nodes[group.leader().await].replica();
        leader.transfer_leadership().await;
        // If the links had closed before the new leader received the request, no replica would lead until
        // an election timeout.
        let role = leader.view().role;
        assert!(matches!(role, machine::Role::Follower { leader: Some(_) }), "{role:?}");
        group.stop().await;
    });
}

#[test]
fn replica_without_group_requests_admission() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        let leader = group.leader().await;
        let follower = (leader + 1) % 3;
        let added = group.add().await;
        // The added replica knows one follower, which reports the others.
        group.nodes[added].settings.seeds = vec![group.nodes[follower].settings.listen];
        group.nodes[added].start().await;
        let member = group.nodes[added].member();
        let seen = || {
            group.nodes.iter().any(|node| {
                node.is_running()
                    && node.replica().leads()
                    && node.replica().view().candidates.contains(&member)
            })
        };
        replica_support::until("the leader to see the candidate", seen).await;
        group.stop().await;
    });
}
