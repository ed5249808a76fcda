//! Replicas on faulty links: partitions, in which connections stay open without passing bytes, and
//! connections whose first response is late.

use std::cell;
use std::net;
use std::rc;
use std::time;

use hemlockcleat::control::machine::Log as _;
use hemlockcleat::core::consensus;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::replica_support;
use crate::support;

/// Time within which a replica must catch up after a partition: the time without a response after
/// which a link is dialled again, the time of connecting and exchanging hellos, and the longest
/// back-off.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(8);

type Tasks = rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>;

/// Forwards connections, or blocks them without closing them.
struct Relay {
    addr: net::SocketAddr,
    blocked: rc::Rc<cell::Cell<bool>>,
    tasks: Tasks,
}

/// Starts a group whose connections all go through relays that delay the first response by `delay`.
async fn start_with_relays(delay: time::Duration) -> (replica_support::Group, Vec<Relay>) {
    let mut group = replica_support::Group::bind(3).await;
    let mut relays = Vec::new();
    for node in &group.nodes {
        relays.push(Relay::open(node.settings.listen, delay).await);
    }
    for node in &mut group.nodes {
        for (peer, relay) in node.settings.peers.iter_mut().zip(&relays) {
            peer.addr = relay.addr;
        }
        node.start().await;
    }
    (group, relays)
}

impl Relay {
    /// Forwards connections to an address; the first response on each is delayed by `delay`.
    async fn open(to: net::SocketAddr, delay: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let blocked = rc::Rc::new(cell::Cell::new(false));
        let tasks = Tasks::default();
        let accept = accept(listener, (to, delay), blocked.clone(), tasks.clone());
        tasks.borrow_mut().push(actix_rt::spawn(accept));
        Self { addr, blocked, tasks }
    }

    async fn stop(self) {
        for task in self.tasks.take() {
            task.abort();
            let _ = task.await;
        }
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    (to, delay): (net::SocketAddr, time::Duration),
    blocked: rc::Rc<cell::Cell<bool>>,
    tasks: Tasks,
) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = tokio::net::TcpStream::connect(to).await else { continue };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let outbound =
            actix_rt::spawn(forward(near_read, far_write, time::Duration::ZERO, blocked.clone()));
        let inbound = actix_rt::spawn(forward(far_read, near_write, delay, blocked.clone()));
        tasks.borrow_mut().extend([outbound, inbound]);
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    delay: time::Duration,
    blocked: rc::Rc<cell::Cell<bool>>,
) {
    let mut buffer = vec![0; 65_536];
    tokio::time::sleep(delay).await;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if blocked.get() {
            // Bytes sent during a partition are lost, so the connection stays unusable.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[test]
fn partitioned_replica_catches_up() {
    support::run(async {
        let (group, relays) = start_with_relays(time::Duration::ZERO).await;
        group.propose(b"before").await;
        group.wait_applied(1).await;
        let leader = group.leader().await;
        let partitioned = (leader + 1) % 3;
        relays[partitioned].blocked.set(true);
        group.propose(b"during").await;
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        assert_eq!(group.nodes[partitioned].machine.borrow().entries.len(), 1);
        relays[partitioned].blocked.set(false);
        let healed = time::Instant::now();
        group.wait_applied(2).await;
        assert!(healed.elapsed() < RECOVERY_LIMIT, "{:?}", healed.elapsed());
        group.stop().await;
        for relay in relays {
            relay.stop().await;
        }
    });
}

/// A leadership transfer may choose a replica that has just joined and is still dialling the others.
/// Its requests for votes must not be dropped with the messages queued before the links opened.
#[test]
fn new_leader_still_dialling_is_elected_in_time() {
    support::run(async {
        let (group, relays) = start_with_relays(time::Duration::from_millis(120)).await;
        group.propose(b"one").await;
        let leader = group.leader().await;
        let started = time::Instant::now();
        group.nodes[leader].replica().transfer_leadership().await;
        let next = group.leader().await;
        let took = started.elapsed();
        assert_ne!(next, leader);
        assert!(took < consensus::ELECTION_TIMEOUT.to_duration(), "{took:?}");
        group.stop().await;
        for relay in relays {
            relay.stop().await;
        }
    });
}
