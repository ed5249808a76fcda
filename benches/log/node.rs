//! Replicas, each on a thread of its own, over loopback and real folders.

use std::cell;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use futures_util::future;
use hemlockcleat::control::machine;
use hemlockcleat::control::machine::Log as _;
use hemlockcleat::control::replica;
use hemlockcleat::core::ids;
use hemlockcleat::net::stream;
use hemlockcleat::settings;
use hemlockcleat::settings::control;
use hemlockcleat::store::disk;

use crate::relay;

/// What one load has measured.
pub struct Load {
    pub count: u64,
    pub span: time::Duration,
    /// Latencies in microseconds.
    pub latency: hdrhistogram::Histogram<u64>,
}

/// What a node is asked.
enum Ask {
    Leads(mpsc::Sender<bool>),
    Load(Work, mpsc::Sender<Load>),
    Stop,
}

/// What callers do.
#[derive(Clone, Copy)]
pub struct Work {
    pub callers: usize,
    /// Entries to propose in all.
    pub entries: u64,
    /// Bytes of an entry; 0 to read instead.
    pub size: usize,
}

/// Counts what it applies.
struct Counter(u64);

impl machine::Machine for Counter {
    fn apply(&mut self, _index: ids::LogIndex, _entry: &[u8]) -> Vec<u8> {
        self.0 += 1;
        self.0.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.0 = u64::from_le_bytes(snapshot.try_into().expect("eight bytes"));
    }

    fn role(&mut self, _role: machine::Role) {}
}

struct Peers(rc::Rc<replica::Replica>);

impl stream::Handler for Peers {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        self.0.handle_peer(incoming)
    }
}

/// One node.
pub struct Node {
    settings: control::Settings,
    relay: Option<net::TcpListener>,
    delay: time::Duration,
    options: replica::Options,
    asks: Option<tokio::sync::mpsc::UnboundedSender<Ask>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Prepares a group. With a delay, peers reach one another through relays.
pub fn group(
    folder: &path::Path,
    count: u64,
    delay: time::Duration,
    options: replica::Options,
) -> Vec<Node> {
    let bind = || net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = |listener: &net::TcpListener| listener.local_addr().expect("an address");
    let ports: Vec<_> = (0..count).map(|_| (addr(&bind()), bind())).collect();
    let reach = |(direct, relay): &(net::SocketAddr, net::TcpListener)| match delay.is_zero() {
        true => *direct,
        false => addr(relay),
    };
    let peers: Vec<_> = (1..)
        .zip(&ports)
        .map(|(number, port): (u64, _)| serde_json::json!({"replica": number, "addr": reach(port)}))
        .collect();
    let node = |(number, (listen, relay)): (u64, (net::SocketAddr, net::TcpListener))| {
        let text = serde_json::json!({
            "replica": number,
            "data_center": "bench",
            "data_folder": folder.join(format!("replica{number}")),
            "listen": listen,
            "advertise": peers[number as usize - 1]["addr"],
            "http": "127.0.0.1:1",
            "peers": peers,
        });
        Node {
            settings: settings::parse(&text.to_string()).expect("sound settings"),
            relay: (!delay.is_zero()).then_some(relay),
            delay,
            options,
            asks: None,
            thread: None,
        }
    };
    let mut nodes: Vec<_> = (1..).zip(ports).map(node).collect();
    nodes.iter_mut().for_each(Node::start);
    nodes
}

impl Node {
    /// Starts the node's thread.
    pub fn start(&mut self) {
        let (asks, queue) = tokio::sync::mpsc::unbounded_channel();
        let (settings, options, delay) = (self.settings.clone(), self.options, self.delay);
        let relay = self.relay.as_ref().map(|relay| relay.try_clone().expect("a socket"));
        self.thread = Some(thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                if let Some(relay) = relay {
                    actix_rt::spawn(relay::run(relay, settings.listen, delay));
                }
                serve(settings, options, queue).await;
            });
        }));
        self.asks = Some(asks);
    }

    /// Ends the node's thread.
    pub fn stop(&mut self) {
        if let Some(asks) = self.asks.take() {
            let _ = asks.send(Ask::Stop);
        }
        if let Some(thread) = self.thread.take() {
            thread.join().expect("a node that ends");
        }
    }

    /// Whether it leads now.
    pub fn leads(&self) -> bool {
        let (reply, answer) = mpsc::channel();
        let asked = self.asks.as_ref().is_some_and(|asks| asks.send(Ask::Leads(reply)).is_ok());
        asked && answer.recv().unwrap_or(false)
    }

    /// Lets callers work on this node and waits for the end.
    pub fn load(&self, work: Work) -> Load {
        let (reply, answer) = mpsc::channel();
        let asks = self.asks.as_ref().expect("a running node");
        let _ = asks.send(Ask::Load(work, reply));
        answer.recv().expect("a load that ends")
    }
}

/// Waits for a leader.
pub fn leader(nodes: &[Node]) -> usize {
    loop {
        if let Some(position) = nodes.iter().position(Node::leads) {
            return position;
        }
        thread::sleep(time::Duration::from_millis(1));
    }
}

async fn serve(
    settings: control::Settings,
    options: replica::Options,
    mut queue: tokio::sync::mpsc::UnboundedReceiver<Ask>,
) {
    let folder = disk::LockedFolder::create(&settings.data_folder).expect("a folder");
    let machine = rc::Rc::new(cell::RefCell::new(Counter(0)));
    let started =
        replica::Replica::start_with(&settings, machine, sync::Arc::new(folder), options).await;
    let replica = started.expect("a replica");
    let handler = rc::Rc::new(Peers(replica.clone()));
    let server = stream::Server::bind(settings.listen, 64, handler).await.expect("a listener");
    while let Some(ask) = queue.recv().await {
        match ask {
            Ask::Leads(reply) => drop(reply.send(replica.leads())),
            Ask::Load(work, reply) => drop(reply.send(load(&replica, work).await)),
            Ask::Stop => break,
        }
    }
    replica.stop().await;
    server.stop().await;
}

async fn load(replica: &rc::Rc<replica::Replica>, work: Work) -> Load {
    let started = time::Instant::now();
    let callers = (0..work.callers).map(|_| call(replica, work));
    let parts = future::join_all(callers).await;
    let span = started.elapsed();
    let mut latency = histogram();
    for part in parts {
        latency.add(part).expect("equal bounds");
    }
    Load { count: latency.len(), span, latency }
}

async fn call(replica: &rc::Rc<replica::Replica>, work: Work) -> hdrhistogram::Histogram<u64> {
    let mut latency = histogram();
    for _ in 0..work.entries / work.callers as u64 {
        let asked = time::Instant::now();
        match work.size {
            0 => replica.barrier().await.expect("a leader"),
            size => drop(replica.propose(vec![7; size]).await.expect("a leader")),
        }
        latency.record(asked.elapsed().as_micros() as u64).expect("within bounds");
    }
    latency
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")
}
