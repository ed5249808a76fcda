//! The agent: a small process beside each backend server that runs gangs under a lease.
//!
//! [`state`] decides without input or output; [`driver`] feeds it and carries out what it decides.
//! [`session`] keeps the stream to the leading control replica, [`backend`] calls the backend
//! server by the HTTP contract of [`contract`], [`answers`] keeps answers until control has stored
//! them, and [`server`] takes the backend server's announcements.

use std::cell;
use std::rc;
use std::time;

use quick_error::quick_error;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::core::time as core_time;
use crate::net::http;
use crate::settings;

pub mod answers;
pub mod backend;
pub mod contract;
pub mod driver;
pub mod server;
pub mod session;
pub mod state;

/// Calls and messages that may wait for the driver.
const QUEUE: usize = 64;

/// Connections to the agent's own server at once.
const CONNECTIONS: usize = 32;

/// How long open requests may take to end at a planned stop.
const HTTP_GRACE: time::Duration = time::Duration::from_millis(200);

quick_error! {
    /// Why an agent could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The port can't be opened.
        Listen(addr: std::net::SocketAddr, source: std::io::Error) {
            display("can't listen on {}: {}", addr, source)
            source(source)
        }
        /// The system gives no random numbers.
        Random(source: getrandom::Error) {
            display("no random number for this run of the agent: {}", source)
            from()
        }
    }
}

/// A running agent.
pub struct Agent {
    server: http::Server,
    calls: mpsc::Sender<driver::Call>,
    driver: actix_rt::task::JoinHandle<()>,
    dialer: actix_rt::task::JoinHandle<()>,
    hush: watch::Sender<bool>,
}

impl Agent {
    /// Opens the port for the backend server and begins to look for control.
    pub async fn start(settings: settings::agent::Settings) -> Result<Self, Error> {
        let incarnation = getrandom::u64()?;
        let (calls, called) = mpsc::channel(QUEUE);
        let (notes, noted) = mpsc::channel(QUEUE);
        let (hush, hushed) = watch::channel(false);
        let (drops, dropped) = watch::channel(0);
        let view = rc::Rc::new(cell::RefCell::new(driver::View::default()));
        let revision = rc::Rc::new(cell::Cell::new(0));
        let handler = server::Handler { calls: calls.clone(), view: view.clone() };
        let limits = http::Limits { connections: CONNECTIONS, ..http::Limits::default() };
        let server = http::Server::bind(settings.listen, limits, rc::Rc::new(handler))
            .await
            .map_err(|source| Error::Listen(settings.listen, source))?;
        let dialer = session::Dialer {
            control: settings.control,
            cell: settings.cell,
            incarnation,
            revision: revision.clone(),
            notes,
            stop: hushed,
            dropped,
        };
        let drain = core_time::Millis::from_secs(settings.drain_secs);
        let driver = driver::Driver::new(incarnation, drain, view, revision, drops);
        Ok(Self {
            server,
            calls,
            driver: actix_rt::spawn(driver.run(called, noted)),
            dialer: actix_rt::spawn(dialer.run()),
            hush,
        })
    }

    /// The address where the backend server announces itself.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Ends the agent as planned: tells control that the worker is leaving, lets running tasks end
    /// within the bound of the settings, hands over their answers, and joins all it spawned.
    pub async fn stop(self) {
        let _ = self.calls.send(driver::Call::Stop).await;
        let _ = self.driver.await;
        self.hush.send_replace(true);
        let _ = self.dialer.await;
        self.server.stop(HTTP_GRACE).await;
    }

    /// Ends the agent at once, as a crash would: it tells nobody and stops no task.
    pub async fn abort(self) {
        for task in [self.driver, self.dialer] {
            task.abort();
            let _ = task.await;
        }
        self.server.stop(time::Duration::ZERO).await;
    }
}
