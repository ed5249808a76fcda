//! A fake leading control replica: welcomes, registers and grants, and records what agents say.

use std::cell;
use std::net;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::lease;
use hemlockcleat::net::stream;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;

/// How long a test waits for something to be said.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

pub struct Inner {
    sender: Option<stream::Sender<agent::Down>>,
    /// All that was said, oldest first.
    pub said: Vec<agent::Up>,
    /// The epoch that registrations give.
    pub epoch: u64,
    /// Whether heartbeats are answered with a lease.
    pub grants: bool,
    /// Whether ends are answered with leave to forget the attempt.
    pub forgets: bool,
    /// Where a new session is sent on to.
    pub redirect: Option<String>,
    /// Sessions that were opened.
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
        let (sender, mut receiver) = incoming.split::<agent::Up, agent::Down>();
        let Some(agent::Up::Hello { .. }) = receiver.receive().await else { return };
        let leader = self.0.0.borrow().redirect.clone();
        if leader.is_some() {
            sender.send(&agent::Down::NotLeader { leader }).await;
            return;
        }
        sender.send(&agent::Down::Welcome { replica: 1 }).await;
        self.0.0.borrow_mut().sender = Some(sender.clone());
        self.0.0.borrow_mut().sessions += 1;
        while let Some(message) = receiver.receive().await {
            if let Some(reply) = self.reply(&message) {
                sender.send(&reply).await;
            }
            self.0.0.borrow_mut().said.push(message);
            self.0.1.notify_waiters();
        }
    }

    fn reply(&self, message: &agent::Up) -> Option<agent::Down> {
        let inner = self.0.0.borrow();
        match message {
            agent::Up::Announce { .. } => {
                Some(agent::Down::Registered { worker: 1, epoch: inner.epoch })
            }
            agent::Up::Heartbeat { sequence, epoch, .. } if inner.grants => {
                Some(agent::Down::Lease {
                    sequence: *sequence,
                    epoch: *epoch,
                    length: lease::LENGTH.0,
                })
            }
            agent::Up::Ended { attempt, .. } if inner.forgets => {
                Some(agent::Down::Forget { attempt: attempt.clone() })
            }
            _ => None,
        }
    }
}

impl Control {
    pub async fn start() -> Self {
        let inner = Inner {
            sender: None,
            said: Vec::new(),
            epoch: 1,
            grants: true,
            forgets: false,
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

    /// Sends a message on the present session.
    pub async fn send(&self, message: agent::Down) {
        let sender = self.with(|inner| inner.sender.clone()).expect("a session");
        sender.send(&message).await;
    }

    /// Waits until something that was said, now or before, fits.
    pub async fn wait<T>(&self, what: &str, fits: impl Fn(&agent::Up) -> Option<T>) -> T {
        let found = async {
            loop {
                let changed = self.shared.0.1.notified();
                if let Some(found) = self.with(|inner| inner.said.iter().rev().find_map(&fits)) {
                    return found;
                }
                changed.await;
            }
        };
        let found = tokio::time::timeout(PATIENCE, found).await;
        found.unwrap_or_else(|_| panic!("never said: {what}"))
    }

    /// Waits until the lease is held: the second heartbeat follows the grant of the first.
    pub async fn leased(&self) {
        let second = |up: &agent::Up| match up {
            agent::Up::Heartbeat { sequence, .. } if *sequence >= 2 => Some(()),
            _ => None,
        };
        self.wait("a second heartbeat", second).await;
    }

    /// The answer to a preparation.
    pub async fn prepared(&self, wanted: &common::Attempt) -> bool {
        let prepared = |up: &agent::Up| match up {
            agent::Up::Prepared { attempt, ok, .. } if attempt == wanted => Some(*ok),
            _ => None,
        };
        self.wait("an answer to the preparation", prepared).await
    }

    pub async fn started(&self, wanted: &common::Attempt) {
        let started = |up: &agent::Up| match up {
            agent::Up::Started { attempt } if attempt == wanted => Some(()),
            _ => None,
        };
        self.wait("started", started).await;
    }

    /// How an attempt ended.
    pub async fn ended(&self, wanted: &common::Attempt) -> agent::TaskResult {
        let ended = |up: &agent::Up| match up {
            agent::Up::Ended { attempt, result } if attempt == wanted => Some(result.clone()),
            _ => None,
        };
        self.wait("ended", ended).await
    }

    /// Waits until the worker was announced as leaving, or as staying.
    pub async fn announced(&self, wanted: bool) {
        let announced = |up: &agent::Up| match up {
            agent::Up::Announce { leaving, .. } if *leaving == wanted => Some(()),
            _ => None,
        };
        self.wait("announced", announced).await;
    }

    pub async fn stop(self) {
        self.server.stop().await;
    }
}
