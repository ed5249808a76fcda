//! A group of replicas over loopback, with a machine that remembers what it applied.

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

/// How long a condition may take to come true on a busy machine.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Bytes of an entry that are remembered.
const REMEMBERED: usize = 64;

/// Remembers how each entry starts, and how often it was restored.
#[derive(Default)]
pub struct Recorder {
    pub entries: Vec<(u64, Vec<u8>)>,
    pub restored: usize,
}

impl machine::Machine for Recorder {
    fn apply(&mut self, index: ids::LogIndex, entry: &[u8]) -> Vec<u8> {
        self.entries.push((index.0, entry[..entry.len().min(REMEMBERED)].to_vec()));
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

/// Where a listener finds the replica it serves, if that one runs.
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

/// A replica that runs on a disk that fails at times.
struct Running {
    replica: rc::Rc<replica::Replica>,
    slot: Slot,
}

impl supervisor::Supervised for Running {
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

/// A replica that is kept running, as a process keeps its own.
pub struct Kept {
    pub disk: store_disk::Memory,
    /// How often it was opened.
    pub opened: rc::Rc<cell::Cell<u64>>,
    stop: oneshot::Sender<()>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Kept {
    /// Stops the replica.
    pub async fn stop(self) {
        self.stop.send(()).expect("it is kept");
        self.task.await.expect("it has not panicked");
    }
}

/// One replica with its folder and its listener.
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

    pub fn runs(&self) -> bool {
        self.slot.0.borrow().is_some()
    }

    /// Starts the replica on its folder.
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

    /// Keeps the replica running on a disk that may fail for a while.
    pub fn keep(&self) -> Kept {
        let disk = store_disk::Memory::default();
        let opened = rc::Rc::new(cell::Cell::new(0));
        let (stop, stopped) = oneshot::channel();
        let settings = self.settings.clone();
        let (machine, slot) = (self.machine.clone(), self.slot.clone());
        let (on, count) = (disk.clone(), opened.clone());
        let task = actix_rt::spawn(async move {
            let open = || async {
                count.set(count.get() + 1);
                machine.take();
                let (disk, options) = (sync::Arc::new(on.clone()), replica::Options::default());
                let started =
                    replica::Replica::start_with(&settings, machine.clone(), disk, options);
                let replica = started.await?;
                slot.0.replace(Some(replica.clone()));
                let running = Running { replica, slot: slot.clone() };
                Ok(Box::new(running) as Box<dyn supervisor::Supervised>)
            };
            let stopped = async { stopped.await.map_err(io::Error::other) };
            supervisor::supervise(open, stopped).await.expect("it is kept until it is stopped");
        });
        Kept { disk, opened, stop, task }
    }

    /// Its number and address, as a membership names them.
    pub fn member(&self) -> (ids::ReplicaKey, String) {
        (ids::ReplicaKey(self.settings.replica), self.settings.listen.to_string())
    }

    /// Ends the replica and all its connections; its port stays reserved.
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

    /// Empties the data folder of a replica that is stopped.
    pub fn wipe(&self) {
        std::fs::remove_dir_all(&self.settings.data_folder).expect("an old folder");
    }
}

/// Listens on an address, also on one that was closed right before: a child process that another
/// test is about to start holds a copy of the old listener until it runs its program.
async fn listen(addr: net::SocketAddr, slot: Slot) -> stream::Server {
    let give_up = time::Instant::now() + PATIENCE;
    loop {
        match stream::Server::bind(addr, 64, rc::Rc::new(slot.clone())).await {
            Ok(server) => return server,
            Err(error) if is_taken(&error) && time::Instant::now() < give_up => {
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
    /// Binds the ports of `count` founding members; none is started.
    pub async fn bind(count: u64) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut group = Self { nodes: Vec::new(), folder };
        let mut peers = Vec::new();
        for number in 1..=count {
            let node = group.make(number).await;
            peers.push(control::Peer { replica: number, addr: node.settings.listen });
            group.nodes.push(node);
        }
        for node in &mut group.nodes {
            node.settings.peers = peers.clone();
        }
        group
    }

    /// Starts a whole group and waits for its leader.
    pub async fn start(count: u64) -> Self {
        let mut group = Self::bind(count).await;
        for node in &mut group.nodes {
            node.start().await;
        }
        group.leader().await;
        group
    }

    /// Adds a replica that is no founding member; it is not started.
    pub async fn add(&mut self) -> usize {
        let mut node = self.make(self.nodes.len() as u64 + 1).await;
        node.settings.peers = self.nodes[0].settings.peers.clone();
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Leads the group, step by step, to voters that are just these nodes.
    pub async fn reconfigure(&self, nodes: &[usize]) {
        let members: Vec<_> = nodes.iter().map(|&node| self.nodes[node].member()).collect();
        let give_up = time::Instant::now() + PATIENCE;
        while time::Instant::now() < give_up {
            let leader = self.nodes[self.leader().await].replica();
            let peers = leader.view().peers;
            let keys: Vec<_> = peers.iter().map(|peer| peer.key).collect();
            let wanted: Vec<_> = members.iter().map(|member| member.0).collect();
            if leader.leads() && keys == wanted && peers.iter().all(|peer| peer.voter) {
                return;
            }
            let _ = leader.reconfigure(members.clone()).await;
        }
        panic!("the group has not changed");
    }

    async fn make(&self, number: u64) -> Node {
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
        let settings = settings::parse(&text.to_string()).expect("sound settings");
        Node { settings, machine: rc::Rc::default(), slot, server: Some(server) }
    }

    pub fn path(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(name)
    }

    /// The position of the one node that leads now.
    pub fn leading(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.runs() && node.replica().leads())
    }

    /// Waits for a leader.
    pub async fn leader(&self) -> usize {
        until("a leader", || self.leading().is_some()).await;
        self.leading().expect("a leader")
    }

    /// Proposes an entry until some leader has answered.
    pub async fn put(&self, entry: &[u8]) -> Vec<u8> {
        let give_up = time::Instant::now() + PATIENCE;
        while time::Instant::now() < give_up {
            let leader = self.leader().await;
            if let Ok(answer) = self.nodes[leader].replica().propose(entry.to_vec()).await {
                return answer;
            }
        }
        panic!("no leader has taken the entry");
    }

    /// Waits until every running node has applied this many entries.
    pub async fn applied(&self, count: usize) {
        let done = |node: &Node| !node.runs() || node.machine.borrow().entries.len() >= count;
        until("all entries everywhere", || self.nodes.iter().all(done)).await;
    }

    /// Waits until every running node has applied the same entries, at least this many: one that
    /// was put again after a change of leader is there twice.
    pub async fn agreed(&self, count: usize) {
        self.applied(count).await;
        let entries = |node: &Node| node.machine.borrow().entries.clone();
        let agreed = || {
            let mut running = self.nodes.iter().filter(|node| node.runs()).map(entries);
            let first = running.next().expect("a running node");
            running.all(|other| other == first)
        };
        until("the same entries everywhere", agreed).await;
    }

    /// Ends everything.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.stop().await;
            node.server.take().expect("a listener").stop().await;
        }
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let give_up = time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(time::Instant::now() < give_up, "waited in vain for {what}");
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}
