//! Redirection to control replicas by a host that has no disk, and so no replica.
//!
//! The seeds of a process may include hosts that serve operators but have no replica. A redirector
//! responds there as a follower does, with the replicas that it has discovered itself or that
//! members with this host among their seeds have sent. It never votes, stores nothing and admits no
//! replica.

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

/// Time without a message after which a stream is closed.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Identity that a redirector sends to replicas; no replica has this number.
const NO_REPLICA: disk::Identity = disk::Identity { replica: 0, store: 0 };

/// Known addresses of the replicas.
pub trait ReplicaDirectory {
    /// Returns the leader's address, if it is known.
    fn leader(&self) -> Option<String>;

    /// Returns the addresses of all known replicas.
    fn replicas(&self) -> Vec<String>;

    /// Adds the addresses of replicas that the replica at `from` has sent.
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

/// Responds on the port on which a replica would serve.
pub struct Redirector {
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
}

impl Redirector {
    /// Creates a redirector for one cell.
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
    let Some(gate::ClientMessage::Hello { version, cell: client_cell }) =
        receive(&mut receiver).await
    else {
        return;
    };
    if hello::is_compatible(from, version, client_cell, cell) {
        let reply = gate::ServerMessage::NotLeader(directory.leader(), directory.replicas());
        sender.send(&reply).await;
    }
}

async fn redirect_runner(
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
    incoming: stream::Incoming,
) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<runner::ClientMessage, runner::ServerMessage>();
    let hello = receive(&mut receiver).await;
    let Some(runner::ClientMessage::Hello { version, cell: client_cell, .. }) = hello else {
        return;
    };
    if hello::is_compatible(from, version, client_cell, cell) {
        let reply = runner::ServerMessage::NotLeader(directory.leader(), directory.replicas());
        sender.send(&reply).await;
    }
}

/// Sends the known members to a replica that asks to be admitted, which asks them next, and records
/// the members that a member sends.
async fn answer_replica(
    cell: u16,
    directory: rc::Rc<dyn ReplicaDirectory>,
    incoming: stream::Incoming,
) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<peer::ClientMessage, peer::ServerMessage>();
    while let Some(message) = receive(&mut receiver).await {
        let reply = match message {
            // A candidate's hello has no cell; the members check the group of its store.
            peer::ClientMessage::Hello(peer_hello)
                if hello::is_compatible(from, peer_hello.version, cell, cell) =>
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
        sender.send(&reply).await;
    }
}

/// Returns the next message, or none after [`IDLE_TIMEOUT`] or at the stream's end.
async fn receive<Message>(receiver: &mut stream::Receiver<Message>) -> Option<Message>
where
    Message: bincode::Decode<()>,
{
    tokio::time::timeout(IDLE_TIMEOUT, receiver.receive()).await.ok()?
}
