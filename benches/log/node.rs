//! Replicas on threads of their own, with loopback connections and folders of the file system.

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

/// The measurement of one workload.
pub struct Measurement {
    pub count: u64,
    pub span: time::Duration,
    /// Latencies in microseconds.
    pub latency: hdrhistogram::Histogram<u64>,
}

/// A request to a node's thread.
enum Request {
    Leads(mpsc::Sender<bool>),
    Load(Workload, mpsc::Sender<Measurement>),
    Stop,
}

/// The work of concurrent callers.
#[derive(Clone, Copy)]
pub struct Workload {
    pub callers: usize,
    /// The number of entries to propose, by all callers together.
    pub entries: u64,
    /// The length of an entry in bytes; 0 to read instead of proposing.
    pub size: usize,
}

/// A state machine that counts the entries it applies.
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

    fn role_changed(&mut self, _role: machine::Role) {}
}

struct Peers(rc::Rc<replica::Replica>);

impl stream::Handler for Peers {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        self.0.handle_peer(incoming)
    }
}

/// A replica and the thread that it runs on.
pub struct Node {
    settings: control::Settings,
    relay: Option<net::TcpListener>,
    delay: time::Duration,
    options: replica::Options,
    requests: Option<tokio::sync::mpsc::UnboundedSender<Request>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts a group of replicas. With a delay, peers connect to one another through relays.
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
            requests: None,
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
        let (requests, queue) = tokio::sync::mpsc::unbounded_channel();
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
        self.requests = Some(requests);
    }

    /// Stops the node and joins its thread.
    pub fn stop(&mut self) {
        if let Some(requests) = self.requests.take() {
            let _ = requests.send(Request::Stop);
        }
        if let Some(thread) = self.thread.take() {
            thread.join().expect("a node that ends");
        }
    }

    /// Whether the node is the leader now.
    pub fn leads(&self) -> bool {
        let (reply, response) = mpsc::channel();
        let sent = self
            .requests
            .as_ref()
            .is_some_and(|requests| requests.send(Request::Leads(reply)).is_ok());
        sent && response.recv().unwrap_or(false)
    }

    /// Runs a workload on this node and waits for its end.
    pub fn load(&self, workload: Workload) -> Measurement {
        let (reply, response) = mpsc::channel();
        let requests = self.requests.as_ref().expect("a running node");
        let _ = requests.send(Request::Load(workload, reply));
        response.recv().expect("a load that ends")
    }
}

/// Waits for a leader and returns its position.
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
    mut queue: tokio::sync::mpsc::UnboundedReceiver<Request>,
) {
    let folder = disk::LockedFolder::create(&settings.data_folder).expect("a folder");
    let machine = rc::Rc::new(cell::RefCell::new(Counter(0)));
    let started =
        replica::Replica::start_with(&settings, machine, sync::Arc::new(folder), options).await;
    let replica = started.expect("a replica");
    let handler = rc::Rc::new(Peers(replica.clone()));
    let server = stream::Server::bind(settings.listen, 64, handler).await.expect("a listener");
    while let Some(request) = queue.recv().await {
        match request {
            Request::Leads(reply) => drop(reply.send(replica.leads())),
            Request::Load(workload, reply) => drop(reply.send(load(&replica, workload).await)),
            Request::Stop => break,
        }
    }
    replica.stop().await;
    server.stop().await;
}

async fn load(replica: &rc::Rc<replica::Replica>, workload: Workload) -> Measurement {
    let started = time::Instant::now();
    let callers = (0..workload.callers).map(|_| call(replica, workload));
    let parts = future::join_all(callers).await;
    let span = started.elapsed();
    let mut latency = histogram();
    for part in parts {
        latency.add(part).expect("equal bounds");
    }
    Measurement { count: latency.len(), span, latency }
}

async fn call(
    replica: &rc::Rc<replica::Replica>,
    workload: Workload,
) -> hdrhistogram::Histogram<u64> {
    let mut latency = histogram();
    for _ in 0..workload.entries / workload.callers as u64 {
        let started = time::Instant::now();
        match workload.size {
            0 => replica.barrier().await.expect("a leader"),
            size => drop(replica.propose(vec![7; size]).await.expect("a leader")),
        }
        latency.record(started.elapsed().as_micros() as u64).expect("within bounds");
    }
    latency
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")
}
