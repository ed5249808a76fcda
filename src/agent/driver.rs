//! The agent's main loop, which passes inputs to the state and carries out its outputs.

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

/// Interval of the state's clock ticks.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long the response to an announcement may wait for a lease.
const LEASE_WAIT: core_time::Millis = core_time::Millis(400);

/// How long a planned stop without tasks waits until a leader has registered the departure.
const DEPARTURE_TIMEOUT: core_time::Millis = core_time::Millis::from_secs(5);

/// How long tasks may take to checkpoint when the drain time of a planned stop has passed.
const CHECKPOINT_GRACE: core_time::Millis = core_time::Millis::from_secs(5);

/// How long after [`CHECKPOINT_GRACE`] the agent waits until control has stored the ends.
const REPORT_TIMEOUT: core_time::Millis = core_time::Millis::from_secs(5);

/// A request to the driver from within the agent.
pub enum Call {
    /// An announcement of the backend server, answered with the lease, or with the name of the
    /// worker that this agent serves if the announcement names another one.
    Announce(contract::Announcement, oneshot::Sender<Result<contract::Lease, String>>),
    /// A planned stop: accept no new work, let tasks end and deliver their answers.
    Stop,
}

/// The agent's status, as its HTTP server shows it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The worker's name; `None` before the first announcement.
    pub worker: Option<String>,
    /// Whether the worker holds its lease and its backend server is present.
    pub ready: bool,
    /// The latest known revision of the configuration.
    pub revision: u64,
}

/// A session with a leader.
struct Session {
    number: u64,
    sender: stream::Sender<agent::ClientMessage>,
}

/// The response to an announcement that waits for a lease.
struct PendingReply {
    until: core_time::Tick,
    reply: oneshot::Sender<Result<contract::Lease, String>>,
}

type Work = LocalBoxFuture<'static, Option<state::Input>>;

/// Runs the state with a clock, a session, the HTTP server's calls and the backend server.
pub struct Driver {
    clock: clock::Clock,
    state: state::State,
    client: Option<(contract::Announcement, backend::Shared)>,
    session: Option<Session>,
    sessions: u64,
    answers: answers::Answers,
    /// Answers being sent, with the number of the session that carries them.
    sending: rc::Rc<cell::RefCell<std::collections::BTreeMap<ids::AttemptKey, u64>>>,
    work: FuturesUnordered<Work>,
    pending: Vec<PendingReply>,
    view: rc::Rc<cell::RefCell<View>>,
    revision: rc::Rc<cell::Cell<u64>>,
    /// Tells the dialer up to which number sessions are to be dropped.
    last_dropped: watch::Sender<u64>,
    /// How long a planned stop lets tasks run.
    drain: core_time::Millis,
    /// When a planned stop no longer waits for a leader to register the departure.
    departure_deadline: core_time::Tick,
    /// When the planned stop orders the remaining tasks to stop.
    drain_deadline: Option<core_time::Tick>,
    /// When the planned stop ends without waiting for the remaining attempts.
    exit_deadline: Option<core_time::Tick>,
}

impl Driver {
    /// Creates a driver that publishes its status in `view` and counts its fencing tokens from
    /// `fence`.
    pub fn new(
        fence: u64,
        drain: core_time::Millis,
        view: rc::Rc<cell::RefCell<View>>,
        revision: rc::Rc<cell::Cell<u64>>,
        last_dropped: watch::Sender<u64>,
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
            pending: Vec::new(),
            view,
            revision,
            last_dropped,
            drain,
            departure_deadline: core_time::Tick(0),
            drain_deadline: None,
            exit_deadline: None,
        }
    }

    /// Runs until a planned stop is complete.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<Call>,
        mut events: mpsc::Receiver<session::Event>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.is_done() {
            tokio::select! {
                Some(call) = calls.recv() => self.handle_call(call),
                Some(event) = events.recv() => self.handle_event(event),
                Some(done) = self.work.next(), if !self.work.is_empty() => {
                    if let Some(input) = done {
                        self.step(input);
                    }
                }
                _ = ticks.tick() => self.step(state::Input::Tick),
            }
            self.answer_pending();
            self.publish_view();
        }
    }

    /// Whether a planned stop is complete: all ends are stored by control, or its deadline has
    /// passed. Orders the remaining tasks to stop once the drain time is over.
    fn is_done(&mut self) -> bool {
        let now = self.clock.tick();
        let Some(drain_deadline) = self.drain_deadline else { return false };
        let departed = self.state.is_announced() || now >= self.departure_deadline;
        if (self.state.idle() && departed) || self.exit_deadline.is_some_and(|end| now >= end) {
            return true;
        }
        if now >= drain_deadline && self.exit_deadline.is_none() && !self.state.idle() {
            self.exit_deadline = Some(now + CHECKPOINT_GRACE + REPORT_TIMEOUT);
            event::agent::DRAIN_TIMED_OUT.log(format_args!("tasks={}", self.state.occupied()));
            self.step(state::Input::StopAll(CHECKPOINT_GRACE));
        }
        false
    }

    fn handle_call(&mut self, call: Call) {
        match call {
            Call::Announce(announcement, reply) => self.announce(announcement, reply),
            Call::Stop => {
                let now = self.clock.tick();
                self.departure_deadline = now + DEPARTURE_TIMEOUT;
                self.drain_deadline = Some(now + self.drain);
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
        let is_current = self
            .client
            .as_ref()
            .is_some_and(|(known, _)| uses_same_connections(known, &announcement));
        if !is_current {
            let client = rc::Rc::new(backend::Client::new(&announcement));
            self.client = Some((announcement.clone(), client));
        }
        let until = self.clock.tick() + LEASE_WAIT;
        self.step(state::Input::Announced(announcement));
        self.pending.push(PendingReply { until, reply });
    }

    /// Answers announcements as soon as the worker holds a lease, or when they have waited for
    /// [`LEASE_WAIT`].
    fn answer_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let now = self.clock.tick();
        let lease = self.state.grant_lease(now);
        let is_due = |pending: &mut PendingReply| lease.lease_ms > 0 || now >= pending.until;
        for pending in self.pending.extract_if(.., is_due) {
            let _ = pending.reply.send(Ok(lease));
        }
    }

    fn handle_event(&mut self, event: session::Event) {
        match event {
            session::Event::Connected(sender) => {
                self.sessions += 1;
                self.session = Some(Session { number: self.sessions, sender });
                self.step(state::Input::Connected);
            }
            session::Event::Message(message) => self.step(state::Input::Received(message)),
            session::Event::Disconnected => {
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
                self.last_dropped.send_replace(self.sessions);
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

    /// Sends a held answer, unless it is already being sent on the same session.
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

    fn publish_view(&self) {
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

/// Whether one client serves both announcements.
fn uses_same_connections(one: &contract::Announcement, other: &contract::Announcement) -> bool {
    one.url == other.url && one.connections == other.connections && one.slots == other.slots
}

/// Carries out one call to the backend server and turns its result into an input.
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
                let outcome = client.start(clock, task, &prepare, lease).await;
                Some(state::Input::StartFinished(task, outcome))
            }
            state::Output::Watch { task, delay } => {
                tokio::time::sleep(delay.to_duration()).await;
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
                let outcome = answers.fetch(client, task, meta, limit).await;
                Some(state::Input::Fetched(task.attempt, outcome))
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
