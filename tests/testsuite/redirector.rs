//! Tests of a host without a replica that is a seed of other processes.

use std::net;
use std::rc;
use std::time;

use hemlockcleat::control::machine::Log as _;
use hemlockcleat::control::redirector;
use hemlockcleat::net::leader;
use hemlockcleat::net::stream;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::gate;
use hemlockcleat::wire::runner;

use crate::replica_support;
use crate::support;

/// Limit until the replacement of a lost replica is a member, counted from its start.
const REPLACEMENT_LIMIT: time::Duration = time::Duration::from_secs(4);

/// A directory with a fixed leader and fixed replicas.
struct FixedDirectory {
    leader: Option<String>,
    replicas: Vec<String>,
}

impl redirector::ReplicaDirectory for FixedDirectory {
    fn leader(&self) -> Option<String> {
        self.leader.clone()
    }

    fn replicas(&self) -> Vec<String> {
        self.replicas.clone()
    }

    fn learn(&self, _: net::SocketAddr, _: &[String]) {}
}

async fn start(directory: FixedDirectory) -> stream::Server {
    let handler = rc::Rc::new(redirector::Redirector::new(0, rc::Rc::new(directory)));
    let any = net::SocketAddr::from((support::own_host(), 0));
    stream::Server::bind(any, 16, handler).await.expect("a port")
}

fn fixed_directory() -> FixedDirectory {
    let replicas = vec!["127.0.0.1:1".to_owned(), "127.0.0.1:2".to_owned()];
    FixedDirectory { leader: Some("127.0.0.1:1".to_owned()), replicas }
}

#[test]
fn gate_is_redirected() {
    support::run(async {
        let server = start(fixed_directory()).await;
        let (sender, mut receiver, _connection) =
            stream::connect::<gate::ClientMessage, gate::ServerMessage>(server.addr(), "/gate")
                .await
                .expect("a stream");
        sender
            .send(&gate::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0 })
            .await;
        let directory = fixed_directory();
        let expected = gate::ServerMessage::NotLeader(directory.leader, directory.replicas);
        assert_eq!(receiver.receive().await, Some(expected));
        server.stop().await;
    });
}

#[rstest::rstest]
#[case::other_version(codec::PROTOCOL_VERSION + 1, 0)]
#[case::other_cell(codec::PROTOCOL_VERSION, 1)]
fn incompatible_client_gets_no_addresses(#[case] version: u16, #[case] cell: u16) {
    support::run(async move {
        let server = start(fixed_directory()).await;
        let (sender, mut receiver, _connection) =
            stream::connect::<gate::ClientMessage, gate::ServerMessage>(server.addr(), "/gate")
                .await
                .expect("a stream");
        sender.send(&gate::ClientMessage::Hello { version, cell }).await;
        assert_eq!(receiver.receive().await, None);
        server.stop().await;
    });
}

/// An agent has to discover the replicas even if no host among its seeds has one.
#[test]
fn agent_learns_the_replicas() {
    support::run(async {
        let server = start(fixed_directory()).await;
        let finder = leader::Finder::new(vec![server.addr()]);
        let hello =
            runner::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0, host: 1 };
        let found =
            finder.find::<runner::ClientMessage, runner::ServerMessage>("/runner", &hello).await;
        assert!(found.is_none(), "a redirector is no leader");
        let known: Vec<_> = finder.learnt().iter().map(ToString::to_string).collect();
        assert_eq!(known, fixed_directory().replicas);
        server.stop().await;
    });
}

/// A host that was down may send outdated addresses. They must not replace those known before.
#[test]
fn stale_answer_hides_no_replica() {
    let finder = leader::Finder::new(Vec::new());
    let sender = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7));
    finder.learn(sender, &fixed_directory().replicas);
    finder.learn(sender, &["127.0.0.1:9".to_owned()]);
    let known: Vec<_> = finder.learnt().iter().map(ToString::to_string).collect();
    for replica in fixed_directory().replicas {
        assert!(known.contains(&replica), "{replica} is not in {known:?}");
    }
}

/// A replica whose only seed is a host without a replica becomes a candidate of the group.
#[test]
fn candidate_finds_the_group() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        let replicas = group.nodes.iter().map(|node| node.member().1).collect();
        let server = start(FixedDirectory { leader: None, replicas }).await;
        let added = group.add().await;
        group.nodes[added].settings.seeds = vec![server.addr()];
        group.nodes[added].start().await;
        let member = group.nodes[added].member();
        let is_candidate = || {
            let is_leader =
                |node: &&replica_support::Node| node.is_running() && node.replica().leads();
            let leader = group.nodes.iter().find(is_leader);
            leader.is_some_and(|leader| leader.replica().view().candidates.contains(&member))
        };
        replica_support::until("the leader to see the candidate", is_candidate).await;
        group.stop().await;
        tokio::time::timeout(time::Duration::from_secs(5), server.stop()).await.expect("an end");
    });
}

/// The group tolerates no further loss until the replacement of a lost replica votes. The leader has
/// to know the replacement as a candidate well within that time, even if another seed of it accepts
/// connections but never responds.
#[rstest::rstest]
#[case::redirector(false)]
#[case::redirector_and_unresponsive_host(true)]
fn candidate_is_seen_in_time(#[case] unresponsive: bool) {
    support::run(async move {
        let mut group = replica_support::Group::start(3).await;
        let replicas = group.nodes.iter().map(|node| node.member().1).collect();
        let server = start(FixedDirectory { leader: None, replicas }).await;
        let listener = net::TcpListener::bind((support::own_host(), 0)).expect("a port");
        let added = group.add().await;
        let seeds = &mut group.nodes[added].settings.seeds;
        seeds.push(server.addr());
        seeds.extend(unresponsive.then(|| listener.local_addr().expect("an address")));
        group.nodes[added].start().await;
        let started = time::Instant::now();
        let member = group.nodes[added].member();
        let leader = group.nodes[group.leader().await].replica();
        let is_candidate = || leader.view().candidates.contains(&member);
        replica_support::until("the leader to see the candidate", is_candidate).await;
        assert!(started.elapsed() < REPLACEMENT_LIMIT, "{:?}", started.elapsed());
        group.stop().await;
        tokio::time::timeout(time::Duration::from_secs(5), server.stop()).await.expect("an end");
    });
}
