//! The agent, a process beside each backend server that runs gangs under a lease.
//!
//! [`state`] is a state machine without input or output; [`driver`] passes inputs to it and carries
//! out its outputs. [`session`] maintains the stream to the leading control replica, [`backend`]
//! calls the backend server by the HTTP contract of [`contract`], [`answers`] holds answers until
//! control has stored them, and [`server`] receives the backend server's announcements.

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

/// Limit of calls, and of session events, that wait for the driver.
const QUEUE_LENGTH: usize = 64;

/// Limit of connections to the agent's own server.
const MAX_CONNECTIONS: usize = 32;

/// How long a planned stop waits for open requests.
const HTTP_STOP_TIMEOUT: time::Duration = time::Duration::from_millis(200);

quick_error! {
    /// An error that prevents the agent from starting.
    #[derive(Debug)]
    pub enum Error {
        /// The port can't be opened.
        Listen(addr: std::net::SocketAddr, source: std::io::Error) {
            display("can't listen on {}: {}", addr, source)
            source(source)
        }
        /// The system provides no random numbers.
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
    stop: watch::Sender<bool>,
}

impl Agent {
    /// Opens the port for the backend server and starts to look for the leading control replica.
    pub async fn start(settings: settings::agent::Settings) -> Result<Self, Error> {
        let incarnation = getrandom::u64()?;
        let (calls, call_receiver) = mpsc::channel(QUEUE_LENGTH);
        let (events, event_receiver) = mpsc::channel(QUEUE_LENGTH);
        let (stop, stop_receiver) = watch::channel(false);
        let (last_dropped, dropped_receiver) = watch::channel(0);
        let view = rc::Rc::new(cell::RefCell::new(driver::View::default()));
        let revision = rc::Rc::new(cell::Cell::new(0));
        let handler = server::Handler { calls: calls.clone(), view: view.clone() };
        let limits = http::Limits { connections: MAX_CONNECTIONS, ..http::Limits::default() };
        let server = http::Server::bind(settings.listen, limits, rc::Rc::new(handler))
            .await
            .map_err(|source| Error::Listen(settings.listen, source))?;
        let dialer = session::Dialer {
            control: settings.control,
            cell: settings.cell,
            incarnation,
            revision: revision.clone(),
            events,
            stop: stop_receiver,
            dropped: dropped_receiver,
        };
        let drain = core_time::Millis::from_secs(settings.drain_secs);
        let driver = driver::Driver::new(incarnation, drain, view, revision, last_dropped);
        Ok(Self {
            server,
            calls,
            driver: actix_rt::spawn(driver.run(call_receiver, event_receiver)),
            dialer: actix_rt::spawn(dialer.run()),
            stop,
        })
    }

    /// The address of the agent's HTTP server, where the backend server announces itself.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Stops the agent as planned: tells control that the worker is leaving, lets running tasks end
    /// within the drain time of the settings, delivers their answers, and joins all spawned tasks.
    pub async fn stop(self) {
        let _ = self.calls.send(driver::Call::Stop).await;
        let _ = self.driver.await;
        self.stop.send_replace(true);
        let _ = self.dialer.await;
        self.server.stop(HTTP_STOP_TIMEOUT).await;
    }

    /// Ends the agent immediately, as a crash would: no task is stopped and control is not told.
    pub async fn abort(self) {
        for task in [self.driver, self.dialer] {
            task.abort();
            let _ = task.await;
        }
        self.server.stop(time::Duration::ZERO).await;
    }
}
