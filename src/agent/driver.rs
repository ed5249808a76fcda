//! The agent's one task: feeds the state and carries out what it decides.

use std::cell;
use std::rc;
use std::time;

use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::agent::answers;
use crate::agent::backend;
use crate::agent::contract;
use crate::agent::session;
use crate::agent::state;
use crate::control::clock;
use crate::core::ids;
use crate::core::time as core_time;
use crate::net::stream;
use crate::telemetry::event;
use crate::telemetry::metrics as names;
use crate::wire::agent;

/// How often time is looked at when nothing else happens.
const TICK: time::Duration = time::Duration::from_millis(100);

/// How long the answer to an announcement may wait for a lease.
const LEND_WAIT: core_time::Millis = core_time::Millis(400);

/// How long a planned stop without tasks waits for a leader to take note of it.
const LEAVE_WAIT: core_time::Millis = core_time::Millis::from_secs(5);

/// How long tasks may take to checkpoint when a planned stop is out of time.
const CUT_GRACE: core_time::Millis = core_time::Millis::from_secs(5);

/// How long after that the agent waits for control to take note of the ends.
const CUT_WAIT: core_time::Millis = core_time::Millis::from_secs(5);

/// What a server of this agent asks of the driver.
pub enum Call {
    /// The backend server has announced itself; answered with the lease, or with the name of the
    /// worker that this agent serves, if that is another one.
    Announce(contract::Announcement, oneshot::Sender<Result<contract::Lease, String>>),
    /// Stop: want no new work, let tasks end, hand over their answers.
    Stop,
}

/// What others may see of the agent.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The worker's name; none before the first announcement.
    pub worker: Option<String>,
    /// Whether the worker holds its lease and its backend server is there.
    pub ready: bool,
    /// The revision of the configuration.
    pub revision: u64,
}

/// A session with a leader.
struct Session {
    number: u64,
    sender: stream::Sender<agent::ClientMessage>,
}

/// An announcement whose answer waits for a lease.
struct Waiting {
    until: core_time::Tick,
    reply: oneshot::Sender<Result<contract::Lease, String>>,
}

type Work = LocalBoxFuture<'static, Option<state::Input>>;

/// The driver.
pub struct Driver {
    clock: clock::Clock,
    state: state::State,
    client: Option<(contract::Announcement, backend::Shared)>,
    session: Option<Session>,
    sessions: u64,
    answers: answers::Answers,
    /// Answers being sent, with the session on which they are.
    sending: rc::Rc<cell::RefCell<std::collections::BTreeMap<ids::AttemptKey, u64>>>,
    work: FuturesUnordered<Work>,
    waiting: Vec<Waiting>,
    view: rc::Rc<cell::RefCell<View>>,
    revision: rc::Rc<cell::Cell<u64>>,
    /// Where the number of a session that is to be dropped goes.
    dropped: watch::Sender<u64>,
    /// How long a planned stop lets tasks run.
    drain: core_time::Millis,
    /// Until when a planned stop waits to be taken note of.
    leave: core_time::Tick,
    /// When the planned stop is out of time.
    cut: Option<core_time::Tick>,
    /// When the planned stop ends whatever is left.
    end: Option<core_time::Tick>,
}

impl Driver {
    /// A driver that shows itself in `view` and counts its fencing tokens from `fence`.
    pub fn new(
        fence: u64,
        drain: core_time::Millis,
        view: rc::Rc<cell::RefCell<View>>,
        revision: rc::Rc<cell::Cell<u64>>,
        dropped: watch::Sender<u64>,
    ) -> Self {
        Self {
            clock: clock::Clock::start(),
            state: state::State::new(fence),
            client: None,
            session: None,
            sessions: 0,
            answers: answers::Answers::default(),
            sending: rc::Rc::default(),
            work: FuturesUnordered::new(),
            waiting: Vec::new(),
            view,
            revision,
            dropped,
            drain,
            leave: core_time::Tick(0),
            cut: None,
            end: None,
        }
    }

    /// Runs until a planned stop is done.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<Call>,
        mut notes: mpsc::Receiver<session::Note>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.done() {
            tokio::select! {
                Some(call) = calls.recv() => self.call(call),
                Some(note) = notes.recv() => self.note(note),
                Some(done) = self.work.next(), if !self.work.is_empty() => {
                    if let Some(input) = done {
                        self.step(input);
                    }
                }
                _ = ticks.tick() => self.step(state::Input::Tick),
            }
            self.answer_waiting();
            self.show();
        }
    }

    /// Whether a planned stop is done: everything is handed over, or its time is up.
    fn done(&mut self) -> bool {
        let now = self.clock.tick();
        let Some(cut) = self.cut else { return false };
        let noted = self.state.is_announced() || now >= self.leave;
        if (self.state.idle() && noted) || self.end.is_some_and(|end| now >= end) {
            return true;
        }
        if now >= cut && self.end.is_none() && !self.state.idle() {
            self.end = Some(now + CUT_GRACE + CUT_WAIT);
            event::agent::CUT_SHORT.log(format_args!("tasks={}", self.state.occupied()));
            self.step(state::Input::StopAll(CUT_GRACE));
        }
        false
    }

    fn call(&mut self, call: Call) {
        match call {
            Call::Announce(announcement, reply) => self.announce(announcement, reply),
            Call::Stop => {
                let now = self.clock.tick();
                self.leave = now + LEAVE_WAIT;
                self.cut = Some(now + self.drain);
                self.step(state::Input::Leave);
            }
        }
    }

    fn announce(
        &mut self,
        announcement: contract::Announcement,
        reply: oneshot::Sender<Result<contract::Lease, String>>,
    ) {
        if let Some(worker) = self.state.worker()
            && worker != announcement.name
        {
            let _ = reply.send(Err(worker.to_owned()));
            return;
        }
        let same =
            self.client.as_ref().is_some_and(|(known, _)| reached_alike(known, &announcement));
        if !same {
            let client = rc::Rc::new(backend::Client::new(&announcement));
            self.client = Some((announcement.clone(), client));
        }
        let until = self.clock.tick() + LEND_WAIT;
        self.step(state::Input::Announced(announcement));
        self.waiting.push(Waiting { until, reply });
    }

    /// Answers announcements as soon as there is a lease to tell of, or when they waited enough.
    fn answer_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.clock.tick();
        let lease = self.state.grant_lease(now);
        let due = |waiting: &mut Waiting| lease.lease_ms > 0 || now >= waiting.until;
        for waiting in self.waiting.extract_if(.., due) {
            let _ = waiting.reply.send(Ok(lease));
        }
    }

    fn note(&mut self, note: session::Note) {
        match note {
            session::Note::Up(sender) => {
                self.sessions += 1;
                self.session = Some(Session { number: self.sessions, sender });
                self.step(state::Input::Connected);
            }
            session::Note::Down(down) => self.step(state::Input::Received(down)),
            session::Note::Ended => {
                self.session = None;
                self.step(state::Input::Disconnected);
            }
        }
    }

    fn step(&mut self, input: state::Input) {
        let mut outputs = Vec::new();
        self.state.step(self.clock.tick(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: state::Output) {
        match output {
            state::Output::Send(message) => self.send(&message),
            state::Output::Deliver { attempt, meta } => self.deliver(attempt, meta),
            state::Output::Reconnect => {
                self.dropped.send_replace(self.sessions);
            }
            state::Output::AttemptEnded { attempt, label } => {
                metrics::counter!(names::ATTEMPTS, "result" => label).increment(1);
                event::agent::ATTEMPT_ENDED.log(format_args!("attempt={attempt} result={label}"));
            }
            state::Output::Log(event, details) => event.log(format_args!("{details}")),
            output => {
                if let Some((_, client)) = &self.client {
                    let work = call_backend(self.clock, client.clone(), &self.answers, output);
                    self.work.push(work);
                }
            }
        }
    }

    fn send(&mut self, message: &agent::ClientMessage) {
        let Some(session) = &self.session else { return };
        if !session.sender.try_send(message) {
            tracing::debug!("message to control dropped: no room or no session");
        }
    }

    /// Sends a kept answer, unless that is under way on the same session.
    fn deliver(&mut self, attempt: ids::AttemptKey, meta: crate::wire::common::AnswerMeta) {
        let Some(session) = &self.session else { return };
        let number = session.number;
        if self.sending.borrow_mut().insert(attempt, number) == Some(number) {
            return;
        }
        let (sender, answers) = (session.sender.clone(), self.answers.clone());
        let sending = self.sending.clone();
        self.work.push(Box::pin(async move {
            let delivered = answers.deliver(sender, attempt, meta).await;
            let mut sending = sending.borrow_mut();
            if sending.get(&attempt) == Some(&number) {
                sending.remove(&attempt);
            }
            delivered.then_some(state::Input::Delivered(attempt))
        }));
    }

    fn show(&self) {
        let now = self.clock.tick();
        let ready = self.state.ready(now);
        let revision = self.state.revision().0;
        self.revision.set(revision);
        let mut view = self.view.borrow_mut();
        view.ready = ready;
        view.revision = revision;
        if view.worker.as_deref() != self.state.worker() {
            view.worker = self.state.worker().map(str::to_owned);
        }
        metrics::gauge!(names::LEASE).set(f64::from(u8::from(ready)));
        metrics::gauge!(names::TASKS).set(f64::from(self.state.occupied()));
        metrics::gauge!(names::REVISION).set(revision as f64);
    }
}

/// Whether both announcements lead to the same connections.
fn reached_alike(one: &contract::Announcement, other: &contract::Announcement) -> bool {
    one.url == other.url && one.connections == other.connections && one.slots == other.slots
}

/// Carries out one call to the backend server and turns what came of it into an input.
fn call_backend(
    clock: clock::Clock,
    client: backend::Shared,
    answers: &answers::Answers,
    output: state::Output,
) -> Work {
    let answers = answers.clone();
    Box::pin(async move {
        match output {
            state::Output::Start { task, prepare, lease } => {
                let begun = client.begin(clock, task, &prepare, lease).await;
                Some(state::Input::StartFinished(task, begun))
            }
            state::Output::Watch { task, pause } => {
                tokio::time::sleep(pause.to_duration()).await;
                Some(state::Input::Watched(task, client.watch(task).await))
            }
            state::Output::Stop { task } => {
                Some(state::Input::Stopped(task, client.stop(task).await))
            }
            state::Output::Checkpoint { task, grace } => {
                client.order(task, &format!("/checkpoint?grace={grace}")).await;
                None
            }
            state::Output::Throttle { task, percent } => {
                client.order(task, &format!("/throttle?percent={percent}")).await;
                None
            }
            state::Output::Fetch { task, meta, limit } => {
                let fetched = answers.fetch(client, task, meta, limit).await;
                Some(state::Input::Fetched(task.attempt, fetched))
            }
            state::Output::Discard { attempt, tasks } => {
                answers.drop(attempt);
                client.delete(&tasks).await;
                None
            }
            state::Output::Sweep { keep } => Some(state::Input::Swept(client.sweep(&keep).await)),
            state::Output::Send(_)
            | state::Output::Deliver { .. }
            | state::Output::Reconnect
            | state::Output::AttemptEnded { .. }
            | state::Output::Log(..) => None,
        }
    })
}
