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
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

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
const PROBE_ID: u64 = 0;

/// An open stream to a replica that has answered a call as only a leader does.
pub struct LeaderStream {
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

enum DialOutcome {
    Leader(Box<LeaderStream>),
    Redirect(Option<String>),
    Failed,
}

/// Dials all replicas at once, and those that they name as leader, and returns the first that
/// proves to lead. None if no replica does.
pub async fn find(replicas: &[net::SocketAddr], hello: Hello) -> Option<LeaderStream> {
    let mut dialled = replicas.to_vec();
    let mut dials: FuturesUnordered<_> = replicas.iter().map(|addr| dial(*addr, hello)).collect();
    while let Some(outcome) = dials.next().await {
        match outcome {
            DialOutcome::Leader(leader) => return Some(*leader),
            DialOutcome::Redirect(Some(leader)) => {
                let Ok(addr) = leader.parse() else { continue };
                if !dialled.contains(&addr) {
                    dialled.push(addr);
                    dials.push(dial(addr, hello));
                }
            }
            DialOutcome::Redirect(None) | DialOutcome::Failed => {}
        }
    }
    None
}

async fn dial(addr: net::SocketAddr, hello: Hello) -> DialOutcome {
    match tokio::time::timeout(PROBE_TIMEOUT, handshake(addr, hello)).await {
        Ok(outcome) => outcome,
        Err(_) => DialOutcome::Failed,
    }
}

async fn handshake(addr: net::SocketAddr, hello: Hello) -> DialOutcome {
    let Ok((sender, mut receiver, connection)) = stream::connect(addr, "/entry").await else {
        return DialOutcome::Failed;
    };
    let message = wire::ClientMessage::Hello {
        version: codec::PROTOCOL_VERSION,
        cell: hello.cell,
        entry: hello.entry,
        revision: hello.revision,
    };
    if !sender.send(&message).await {
        return DialOutcome::Failed;
    }
    let trace = common::TraceContext::default();
    let probe = wire::ClientMessage::Call { id: PROBE_ID, trace, body: wire::Call::Config };
    if !sender.send(&probe).await {
        return DialOutcome::Failed;
    }
    loop {
        match receiver.receive().await {
            Some(wire::ServerMessage::Welcome { .. } | wire::ServerMessage::Config(_)) => {}
            Some(wire::ServerMessage::NotLeader { leader }) => {
                return DialOutcome::Redirect(leader);
            }
            Some(wire::ServerMessage::Reply {
                id: PROBE_ID,
                body: wire::Reply::Config(config),
            }) => {
                let leader = LeaderStream { addr, sender, receiver, connection, config };
                return DialOutcome::Leader(Box::new(leader));
            }
            Some(_) | None => return DialOutcome::Failed,
        }
    }
}
