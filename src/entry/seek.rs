//! Finding the leading control replica.

use std::net;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use crate::net::stream;
use crate::wire::codec;
use crate::wire::common;
use crate::wire::entry as wire;

/// How long a replica may take to prove that it leads.
const PROOF_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What an entry says of itself when it opens a stream.
#[derive(Clone, Copy, Debug)]
pub struct Hello {
    /// The cell it serves.
    pub cell: u16,
    /// The random identity of this process.
    pub entry: u64,
    /// The revision of the configuration it holds.
    pub revision: u64,
}

/// The number of the call that proves a leader; a session's own calls start above it.
const PROOF: u64 = 0;

/// An open stream to a replica that has answered a call as only a leader does.
pub struct Found {
    /// The replica's address.
    pub addr: net::SocketAddr,
    /// The sending half.
    pub sender: stream::Sender<wire::ClientMessage>,
    /// The receiving half.
    pub receiver: stream::Receiver<wire::ServerMessage>,
    /// The connection; dropping it closes it.
    pub connection: stream::Connection,
    /// The configuration it holds.
    pub config: common::Config,
}

enum Dialled {
    Leads(Box<Found>),
    Hint(Option<String>),
    Failed,
}

/// Dials all replicas at once, and those that they name as leader, and returns the first that
/// proves to lead. None if no replica does.
pub async fn find(replicas: &[net::SocketAddr], hello: Hello) -> Option<Found> {
    let mut tried = replicas.to_vec();
    let mut dials: FuturesUnordered<_> = replicas.iter().map(|addr| dial(*addr, hello)).collect();
    while let Some(dialled) = dials.next().await {
        match dialled {
            Dialled::Leads(found) => return Some(*found),
            Dialled::Hint(Some(leader)) => {
                let Ok(addr) = leader.parse() else { continue };
                if !tried.contains(&addr) {
                    tried.push(addr);
                    dials.push(dial(addr, hello));
                }
            }
            Dialled::Hint(None) | Dialled::Failed => {}
        }
    }
    None
}

async fn dial(addr: net::SocketAddr, hello: Hello) -> Dialled {
    match tokio::time::timeout(PROOF_TIMEOUT, greet(addr, hello)).await {
        Ok(dialled) => dialled,
        Err(_) => Dialled::Failed,
    }
}

async fn greet(addr: net::SocketAddr, hello: Hello) -> Dialled {
    let Ok((sender, mut receiver, connection)) = stream::connect(addr, "/entry").await else {
        return Dialled::Failed;
    };
    let message = wire::ClientMessage::Hello {
        version: codec::PROTOCOL_VERSION,
        cell: hello.cell,
        entry: hello.entry,
        revision: hello.revision,
    };
    if !sender.send(&message).await {
        return Dialled::Failed;
    }
    let trace = common::TraceContext::default();
    let proof = wire::ClientMessage::Call { id: PROOF, trace, body: wire::Call::Config };
    if !sender.send(&proof).await {
        return Dialled::Failed;
    }
    loop {
        match receiver.receive().await {
            Some(wire::ServerMessage::Welcome { .. } | wire::ServerMessage::Config(_)) => {}
            Some(wire::ServerMessage::NotLeader { leader }) => return Dialled::Hint(leader),
            Some(wire::ServerMessage::Reply { id: PROOF, body: wire::Reply::Config(config) }) => {
                let found = Found { addr, sender, receiver, connection, config };
                return Dialled::Leads(Box::new(found));
            }
            Some(_) | None => return Dialled::Failed,
        }
    }
}
