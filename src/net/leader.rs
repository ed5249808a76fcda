//! Finding the leading control replica and opening a session with it.
//!
//! Any replica that answers names the others, so that a few seeds are enough to begin with.

use std::cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use crate::net::known;
use crate::net::seeds;
use crate::net::stream;
use crate::telemetry::event;

/// How long a replica may take to say whether it leads.
const GREETING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// What a replica's first message says.
pub enum Greeting {
    /// It leads; these are all replicas.
    Leads(Vec<String>),
    /// It does not; the leader, where known, and all replicas.
    Follows(Option<String>, Vec<String>),
    /// It says something else.
    Other,
}

/// The messages of a session with a leader.
pub trait Greet {
    /// What the first message of a replica says.
    fn greeting(&self) -> Greeting;
}

/// An open session with a replica that leads.
pub struct Found<Up, Down> {
    /// Its address.
    pub addr: net::SocketAddr,
    /// The first message.
    pub greeting: Down,
    /// The sending half.
    pub sender: stream::Sender<Up>,
    /// The receiving half.
    pub receiver: stream::Receiver<Down>,
    /// The connection; dropping it closes it.
    pub connection: stream::Connection,
}

/// Where to look for the leader.
pub struct Finder {
    seeds: seeds::Seeds,
    learnt: cell::RefCell<known::Known>,
    /// What the last search has come to, unless it found a leader.
    complaint: cell::RefCell<String>,
}

/// What came of asking at one address.
enum Dialled<Up, Down> {
    Leads(Box<Found<Up, Down>>),
    /// It names a leader or none, and so many replicas.
    Follows(Option<String>, usize),
    Failed,
}

impl<Up, Down> fmt::Display for Dialled<Up, Down> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leads(_) => f.write_str("leads"),
            Self::Follows(Some(leader), count) => write!(f, "names {leader} of {count}"),
            Self::Follows(None, count) => write!(f, "names none of {count}"),
            Self::Failed => f.write_str("unanswered"),
        }
    }
}

impl Finder {
    /// Starts from the seeds.
    pub fn new(seeds: impl Into<seeds::Seeds>) -> Self {
        Self {
            seeds: seeds.into(),
            learnt: cell::RefCell::default(),
            complaint: cell::RefCell::default(),
        }
    }

    /// The addresses of all replicas known.
    pub fn known(&self) -> Vec<net::SocketAddr> {
        let mut known = self.learnt();
        for seed in self.seeds.addrs() {
            if !known.contains(&seed) {
                known.push(seed);
            }
        }
        known
    }

    /// The addresses of the replicas that others have named.
    pub fn learnt(&self) -> Vec<net::SocketAddr> {
        self.learnt.borrow().addrs().to_vec()
    }

    /// Takes note of the replicas that one of them, or somebody who looks for them, has named.
    pub fn learn(&self, from: net::SocketAddr, replicas: &[String]) {
        let mut known = self.learnt.borrow().clone();
        known.add(replicas);
        self.keep(from, known);
    }

    fn keep(&self, from: net::SocketAddr, known: known::Known) {
        if *self.learnt.borrow() != known {
            let addrs = known.addrs();
            event::general::REPLICAS_LEARNT.log(format_args!("from={from} replicas={addrs:?}"));
            self.learnt.replace(known);
        }
    }

    /// Logs why no leader was found, unless the search before came to the same.
    fn complain(&self, heard: &BTreeMap<net::SocketAddr, String>) {
        let said: Vec<_> = heard.iter().map(|(addr, what)| format!("{addr} {what}")).collect();
        let said = said.join(", ");
        if *self.complaint.borrow() != said {
            event::general::NO_LEADER.log(format_args!("asked=[{said}]"));
            self.complaint.replace(said);
        }
    }

    /// Dials all known replicas at once, and those that they name as soon as they do, and returns the
    /// first that says it leads. None if no replica does.
    pub async fn find<Up, Down>(&self, path: &str, hello: &Up) -> Option<Found<Up, Down>>
    where
        Up: bincode::Encode,
        Down: bincode::Decode<()> + Greet,
    {
        let mut dials = FuturesUnordered::new();
        let mut heard = BTreeMap::new();
        let mut asked = Vec::new();
        let mut named = None;
        loop {
            // Somebody else may be long in answering, or never answer.
            for addr in self.known().into_iter().chain(named.take()) {
                if !asked.contains(&addr) {
                    asked.push(addr);
                    dials.push(self.dial(addr, path, hello));
                }
            }
            let Some((addr, dialled)) = dials.next().await else { break };
            heard.insert(addr, dialled.to_string());
            match dialled {
                Dialled::Leads(found) => {
                    self.complaint.take();
                    return Some(*found);
                }
                Dialled::Follows(leader, _) => named = leader.and_then(|addr| addr.parse().ok()),
                Dialled::Failed => {}
            }
        }
        self.complain(&heard);
        None
    }

    async fn dial<Up, Down>(
        &self,
        addr: net::SocketAddr,
        path: &str,
        hello: &Up,
    ) -> (net::SocketAddr, Dialled<Up, Down>)
    where
        Up: bincode::Encode,
        Down: bincode::Decode<()> + Greet,
    {
        let greeted = greet::<Up, Down>(addr, path, hello);
        let greeted = tokio::time::timeout(GREETING_TIMEOUT, greeted).await;
        let Ok(Some(found)) = greeted else { return (addr, Dialled::Failed) };
        let dialled = match found.greeting.greeting() {
            Greeting::Leads(replicas) => {
                // Only a leader knows that there are no others.
                let mut known = self.learnt.borrow().clone();
                known.replace(&replicas);
                self.keep(addr, known);
                Dialled::Leads(Box::new(found))
            }
            Greeting::Follows(leader, replicas) => {
                self.learn(addr, &replicas);
                Dialled::Follows(leader, replicas.len())
            }
            Greeting::Other => Dialled::Failed,
        };
        (addr, dialled)
    }
}

async fn greet<Up, Down>(addr: net::SocketAddr, path: &str, hello: &Up) -> Option<Found<Up, Down>>
where
    Up: bincode::Encode,
    Down: bincode::Decode<()>,
{
    let (sender, mut receiver, connection) = stream::connect(addr, path).await.ok()?;
    if !sender.send(hello).await {
        return None;
    }
    let greeting = receiver.receive().await?;
    Some(Found { addr, greeting, sender, receiver, connection })
}
