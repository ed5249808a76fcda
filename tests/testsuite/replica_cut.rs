//! Links that harm what passes: a silent cut, where connections stay open and nothing passes, and
//! connections that open late.

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

/// How long a healed replica may take to be back: the silence after which a link is dialled
/// afresh, the time a connection and a hello may take, and the longest pause between two tries.
const BACK: time::Duration = time::Duration::from_secs(8);

type Tasks = rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>;

/// Passes bytes on, unless it is silent.
struct Relay {
    addr: net::SocketAddr,
    silent: rc::Rc<cell::Cell<bool>>,
    tasks: Tasks,
}

/// Starts a group in which all connections lead through relays.
async fn relayed(opening: time::Duration) -> (replica_support::Group, Vec<Relay>) {
    let mut group = replica_support::Group::bind(3).await;
    let mut relays = Vec::new();
    for node in &group.nodes {
        relays.push(Relay::open(node.settings.listen, opening).await);
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
    /// Passes connections on to an address; the first answer on each takes `opening`.
    async fn open(to: net::SocketAddr, opening: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let silent = rc::Rc::new(cell::Cell::new(false));
        let tasks = Tasks::default();
        let accept = accept(listener, (to, opening), silent.clone(), tasks.clone());
        tasks.borrow_mut().push(actix_rt::spawn(accept));
        Self { addr, silent, tasks }
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
    (to, opening): (net::SocketAddr, time::Duration),
    silent: rc::Rc<cell::Cell<bool>>,
    tasks: Tasks,
) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = tokio::net::TcpStream::connect(to).await else { continue };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there =
            actix_rt::spawn(pass(near_read, far_write, time::Duration::ZERO, silent.clone()));
        let back = actix_rt::spawn(pass(far_read, near_write, opening, silent.clone()));
        tasks.borrow_mut().extend([there, back]);
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    opening: time::Duration,
    silent: rc::Rc<cell::Cell<bool>>,
) {
    let mut buffer = vec![0; 65_536];
    tokio::time::sleep(opening).await;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if silent.get() {
            // What passes into a cut is lost; the connection is never whole again.
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[test]
fn silent_cut_heals() {
    support::run(async {
        let (group, relays) = relayed(time::Duration::ZERO).await;
        group.put(b"before").await;
        group.applied(1).await;
        let leader = group.leader().await;
        let cut = (leader + 1) % 3;
        relays[cut].silent.set(true);
        group.put(b"during").await;
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        assert_eq!(group.nodes[cut].machine.borrow().entries.len(), 1);
        relays[cut].silent.set(false);
        let healed = time::Instant::now();
        group.applied(2).await;
        assert!(healed.elapsed() < BACK, "{:?}", healed.elapsed());
        group.stop().await;
        for relay in relays {
            relay.stop().await;
        }
    });
}

/// An heir that has just joined is still dialling the others when it is to stand; its request for
/// their votes must not be lost with what waited for the connection.
#[test]
fn heir_that_still_dials_the_others_leads_in_time() {
    support::run(async {
        let (group, relays) = relayed(time::Duration::from_millis(120)).await;
        group.put(b"one").await;
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
