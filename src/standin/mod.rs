//! Stand-in for a backend server, for tests and the demo.
//!
//! It implements the contract of `docs/BACKEND.md`, simulates work, echoes the request as the
//! answer and records the runs of its tasks. Its [`options::Switches`] inject delays, faults and a
//! crash.

use std::cell;
use std::rc;
use std::time;

use crate::net::http;

mod announcer;
pub mod options;
pub mod record;
mod server;
mod tasks;

/// Limit of the time that a planned stop waits for tasks to end and their answers to be fetched.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Interval at which a stand-in without running tasks checks its state.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A running stand-in.
pub struct Standin {
    addr: std::net::SocketAddr,
    shared: rc::Rc<server::Shared>,
    leaving: tokio::sync::watch::Sender<bool>,
    announcer: actix_rt::task::JoinHandle<()>,
    executor: actix_rt::task::JoinHandle<()>,
}

impl Standin {
    /// Starts listening, and announcing the stand-in to its agent.
    pub async fn start(options: options::Options) -> std::io::Result<Self> {
        let (dead, died) = tokio::sync::watch::channel(false);
        let (leaving, leaving_changes) = tokio::sync::watch::channel(false);
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
            leaving: leaving_changes,
        };
        Ok(Self {
            addr,
            leaving,
            announcer: actix_rt::spawn(announce(announcer, died.clone())),
            executor: actix_rt::spawn(execute(shared.clone(), server, died)),
            shared,
        })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.addr
    }

    /// Record of the runs of its tasks, in the order of their starts.
    pub fn record(&self) -> Vec<record::Run> {
        self.shared.tasks.borrow().record()
    }

    /// The current switches.
    pub fn switches(&self) -> options::Switches {
        self.shared.tasks.borrow().switches.clone()
    }

    /// Replaces the switches.
    pub fn set(&self, switches: options::Switches) {
        self.shared.tasks.borrow_mut().switches = switches;
        self.shared.changed.notify_waiters();
    }

    /// Announces that it is leaving, or that it is no longer leaving.
    pub fn leave(&self, leaving: bool) {
        self.leaving.send_replace(leaving);
    }

    /// Resolves once all tasks have ended and the agent has deleted them, or after a timeout.
    pub async fn drained(&self) {
        let all_deleted = async {
            loop {
                let changed = self.shared.changed.notified();
                if self.shared.tasks.borrow().list().tasks.is_empty() {
                    return;
                }
                let _ = tokio::time::timeout(IDLE_INTERVAL, changed).await;
            }
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, all_deleted).await;
    }

    /// Simulates a crash: ends its connections and tasks. The record stays readable.
    pub fn die(&self) {
        self.shared.dead.send_replace(true);
    }

    /// Stops the stand-in and waits for its spawned tasks. Work that still runs ends as in a crash.
    pub async fn stop(self) {
        self.die();
        let _ = self.announcer.await;
        let _ = self.executor.await;
    }
}

async fn announce(announcer: announcer::Announcer, mut died: tokio::sync::watch::Receiver<bool>) {
    tokio::select! {
        () = announcer.run() => {}
        _ = died.wait_for(|dead| *dead) => {}
    }
}

/// Ends tasks when they are due until the stand-in dies, then closes its connections.
async fn execute(
    shared: rc::Rc<server::Shared>,
    server: http::Server,
    mut died: tokio::sync::watch::Receiver<bool>,
) {
    loop {
        let next = shared.tasks.borrow_mut().advance(time::Instant::now());
        // Wakes status requests that wait for a task's end.
        shared.changed.notify_waiters();
        let changed = shared.changed.notified();
        let next = next.unwrap_or_else(|| time::Instant::now() + IDLE_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            () = changed => {}
            _ = died.wait_for(|dead| *dead) => break,
        }
    }
    shared.tasks.borrow_mut().end_all(record::End::Died);
    server.stop(time::Duration::ZERO).await;
}
