//! The entry: the HTTP/1.1 interface for callers, operators and readers of the status page.
//!
//! An entry has no durable state. [`api`] routes each HTTP request to its handler in [`caller`],
//! [`operator`], [`workflow`] or [`public`]; handlers call the leading control replica over
//! [`link`].

use std::cell;
use std::net;
use std::rc;
use std::time;

use quick_error::quick_error;
use tokio::sync::watch;

use crate::net::http;
use crate::settings;
use crate::settings::entry;
use crate::telemetry::event;
use crate::telemetry::trace;
use crate::wire::common;
use crate::wire::entry as wire;

mod access;
mod answer;
mod api;
mod caller;
mod discovery;
pub mod document;
pub mod hours;
mod input;
mod link;
mod operator;
pub mod page;
pub mod plan;
mod public;
mod refusal_counts;
mod reply;
mod session;
mod state;
mod submission;
mod ticket;
pub mod view;
pub mod workflow;

/// The delay between two refreshes of the hours. A refresh also detects an unresponsive leader.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// The timeout of a refresh of the hours, with retries.
const REFRESH_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The most concurrent look-ups of hours outside the cached span.
const MAX_LOOKUPS: usize = 4;

/// How long a stopping entry retries its last report of refusals.
const FINAL_REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

quick_error! {
    /// The error of an entry that failed to start.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(source: settings::Error) {
            display("settings: {}", source)
            source(source)
            from()
        }
        /// Listening on the address failed.
        Listen(addr: net::SocketAddr, source: std::io::Error) {
            display("can't listen on {}: {}; is another process there?", addr, source)
            source(source)
        }
        /// The operating system provides no random numbers.
        Random(source: getrandom::Error) {
            display("no random numbers from the system: {}", source)
            from()
        }
    }
}

/// A running entry.
pub struct Entry {
    state: rc::Rc<state::State>,
    server: http::Server,
    refresh: actix_rt::task::JoinHandle<()>,
}

impl Entry {
    /// Listens for HTTP requests and starts to search for the leading control replica.
    pub async fn start(settings: entry::Settings) -> Result<Self, Error> {
        settings::Check::check(&settings)?;
        let operators = settings.operator_digests()?;
        let identity = getrandom::u64()?;
        let state = rc::Rc::new(state::State {
            limits: settings.limits,
            operators,
            link: link::Link::start(settings.control, settings.cell, identity),
            hours: cell::RefCell::default(),
            admission: cell::RefCell::default(),
            started: time::Instant::now(),
            lookups: tokio::sync::Semaphore::new(MAX_LOOKUPS),
            ready: cell::Cell::new(true),
            stopping: watch::Sender::new(false),
        });
        let api = rc::Rc::new(api::Api { state: state.clone() });
        let bound = http::Server::bind(settings.listen, http_limits(&settings.limits), api).await;
        let server = match bound {
            Ok(server) => server,
            Err(error) => {
                state.link.stop().await;
                return Err(Error::Listen(settings.listen, error));
            }
        };
        let refresh = actix_rt::spawn(refresh(state.clone()));
        event::general::STARTED.log(format_args!("role=entry listen={}", server.addr()));
        Ok(Self { state, server, refresh })
    }

    /// The address that the entry listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Stops the entry gracefully: reports that it is not ready, ends waits with a reply that tells
    /// callers to wait again elsewhere, lets open requests end, reports its refusals to control and
    /// joins all tasks.
    pub async fn stop(self) {
        event::general::STOPPING.log(format_args!("role=entry"));
        let limits = self.state.limits;
        self.state.ready.set(false);
        tokio::time::sleep(time::Duration::from_millis(limits.notice_ms)).await;
        self.state.stopping.send_replace(true);
        self.server.stop(time::Duration::from_millis(limits.stop_ms)).await;
        let _ = self.refresh.await;
        let _ = tokio::time::timeout(FINAL_REPORT_TIMEOUT, flush_refusals(&self.state)).await;
        self.state.link.stop().await;
        event::general::STOPPED.log(format_args!("role=entry"));
    }
}

fn http_limits(limits: &entry::Limits) -> http::Limits {
    http::Limits {
        connections: limits.connections,
        head_timeout: time::Duration::from_millis(limits.head_ms),
        write_timeout: time::Duration::from_millis(limits.write_ms),
        ..http::Limits::default()
    }
}

/// Refreshes the cached hours and reports refusals periodically until the entry stops.
async fn refresh(state: rc::Rc<state::State>) {
    loop {
        state.link.report();
        tokio::select! {
            () = fetch_hours(&state) => {}
            () = state.stopped() => return,
        }
        tokio::select! {
            () = tokio::time::sleep(REFRESH_INTERVAL) => {}
            () = state.stopped() => return,
        }
    }
}

async fn fetch_hours(state: &state::State) {
    let span = hours::Span::around(state::now());
    let call = wire::Call::Hours { from: span.from.0, until: span.until.0 };
    let trace = common::TraceContext::from(trace::Context::NONE);
    if let Ok(wire::Reply::Hours(hours)) = state.link.call(&trace, call, REFRESH_TIMEOUT).await {
        state.hours.borrow_mut().set(hours);
    }
}

/// Reports refusals repeatedly until control has stored them all.
async fn flush_refusals(state: &state::State) {
    while !state.link.refusals().is_empty() {
        state.link.report();
        tokio::time::sleep(FINAL_REPORT_TIMEOUT / 20).await;
    }
}
