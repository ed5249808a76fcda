//! Discovery of the replicas by processes that have lost all state.

use std::cell;
use std::net;
use std::rc;
use std::time;

use hemlockcleat::control;
use hemlockcleat::control::redirector;
use hemlockcleat::gate;
use hemlockcleat::net::leader;
use hemlockcleat::net::seeds;
use hemlockcleat::net::stream;
use hemlockcleat::settings;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::gate as wire;

use crate::replica_support;
use crate::support;

/// The ports of a control replica, which has a host of its own.
const PORTS: (u16, u16) = (7000, 7002);

/// Longest time between two updates of a seed: they are sent every second, and a busy machine may
/// delay them.
const MAX_UPDATE_GAP: time::Duration = time::Duration::from_millis(2000);

/// Control replicas that discover each other through seeds.
struct Cell {
    settings: Vec<settings::control::Settings>,
    replicas: Vec<control::Control>,
    seeds: seeds::Seeds,
    folder: tempfile::TempDir,
}

impl Cell {
    /// Starts a group of three with these seeds.
    async fn start(seeds: &[net::SocketAddr]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let seeds = seeds::Seeds::from(seeds.to_vec());
        let mut cell = Self { settings: Vec::new(), replicas: Vec::new(), seeds, folder };
        let hosts: Vec<_> = (0..3).map(|_| support::own_host()).collect();
        let peers: Vec<_> = hosts.iter().copied().zip(1..).collect();
        for host in hosts {
            cell.add(host, &peers, cell.seeds.clone()).await;
        }
        cell
    }

    /// Starts another replica on `host`, with its founding members and seeds.
    async fn add(
        &mut self,
        host: net::Ipv4Addr,
        founders: &[(net::Ipv4Addr, u64)],
        seeds: impl Into<seeds::Seeds>,
    ) -> net::SocketAddr {
        let number = self.settings.len() + 1;
        let addr = |host, port| net::SocketAddr::from((host, port));
        let text = serde_json::json!({
            "replica": number,
            "data_center": "dc",
            "data_folder": self.folder.path().join(number.to_string()),
            "listen": addr(host, PORTS.0),
            "http": addr(host, PORTS.1),
            "peers": [{ "replica": number, "addr": addr(host, PORTS.0) }],
        });
        let mut settings: settings::control::Settings =
            settings::parse(&text.to_string()).expect("valid settings");
        let founder = |(host, replica): &(_, u64)| settings::control::Peer {
            replica: *replica,
            addr: addr(*host, PORTS.0),
        };
        settings.peers = founders.iter().map(founder).collect();
        let replica = control::Control::start_with(settings.clone(), seeds.into()).await;
        self.replicas.push(replica.expect("a running replica"));
        self.settings.push(settings);
        addr(host, PORTS.0)
    }

    /// Replaces the seeds of the founding members.
    fn replace_seeds(&self, seeds: &[net::SocketAddr]) {
        self.seeds.set(seeds.to_vec());
    }

    fn is_led(&self) -> bool {
        self.replicas.iter().any(control::Control::leads)
    }

    async fn stop(self) {
        for replica in self.replicas {
            replica.stop().await;
        }
    }
}

/// A seed without a replica or stored state, which has just started and knows only itself.
struct StatelessSeed {
    link: rc::Rc<gate::Link>,
    server: stream::Server,
}

impl StatelessSeed {
    async fn start(addr: net::SocketAddr) -> Self {
        let link = gate::Link::start(vec![addr], 0);
        let handler = rc::Rc::new(redirector::Redirector::new(0, link.clone()));
        let server = stream::Server::bind(addr, 64, handler).await.expect("a port");
        Self { link, server }
    }

    async fn stop(self) {
        self.link.stop().await;
        self.server.stop().await;
    }
}

fn unused_addr() -> net::SocketAddr {
    net::SocketAddr::from((support::own_host(), PORTS.0))
}

async fn wait_until_leader_found(seeds: Vec<net::SocketAddr>) {
    let entry = gate::Link::start(seeds, 0);
    replica_support::until("the entry to reach the leader", || entry.is_up()).await;
    entry.stop().await;
}

/// After a power loss of all hosts, only the replicas know their addresses: the seeds store nothing.
#[test]
fn replicas_found_after_all_seeds_lost_state() {
    support::run(async {
        let seed = unused_addr();
        let cell = Cell::start(&[seed]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let seed_host = StatelessSeed::start(seed).await;
        wait_until_leader_found(vec![seed]).await;
        seed_host.stop().await;
        cell.stop().await;
    });
}

/// A replica that waits to be admitted can serve as a seed.
#[test]
fn replicas_found_through_standby() {
    support::run(async {
        let mut cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let member = cell.settings[0].listen;
        let standby = cell.add(support::own_host(), &[], vec![member]).await;
        wait_until_leader_found(vec![standby]).await;
        cell.stop().await;
    });
}

/// Members update the current seeds, not those with which they were started.
#[test]
fn replicas_found_after_seeds_were_replaced_and_lost_state() {
    support::run(async {
        let cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let seed = unused_addr();
        cell.replace_seeds(&[seed]);
        let seed_host = StatelessSeed::start(seed).await;
        wait_until_leader_found(vec![seed]).await;
        seed_host.stop().await;
        cell.stop().await;
    });
}

/// A process without a leader reports the replicas while another seed does not respond.
#[test]
fn reported_replicas_are_dialled_in_the_same_search() {
    support::run(async {
        let cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let members: Vec<_> = cell.settings.iter().map(|one| one.listen.to_string()).collect();
        let link = gate::Link::start(Vec::new(), 0);
        link.learn(unused_addr(), &members);
        link.stop().await;
        let addr = unused_addr();
        let handler = rc::Rc::new(redirector::Redirector::new(0, link));
        let server = stream::Server::bind(addr, 64, handler).await.expect("a port");
        let unresponsive = unresponsive_server().await;
        let finder = leader::Finder::new(vec![unresponsive.addr, addr]);
        let hello = wire::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0 };
        let found = finder.find::<wire::ClientMessage, wire::ServerMessage>("/gate", &hello).await;
        assert!(found.is_some(), "the search ended without finding the leader");
        drop(found);
        server.stop().await;
        cell.stop().await;
    });
}

/// A seed that does not respond must not delay the updates of the others.
#[test]
fn unresponsive_seed_delays_no_updates() {
    support::run(async {
        let (unresponsive, seed) = (unresponsive_server().await, unused_addr());
        let updates = rc::Rc::new(UpdateTimes::default());
        let handler = rc::Rc::new(redirector::Redirector::new(0, updates.clone()));
        let server = stream::Server::bind(seed, 64, handler).await.expect("a port");
        let cell = Cell::start(&[unresponsive.addr, seed]).await;
        replica_support::until("the updates of the seed", || updates.times.borrow().len() >= 12)
            .await;
        let times = updates.times.take();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest < Some(MAX_UPDATE_GAP), "{longest:?}");
        server.stop().await;
        cell.stop().await;
    });
}

/// Accepts connections and never responds.
struct UnresponsiveServer {
    addr: net::SocketAddr,
    _listener: tokio::net::TcpListener,
}

async fn unresponsive_server() -> UnresponsiveServer {
    let any = net::SocketAddr::from((support::own_host(), 0));
    let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
    UnresponsiveServer { addr: listener.local_addr().expect("its address"), _listener: listener }
}

/// Records the times at which addresses of replicas were received.
#[derive(Default)]
struct UpdateTimes {
    times: cell::RefCell<Vec<time::Instant>>,
}

impl redirector::ReplicaDirectory for UpdateTimes {
    fn leader(&self) -> Option<String> {
        None
    }

    fn replicas(&self) -> Vec<String> {
        Vec::new()
    }

    fn learn(&self, _: net::SocketAddr, _: &[String]) {
        self.times.borrow_mut().push(time::Instant::now());
    }
}
