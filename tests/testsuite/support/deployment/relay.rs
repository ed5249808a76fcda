//! A TCP relay in front of one process that can delay, close or blackhole connections by source.
//!
//! The source of a connection is the daemon that opened it. It is looked up by its socket in
//! `/proc` when a rule or a byte count needs it.

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

/// Treatment of the data in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// The data is forwarded after this delay.
    Pass(time::Duration),
    /// The data is held back silently.
    Blackhole,
    /// The connection is closed, and new ones are refused.
    Close,
}

/// Treatment of the connections of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// From the source to the process behind the relay.
    pub up: Flow,
    /// From the process behind the relay to the source.
    pub down: Flow,
}

impl Rule {
    /// All data is forwarded without delay.
    pub const OPEN: Rule = Rule::both(Flow::Pass(time::Duration::ZERO));

    /// All data is held back silently in both directions.
    pub const BLACKHOLE: Rule = Rule::both(Flow::Blackhole);

    /// Returns a rule with the same treatment in both directions.
    pub const fn both(flow: Flow) -> Self {
        Self { up: flow, down: flow }
    }
}

/// Active rules by process ID of the source.
type Rules = BTreeMap<u32, Rule>;

/// Bytes forwarded on the connections of a source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// From the source.
    pub up: u64,
    /// To the source.
    pub down: u64,
}

/// State of a connection; stored by the port from which it was opened.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    source: Option<u32>,
    traffic: Traffic,
}

/// State shared by the connections of a relay.
struct Shared {
    target: net::SocketAddr,
    rules: watch::Sender<Rules>,
    links: cell::RefCell<BTreeMap<u16, Link>>,
}

impl Shared {
    /// Looks up the source of every connection whose source is unknown.
    async fn resolve(&self) {
        let unknown = |(port, link): (&u16, &Link)| link.source.is_none().then_some(*port);
        let ports: BTreeSet<u16> = self.links.borrow().iter().filter_map(unknown).collect();
        if ports.is_empty() {
            return;
        }
        let found =
            tokio::task::spawn_blocking(move || connection_owners(&ports)).await.expect("no panic");
        for (port, source) in found {
            self.links.borrow_mut().entry(port).or_default().source = Some(source);
        }
    }

    fn rule(&self, rules: &Rules, port: u16) -> Rule {
        let source = self.links.borrow().get(&port).and_then(|link| link.source);
        source.and_then(|source| rules.get(&source)).copied().unwrap_or(Rule::OPEN)
    }

    fn count(&self, port: u16, add: impl FnOnce(&mut Traffic)) {
        add(&mut self.links.borrow_mut().entry(port).or_default().traffic);
    }
}

/// A listening relay; its tasks are aborted when it is dropped.
pub struct Relay {
    addr: net::SocketAddr,
    shared: rc::Rc<Shared>,
    accept: actix_rt::task::JoinHandle<()>,
    tasks: Tasks,
}

type Tasks = rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>;

impl Relay {
    /// Listens on an ephemeral port, and forwards connections to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the port");
        let rules = watch::Sender::new(Rules::new());
        let shared = rc::Rc::new(Shared { target, rules, links: cell::RefCell::default() });
        let tasks = Tasks::default();
        let accept = actix_rt::spawn(accept(listener, shared.clone(), tasks.clone()));
        Self { addr, shared, accept, tasks }
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the bytes forwarded so far by process ID of the source.
    pub async fn traffic(&self) -> BTreeMap<u32, Traffic> {
        self.shared.resolve().await;
        let mut total: BTreeMap<u32, Traffic> = BTreeMap::new();
        for link in self.shared.links.borrow().values() {
            let sum = total.entry(link.source.unwrap_or_default()).or_default();
            sum.up += link.traffic.up;
            sum.down += link.traffic.down;
        }
        total
    }

    /// Sets the rule for existing and future connections of the process `source`.
    pub async fn set_rule(&self, source: u32, rule: Rule) {
        self.shared.resolve().await;
        self.shared.rules.send_modify(|rules| {
            rules.insert(source, rule);
        });
        // Wakes connections accepted in the meantime, so that they apply the rule of their source.
        self.shared.resolve().await;
        self.shared.rules.send_modify(|_| ());
    }

    /// Removes all rules.
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
        // A reused port may belong to another process.
        shared.links.borrow_mut().entry(peer.port()).or_default().source = None;
        tasks.borrow_mut().retain(|task| !task.is_finished());
        tasks.borrow_mut().push(actix_rt::spawn(forward(socket, peer.port(), shared.clone())));
    }
}

async fn forward(mut socket: tokio::net::TcpStream, port: u16, shared: rc::Rc<Shared>) {
    let mut rules = shared.rules.subscribe();
    if !rules.borrow_and_update().is_empty() {
        shared.resolve().await;
    }
    let rule = shared.rule(&rules.borrow(), port);
    if rule == Rule::both(Flow::Close) {
        return;
    }
    let Ok(mut target) = tokio::net::TcpStream::connect(shared.target).await else { return };
    let _ = (socket.set_nodelay(true), target.set_nodelay(true));
    let (socket_in, socket_out) = socket.split();
    let (target_in, target_out) = target.split();
    let count_up = |length| shared.count(port, |traffic| traffic.up += length);
    let count_down = |length| shared.count(port, |traffic| traffic.down += length);
    let flow_up = |rules: &Rules| shared.rule(rules, port).up;
    let flow_down = |rules: &Rules| shared.rule(rules, port).down;
    let up = copy(socket_in, target_out, rules.clone(), flow_up, count_up);
    let down = copy(target_in, socket_out, rules.clone(), flow_down, count_down);
    // The end of either direction closes the connection: HTTP and h2 don't use half-closed ones.
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

/// Returns the process IDs of the daemons that opened connections from these ports.
fn connection_owners(ports: &BTreeSet<u16>) -> BTreeMap<u16, u32> {
    let processes = socket_owners();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let found = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok().filter(|port| ports.contains(port))?;
        let inode: u64 = fields.nth(7)?.parse().ok()?;
        Some((port, *processes.get(&inode)?))
    });
    found.collect()
}

/// Returns the process IDs of all running daemons by inode of their sockets.
fn socket_owners() -> BTreeMap<u64, u32> {
    let mut owners = BTreeMap::new();
    for process in daemon::running_ids() {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { continue };
        for descriptor in descriptors.flatten() {
            let Ok(target) = fs::read_link(descriptor.path()) else { continue };
            let inode = target.to_str().and_then(|link| link.strip_prefix("socket:["));
            if let Some(inode) = inode.and_then(|inode| inode.strip_suffix(']')?.parse().ok()) {
                owners.insert(inode, process);
            }
        }
    }
    owners
}
