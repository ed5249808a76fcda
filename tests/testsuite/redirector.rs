//! A host without a replica that is named as a place to look for one.

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

/// A group has to be whole again this long after a lost host's successor has started.
const ADMITTED: time::Duration = time::Duration::from_secs(4);

/// Knows a fixed leader and fixed replicas.
struct Known {
    leader: Option<String>,
    replicas: Vec<String>,
}

impl redirector::ReplicaDirectory for Known {
    fn leader(&self) -> Option<String> {
        self.leader.clone()
    }

    fn replicas(&self) -> Vec<String> {
        self.replicas.clone()
    }

    fn learn(&self, _: net::SocketAddr, _: &[String]) {}
}

async fn start(known: Known) -> stream::Server {
    let handler = rc::Rc::new(redirector::Redirector::new(0, rc::Rc::new(known)));
    let any = net::SocketAddr::from((support::own_host(), 0));
    stream::Server::bind(any, 16, handler).await.expect("a port")
}

fn named() -> Known {
    let replicas = vec!["127.0.0.1:1".to_owned(), "127.0.0.1:2".to_owned()];
    Known { leader: Some("127.0.0.1:1".to_owned()), replicas }
}

#[test]
fn gate_is_sent_on() {
    support::run(async {
        let server = start(named()).await;
        let (sender, mut receiver, _connection) =
            stream::connect::<gate::ClientMessage, gate::ServerMessage>(server.addr(), "/gate")
                .await
                .expect("a stream");
        sender
            .send(&gate::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0 })
            .await;
        let known = named();
        let expected = gate::ServerMessage::NotLeader(known.leader, known.replicas);
        assert_eq!(receiver.receive().await, Some(expected));
        server.stop().await;
    });
}

#[rstest::rstest]
#[case::other_version(codec::PROTOCOL_VERSION + 1, 0)]
#[case::other_cell(codec::PROTOCOL_VERSION, 1)]
fn stranger_is_told_nothing(#[case] version: u16, #[case] cell: u16) {
    support::run(async move {
        let server = start(named()).await;
        let (sender, mut receiver, _connection) =
            stream::connect::<gate::ClientMessage, gate::ServerMessage>(server.addr(), "/gate")
                .await
                .expect("a stream");
        sender.send(&gate::ClientMessage::Hello { version, cell }).await;
        assert_eq!(receiver.receive().await, None);
        server.stop().await;
    });
}

/// An agent whose seeds are all hosts without a replica learns of the replicas.
#[test]
fn agent_learns_the_replicas() {
    support::run(async {
        let server = start(named()).await;
        let finder = leader::Finder::new(vec![server.addr()]);
        let hello =
            runner::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0, host: 1 };
        let found =
            finder.find::<runner::ClientMessage, runner::ServerMessage>("/runner", &hello).await;
        assert!(found.is_none(), "nobody leads there");
        let learnt: Vec<_> = finder.learnt().iter().map(ToString::to_string).collect();
        assert_eq!(learnt, named().replicas);
        server.stop().await;
    });
}

/// A host that has been away names replicas of long ago; those named by others stay known.
#[test]
fn stale_answer_hides_no_replica() {
    let finder = leader::Finder::new(Vec::new());
    let somebody = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7));
    finder.learn(somebody, &named().replicas);
    finder.learn(somebody, &["127.0.0.1:9".to_owned()]);
    let learnt: Vec<_> = finder.learnt().iter().map(ToString::to_string).collect();
    for replica in named().replicas {
        assert!(learnt.contains(&replica), "{replica} is not in {learnt:?}");
    }
}

/// A replica that is told of such a host only finds its way into the group.
#[test]
fn candidate_finds_the_group() {
    support::run(async {
        let mut group = replica_support::Group::start(3).await;
        let replicas = group.nodes.iter().map(|node| node.member().1).collect();
        let server = start(Known { leader: None, replicas }).await;
        let added = group.add().await;
        group.nodes[added].settings.seeds = vec![server.addr()];
        group.nodes[added].start().await;
        let member = group.nodes[added].member();
        let seen = || {
            let leads = |node: &&replica_support::Node| node.runs() && node.replica().leads();
            let leader = group.nodes.iter().find(leads);
            leader.is_some_and(|leader| leader.replica().view().candidates.contains(&member))
        };
        replica_support::until("the leader to see the candidate", seen).await;
        group.stop().await;
        tokio::time::timeout(time::Duration::from_secs(5), server.stop()).await.expect("an end");
    });
}

/// The group bears no loss before the successor of a lost host votes, so that it has to find the
/// leader well within the time for all of that.
#[rstest::rstest]
#[case::guide(false)]
#[case::guide_beside_a_host_that_hangs(true)]
fn candidate_is_seen_in_time(#[case] beside: bool) {
    support::run(async move {
        let mut group = replica_support::Group::start(3).await;
        let replicas = group.nodes.iter().map(|node| node.member().1).collect();
        let server = start(Known { leader: None, replicas }).await;
        let hangs = net::TcpListener::bind((support::own_host(), 0)).expect("a port");
        let added = group.add().await;
        let seeds = &mut group.nodes[added].settings.seeds;
        seeds.push(server.addr());
        seeds.extend(beside.then(|| hangs.local_addr().expect("an address")));
        group.nodes[added].start().await;
        let began = time::Instant::now();
        let member = group.nodes[added].member();
        let leader = group.nodes[group.leader().await].replica();
        let seen = || leader.view().candidates.contains(&member);
        replica_support::until("the leader to see the candidate", seen).await;
        assert!(began.elapsed() < ADMITTED, "{:?}", began.elapsed());
        group.stop().await;
        tokio::time::timeout(time::Duration::from_secs(5), server.stop()).await.expect("an end");
    });
}
