//! The event loop between the worker and the leader.
//!
//! `incarnation` determines the current incarnation of the worker; `poll` polls it for its runs.

use std::cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc;
use std::time;

use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt as _;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::clock;
use crate::core::dispatch::order;
use crate::core::time as core_time;
use crate::core::workflow::model;
use crate::net::leader;
use crate::net::seeds;
use crate::runner::backend;
use crate::runner::backend::Backend;
use crate::runner::closing;
use crate::runner::closing::RunName;
use crate::runner::fence;
use crate::runner::launch;
use crate::runner::lease;
use crate::runner::probe;
use crate::telemetry::event;
use crate::wire::codec;
use crate::wire::runner as wire;

mod incarnation;
mod poll;

/// The interval between reports to the leader while nothing changes.
const REPORT_INTERVAL: core_time::Millis = core_time::Millis(500);

/// How long the worker may delay its answer to a poll to wait for another end, in milliseconds.
const POLL_WAIT_MS: u64 = 500;

/// The maximum age of the worker's lists in a report.
const MAX_LISTING_AGE: core_time::Millis = core_time::Millis(2000);

/// How long the leader may leave a report unanswered before the session is closed.
const REPLY_TIMEOUT: core_time::Millis = core_time::Millis(1500);

/// The delay between two searches for a leader.
const SEARCH_DELAY: time::Duration = time::Duration::from_millis(100);

/// The interval of the loop's timer while nothing else happens.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// An announcement or departure of an incarnation of the worker, with the client for it.
pub struct WorkerUpdate {
    /// The worker's announcement; none if the worker leaves for good.
    pub announcement: Option<order::Announcement>,
    /// The least time for which a draining worker still runs; none if the worker doesn't report it.
    pub drain_left: Option<core_time::Millis>,
    /// The incarnation that the update is about.
    pub incarnation: model::Incarnation,
    /// The client for that incarnation.
    pub backend: rc::Rc<dyn Backend>,
}

/// A running agent. [`Runner::stop`] joins its task.
pub struct Runner {
    updates: mpsc::Sender<WorkerUpdate>,
    stop: cell::RefCell<Option<oneshot::Sender<()>>>,
    task: cell::RefCell<Option<actix_rt::task::JoinHandle<()>>>,
}

impl Runner {
    /// Starts the agent of a host.
    pub fn start(seeds: impl Into<seeds::Seeds>, cell: u16, host: u32) -> Self {
        let (updates, incoming) = mpsc::channel(16);
        let (stop, stopped) = oneshot::channel();
        let finder = rc::Rc::new(leader::Finder::new(seeds));
        let agent = Agent::new(finder, cell, host);
        let task = actix_rt::spawn(agent.run(incoming, stopped));
        Self { updates, stop: cell::RefCell::new(Some(stop)), task: cell::RefCell::new(Some(task)) }
    }

    /// Passes an announcement or departure of the worker to the agent. From then on a leaving
    /// worker is given no task.
    pub async fn update(&self, update: WorkerUpdate) {
        // An error means that the agent is stopping.
        let _ = self.updates.send(update).await;
    }

    /// Ends the session and joins the task. The worker's runs go on under its lease.
    pub async fn stop(&self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let task = self.task.take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }
}

/// The completion of a call to the worker, or of a delay.
enum Completion {
    /// A poll, with its answer.
    Poll(model::Incarnation, probe::Request, Result<backend::Listing, backend::PollError>),
    /// A probe of an announced incarnation, with the answer of that incarnation if it answered.
    Probe(model::Incarnation, Option<probe::Response>),
    /// An order to start, with its outcome.
    Start(model::Incarnation, RunName, launch::Outcome),
    /// An order to stop that was answered.
    Stop(model::Incarnation, RunName),
    /// An order to an incarnation that has ended.
    Abandoned,
    /// The end of the delay before another poll.
    PollDelay,
}

/// An announced incarnation that has not answered yet.
struct Unconfirmed {
    announcement: order::Announcement,
    drain_deadline: Option<core_time::Tick>,
    backend: rc::Rc<dyn Backend>,
}

type Session = leader::Session<wire::ClientMessage, wire::ServerMessage>;

/// The current incarnation of the worker, which is the last one that has answered.
struct Worker {
    announcement: order::Announcement,
    /// Whether it may have runs that its predecessor was ordered to start, which may go on beyond
    /// the current lease.
    may_inherit: bool,
    /// Whether it has announced that it leaves for good; its process may still be running.
    leaving: bool,
    /// The time until which it runs at least while draining; none if it doesn't report that.
    drain_deadline: Option<core_time::Tick>,
    backend: rc::Rc<dyn Backend>,
    /// The highest number of an end that the leader has acknowledged.
    acknowledged: u64,
    /// The last listing, with the request that it answers.
    listing: Option<(backend::Listing, probe::Request)>,
    /// The time at which the last listing arrived.
    listed_at: core_time::Tick,
    /// The runs whose stop was answered, until a later listing shows whether they have ended.
    closing: closing::Closing,
    /// The runs with an order in flight.
    in_flight: BTreeSet<RunName>,
    /// Dropped when this incarnation is no longer the current one, which ends its orders to stop.
    alive: rc::Rc<()>,
}

impl Worker {
    /// Returns the number up to which ends are acknowledged; 0 if the worker lists none of these.
    /// The number is sent no more often than needed, since the next incarnation of the worker
    /// numbers its ends from 1 again.
    fn acknowledgement(&self) -> u64 {
        let mut ends = self.listing.iter().flat_map(|(listing, _)| &listing.finished);
        if ends.any(|end| end.number <= self.acknowledged) { self.acknowledged } else { 0 }
    }
}

struct Agent {
    finder: rc::Rc<leader::Finder>,
    cell: u16,
    host: u32,
    clock: clock::Clock,
    lease: lease::Lease,
    /// The source of the calls' fencing tokens; orders to stop in flight carry the latest token.
    fence: rc::Rc<fence::Fence>,
    /// The lowest token that the worker must have received for its lists to be reported.
    min_token: u64,
    session: Option<Session>,
    worker: Option<Worker>,
    /// The incarnations that are being probed, with their last announcements.
    probing: BTreeMap<model::Incarnation, Unconfirmed>,
    /// The last announced incarnation that did not answer: a new agent can't call a worker that has
    /// received a token of a later term before a leader has told the agent its term.
    unconfirmed: Option<Unconfirmed>,
    /// The last incarnation that has left for good.
    departed: Option<model::Incarnation>,
    calls: FuturesUnordered<LocalBoxFuture<'static, Completion>>,
    /// The number of polls in flight or delayed.
    polls: usize,
    reported_at: core_time::Tick,
    /// The time at which the first report was sent that has no answer yet.
    unanswered_since: Option<core_time::Tick>,
}

impl Agent {
    fn new(finder: rc::Rc<leader::Finder>, cell: u16, host: u32) -> Self {
        Self {
            finder,
            cell,
            host,
            clock: clock::Clock::start(),
            lease: lease::Lease::default(),
            fence: rc::Rc::default(),
            min_token: 0,
            session: None,
            worker: None,
            probing: BTreeMap::new(),
            unconfirmed: None,
            departed: None,
            calls: FuturesUnordered::new(),
            polls: 0,
            reported_at: core_time::Tick(0),
            unanswered_since: None,
        }
    }

    async fn run(
        mut self,
        mut updates: mpsc::Receiver<WorkerUpdate>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let finder = self.finder.clone();
        let hello = wire::ClientMessage::Hello {
            version: codec::PROTOCOL_VERSION,
            cell: self.cell,
            host: self.host,
        };
        let mut search = Box::pin(find(&finder, &hello));
        loop {
            let searching = self.session.is_none();
            tokio::select! {
                _ = &mut stopped => return,
                update = updates.recv() => {
                    let Some(update) = update else { return };
                    self.update_worker(update);
                }
                message = next_message(&mut self.session) => self.handle_message(message),
                found = &mut search, if searching => {
                    search.set(find(&finder, &hello));
                    self.session_opened(found);
                }
                Some(completion) = self.calls.next(), if !self.calls.is_empty() => {
                    self.call_completed(completion);
                }
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
            self.tick();
        }
    }

    fn session_opened(&mut self, found: Option<Session>) {
        let Some(found) = found else { return };
        let wire::ServerMessage::Welcome { term, .. } = &found.greeting else { return };
        event::agent::CONNECTED.log(format_args!("addr={} term={term}", found.addr));
        self.fence.observe_term(*term);
        self.min_token = self.fence.token();
        self.session = Some(found);
        self.unanswered_since = None;
        self.poll(0);
        if let Some(unconfirmed) = self.unconfirmed.take() {
            self.probe(unconfirmed);
        }
    }

    fn close_session(&mut self, why: &str) {
        if let Some(session) = self.session.take() {
            event::agent::DISCONNECTED.log(format_args!("addr={} why={why}", session.addr));
        }
        self.lease.session_ended();
        self.unanswered_since = None;
    }

    fn handle_message(&mut self, message: Option<wire::ServerMessage>) {
        self.unanswered_since = None;
        match message {
            None => self.close_session("closed"),
            Some(wire::ServerMessage::NotLeader(..)) => self.close_session("not the leader"),
            Some(wire::ServerMessage::Welcome { .. }) => {}
            Some(wire::ServerMessage::Order(order)) => self.handle_order(order),
        }
    }

    fn handle_order(&mut self, order: order::Order) {
        match order {
            order::Order::Grant { sequence, duration } => {
                self.lease.grant(sequence, core_time::Millis(duration));
            }
            order::Order::Start(start) => self.start(start),
            order::Order::Stop { incarnation, task, run } => self.stop(incarnation, task, run),
            order::Order::Acknowledge { incarnation, number } => {
                let Some(worker) = &mut self.worker else { return };
                if worker.announcement.incarnation == incarnation && number > worker.acknowledged {
                    worker.acknowledged = number;
                    self.poll(0);
                }
            }
        }
    }

    fn start(&mut self, start: order::Start) {
        let now = self.clock.tick();
        let name = (start.task.clone(), start.run);
        let valid = self.lease.is_valid(now);
        let (deadline, fence) = (self.lease.deadline(), self.fence.token());
        let Some(worker) =
            self.worker.as_mut().filter(|w| w.announcement.incarnation == start.incarnation)
        else {
            return;
        };
        if worker.in_flight.contains(&name) || worker.closing.contains(&name) {
            return;
        }
        let Some(deadline) = deadline.filter(|_| valid && !worker.announcement.draining) else {
            // An earlier order of the same run may be in flight.
            self.stop(start.incarnation, name.0, name.1);
            return;
        };
        event::agent::TASK_START.log(format_args!("task={} run={}", start.task, start.run));
        worker.in_flight.insert(name.clone());
        let order::Start { incarnation, task, run, spec, checkpoint } = start;
        let launch = backend::Launch { task, run, spec, checkpoint, fence, deadline };
        let starting = launch::start(worker.backend.clone(), launch);
        self.calls
            .push(Box::pin(async move { Completion::Start(incarnation, name, starting.await) }));
    }

    fn stop(&mut self, incarnation: model::Incarnation, task: model::TaskName, run: u32) {
        let newest = self.fence.clone();
        let name = (task.clone(), run);
        let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.announcement.incarnation == incarnation)
        else {
            return;
        };
        event::agent::TASK_STOP.log(format_args!("task={task} run={run}"));
        worker.in_flight.insert(name.clone());
        let alive = rc::Rc::downgrade(&worker.alive);
        let fence = move || alive.upgrade().map(|_| newest.token());
        let stopping = launch::stop(worker.backend.clone(), task, run, fence);
        self.calls.push(Box::pin(async move {
            match stopping.await {
                true => Completion::Stop(incarnation, name),
                false => Completion::Abandoned,
            }
        }));
    }

    fn call_completed(&mut self, completion: Completion) {
        match completion {
            Completion::Poll(incarnation, request, answer) => {
                self.poll_completed(incarnation, request, answer)
            }
            Completion::Probe(incarnation, response) => self.probe_completed(incarnation, response),
            Completion::Start(incarnation, name, outcome) => {
                self.start_completed(incarnation, name, outcome)
            }
            Completion::Stop(incarnation, name) => {
                let now = self.clock.tick();
                let Some(worker) =
                    self.worker.as_mut().filter(|w| w.announcement.incarnation == incarnation)
                else {
                    return;
                };
                worker.in_flight.remove(&name);
                worker.closing.stop_answered(name, now);
                self.poll(0);
            }
            Completion::Abandoned => {}
            Completion::PollDelay => {
                self.polls -= 1;
                if self.polls == 0 {
                    self.poll(POLL_WAIT_MS);
                }
            }
        }
    }

    fn start_completed(
        &mut self,
        incarnation: model::Incarnation,
        name: RunName,
        outcome: launch::Outcome,
    ) {
        let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.announcement.incarnation == incarnation)
        else {
            return;
        };
        worker.in_flight.remove(&name);
        match outcome {
            launch::Outcome::Running => {}
            launch::Outcome::Failed(doubt, reason) => {
                event::agent::TASK_REFUSED.log(format_args!(
                    "task={} run={} doubt={doubt} reason={reason}",
                    name.0, name.1
                ));
                // Ordered even without doubt, since an end of the same run may be listed.
                self.stop(incarnation, name.0, name.1);
            }
        }
    }

    /// Reports the worker's state to the leader.
    fn report(&mut self) {
        if self.session.is_none() {
            return;
        }
        let now = self.clock.tick();
        let sequence = self.lease.next_report(now);
        let worker = self.worker.as_ref();
        let listing = worker.and_then(|worker| worker.listing.as_ref());
        // Calls of an earlier term or incarnation may take effect until the worker has received
        // this token.
        let is_fresh = |request: &probe::Request| {
            request.sent_at + MAX_LISTING_AGE > now && request.fence >= self.min_token
        };
        let fresh = listing.filter(|(_, request)| is_fresh(request));
        let report = order::Report {
            sequence,
            worker: worker.map(|worker| worker.announcement.clone()),
            departed: self.departed,
            drain_left: worker.and_then(|worker| worker.drain_deadline).map(|end| (end - now).0),
            fresh: fresh.is_some(),
            running: fresh.map(|(listing, _)| listing.running.clone()).unwrap_or_default(),
            finished: fresh.map(|(listing, _)| listing.finished.clone()).unwrap_or_default(),
        };
        self.reported_at = now;
        if fresh.is_some() {
            self.unanswered_since = self.unanswered_since.or(Some(now));
        }
        self.send(wire::ClientMessage::Report(report));
    }

    fn send(&mut self, message: wire::ClientMessage) {
        let Some(session) = &self.session else { return };
        if !session.sender.try_send(&message) {
            self.close_session("can't send");
        }
    }

    fn tick(&mut self) {
        let now = self.clock.tick();
        if self.unanswered_since.is_some_and(|since| since + REPLY_TIMEOUT < now) {
            self.close_session("silent");
        }
        if !self.lease.is_valid(now) {
            self.stop_inherited();
        }
        if self.reported_at + REPORT_INTERVAL <= now {
            self.report();
        }
        if self.polls == 0 {
            self.poll(POLL_WAIT_MS);
        }
    }
}

async fn next_message(session: &mut Option<Session>) -> Option<wire::ServerMessage> {
    match session {
        Some(session) => session.receiver.receive().await,
        None => std::future::pending().await,
    }
}

async fn find(finder: &leader::Finder, hello: &wire::ClientMessage) -> Option<Session> {
    let found = finder.find("/runner", hello).await;
    if found.is_none() {
        tokio::time::sleep(SEARCH_DELAY).await;
    }
    found
}
