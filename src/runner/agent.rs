//! The loop between the worker and the leader.

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

/// How often the leader hears of the worker when nothing changes.
const REPORT: core_time::Millis = core_time::Millis(500);

/// How long a look at the worker waits for news, in milliseconds.
const LOOK_WAIT: u64 = 500;

/// How long a worker may take to answer a look beyond the time that it waits.
const LOOK_SLACK: time::Duration = time::Duration::from_millis(700);

/// The pause before the next look while ends are not durable yet, or after a look that failed.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(150);

/// How old the worker's lists may be in a report.
const CURRENT: core_time::Millis = core_time::Millis(2000);

/// How long after a stop was answered the run has certainly ended, also where the lists can't tell:
/// a stop takes 400 ms.
const STOPPED: core_time::Millis = core_time::Millis(3000);

/// How long the leader may leave a report unanswered.
const SILENCE: core_time::Millis = core_time::Millis(1500);

/// The pause between two searches for a leader.
const SEEK_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The most lives that are asked at once whether they are there.
const MEETINGS: usize = 4;

/// How the loop's timer runs when nothing else happens.
const TICK: time::Duration = time::Duration::from_millis(250);

/// What the worker has said of itself, with the way to call it.
pub struct Beat {
    /// What it says; none when it has left.
    pub said: Option<order::Announced>,
    /// How much longer it stays at least if it is leaving, where it says so.
    pub stays: Option<core_time::Millis>,
    /// The life that it speaks for.
    pub life: model::Life,
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
    Look(model::Life, meet::Asked, Result<backend::Listing, backend::Unlisted>),
    /// A life that was announced was asked whether it is there.
    Met(model::Life, Option<meet::Met>),
    /// An order to start.
    Start(model::Life, RunName, launch::Outcome),
    /// An order to stop that was answered.
    Stop(model::Life, RunName),
    /// An order to a worker whose life is over.
    Over,
    /// The time for another look.
    Pause,
}

/// A life that was announced and has not answered yet.
struct Announced {
    said: order::Announced,
    stays: Option<core_time::Tick>,
    backend: rc::Rc<dyn Backend>,
}

type Session = leader::Found<wire::Up, wire::Down>;

/// The worker in the life that has answered last.
struct Worker {
    said: order::Announced,
    /// Whether it may hold runs that were ordered in the life before, beyond the present lease.
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
    /// Held as long as this life is the present one.
    alive: rc::Rc<()>,
}

impl Worker {
    /// The ends up to this one are to be forgotten; 0 if the worker lists none of them. Said no
    /// oftener than needed, since the next life of the worker counts its ends from 1 again.
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
    meeting: BTreeMap<model::Life, Announced>,
    /// The last life that was announced and did not answer: a new agent can't call a worker that
    /// knows the fence of a term before the leader has named it.
    unmet: Option<Announced>,
    /// The last life that has left for good.
    gone: Option<model::Life>,
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
        let hello = wire::Up::Hello { version: codec::VERSION, cell: self.cell, host: self.host };
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

    /// Takes what the worker says of itself.
    fn beat(&mut self, beat: Beat) {
        let known = self.worker.as_ref().map(|worker| worker.said.life);
        if self.gone.max(known).is_some_and(|latest| latest > beat.life) {
            // A message of an earlier life that was late.
            return;
        }
        let present = self.worker.as_mut().filter(|worker| worker.said.life == beat.life);
        let Some(said) = beat.said else {
            self.meeting.remove(&beat.life);
            if let Some(worker) = present {
                worker.said.draining = true;
                worker.left = true;
                self.report();
                self.look(0);
            }
            return;
        };
        if self.gone == Some(beat.life) {
            return;
        }
        let stays = beat.stays.map(|stays| self.clock.tick() + stays);
        match present {
            Some(worker) => {
                let news = worker.said != said;
                worker.said = said;
                worker.said.draining |= worker.left;
                worker.stays = stays;
                if news {
                    self.report();
                }
            }
            None => self.meet(Announced { said, stays, backend: beat.backend }),
        }
    }

    /// Asks a life that was announced whether it is there.
    fn meet(&mut self, announced: Announced) {
        let life = announced.said.life;
        if let Some(known) = self.meeting.get_mut(&life) {
            // The newest word of the life; the way to call it is the one that is being tried.
            (known.said, known.stays) = (announced.said, announced.stays);
            return;
        }
        if self.meeting.len() >= MEETINGS {
            return;
        }
        event::agent::WORKER_SEEN.log(format_args!("name={} life={life}", announced.said.name));
        // A life that may never come must not use up the tokens of those that do. But a new agent
        // does not know how high a token its worker has seen.
        if self.worker.is_none() {
            self.fence.call(life);
        }
        self.ask(announced);
    }

    fn ask(&mut self, announced: Announced) {
        let life = announced.said.life;
        let fence = self.fence.clone();
        let asked = meet::meet(announced.backend.clone(), life, move || fence.token(), self.clock);
        self.meeting.insert(life, announced);
        self.calls.push(Box::pin(async move { Done::Met(life, asked.await) }));
    }

    /// Takes over a life that has answered; whatever was before it is over.
    fn met(&mut self, life: model::Life, met: Option<meet::Met>) {
        let Some(announced) = self.meeting.remove(&life) else { return };
        let Some(met) = met else {
            self.unmet = Some(announced);
            return;
        };
        if met.asked.fence < self.fence.token_of(life) {
            // Only a call with a token of its own shuts out those for the life before.
            self.fence.call(life);
            self.ask(announced);
            return;
        }
        let known = self.worker.as_ref().map(|worker| worker.said.life);
        if self.gone.max(known).is_some_and(|latest| latest >= life) {
            return;
        }
        event::agent::WORKER_ANSWERS.log(format_args!(
            "life={life} clock={} running={} ended={}",
            met.listing.clock,
            met.listing.running.len(),
            met.listing.finished.len()
        ));
        self.least = self.least.max(self.fence.token_of(life));
        self.hold.reborn();
        self.hold.clock(met.listing.clock, self.clock.tick());
        self.worker = Some(Worker {
            said: announced.said,
            follows: known.is_some(),
            left: false,
            stays: announced.stays,
            backend: announced.backend,
            seen: 0,
            listing: Some((met.listing, met.asked)),
            heard: self.clock.tick(),
            closing: BTreeMap::new(),
            busy: BTreeSet::new(),
            alive: rc::Rc::new(()),
        });
        self.report();
        self.look(0);
    }

    /// The worker is gone for good.
    fn part(&mut self, life: model::Life) {
        event::agent::WORKER_LEFT.log(format_args!("life={life}"));
        self.gone = Some(life);
        self.worker = None;
        self.hold.reborn();
        self.report();
    }

    fn opened(&mut self, found: Option<Session>) {
        let Some(found) = found else { return };
        let wire::Down::Welcome { term, .. } = &found.greeting else { return };
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

    fn message(&mut self, message: Option<wire::Down>) {
        self.asked = None;
        match message {
            None => self.closed("closed"),
            Some(wire::Down::NotLeader(..)) => self.closed("not the leader"),
            Some(wire::Down::Welcome { .. }) => {}
            Some(wire::Down::Order(order)) => self.order(order),
        }
    }

    fn order(&mut self, order: order::Order) {
        match order {
            order::Order::Grant { sequence, length } => {
                self.hold.granted(sequence, core_time::Millis(length));
            }
            order::Order::Start(start) => self.start(start),
            order::Order::Stop { life, task, run } => self.stop(life, task, run),
            order::Order::Seen { life, number } => {
                let Some(worker) = &mut self.worker else { return };
                if worker.said.life == life && number > worker.seen {
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
        let Some(worker) = self.worker.as_mut().filter(|w| w.said.life == start.life) else {
            return;
        };
        if worker.busy.contains(&name) || worker.closing.contains_key(&name) {
            return;
        }
        let Some(until) = until.filter(|_| valid && !worker.said.draining) else {
            // An earlier order of the same run may be on its way.
            self.stop(start.life, name.0, name.1);
            return;
        };
        event::agent::TASK_START.log(format_args!("task={} run={}", start.task, start.run));
        worker.busy.insert(name.clone());
        let order::Start { life, task, run, spec, saved } = start;
        let launch = backend::Launch { task, run, spec, saved, fence, until };
        let starting = launch::start(worker.backend.clone(), launch);
        self.calls.push(Box::pin(async move { Done::Start(life, name, starting.await) }));
    }

    fn stop(&mut self, life: model::Life, task: model::TaskName, run: u32) {
        let newest = self.fence.clone();
        let name = (task.clone(), run);
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.said.life == life) else {
            return;
        };
        event::agent::TASK_STOP.log(format_args!("task={task} run={run}"));
        worker.busy.insert(name.clone());
        let alive = rc::Rc::downgrade(&worker.alive);
        let fence = move || alive.upgrade().map(|_| newest.token());
        let stopping = launch::stop(worker.backend.clone(), task, run, fence);
        self.calls.push(Box::pin(async move {
            match stopping.await {
                true => Done::Stop(life, name),
                false => Done::Over,
            }
        }));
    }

    fn done(&mut self, done: Done) {
        match done {
            Done::Look(life, asked, answer) => self.looked(life, asked, answer),
            Done::Met(life, met) => self.met(life, met),
            Done::Start(life, name, outcome) => self.started(life, name, outcome),
            Done::Stop(life, name) => {
                let now = self.clock.tick();
                let Some(worker) = self.worker.as_mut().filter(|w| w.said.life == life) else {
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

    fn started(&mut self, life: model::Life, name: RunName, outcome: launch::Outcome) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.said.life == life) else {
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
                self.stop(life, name.0, name.1);
            }
        }
    }

    /// Asks the worker after its runs, and extends its lease.
    fn look(&mut self, wait: u64) {
        let (until, fence) = (self.hold.until(), self.fence.token());
        let valid = self.hold.is_valid(self.clock.tick());
        let Some(worker) = &self.worker else { return };
        let until = until.filter(|_| valid);
        let look = backend::Look { fence, until, seen: worker.unforgotten(), wait };
        let life = worker.said.life;
        let asked = meet::Asked { at: self.clock.tick(), fence };
        let limit = time::Duration::from_millis(wait) + LOOK_SLACK;
        let answer = tokio::time::timeout(limit, worker.backend.look(look));
        self.looks += 1;
        self.calls.push(Box::pin(async move {
            let silent = |_| Err(backend::Unlisted::Unanswered("no answer".to_owned()));
            Done::Look(life, asked, answer.await.unwrap_or_else(silent))
        }));
    }

    fn looked(
        &mut self,
        life: model::Life,
        asked: meet::Asked,
        answer: Result<backend::Listing, backend::Unlisted>,
    ) {
        let now = self.clock.tick();
        let mut failed = true;
        let mut found = None;
        if let Some(worker) = self.worker.as_mut().filter(|worker| worker.said.life == life) {
            match answer {
                Ok(listing) if listing.born.is_some_and(|born| born != life.born) => {
                    event::agent::WORKER_SILENT.log(format_args!("life={life} another life"));
                    // It is not placed on before it has announced what it is itself.
                    let born = listing.born.unwrap_or(life.born);
                    let next = model::Life { born, ..life };
                    let said =
                        order::Announced { life: next, draining: true, ..worker.said.clone() };
                    let backend = worker.backend.clone();
                    found = Some(Announced { said, stays: None, backend });
                }
                Ok(listing) => {
                    failed = false;
                    let newest = worker.listing.as_ref().map_or(0, |(held, _)| held.clock);
                    // Answers may overtake one another; one to a later question is newer, whatever
                    // clock came with the other.
                    if listing.clock >= newest || asked.at > worker.heard {
                        worker.heard = now;
                        self.hold.clock(listing.clock, now);
                        self.take_listing(listing, asked);
                    }
                }
                // Its word alone does not prove that it is gone, nor does this alone.
                Err(backend::Unlisted::Nobody(_)) if worker.left => self.part(life),
                Err(error) => {
                    event::agent::WORKER_SILENT.log(format_args!("life={life} error={error}"));
                }
            }
        }
        if let Some(next) = found.filter(|next| next.said.life > life) {
            self.meet(next);
        }
        let open = self.worker.as_ref().and_then(|worker| worker.listing.as_ref());
        let open = open.is_some_and(|(listing, _)| !listing.finished.is_empty());
        self.looks -= 1;
        if self.looks > 0 {
            return;
        }
        if failed || open {
            self.looks += 1;
            self.calls.push(Box::pin(async {
                tokio::time::sleep(LOOK_PAUSE).await;
                Done::Pause
            }));
        } else {
            self.look(LOOK_WAIT);
        }
    }

    fn take_listing(&mut self, listing: backend::Listing, asked: meet::Asked) {
        let Some(worker) = &mut self.worker else { return };
        let names = |listing: &backend::Listing| -> BTreeSet<RunName> {
            listing.running.iter().map(|entry| (entry.task.clone(), entry.run)).collect()
        };
        let running = names(&listing);
        let before = worker.listing.as_ref().map(|(held, _)| names(held));
        let news = before.as_ref() != Some(&running) || !listing.finished.is_empty();
        let mut listed = running;
        listed.extend(listing.finished.iter().map(|entry| (entry.task.clone(), entry.run)));
        // What a row says that can't be read may be any run.
        let grace = if listing.partial { STOPPED } else { core_time::Millis(0) };
        let mut closed = Vec::new();
        worker.closing.retain(|name, answered| {
            if *answered > asked.at {
                return true;
            }
            // A run that is still going on is ordered to stop again by the leader.
            if listed.contains(name) {
                return false;
            }
            if *answered + grace > asked.at {
                return true;
            }
            closed.push(name.clone());
            false
        });
        let life = worker.said.life;
        worker.listing = Some((listing, asked));
        if news {
            self.report();
        }
        for (task, run) in closed {
            self.send(wire::Up::Closed { life, task, run });
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
        // Calls of an earlier term or life may have an effect until the worker has seen this token.
        let counts = |asked: &meet::Asked| asked.at + CURRENT > now && asked.fence >= self.least;
        let current = listing.filter(|(_, asked)| counts(asked));
        let report = order::Report {
            sequence,
            worker: worker.map(|worker| worker.said.clone()),
            gone: self.gone,
            stays: worker.and_then(|worker| worker.stays).map(|stays| (stays - now).0),
            current: current.is_some(),
            running: current.map(|(held, _)| held.running.clone()).unwrap_or_default(),
            finished: current.map(|(held, _)| held.finished.clone()).unwrap_or_default(),
        };
        self.reported = now;
        if current.is_some() {
            self.asked = self.asked.or(Some(now));
        }
        self.send(wire::Up::Report(report));
    }

    fn send(&mut self, message: wire::Up) {
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

impl Agent {
    /// Stops what a life holds of the one before once the lease is over: its deadline is on the
    /// clock of that life, and may lie far ahead.
    fn stop_inherited(&mut self) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.follows) else { return };
        worker.follows = false;
        let life = worker.said.life;
        let listed = worker.listing.iter().flat_map(|(listing, _)| &listing.running);
        let runs: Vec<_> = listed.map(|entry| (entry.task.clone(), entry.run)).collect();
        for (task, run) in runs {
            self.stop(life, task, run);
        }
    }
}

async fn next_message(session: &mut Option<Session>) -> Option<wire::Down> {
    match session {
        Some(session) => session.receiver.receive().await,
        None => std::future::pending().await,
    }
}

async fn find(finder: &leader::Finder, hello: &wire::Up) -> Option<Session> {
    let found = finder.find("/runner", hello).await;
    if found.is_none() {
        tokio::time::sleep(SEEK_PAUSE).await;
    }
    found
}
