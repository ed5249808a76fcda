//! Search for the leading control replica.

use std::net;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use crate::net::stream;
use crate::wire::codec;
use crate::wire::common;
use crate::wire::entry as wire;

/// How long a replica may take to confirm that it is the leader.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The parameters of the first message on a stream.
#[derive(Clone, Copy, Debug)]
pub struct Hello {
    /// The cell that the entry serves.
    pub cell: u16,
    /// The random identity of the entry process.
    pub entry: u64,
    /// The configuration revision that the entry has.
    pub revision: u64,
}

/// The identifier of the call that confirms a leader; a session's calls have higher ones.
const PROBE_ID: u64 = 0;

/// An open stream to a replica that has replied to a call that only a leader replies to.
pub struct LeaderStream {
    /// The address of the replica.
    pub addr: net::SocketAddr,
    /// The sending half of the stream.
    pub sender: stream::Sender<wire::ClientMessage>,
    /// The receiving half of the stream.
    pub receiver: stream::Receiver<wire::ServerMessage>,
    /// The connection, which closes when dropped.
    pub connection: stream::Connection,
    /// The configuration that the replica replied with.
    pub config: common::Config,
}

enum DialOutcome {
    Leader(Box<LeaderStream>),
    Redirect(Option<String>),
    Failed,
}

/// Dials all replicas concurrently, and the replicas that they name as leader. Returns a stream to
/// the first that is confirmed as leader, or `None` if no replica is.
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
