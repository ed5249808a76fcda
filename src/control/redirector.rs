//! A host without a disk tells whoever looks for control replicas where they are.
//!
//! Processes are told a few addresses at which to look; some may be those of hosts that serve
//! operators but hold no replica. A guide answers there as a replica that does not lead does, with
//! what it has learnt itself or from the members that name it as their seed. It never votes, stores
//! nothing and admits nobody.

use std::net;
use std::rc;

use futures_util::future;

use crate::control::hello;
use crate::gate as gate_link;
use crate::net::stream;
use crate::wire::codec;
use crate::wire::disk;
use crate::wire::gate;
use crate::wire::peer;
use crate::wire::runner;

/// How long a stream may be silent.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// What a guide says of itself to replicas: no replica has this number.
const NO_REPLICA: disk::Identity = disk::Identity { replica: 0, store: 0 };

/// Somebody who knows where the replicas are.
pub trait ReplicaDirectory {
    /// The leader's address, where it is known.
    fn leader(&self) -> Option<String>;

    /// The addresses of all replicas known.
    fn replicas(&self) -> Vec<String>;

    /// Takes note of the replicas that one of them has named.
    fn learn(&self, from: net::SocketAddr, replicas: &[String]);
}

impl ReplicaDirectory for gate_link::Link {
    fn leader(&self) -> Option<String> {
        self.replicas().0.map(|addr| addr.to_string())
    }

    fn replicas(&self) -> Vec<String> {
        self.replicas().1.iter().map(net::SocketAddr::to_string).collect()
    }

    fn learn(&self, from: net::SocketAddr, replicas: &[String]) {
        self.learn(from, replicas);
    }
}

/// Answers on the port on which a replica would serve.
pub struct Redirector {
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
}

impl Redirector {
    /// A guide for one cell.
    pub fn new(cell: u16, directory: rc::Rc<dyn ReplicaDirectory>) -> Self {
        Self { cell, directory }
    }
}

impl stream::Handler for Redirector {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        let (cell, directory) = (self.cell, self.directory.clone());
        match incoming.path.as_str() {
            "/gate" => Box::pin(redirect_gate(cell, directory, incoming)),
            "/runner" => Box::pin(redirect_runner(cell, directory, incoming)),
            "/peer" => Box::pin(answer_replica(cell, directory, incoming)),
            _ => Box::pin(future::ready(())),
        }
    }
}

async fn redirect_gate(
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
    incoming: stream::Incoming,
) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<gate::ClientMessage, gate::ServerMessage>();
    let Some(gate::ClientMessage::Hello { version, cell: named }) = next(&mut receiver).await
    else {
        return;
    };
    if hello::is_compatible(from, version, named, cell) {
        let answer = gate::ServerMessage::NotLeader(directory.leader(), directory.replicas());
        sender.send(&answer).await;
    }
}

async fn redirect_runner(
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
    incoming: stream::Incoming,
) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<runner::ClientMessage, runner::ServerMessage>();
    let hello = next(&mut receiver).await;
    let Some(runner::ClientMessage::Hello { version, cell: named, .. }) = hello else { return };
    if hello::is_compatible(from, version, named, cell) {
        let answer = runner::ServerMessage::NotLeader(directory.leader(), directory.replicas());
        sender.send(&answer).await;
    }
}

/// Names the members to a replica that asks to be admitted, which asks them next, and learns them
/// from one that is a member.
async fn answer_replica(
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
    incoming: stream::Incoming,
) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<peer::ClientMessage, peer::ServerMessage>();
    while let Some(message) = next(&mut receiver).await {
        let answer = match message {
            // A candidate names no cell: whom its store belongs to is for the members to say.
            peer::ClientMessage::Hello(said)
                if hello::is_compatible(from, said.version, cell, cell) =>
            {
                let version = codec::PROTOCOL_VERSION;
                peer::ServerMessage::Hello(peer::Hello { version, id: NO_REPLICA, group: None })
            }
            peer::ClientMessage::RequestAdmission(_) => {
                peer::ServerMessage::Members(directory.replicas())
            }
            peer::ClientMessage::Members(replicas) => {
                directory.learn(from, &replicas);
                peer::ServerMessage::Members(directory.replicas())
            }
            _ => return,
        };
        sender.send(&answer).await;
    }
}

/// The next message, unless the other side is silent for too long.
async fn next<Up>(receiver: &mut stream::Receiver<Up>) -> Option<Up>
where
    Up: bincode::Decode<()>,
{
    tokio::time::timeout(IDLE_TIMEOUT, receiver.receive()).await.ok()?
}
