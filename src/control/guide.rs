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
const SILENCE: std::time::Duration = std::time::Duration::from_secs(10);

/// What a guide says of itself to replicas: no replica has this number.
const NOBODY: disk::Identity = disk::Identity { replica: 0, store: 0 };

/// Somebody who knows where the replicas are.
pub trait Directions {
    /// The leader's address, where it is known.
    fn leader(&self) -> Option<String>;

    /// The addresses of all replicas known.
    fn replicas(&self) -> Vec<String>;

    /// Takes note of the replicas that one of them has named.
    fn learn(&self, from: net::SocketAddr, replicas: &[String]);
}

impl Directions for gate_link::Link {
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
pub struct Guide {
    cell: u16,
    directions: rc::Rc<dyn Directions>,
}

impl Guide {
    /// A guide for one cell.
    pub fn new(cell: u16, directions: rc::Rc<dyn Directions>) -> Self {
        Self { cell, directions }
    }
}

impl stream::Handler for Guide {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        let (cell, directions) = (self.cell, self.directions.clone());
        match incoming.path.as_str() {
            "/gate" => Box::pin(send_gate_on(cell, directions, incoming)),
            "/runner" => Box::pin(send_runner_on(cell, directions, incoming)),
            "/peer" => Box::pin(meet_replica(cell, directions, incoming)),
            _ => Box::pin(future::ready(())),
        }
    }
}

async fn send_gate_on(cell: u16, directions: rc::Rc<dyn Directions>, incoming: stream::Incoming) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<gate::ClientMessage, gate::ServerMessage>();
    let Some(gate::ClientMessage::Hello { version, cell: named }) = next(&mut receiver).await
    else {
        return;
    };
    if hello::is_ours(from, version, named, cell) {
        let answer = gate::ServerMessage::NotLeader(directions.leader(), directions.replicas());
        sender.send(&answer).await;
    }
}

async fn send_runner_on(cell: u16, directions: rc::Rc<dyn Directions>, incoming: stream::Incoming) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<runner::ClientMessage, runner::ServerMessage>();
    let hello = next(&mut receiver).await;
    let Some(runner::ClientMessage::Hello { version, cell: named, .. }) = hello else { return };
    if hello::is_ours(from, version, named, cell) {
        let answer = runner::ServerMessage::NotLeader(directions.leader(), directions.replicas());
        sender.send(&answer).await;
    }
}

/// Names the members to a replica that asks to be admitted, which asks them next, and learns them
/// from one that is a member.
async fn meet_replica(cell: u16, directions: rc::Rc<dyn Directions>, incoming: stream::Incoming) {
    let from = incoming.peer;
    let (sender, mut receiver) = incoming.split::<peer::ClientMessage, peer::ServerMessage>();
    while let Some(message) = next(&mut receiver).await {
        let answer = match message {
            // A candidate names no cell: whom its store belongs to is for the members to say.
            peer::ClientMessage::Hello(said) if hello::is_ours(from, said.version, cell, cell) => {
                let version = codec::PROTOCOL_VERSION;
                peer::ServerMessage::Hello(peer::Hello { version, id: NOBODY, group: None })
            }
            peer::ClientMessage::RequestAdmission(_) => {
                peer::ServerMessage::Members(directions.replicas())
            }
            peer::ClientMessage::Members(replicas) => {
                directions.learn(from, &replicas);
                peer::ServerMessage::Members(directions.replicas())
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
    tokio::time::timeout(SILENCE, receiver.receive()).await.ok()?
}
