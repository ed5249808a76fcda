//! A relay in front of one process: it can delay, cut and blackhole what passes, by source.
//!
//! The source of a connection is the process that opened it, found by its socket in `/proc`.

use std::cell;
use std::collections::BTreeMap;
use std::fs;
use std::net;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::watch;

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

/// A listening relay. All it has spawned ends when it is dropped.
pub struct Relay {
    addr: net::SocketAddr,
    rules: watch::Sender<Rules>,
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
        let tasks = Tasks::default();
        let accept = actix_rt::spawn(accept(listener, target, rules.clone(), tasks.clone()));
        Self { addr, rules, accept, tasks }
    }

    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets the rule for connections that the process `source` opens or has opened.
    pub fn set(&self, source: u32, rule: Rule) {
        self.rules.send_modify(|rules| {
            rules.insert(source, rule);
        });
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.rules.send_modify(Rules::clear);
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

async fn accept(
    listener: tokio::net::TcpListener,
    target: net::SocketAddr,
    rules: watch::Sender<Rules>,
    tasks: Tasks,
) {
    while let Ok((socket, peer)) = listener.accept().await {
        let source = owner(peer.port()).unwrap_or_default();
        let rules = rules.subscribe();
        tasks.borrow_mut().retain(|task| !task.is_finished());
        tasks.borrow_mut().push(actix_rt::spawn(carry(socket, target, source, rules)));
    }
}

async fn carry(
    mut socket: tokio::net::TcpStream,
    target: net::SocketAddr,
    source: u32,
    rules: watch::Receiver<Rules>,
) {
    let rule = rule_of(&rules.borrow(), source);
    if rule == Rule::both(Flow::Cut) {
        return;
    }
    let Ok(mut onward) = tokio::net::TcpStream::connect(target).await else { return };
    let _ = (socket.set_nodelay(true), onward.set_nodelay(true));
    let (socket_in, socket_out) = socket.split();
    let (onward_in, onward_out) = onward.split();
    let up = copy(socket_in, onward_out, rules.clone(), move |rules| rule_of(rules, source).up);
    let down = copy(onward_in, socket_out, rules, move |rules| rule_of(rules, source).down);
    // Either direction's end closes the connection: HTTP and h2 have no use for half of one.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

fn rule_of(rules: &Rules, source: u32) -> Rule {
    rules.get(&source).copied().unwrap_or(Rule::OPEN)
}

async fn copy(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    mut rules: watch::Receiver<Rules>,
    flow: impl Fn(&Rules) -> Flow,
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
    }
}

/// The process whose socket has this local port.
fn owner(port: u16) -> Option<u32> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!(":{port:04X}");
    let line = table.lines().find(|line| {
        line.split_whitespace().nth(1).is_some_and(|address| address.ends_with(&local))
    })?;
    let link = format!("socket:[{}]", line.split_whitespace().nth(9)?);
    let processes = fs::read_dir("/proc").ok()?;
    processes
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .find(|process| holds(*process, &link))
}

fn holds(process: u32, link: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    descriptors
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .any(|target| target.as_os_str() == link)
}
