//! The loop between the worker and the leader.
//!
//! `life` decides which incarnation of the worker is the present one; `look` asks it after its runs.

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
use crate::runner::fence;
use crate::runner::hold;
use crate::runner::launch;
use crate::runner::meet;
use crate::telemetry::event;
use crate::wire::codec;
use crate::wire::runner as wire;

mod life;
mod look;

/// How often the leader hears of the worker when nothing changes.
const REPORT: core_time::Millis = core_time::Millis(500);

/// How long a look at the worker waits for news, in milliseconds.
const LOOK_WAIT: u64 = 500;

/// How old the worker's lists may be in a report.
const CURRENT: core_time::Millis = core_time::Millis(2000);

/// How long the leader may leave a report unanswered.
const SILENCE: core_time::Millis = core_time::Millis(1500);

/// The pause between two searches for a leader.
const SEEK_PAUSE: time::Duration = time::Duration::from_millis(100);

/// How the loop's timer runs when nothing else happens.
const TICK: time::Duration = time::Duration::from_millis(250);

/// What the worker has said of itself, with the way to call it.
pub struct Beat {
    /// What it says; none when it has left.
    pub said: Option<order::Announcement>,
    /// How much longer it stays at least if it is leaving, where it says so.
    pub stays: Option<core_time::Millis>,
    /// The incarnation that it speaks for.
    pub incarnation: model::Incarnation,
    /// The way to call it.
    pub backend: rc::Rc<dyn Backend>,
}

/// A running agent. [`Runner::stop`] joins its task.
pub struct Runner {
    beats: mpsc::Sender<Beat>,
    stop: cell::RefCell<Option<oneshot::Sender<()>>>,
    task: cell::RefCell<Option<actix_rt::task::JoinHandle<()>>>,
}

impl Runner {
    /// Starts the agent of a host.
    pub fn start(seeds: impl Into<seeds::Seeds>, cell: u16, host: u32) -> Self {
        let (beats, incoming) = mpsc::channel(16);
        let (stop, stopped) = oneshot::channel();
        let finder = rc::Rc::new(leader::Finder::new(seeds));
        let agent = Agent::new(finder, cell, host);
        let task = actix_rt::spawn(agent.run(incoming, stopped));
        Self { beats, stop: cell::RefCell::new(Some(stop)), task: cell::RefCell::new(Some(task)) }
    }

    /// Takes what the worker says of itself. From then on a worker that leaves gets no task.
    pub async fn beat(&self, beat: Beat) {
        // An error means that the agent is stopping.
        let _ = self.beats.send(beat).await;
    }

    /// Ends the session and joins the task. What runs at the worker goes on under its lease.
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

type RunName = (model::TaskName, u32);

/// What a call to the worker has come to.
enum Done {
    /// A look, and its answer.
    Look(model::Incarnation, meet::Asked, Result<backend::Listing, backend::Unlisted>),
    /// An incarnation that was announced was asked whether it is there.
    Met(model::Incarnation, Option<meet::Met>),
    /// An order to start.
    Start(model::Incarnation, RunName, launch::Outcome),
    /// An order to stop that was answered.
    Stop(model::Incarnation, RunName),
    /// An order to a worker whose incarnation is over.
    Over,
    /// The time for another look.
    Pause,
}

/// An incarnation that was announced and has not answered yet.
struct Announced {
    said: order::Announcement,
    stays: Option<core_time::Tick>,
    backend: rc::Rc<dyn Backend>,
}

type Session = leader::Session<wire::ClientMessage, wire::ServerMessage>;

/// The worker in the incarnation that has answered last.
struct Worker {
    said: order::Announcement,
    /// Whether it may hold runs that were ordered in the incarnation before, beyond the present lease.
    follows: bool,
    /// Whether it has said that it leaves for good; its process may still be there.
    left: bool,
    /// Until when it stays at least, where it says so.
    stays: Option<core_time::Tick>,
    backend: rc::Rc<dyn Backend>,
    seen: u64,
    /// The last listing and how it was asked for.
    listing: Option<(backend::Listing, meet::Asked)>,
    /// When the last listing came.
    heard: core_time::Tick,
    /// Runs whose stop was answered, and when: they are closed once a later listing lacks them.
    closing: BTreeMap<RunName, core_time::Tick>,
    /// Orders in hand.
    busy: BTreeSet<RunName>,
    /// Held as long as this incarnation is the present one.
    alive: rc::Rc<()>,
}

impl Worker {
    /// The ends up to this one are to be forgotten; 0 if the worker lists none of them. Said no
    /// oftener than needed, since the next incarnation of the worker counts its ends from 1 again.
    fn unforgotten(&self) -> u64 {
        let mut ends = self.listing.iter().flat_map(|(listing, _)| &listing.finished);
        if ends.any(|end| end.number <= self.seen) { self.seen } else { 0 }
    }
}

struct Agent {
    finder: rc::Rc<leader::Finder>,
    cell: u16,
    host: u32,
    clock: clock::Clock,
    hold: hold::Hold,
    /// The token of calls; stops under way carry the newest.
    fence: rc::Rc<fence::Fence>,
    /// The lowest token that the worker has to have seen for its lists to count.
    least: u64,
    session: Option<Session>,
    worker: Option<Worker>,
    /// Lives that are being asked whether they are there, with what was announced last.
    meeting: BTreeMap<model::Incarnation, Announced>,
    /// The last incarnation that was announced and did not answer: a new agent can't call a worker that
    /// knows the fence of a term before the leader has named it.
    unmet: Option<Announced>,
    /// The last incarnation that has left for good.
    gone: Option<model::Incarnation>,
    calls: FuturesUnordered<LocalBoxFuture<'static, Done>>,
    /// Looks in hand or waited for.
    looks: usize,
    reported: core_time::Tick,
    /// When the first report without any answer was sent.
    asked: Option<core_time::Tick>,
}

impl Agent {
    fn new(finder: rc::Rc<leader::Finder>, cell: u16, host: u32) -> Self {
        Self {
            finder,
            cell,
            host,
            clock: clock::Clock::start(),
            hold: hold::Hold::default(),
            fence: rc::Rc::default(),
            least: 0,
            session: None,
            worker: None,
            meeting: BTreeMap::new(),
            unmet: None,
            gone: None,
            calls: FuturesUnordered::new(),
            looks: 0,
            reported: core_time::Tick(0),
            asked: None,
        }
    }

    async fn run(mut self, mut beats: mpsc::Receiver<Beat>, mut stopped: oneshot::Receiver<()>) {
        let finder = self.finder.clone();
        let hello = wire::ClientMessage::Hello {
            version: codec::PROTOCOL_VERSION,
            cell: self.cell,
            host: self.host,
        };
        let mut search = Box::pin(find(&finder, &hello));
        loop {
            let seeking = self.session.is_none();
            tokio::select! {
                _ = &mut stopped => return,
                beat = beats.recv() => {
                    let Some(beat) = beat else { return };
                    self.beat(beat);
                }
                message = next_message(&mut self.session) => self.message(message),
                found = &mut search, if seeking => {
                    search.set(find(&finder, &hello));
                    self.opened(found);
                }
                Some(done) = self.calls.next(), if !self.calls.is_empty() => self.done(done),
                () = tokio::time::sleep(TICK) => {}
            }
            self.tick();
        }
    }

    fn opened(&mut self, found: Option<Session>) {
        let Some(found) = found else { return };
        let wire::ServerMessage::Welcome { term, .. } = &found.greeting else { return };
        event::agent::CONNECTED.log(format_args!("addr={} term={term}", found.addr));
        self.fence.lead(*term);
        self.least = self.fence.token();
        self.session = Some(found);
        self.asked = None;
        self.look(0);
        if let Some(announced) = self.unmet.take() {
            self.meet(announced);
        }
    }

    fn closed(&mut self, why: &str) {
        if let Some(session) = self.session.take() {
            event::agent::DISCONNECTED.log(format_args!("addr={} why={why}", session.addr));
        }
        self.hold.session_ended();
        self.asked = None;
    }

    fn message(&mut self, message: Option<wire::ServerMessage>) {
        self.asked = None;
        match message {
            None => self.closed("closed"),
            Some(wire::ServerMessage::NotLeader(..)) => self.closed("not the leader"),
            Some(wire::ServerMessage::Welcome { .. }) => {}
            Some(wire::ServerMessage::Order(order)) => self.order(order),
        }
    }

    fn order(&mut self, order: order::Order) {
        match order {
            order::Order::Grant { sequence, duration } => {
                self.hold.granted(sequence, core_time::Millis(duration));
            }
            order::Order::Start(start) => self.start(start),
            order::Order::Stop { incarnation, task, run } => self.stop(incarnation, task, run),
            order::Order::Acknowledge { incarnation, number } => {
                let Some(worker) = &mut self.worker else { return };
                if worker.said.incarnation == incarnation && number > worker.seen {
                    worker.seen = number;
                    self.look(0);
                }
            }
        }
    }

    fn start(&mut self, start: order::Start) {
        let now = self.clock.tick();
        let name = (start.task.clone(), start.run);
        let valid = self.hold.is_valid(now);
        let (until, fence) = (self.hold.until(), self.fence.token());
        let Some(worker) = self.worker.as_mut().filter(|w| w.said.incarnation == start.incarnation)
        else {
            return;
        };
        if worker.busy.contains(&name) || worker.closing.contains_key(&name) {
            return;
        }
        let Some(until) = until.filter(|_| valid && !worker.said.draining) else {
            // An earlier order of the same run may be on its way.
            self.stop(start.incarnation, name.0, name.1);
            return;
        };
        event::agent::TASK_START.log(format_args!("task={} run={}", start.task, start.run));
        worker.busy.insert(name.clone());
        let order::Start { incarnation, task, run, spec, checkpoint } = start;
        let launch = backend::Launch { task, run, spec, saved: checkpoint, fence, until };
        let starting = launch::start(worker.backend.clone(), launch);
        self.calls.push(Box::pin(async move { Done::Start(incarnation, name, starting.await) }));
    }

    fn stop(&mut self, incarnation: model::Incarnation, task: model::TaskName, run: u32) {
        let newest = self.fence.clone();
        let name = (task.clone(), run);
        let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.said.incarnation == incarnation)
        else {
            return;
        };
        event::agent::TASK_STOP.log(format_args!("task={task} run={run}"));
        worker.busy.insert(name.clone());
        let alive = rc::Rc::downgrade(&worker.alive);
        let fence = move || alive.upgrade().map(|_| newest.token());
        let stopping = launch::stop(worker.backend.clone(), task, run, fence);
        self.calls.push(Box::pin(async move {
            match stopping.await {
                true => Done::Stop(incarnation, name),
                false => Done::Over,
            }
        }));
    }

    fn done(&mut self, done: Done) {
        match done {
            Done::Look(incarnation, asked, answer) => self.looked(incarnation, asked, answer),
            Done::Met(incarnation, met) => self.met(incarnation, met),
            Done::Start(incarnation, name, outcome) => self.started(incarnation, name, outcome),
            Done::Stop(incarnation, name) => {
                let now = self.clock.tick();
                let Some(worker) =
                    self.worker.as_mut().filter(|w| w.said.incarnation == incarnation)
                else {
                    return;
                };
                worker.busy.remove(&name);
                worker.closing.insert(name, now);
                self.look(0);
            }
            Done::Over => {}
            Done::Pause => {
                self.looks -= 1;
                if self.looks == 0 {
                    self.look(LOOK_WAIT);
                }
            }
        }
    }

    fn started(
        &mut self,
        incarnation: model::Incarnation,
        name: RunName,
        outcome: launch::Outcome,
    ) {
        let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.said.incarnation == incarnation)
        else {
            return;
        };
        worker.busy.remove(&name);
        match outcome {
            launch::Outcome::Running => {}
            launch::Outcome::Failed(doubt, reason) => {
                event::agent::TASK_REFUSED.log(format_args!(
                    "task={} run={} doubt={doubt} reason={reason}",
                    name.0, name.1
                ));
                // Also where there is no doubt: an end of the same run may be listed.
                self.stop(incarnation, name.0, name.1);
            }
        }
    }

    /// Tells the leader how the worker stands.
    fn report(&mut self) {
        if self.session.is_none() {
            return;
        }
        let now = self.clock.tick();
        let sequence = self.hold.report(now);
        let worker = self.worker.as_ref();
        let listing = worker.and_then(|worker| worker.listing.as_ref());
        // Calls of an earlier term or incarnation may have an effect until the worker has seen this token.
        let counts = |asked: &meet::Asked| asked.at + CURRENT > now && asked.fence >= self.least;
        let current = listing.filter(|(_, asked)| counts(asked));
        let report = order::Report {
            sequence,
            worker: worker.map(|worker| worker.said.clone()),
            departed: self.gone,
            drain_left: worker.and_then(|worker| worker.stays).map(|stays| (stays - now).0),
            fresh: current.is_some(),
            running: current.map(|(held, _)| held.running.clone()).unwrap_or_default(),
            finished: current.map(|(held, _)| held.finished.clone()).unwrap_or_default(),
        };
        self.reported = now;
        if current.is_some() {
            self.asked = self.asked.or(Some(now));
        }
        self.send(wire::ClientMessage::Report(report));
    }

    fn send(&mut self, message: wire::ClientMessage) {
        let Some(session) = &self.session else { return };
        if !session.sender.try_send(&message) {
            self.closed("can't send");
        }
    }

    fn tick(&mut self) {
        let now = self.clock.tick();
        if self.asked.is_some_and(|asked| asked + SILENCE < now) {
            self.closed("silent");
        }
        if !self.hold.is_valid(now) {
            self.stop_inherited();
        }
        if self.reported + REPORT <= now {
            self.report();
        }
        if self.looks == 0 {
            self.look(LOOK_WAIT);
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
        tokio::time::sleep(SEEK_PAUSE).await;
    }
    found
}
