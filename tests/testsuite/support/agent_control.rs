//! A fake leading control replica that welcomes agents, registers workers, grants leases and
//! records the agents' messages.

use std::cell;
use std::net;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::lease;
use hemlockcleat::net::stream;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;

/// How long a test waits for a message.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

pub struct Inner {
    sender: Option<stream::Sender<agent::ServerMessage>>,
    /// All received messages, oldest first.
    pub received: Vec<agent::ClientMessage>,
    /// The epoch of new registrations.
    pub epoch: u64,
    /// Whether heartbeats are answered with a lease.
    pub grants_leases: bool,
    /// Whether ends are confirmed as stored.
    pub stores_ends: bool,
    /// The address that new sessions are redirected to.
    pub redirect: Option<String>,
    /// The number of opened sessions.
    pub sessions: usize,
}

pub struct Control {
    server: stream::Server,
    shared: Shared,
}

#[derive(Clone)]
struct Shared(rc::Rc<(cell::RefCell<Inner>, tokio::sync::Notify)>);

impl stream::Handler for Shared {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(self.clone().serve(incoming))
    }
}

impl Shared {
    async fn serve(self, incoming: stream::Incoming) {
        let (sender, mut receiver) = incoming.split::<agent::ClientMessage, agent::ServerMessage>();
        let Some(agent::ClientMessage::Hello { .. }) = receiver.receive().await else { return };
        let leader = self.0.0.borrow().redirect.clone();
        if leader.is_some() {
            sender.send(&agent::ServerMessage::NotLeader { leader }).await;
            return;
        }
        sender.send(&agent::ServerMessage::Welcome { replica: 1 }).await;
        self.0.0.borrow_mut().sender = Some(sender.clone());
        self.0.0.borrow_mut().sessions += 1;
        while let Some(message) = receiver.receive().await {
            if let Some(reply) = self.reply(&message) {
                sender.send(&reply).await;
            }
            self.0.0.borrow_mut().received.push(message);
            self.0.1.notify_waiters();
        }
    }

    fn reply(&self, message: &agent::ClientMessage) -> Option<agent::ServerMessage> {
        let inner = self.0.0.borrow();
        match message {
            agent::ClientMessage::Announce { .. } => {
                Some(agent::ServerMessage::Registered { worker: 1, epoch: inner.epoch })
            }
            agent::ClientMessage::Heartbeat { sequence, epoch, .. } if inner.grants_leases => {
                Some(agent::ServerMessage::Lease {
                    sequence: *sequence,
                    epoch: *epoch,
                    duration: lease::DURATION.0,
                })
            }
            agent::ClientMessage::Ended { attempt, .. } if inner.stores_ends => {
                Some(agent::ServerMessage::EndStored { attempt: attempt.clone() })
            }
            _ => None,
        }
    }
}

impl Control {
    pub async fn start() -> Self {
        let inner = Inner {
            sender: None,
            received: Vec::new(),
            epoch: 1,
            grants_leases: true,
            stores_ends: false,
            redirect: None,
            sessions: 0,
        };
        let shared = Shared(rc::Rc::new((cell::RefCell::new(inner), tokio::sync::Notify::new())));
        let addr = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let server = stream::Server::bind(addr, 8, rc::Rc::new(shared.clone())).await;
        Self { server: server.expect("a port"), shared }
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    pub fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.shared.0.0.borrow_mut())
    }

    /// Sends a message on the current session.
    pub async fn send(&self, message: agent::ServerMessage) {
        let sender = self.with(|inner| inner.sender.clone()).expect("a session");
        sender.send(&message).await;
    }

    /// Waits for a message that matches, among those already received and new ones.
    pub async fn wait<T>(
        &self,
        expected: &str,
        matches: impl Fn(&agent::ClientMessage) -> Option<T>,
    ) -> T {
        let found = async {
            loop {
                let changed = self.shared.0.1.notified();
                if let Some(found) =
                    self.with(|inner| inner.received.iter().rev().find_map(&matches))
                {
                    return found;
                }
                changed.await;
            }
        };
        let found = tokio::time::timeout(WAIT_TIMEOUT, found).await;
        found.unwrap_or_else(|_| panic!("never received: {expected}"))
    }

    /// Waits until the lease is held: the second heartbeat follows the grant of the first.
    pub async fn leased(&self) {
        let second = |message: &agent::ClientMessage| match message {
            agent::ClientMessage::Heartbeat { sequence, .. } if *sequence >= 2 => Some(()),
            _ => None,
        };
        self.wait("a second heartbeat", second).await;
    }

    /// Waits for the answer to a preparation; true if it was accepted.
    pub async fn prepared(&self, wanted: &common::AttemptKey) -> bool {
        let prepared = |message: &agent::ClientMessage| match message {
            agent::ClientMessage::Prepared { attempt, ok, .. } if attempt == wanted => Some(*ok),
            _ => None,
        };
        self.wait("an answer to the preparation", prepared).await
    }

    pub async fn started(&self, wanted: &common::AttemptKey) {
        let started = |message: &agent::ClientMessage| match message {
            agent::ClientMessage::Started { attempt } if attempt == wanted => Some(()),
            _ => None,
        };
        self.wait("started", started).await;
    }

    /// Waits for the result of an attempt.
    pub async fn ended(&self, wanted: &common::AttemptKey) -> agent::TaskResult {
        let ended = |message: &agent::ClientMessage| match message {
            agent::ClientMessage::Ended { attempt, result } if attempt == wanted => {
                Some(result.clone())
            }
            _ => None,
        };
        self.wait("ended", ended).await
    }

    /// Waits until the worker is announced with this value of `leaving`.
    pub async fn announced(&self, wanted: bool) {
        let announced = |message: &agent::ClientMessage| match message {
            agent::ClientMessage::Announce { leaving, .. } if *leaving == wanted => Some(()),
            _ => None,
        };
        self.wait("announced", announced).await;
    }

    pub async fn stop(self) {
        self.server.stop().await;
    }
}
