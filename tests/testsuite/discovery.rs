//! How processes that have forgotten everything find the replicas again.

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

/// The ports of a control replica, on a host of its own.
const PORTS: (u16, u16) = (7000, 7002);

/// A seed is told every second, and may have to wait for a busy machine.
const RETOLD: time::Duration = time::Duration::from_millis(2000);

/// Control replicas that look for one another at a few addresses.
struct Cell {
    settings: Vec<settings::control::Settings>,
    replicas: Vec<control::Control>,
    seeds: seeds::Seeds,
    folder: tempfile::TempDir,
}

impl Cell {
    /// Starts a group of three whose seeds are these.
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

    /// Starts one more replica, by its host, the founders and its seeds.
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
            settings::parse(&text.to_string()).expect("sound settings");
        let founder = |(host, replica): &(_, u64)| settings::control::Peer {
            replica: *replica,
            addr: addr(*host, PORTS.0),
        };
        settings.peers = founders.iter().map(founder).collect();
        let replica = control::Control::start_with(settings.clone(), seeds.into()).await;
        self.replicas.push(replica.expect("starts"));
        self.settings.push(settings);
        addr(host, PORTS.0)
    }

    /// Gives the founders other seeds.
    fn exchange(&self, seeds: &[net::SocketAddr]) {
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

/// A host without a disk that has just started and knows itself only.
struct Guide {
    link: rc::Rc<gate::Link>,
    server: stream::Server,
}

impl Guide {
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

fn reserved() -> net::SocketAddr {
    net::SocketAddr::from((support::own_host(), PORTS.0))
}

async fn reaches_leader(seeds: Vec<net::SocketAddr>) {
    let entry = gate::Link::start(seeds, 0);
    replica_support::until("the entry to reach the leader", || entry.is_up()).await;
    entry.stop().await;
}

/// A power cut of all hosts leaves only the replicas knowing where they are.
#[test]
fn replicas_found_when_all_seeds_have_forgotten() {
    support::run(async {
        let seed = reserved();
        let cell = Cell::start(&[seed]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let guide = Guide::start(seed).await;
        reaches_leader(vec![seed]).await;
        guide.stop().await;
        cell.stop().await;
    });
}

/// A replica that waits to be admitted is a seed like any other.
#[test]
fn replicas_found_through_standby() {
    support::run(async {
        let mut cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let member = cell.settings[0].listen;
        let standby = cell.add(support::own_host(), &[], vec![member]).await;
        reaches_leader(vec![standby]).await;
        cell.stop().await;
    });
}

/// Members tell the seeds that are in force now, not those that they were started with.
#[test]
fn replicas_found_when_seeds_were_exchanged_and_have_forgotten() {
    support::run(async {
        let cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let seed = reserved();
        cell.exchange(&[seed]);
        let guide = Guide::start(seed).await;
        reaches_leader(vec![seed]).await;
        guide.stop().await;
        cell.stop().await;
    });
}

/// Somebody without a leader names the replicas while another seed does not answer.
#[test]
fn named_replicas_are_asked_in_the_same_search() {
    support::run(async {
        let cell = Cell::start(&[]).await;
        replica_support::until("a leader", || cell.is_led()).await;
        let members: Vec<_> = cell.settings.iter().map(|one| one.listen.to_string()).collect();
        let link = gate::Link::start(Vec::new(), 0);
        link.learn(reserved(), &members);
        link.stop().await;
        let addr = reserved();
        let handler = rc::Rc::new(redirector::Redirector::new(0, link));
        let server = stream::Server::bind(addr, 64, handler).await.expect("a port");
        let silent = silent().await;
        let finder = leader::Finder::new(vec![silent.addr, addr]);
        let hello = wire::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: 0 };
        let found = finder.find::<wire::ClientMessage, wire::ServerMessage>("/gate", &hello).await;
        assert!(found.is_some(), "the search has ended without the leader");
        drop(found);
        server.stop().await;
        cell.stop().await;
    });
}

/// A seed that does not answer holds up what the others are told.
#[test]
fn seed_is_told_beside_a_silent_one() {
    support::run(async {
        let (silent, seed) = (silent().await, reserved());
        let told = rc::Rc::new(Told::default());
        let handler = rc::Rc::new(redirector::Redirector::new(0, told.clone()));
        let server = stream::Server::bind(seed, 64, handler).await.expect("a port");
        let cell = Cell::start(&[silent.addr, seed]).await;
        replica_support::until("the seed to be told", || told.times.borrow().len() >= 12).await;
        let times = told.times.take();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest < Some(RETOLD), "{longest:?}");
        server.stop().await;
        cell.stop().await;
    });
}

/// Accepts connections and says nothing.
struct Silent {
    addr: net::SocketAddr,
    _listener: tokio::net::TcpListener,
}

async fn silent() -> Silent {
    let any = net::SocketAddr::from((support::own_host(), 0));
    let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
    Silent { addr: listener.local_addr().expect("its address"), _listener: listener }
}

/// Remembers when it was told of replicas.
#[derive(Default)]
struct Told {
    times: cell::RefCell<Vec<time::Instant>>,
}

impl redirector::ReplicaDirectory for Told {
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
