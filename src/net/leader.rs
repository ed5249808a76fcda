//! Finds the leading control replica and opens a session with it.
//!
//! Each replica that responds reports the others, so a few seeds suffice at the start.

use std::cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use crate::net::known_addrs;
use crate::net::seeds;
use crate::net::stream;
use crate::telemetry::event;

/// Time that a replica may take to connect and report whether it leads.
const GREETING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// The content of a replica's first message.
pub enum Greeting {
    /// The replica leads; the addresses of all replicas.
    Leads(Vec<String>),
    /// The replica does not lead; the leader's address, if known, and those of all replicas.
    Follows(Option<String>, Vec<String>),
    /// Any other message.
    Other,
}

/// Messages that replicas send in a session.
pub trait Greet {
    /// The content of the message, taken as a replica's first.
    fn greeting(&self) -> Greeting;
}

/// An open session with the leading replica.
pub struct Session<ClientMessage, ServerMessage> {
    /// The replica's address.
    pub addr: net::SocketAddr,
    /// The replica's first message.
    pub greeting: ServerMessage,
    /// The sending half.
    pub sender: stream::Sender<ClientMessage>,
    /// The receiving half.
    pub receiver: stream::Receiver<ServerMessage>,
    /// The connection; dropping it closes it.
    pub connection: stream::Connection,
}

/// Searches for the leader among known replicas.
pub struct Finder {
    seeds: seeds::Seeds,
    learnt: cell::RefCell<known_addrs::KnownAddrs>,
    /// The responses to the last search; empty if it found a leader.
    last_failure: cell::RefCell<String>,
}

/// The result of dialling one address.
enum DialResult<ClientMessage, ServerMessage> {
    Leads(Box<Session<ClientMessage, ServerMessage>>),
    /// The leader that the replica reports, if any, and how many replicas it reports.
    Follows(Option<String>, usize),
    Failed,
}

impl<ClientMessage, ServerMessage> fmt::Display for DialResult<ClientMessage, ServerMessage> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leads(_) => f.write_str("leads"),
            Self::Follows(Some(leader), count) => {
                write!(f, "knows leader {leader} and {count} replicas")
            }
            Self::Follows(None, count) => write!(f, "knows no leader and {count} replicas"),
            Self::Failed => f.write_str("unanswered"),
        }
    }
}

impl Finder {
    /// Creates a finder that knows the seeds only.
    pub fn new(seeds: impl Into<seeds::Seeds>) -> Self {
        Self {
            seeds: seeds.into(),
            learnt: cell::RefCell::default(),
            last_failure: cell::RefCell::default(),
        }
    }

    /// The addresses of all known replicas, the seeds last.
    pub fn known(&self) -> Vec<net::SocketAddr> {
        let mut known = self.learnt();
        for seed in self.seeds.addrs() {
            if !known.contains(&seed) {
                known.push(seed);
            }
        }
        known
    }

    /// The addresses that other processes have reported.
    pub fn learnt(&self) -> Vec<net::SocketAddr> {
        self.learnt.borrow().addrs().to_vec()
    }

    /// Adds the replicas that the process at `from`, a replica or another client, has reported.
    pub fn learn(&self, from: net::SocketAddr, replicas: &[String]) {
        let mut known = self.learnt.borrow().clone();
        known.add(replicas);
        self.set_learnt(from, known);
    }

    fn set_learnt(&self, from: net::SocketAddr, known: known_addrs::KnownAddrs) {
        if *self.learnt.borrow() != known {
            let addrs = known.addrs();
            event::general::REPLICAS_REPORTED.log(format_args!("from={from} replicas={addrs:?}"));
            self.learnt.replace(known);
        }
    }

    /// Logs why no leader was found, unless the previous search failed in the same way.
    fn log_failure(&self, responses: &BTreeMap<net::SocketAddr, String>) {
        let summary: Vec<_> =
            responses.iter().map(|(addr, result)| format!("{addr} {result}")).collect();
        let summary = summary.join(", ");
        if *self.last_failure.borrow() != summary {
            event::general::NO_LEADER.log(format_args!("asked=[{summary}]"));
            self.last_failure.replace(summary);
        }
    }

    /// Dials all known replicas concurrently, also those that they report, and returns a session with
    /// the first that leads, or none if no replica does.
    pub async fn find<ClientMessage, ServerMessage>(
        &self,
        path: &str,
        hello: &ClientMessage,
    ) -> Option<Session<ClientMessage, ServerMessage>>
    where
        ClientMessage: bincode::Encode,
        ServerMessage: bincode::Decode<()> + Greet,
    {
        let mut dials = FuturesUnordered::new();
        let mut responses = BTreeMap::new();
        let mut dialled = Vec::new();
        let mut reported = None;
        loop {
            // New addresses are dialled at once: other replicas may respond late or never.
            for addr in self.known().into_iter().chain(reported.take()) {
                if !dialled.contains(&addr) {
                    dialled.push(addr);
                    dials.push(self.dial(addr, path, hello));
                }
            }
            let Some((addr, result)) = dials.next().await else { break };
            responses.insert(addr, result.to_string());
            match result {
                DialResult::Leads(session) => {
                    self.last_failure.take();
                    return Some(*session);
                }
                DialResult::Follows(leader, _) => {
                    reported = leader.and_then(|addr| addr.parse().ok())
                }
                DialResult::Failed => {}
            }
        }
        self.log_failure(&responses);
        None
    }

    async fn dial<ClientMessage, ServerMessage>(
        &self,
        addr: net::SocketAddr,
        path: &str,
        hello: &ClientMessage,
    ) -> (net::SocketAddr, DialResult<ClientMessage, ServerMessage>)
    where
        ClientMessage: bincode::Encode,
        ServerMessage: bincode::Decode<()> + Greet,
    {
        let session = greet::<ClientMessage, ServerMessage>(addr, path, hello);
        let session = tokio::time::timeout(GREETING_TIMEOUT, session).await;
        let Ok(Some(session)) = session else { return (addr, DialResult::Failed) };
        let result = match session.greeting.greeting() {
            Greeting::Leads(replicas) => {
                // The leader's list is complete, so it replaces the earlier addresses.
                let mut known = self.learnt.borrow().clone();
                known.replace(&replicas);
                self.set_learnt(addr, known);
                DialResult::Leads(Box::new(session))
            }
            Greeting::Follows(leader, replicas) => {
                self.learn(addr, &replicas);
                DialResult::Follows(leader, replicas.len())
            }
            Greeting::Other => DialResult::Failed,
        };
        (addr, result)
    }
}

async fn greet<ClientMessage, ServerMessage>(
    addr: net::SocketAddr,
    path: &str,
    hello: &ClientMessage,
) -> Option<Session<ClientMessage, ServerMessage>>
where
    ClientMessage: bincode::Encode,
    ServerMessage: bincode::Decode<()>,
{
    let (sender, mut receiver, connection) = stream::connect(addr, path).await.ok()?;
    if !sender.send(hello).await {
        return None;
    }
    let greeting = receiver.receive().await?;
    Some(Session { addr, greeting, sender, receiver, connection })
}
