//! A relay in front of one process: it can delay, cut and blackhole what passes, by source.
//!
//! The source of a connection is the daemon that opened it, found by its socket in `/proc` once a
//! rule or a count asks for it.

use std::cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::net;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::watch;

use crate::support::deployment::daemon;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// They pass after this delay.
    Pass(time::Duration),
    /// They are kept back, and nobody is told.
    Blackhole,
    /// The connection is closed, and new ones are refused.
    Cut,
}

/// What happens to a source's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// From the source to the process behind the relay.
    pub up: Flow,
    /// Back.
    pub down: Flow,
}

impl Rule {
    /// Everything passes at once.
    pub const OPEN: Rule = Rule::both(Flow::Pass(time::Duration::ZERO));

    /// Nothing passes either way, silently.
    pub const BLACKHOLE: Rule = Rule::both(Flow::Blackhole);

    /// The same both ways.
    pub const fn both(flow: Flow) -> Self {
        Self { up: flow, down: flow }
    }
}

/// The rules in force, by the source's process.
type Rules = BTreeMap<u32, Rule>;

/// Bytes that a source's connections have carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    /// From the source.
    pub up: u64,
    /// Back to it.
    pub down: u64,
}

/// What a relay knows of a connection, by the port from which it was opened.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    source: Option<u32>,
    carried: Carried,
}

/// What the connections of a relay share.
struct Shared {
    target: net::SocketAddr,
    rules: watch::Sender<Rules>,
    links: cell::RefCell<BTreeMap<u16, Link>>,
}

impl Shared {
    /// Finds the source of every connection whose source is not known yet.
    async fn resolve(&self) {
        let unknown = |(port, link): (&u16, &Link)| link.source.is_none().then_some(*port);
        let ports: BTreeSet<u16> = self.links.borrow().iter().filter_map(unknown).collect();
        if ports.is_empty() {
            return;
        }
        let found = tokio::task::spawn_blocking(move || owners(&ports)).await.expect("no panic");
        for (port, source) in found {
            self.links.borrow_mut().entry(port).or_default().source = Some(source);
        }
    }

    fn rule(&self, rules: &Rules, port: u16) -> Rule {
        let source = self.links.borrow().get(&port).and_then(|link| link.source);
        source.and_then(|source| rules.get(&source)).copied().unwrap_or(Rule::OPEN)
    }

    fn count(&self, port: u16, add: impl FnOnce(&mut Carried)) {
        add(&mut self.links.borrow_mut().entry(port).or_default().carried);
    }
}

/// A listening relay. All it has spawned ends when it is dropped.
pub struct Relay {
    addr: net::SocketAddr,
    shared: rc::Rc<Shared>,
    accept: actix_rt::task::JoinHandle<()>,
    tasks: Tasks,
}

type Tasks = rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>;

impl Relay {
    /// Listens on a port that the system picks, and passes connections on to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the port");
        let rules = watch::Sender::new(Rules::new());
        let shared = rc::Rc::new(Shared { target, rules, links: cell::RefCell::default() });
        let tasks = Tasks::default();
        let accept = actix_rt::spawn(accept(listener, shared.clone(), tasks.clone()));
        Self { addr, shared, accept, tasks }
    }

    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// What has been carried so far, by the source's process.
    pub async fn carried(&self) -> BTreeMap<u32, Carried> {
        self.shared.resolve().await;
        let mut total: BTreeMap<u32, Carried> = BTreeMap::new();
        for link in self.shared.links.borrow().values() {
            let sum = total.entry(link.source.unwrap_or_default()).or_default();
            sum.up += link.carried.up;
            sum.down += link.carried.down;
        }
        total
    }

    /// Sets the rule for connections that the process `source` opens or has opened.
    pub async fn set(&self, source: u32, rule: Rule) {
        self.shared.resolve().await;
        self.shared.rules.send_modify(|rules| {
            rules.insert(source, rule);
        });
        // Connections that came in between look again, now that their source is known.
        self.shared.resolve().await;
        self.shared.rules.send_modify(|_| ());
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.shared.rules.send_modify(Rules::clear);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept.abort();
        for task in self.tasks.take() {
            task.abort();
        }
    }
}

async fn accept(listener: tokio::net::TcpListener, shared: rc::Rc<Shared>, tasks: Tasks) {
    while let Ok((socket, peer)) = listener.accept().await {
        // A port that is used again may belong to another process now.
        shared.links.borrow_mut().entry(peer.port()).or_default().source = None;
        tasks.borrow_mut().retain(|task| !task.is_finished());
        tasks.borrow_mut().push(actix_rt::spawn(carry(socket, peer.port(), shared.clone())));
    }
}

async fn carry(mut socket: tokio::net::TcpStream, port: u16, shared: rc::Rc<Shared>) {
    let mut rules = shared.rules.subscribe();
    if !rules.borrow_and_update().is_empty() {
        shared.resolve().await;
    }
    let rule = shared.rule(&rules.borrow(), port);
    if rule == Rule::both(Flow::Cut) {
        return;
    }
    let Ok(mut onward) = tokio::net::TcpStream::connect(shared.target).await else { return };
    let _ = (socket.set_nodelay(true), onward.set_nodelay(true));
    let (socket_in, socket_out) = socket.split();
    let (onward_in, onward_out) = onward.split();
    let count_up = |length| shared.count(port, |carried| carried.up += length);
    let count_down = |length| shared.count(port, |carried| carried.down += length);
    let flow_up = |rules: &Rules| shared.rule(rules, port).up;
    let flow_down = |rules: &Rules| shared.rule(rules, port).down;
    let up = copy(socket_in, onward_out, rules.clone(), flow_up, count_up);
    let down = copy(onward_in, socket_out, rules.clone(), flow_down, count_down);
    // Either direction's end closes the connection: HTTP and h2 have no use for half of one.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    mut rules: watch::Receiver<Rules>,
    flow: impl Fn(&Rules) -> Flow,
    count: impl Fn(u64),
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let open = rules.wait_for(|rules| flow(rules) != Flow::Blackhole).await;
        let Ok(Flow::Pass(delay)) = open.map(|rules| flow(&rules)) else { return };
        let length = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = rules.changed() => continue,
        };
        if length == 0 {
            return;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        count(length as u64);
    }
}

/// The daemons that have opened connections from these ports.
fn owners(ports: &BTreeSet<u16>) -> BTreeMap<u16, u32> {
    let holders = holders();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let found = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok().filter(|port| ports.contains(port))?;
        let inode: u64 = fields.nth(7)?.parse().ok()?;
        Some((port, *holders.get(&inode)?))
    });
    found.collect()
}

/// The sockets of all running daemons: the process by the socket's inode.
fn holders() -> BTreeMap<u64, u32> {
    let mut holders = BTreeMap::new();
    for process in daemon::running() {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { continue };
        for descriptor in descriptors.flatten() {
            let Ok(target) = fs::read_link(descriptor.path()) else { continue };
            let inode = target.to_str().and_then(|link| link.strip_prefix("socket:["));
            if let Some(inode) = inode.and_then(|inode| inode.strip_suffix(']')?.parse().ok()) {
                holders.insert(inode, process);
            }
        }
    }
    holders
}
