//! A stand-in for a backend server, for tests and the demo.
//!
//! It keeps to the contract of `docs/BACKEND.md`, pretends to work, answers with what it was asked
//! and records what it really ran. Its [`options::Switches`] make it slow, wrong or dead.

use std::cell;
use std::rc;
use std::time;

use crate::net::http;

mod announcer;
pub mod options;
pub mod record;
mod server;
mod tasks;

/// How long a planned stop lets tasks run and wait for their answers to be taken.
const DRAIN: time::Duration = time::Duration::from_secs(60);

/// How often a stand-in without running tasks looks at the time.
const REST: time::Duration = time::Duration::from_secs(1);

/// A running stand-in.
pub struct Standin {
    addr: std::net::SocketAddr,
    shared: rc::Rc<server::Shared>,
    leaving: tokio::sync::watch::Sender<bool>,
    announcer: actix_rt::task::JoinHandle<()>,
    keeper: actix_rt::task::JoinHandle<()>,
}

impl Standin {
    /// Opens its port and announces itself to its agent.
    pub async fn start(options: options::Options) -> std::io::Result<Self> {
        let (dead, died) = tokio::sync::watch::channel(false);
        let (leaving, left) = tokio::sync::watch::channel(false);
        let shared = rc::Rc::new(server::Shared {
            tasks: cell::RefCell::new(tasks::Tasks::new(options.clone())),
            changed: tokio::sync::Notify::new(),
            dead,
        });
        let handler = rc::Rc::new(server::Handler(shared.clone()));
        let server = http::Server::bind(options.listen, http::Limits::default(), handler).await?;
        let addr = server.addr();
        let mut announcement = options.announcement;
        announcement.url = format!("http://{addr}");
        let announcer = announcer::Announcer {
            shared: shared.clone(),
            agent: options.agent,
            announcement,
            leaving: left,
        };
        Ok(Self {
            addr,
            leaving,
            announcer: actix_rt::spawn(announce(announcer, died.clone())),
            keeper: actix_rt::spawn(keep(shared.clone(), server, died)),
            shared,
        })
    }

    /// The address it listens on.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.addr
    }

    /// What it really ran, in the order of the starts.
    pub fn record(&self) -> Vec<record::Run> {
        self.shared.tasks.borrow().record()
    }

    /// How it behaves.
    pub fn switches(&self) -> options::Switches {
        self.shared.tasks.borrow().switches.clone()
    }

    /// Changes how it behaves.
    pub fn set(&self, switches: options::Switches) {
        self.shared.tasks.borrow_mut().switches = switches;
        self.shared.changed.notify_waiters();
    }

    /// Announces that it is leaving, or that it stays after all.
    pub fn leave(&self, leaving: bool) {
        self.leaving.send_replace(leaving);
    }

    /// Resolves once no task runs and its agent has taken every answer, or nobody comes for them.
    pub async fn drained(&self) {
        let empty = async {
            loop {
                let changed = self.shared.changed.notified();
                if self.shared.tasks.borrow().list().tasks.is_empty() {
                    return;
                }
                let _ = tokio::time::timeout(REST, changed).await;
            }
        };
        let _ = tokio::time::timeout(DRAIN, empty).await;
    }

    /// Dies: its connections and tasks are gone at once. The record stays readable.
    pub fn die(&self) {
        self.shared.dead.send_replace(true);
    }

    /// Stops and joins all it spawned. What still runs is cut off.
    pub async fn stop(self) {
        self.die();
        let _ = self.announcer.await;
        let _ = self.keeper.await;
    }
}

async fn announce(announcer: announcer::Announcer, mut died: tokio::sync::watch::Receiver<bool>) {
    tokio::select! {
        () = announcer.run() => {}
        _ = died.wait_for(|dead| *dead) => {}
    }
}

/// Ends tasks in their time until the stand-in dies, then closes its connections.
async fn keep(
    shared: rc::Rc<server::Shared>,
    server: http::Server,
    mut died: tokio::sync::watch::Receiver<bool>,
) {
    loop {
        let next = shared.tasks.borrow_mut().advance(time::Instant::now());
        // Questions that wait for an end look again.
        shared.changed.notify_waiters();
        let changed = shared.changed.notified();
        let next = next.unwrap_or_else(|| time::Instant::now() + REST);
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            () = changed => {}
            _ = died.wait_for(|dead| *dead) => break,
        }
    }
    shared.tasks.borrow_mut().end_all(record::End::Died);
    server.stop(time::Duration::ZERO).await;
}
