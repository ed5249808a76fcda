//! A group of replicas on the loopback interface, with a state machine that records its entries.

use std::cell;
use std::io;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::time;

use futures_util::future;
use hemlockcleat::control::machine;
use hemlockcleat::control::machine::Log as _;
use hemlockcleat::control::replica;
use hemlockcleat::control::supervisor;
use hemlockcleat::core::ids;
use hemlockcleat::net::seeds;
use hemlockcleat::net::stream;
use hemlockcleat::settings;
use hemlockcleat::settings::control;
use tokio::sync::oneshot;

use crate::store_disk;
use crate::support;

/// Limit of waiting for a condition, long enough for a busy machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Bytes recorded of each entry.
const RECORDED_BYTES: usize = 64;

/// A state machine that records the first bytes of each entry and the number of restores.
#[derive(Default)]
pub struct Recorder {
    pub entries: Vec<(u64, Vec<u8>)>,
    pub restored: usize,
}

impl machine::Machine for Recorder {
    fn apply(&mut self, index: ids::LogIndex, entry: &[u8]) -> Vec<u8> {
        self.entries.push((index.0, entry[..entry.len().min(RECORDED_BYTES)].to_vec()));
        index.0.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        hemlockcleat::wire::codec::encode(&self.entries)
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.entries = hemlockcleat::wire::codec::decode(snapshot).expect("a snapshot");
        self.restored += 1;
    }

    fn role_changed(&mut self, _role: machine::Role) {}
}

/// The replica that a listener serves, if it is running.
#[derive(Clone, Default)]
struct Slot(rc::Rc<cell::RefCell<Option<rc::Rc<replica::Replica>>>>);

impl stream::Handler for Slot {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        match &*self.0.borrow() {
            Some(replica) => replica.handle_peer(incoming),
            None => Box::pin(async {}),
        }
    }
}

/// A supervised replica on a disk that may fail.
struct SupervisedReplica {
    replica: rc::Rc<replica::Replica>,
    slot: Slot,
}

impl supervisor::Supervised for SupervisedReplica {
    fn failed(&self) -> future::LocalBoxFuture<'_, String> {
        Box::pin(self.replica.failed())
    }

    fn stop(self: Box<Self>) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            self.slot.0.take();
            self.replica.stop().await;
        })
    }
}

/// A replica whose supervisor restarts it, as in a process.
pub struct SupervisedNode {
    pub disk: store_disk::Memory,
    /// How often the data folder was opened.
    pub open_count: rc::Rc<cell::Cell<u64>>,
    stop: oneshot::Sender<()>,
    task: actix_rt::task::JoinHandle<()>,
}

impl SupervisedNode {
    /// Stops the replica.
    pub async fn stop(self) {
        self.stop.send(()).expect("the supervisor is running");
        self.task.await.expect("the supervisor has not panicked");
    }
}

/// One replica with its data folder and its listener.
pub struct Node {
    pub settings: control::Settings,
    pub machine: rc::Rc<cell::RefCell<Recorder>>,
    slot: Slot,
    server: Option<stream::Server>,
}

impl Node {
    pub fn replica(&self) -> rc::Rc<replica::Replica> {
        self.slot.0.borrow().clone().expect("a running replica")
    }

    pub fn is_running(&self) -> bool {
        self.slot.0.borrow().is_some()
    }

    /// Starts the replica on its data folder.
    pub async fn start(&mut self) {
        self.machine = rc::Rc::default();
        let seeds = seeds::Seeds::from(self.settings.seeds.clone());
        let started = replica::Replica::start(&self.settings, seeds, self.machine.clone()).await;
        self.slot.0.replace(Some(started.expect("the replica starts")));
    }

    /// Starts the replica on another disk.
    pub async fn start_on(&mut self, disk: store_disk::Memory) {
        self.machine = rc::Rc::default();
        let (disk, options) = (sync::Arc::new(disk), replica::Options::default());
        let started =
            replica::Replica::start_with(&self.settings, self.machine.clone(), disk, options).await;
        self.slot.0.replace(Some(started.expect("the replica starts")));
    }

    /// Runs the replica under a supervisor, on a disk that may fail for some time.
    pub fn supervise(&self) -> SupervisedNode {
        let disk = store_disk::Memory::default();
        let open_count = rc::Rc::new(cell::Cell::new(0));
        let (stop, stopped) = oneshot::channel();
        let settings = self.settings.clone();
        let (machine, slot) = (self.machine.clone(), self.slot.clone());
        let (on, count) = (disk.clone(), open_count.clone());
        let task = actix_rt::spawn(async move {
            let open = || async {
                count.set(count.get() + 1);
                machine.take();
                let (disk, options) = (sync::Arc::new(on.clone()), replica::Options::default());
                let started =
                    replica::Replica::start_with(&settings, machine.clone(), disk, options);
                let replica = started.await?;
                slot.0.replace(Some(replica.clone()));
                let running = SupervisedReplica { replica, slot: slot.clone() };
                Ok(Box::new(running) as Box<dyn supervisor::Supervised>)
            };
            let stopped = async { stopped.await.map_err(io::Error::other) };
            supervisor::supervise(open, stopped)
                .await
                .expect("the supervisor runs until it is stopped");
        });
        SupervisedNode { disk, open_count, stop, task }
    }

    /// The replica's number and address, as in a membership.
    pub fn member(&self) -> (ids::ReplicaKey, String) {
        (ids::ReplicaKey(self.settings.replica), self.settings.listen.to_string())
    }

    /// Stops the replica and closes all its connections; its port stays reserved.
    pub async fn stop(&mut self) {
        if let Some(replica) = self.slot.0.take() {
            replica.stop().await;
        }
        if let Some(server) = self.server.take() {
            let addr = server.addr();
            server.stop().await;
            self.server = Some(listen(addr, self.slot.clone()).await);
        }
    }

    /// Removes the data folder of a stopped replica.
    pub fn wipe(&self) {
        std::fs::remove_dir_all(&self.settings.data_folder).expect("an existing folder");
    }
}

/// Listens on an address, also if its previous listener has just been closed: a child process that
/// another test is starting holds a copy of that listener until it executes its program.
async fn listen(addr: net::SocketAddr, slot: Slot) -> stream::Server {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match stream::Server::bind(addr, 64, rc::Rc::new(slot.clone())).await {
            Ok(server) => return server,
            Err(error) if is_taken(&error) && time::Instant::now() < deadline => {
                tokio::time::sleep(time::Duration::from_millis(2)).await;
            }
            Err(error) => panic!("no listener on {addr}: {error}"),
        }
    }
}

fn is_taken(error: &stream::Error) -> bool {
    matches!(error, stream::Error::Io(error) if error.kind() == io::ErrorKind::AddrInUse)
}

/// A group of replicas.
pub struct Group {
    pub nodes: Vec<Node>,
    folder: tempfile::TempDir,
}

impl Group {
    /// Binds the ports of `count` founding members without starting them.
    pub async fn bind(count: u64) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut group = Self { nodes: Vec::new(), folder };
        let mut peers = Vec::new();
        for number in 1..=count {
            let node = group.new_node(number).await;
            peers.push(control::Peer { replica: number, addr: node.settings.listen });
            group.nodes.push(node);
        }
        for node in &mut group.nodes {
            node.settings.peers = peers.clone();
        }
        group
    }

    /// Starts a group of `count` replicas and waits for its leader.
    pub async fn start(count: u64) -> Self {
        let mut group = Self::bind(count).await;
        for node in &mut group.nodes {
            node.start().await;
        }
        group.leader().await;
        group
    }

    /// Adds a replica that is not a founding member, without starting it.
    pub async fn add(&mut self) -> usize {
        let mut node = self.new_node(self.nodes.len() as u64 + 1).await;
        node.settings.peers = self.nodes[0].settings.peers.clone();
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Changes the membership step by step until the voters are exactly these nodes.
    pub async fn reconfigure(&self, nodes: &[usize]) {
        let members: Vec<_> = nodes.iter().map(|&node| self.nodes[node].member()).collect();
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        while time::Instant::now() < deadline {
            let leader = self.nodes[self.leader().await].replica();
            let peers = leader.view().peers;
            let keys: Vec<_> = peers.iter().map(|peer| peer.key).collect();
            let desired: Vec<_> = members.iter().map(|member| member.0).collect();
            if leader.leads() && keys == desired && peers.iter().all(|peer| peer.voter) {
                return;
            }
            let _ = leader.reconfigure(members.clone()).await;
        }
        panic!("the membership has not changed");
    }

    async fn new_node(&self, number: u64) -> Node {
        let slot = Slot::default();
        let server = listen(net::SocketAddr::from((support::own_host(), 0)), slot.clone()).await;
        let addr = server.addr();
        let text = serde_json::json!({
            "replica": number,
            "data_center": format!("dc{number}"),
            "data_folder": self.path(&format!("replica{number}")),
            "listen": addr,
            "http": "127.0.0.1:1",
            "peers": [{"replica": number, "addr": addr}],
        });
        let settings = settings::parse(&text.to_string()).expect("valid settings");
        Node { settings, machine: rc::Rc::default(), slot, server: Some(server) }
    }

    pub fn path(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(name)
    }

    /// The position of the node that leads now.
    pub fn current_leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.is_running() && node.replica().leads())
    }

    /// Waits for a leader and returns its position.
    pub async fn leader(&self) -> usize {
        until("a leader", || self.current_leader().is_some()).await;
        self.current_leader().expect("a leader")
    }

    /// Proposes an entry until a leader has responded.
    pub async fn propose(&self, entry: &[u8]) -> Vec<u8> {
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        while time::Instant::now() < deadline {
            let leader = self.leader().await;
            if let Ok(answer) = self.nodes[leader].replica().propose(entry.to_vec()).await {
                return answer;
            }
        }
        panic!("no leader has accepted the entry");
    }

    /// Waits until every running node has applied at least `count` entries.
    pub async fn wait_applied(&self, count: usize) {
        let applied =
            |node: &Node| !node.is_running() || node.machine.borrow().entries.len() >= count;
        until("all entries everywhere", || self.nodes.iter().all(applied)).await;
    }

    /// Waits until all running nodes have applied the same entries, at least `count`. An entry that was
    /// proposed again after a change of leader counts twice.
    pub async fn wait_identical(&self, count: usize) {
        self.wait_applied(count).await;
        let entries = |node: &Node| node.machine.borrow().entries.clone();
        let identical = || {
            let mut running = self.nodes.iter().filter(|node| node.is_running()).map(entries);
            let first = running.next().expect("a running node");
            running.all(|other| other == first)
        };
        until("the same entries everywhere", identical).await;
    }

    /// Stops all replicas and listeners.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.stop().await;
            node.server.take().expect("a listener").stop().await;
        }
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(time::Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}
