//! The entry's link to the leading control replica: calls with a timeout, and pushed messages.
//!
//! This is the only layer between caller and control that retries. A retry carries the same key or
//! number, so that control recognizes it. After an unanswered send, a `not-run` reply to a retry is
//! reported as `may-have-run`, since the earlier send may still arrive.

use std::cell;
use std::net;
use std::rc;
use std::time;

use tokio::sync::watch;

use crate::core::account;
use crate::core::limit;
use crate::core::verdict;
use crate::entry::discovery;
use crate::entry::refusal_counts;
use crate::entry::session;
use crate::telemetry::event;
use crate::wire::common;
use crate::wire::entry as wire;

/// How long the leader may take to reply to a call that does not wait.
pub const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The delay before a call that control could not decide is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// The first delay between searches for the leader.
const MIN_DISCOVERY_DELAY: time::Duration = time::Duration::from_millis(25);

/// The longest delay between searches for the leader.
const MAX_DISCOVERY_DELAY: time::Duration = time::Duration::from_millis(800);

macro_rules! stopped {
    ($link:expr) => {
        async {
            let mut stop = $link.stop.subscribe();
            let _ = stop.wait_for(|stop| *stop).await;
        }
    };
}

/// The error of a call without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unanswered {
    /// Whether the call was sent to a replica.
    pub sent: bool,
}

impl Unanswered {
    /// The refusal of a request that may change state.
    pub fn refusal(self) -> verdict::Refusal {
        let reason = verdict::Reason::NoControl;
        if self.sent {
            verdict::Refusal::may_have_run(reason, "sent, but not answered in time")
        } else {
            verdict::Refusal::not_run(reason, "no leader was found in time")
        }
    }
}

/// A link to the leading control replica. One task maintains the session; [`Link::stop`] joins
/// that task.
pub struct Link {
    replicas: Vec<net::SocketAddr>,
    cell: u16,
    entry: u64,
    current: watch::Sender<Option<rc::Rc<session::Session>>>,
    config: cell::RefCell<Option<rc::Rc<account::Config>>>,
    retry_budget: cell::RefCell<limit::RetryBudget>,
    refusals: cell::RefCell<refusal_counts::RefusalCounts>,
    stop: watch::Sender<bool>,
    task: cell::RefCell<Option<actix_rt::task::JoinHandle<()>>>,
}

impl Link {
    /// Starts a link to the control group of `cell`. `entry` is the random identity of this
    /// process.
    pub fn start(replicas: Vec<net::SocketAddr>, cell: u16, entry: u64) -> rc::Rc<Self> {
        let link = rc::Rc::new(Self {
            replicas,
            cell,
            entry,
            current: watch::Sender::new(None),
            config: cell::RefCell::default(),
            retry_budget: cell::RefCell::default(),
            refusals: cell::RefCell::default(),
            stop: watch::Sender::new(false),
            task: cell::RefCell::default(),
        });
        let task = actix_rt::spawn(maintain(link.clone()));
        link.task.replace(Some(task));
        link
    }

    /// Ends the session and joins the task.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let task = self.task.take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }

    /// The newest configuration received from control; `None` before the first.
    pub fn config(&self) -> Option<rc::Rc<account::Config>> {
        self.config.borrow().clone()
    }

    /// Whether there is a session with the leader.
    pub fn is_up(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// The refusals of this entry that control has not stored yet.
    pub fn refusals(&self) -> cell::RefMut<'_, refusal_counts::RefusalCounts> {
        self.refusals.borrow_mut()
    }

    /// Sends the report of refusals if there are refusals to report and a session.
    pub fn report(&self) {
        let Some(session) = self.current.borrow().clone() else { return };
        if let Some(report) = self.refusals.borrow_mut().report() {
            session.send_message(&report);
        }
    }

    /// Calls control and waits for one reply. `timeout` covers all retries.
    pub async fn call(
        &self,
        trace: &common::TraceContext,
        body: wire::Call,
        timeout: time::Duration,
    ) -> Result<wire::Reply, Unanswered> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut unanswered = Unanswered { sent: false };
        loop {
            let sent_before = unanswered.sent;
            let mut exchange = self.exchange(trace, &body, deadline, &mut unanswered).await?;
            let limit = deadline.min(tokio::time::Instant::now() + reply_timeout(&body));
            match tokio::time::timeout_at(limit, exchange.reply()).await {
                Ok(Some(reply)) if is_undecided(&reply) => {
                    let delay = tokio::time::sleep(RETRY_DELAY);
                    if tokio::time::timeout_at(deadline, delay).await.is_err() {
                        return Ok(reply);
                    }
                }
                Ok(Some(reply)) if sent_before => return Ok(with_doubt(&body, reply)),
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(_) if limit < deadline => self.end_silent_session(),
                Err(_) => return Err(unanswered),
            }
        }
    }

    /// Sends a call as soon as there is a session, before `deadline`. A call that was sent before,
    /// according to `unanswered`, takes from the retry budget unless it only waits: a wait is
    /// repeated once for each leader, and a caller that was refused would repeat it anyway.
    pub async fn exchange(
        &self,
        trace: &common::TraceContext,
        body: &wire::Call,
        deadline: tokio::time::Instant,
        unanswered: &mut Unanswered,
    ) -> Result<session::Exchange, Unanswered> {
        let wait = matches!(body, wire::Call::Fetch { .. });
        if !unanswered.sent {
            self.retry_budget.borrow_mut().deposit();
        } else if !wait && !self.retry_budget.borrow_mut().withdraw() {
            return Err(*unanswered);
        }
        loop {
            let leader = tokio::time::timeout_at(deadline, self.session()).await;
            let Ok(Some(session)) = leader else { return Err(*unanswered) };
            unanswered.sent = true;
            let call = session.call(trace.clone(), body.clone());
            match tokio::time::timeout_at(deadline, call).await {
                Ok(Some(exchange)) => return Ok(exchange),
                // The stream closed during the call; the link searches for the leader again.
                Ok(None) => session.end(),
                Err(_) => return Err(*unanswered),
            }
        }
    }

    /// Waits for a session with the leader. Returns `None` if the link is stopping.
    async fn session(&self) -> Option<rc::Rc<session::Session>> {
        let mut current = self.current.subscribe();
        let open = |session: &Option<rc::Rc<session::Session>>| {
            session.as_ref().is_some_and(|session| session.is_open())
        };
        let found = current.wait_for(open).await.ok()?;
        found.clone()
    }

    /// Ends the current session because its leader does not reply.
    pub fn end_silent_session(&self) {
        let session = self.current.borrow().clone();
        if let Some(session) = session {
            event::entry::LEADER_SILENT.log(format_args!("addr={}", session.addr));
            session.end();
        }
    }

    /// Replaces the configuration if there is none yet or the new one has a higher revision.
    fn update_config(&self, config: common::Config) {
        let current = self.revision();
        let offered = config.revision;
        if self.config.borrow().is_some() && offered <= current {
            return;
        }
        match account::Config::try_from(config) {
            Ok(config) => {
                event::entry::CONFIG_APPLIED
                    .log(format_args!("revision={offered} before={current}"));
                self.config.replace(Some(rc::Rc::new(config)));
            }
            Err(error) => {
                event::entry::CONFIG_REFUSED.log(format_args!("revision={offered} error={error}"));
            }
        }
    }

    fn revision(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.revision.0)
    }

    fn receive(&self, session: &session::Session, message: wire::ServerMessage) -> bool {
        match message {
            wire::ServerMessage::Welcome { .. } => {}
            wire::ServerMessage::Config(config) => self.update_config(config),
            wire::ServerMessage::Reply { id, body } => session.deliver(id, body),
            wire::ServerMessage::RefusalsStored { sequence } => {
                self.refusals.borrow_mut().mark_stored(sequence)
            }
            wire::ServerMessage::NotLeader { .. } => return false,
        }
        true
    }
}

/// How long control may take to reply to a call.
fn reply_timeout(body: &wire::Call) -> time::Duration {
    match body {
        wire::Call::Fetch { wait, .. } => time::Duration::from_millis(*wait) + REPLY_TIMEOUT,
        _ => REPLY_TIMEOUT,
    }
}

/// Whether control could not decide the call; a retry may succeed, as a new leader can decide.
fn is_undecided(reply: &wire::Reply) -> bool {
    let no_control = verdict::Reason::NoControl.number();
    matches!(reply, wire::Reply::Refused(refusal) if refusal.reason == no_control)
}

/// Turns a `not-run` refusal of a retried submission into `may-have-run`, since the unanswered
/// earlier send may still arrive.
fn with_doubt(body: &wire::Call, reply: wire::Reply) -> wire::Reply {
    let wire::Reply::Refused(refusal) = reply else { return reply };
    let submit = matches!(body, wire::Call::Submit(_));
    let not_run = verdict::Verdict::NotRun;
    match verdict::Refusal::try_from(refusal.clone()) {
        Ok(known) if submit && known.verdict == not_run => {
            let detail = format!("{}; an earlier send is unanswered", known.detail);
            wire::Reply::Refused(verdict::Refusal::may_have_run(known.reason, detail).into())
        }
        _ => wire::Reply::Refused(refusal),
    }
}

/// Finds the leader and serves a session, repeatedly, until the link stops.
async fn maintain(link: rc::Rc<Link>) {
    let mut delay = MIN_DISCOVERY_DELAY;
    loop {
        let started = tokio::time::Instant::now();
        let had_session = tokio::select! {
            had_session = run_session(&link) => had_session,
            () = stopped!(link) => return,
        };
        // A session that lasted this long had a working leader: reset the back-off.
        if had_session && started.elapsed() > MAX_DISCOVERY_DELAY {
            delay = MIN_DISCOVERY_DELAY;
        }
        tokio::select! {
            () = tokio::time::sleep(jitter(delay)) => {}
            () = stopped!(link) => return,
        }
        delay = (delay * 2).min(MAX_DISCOVERY_DELAY);
    }
}

/// Finds the leader and serves a session until it ends. Returns false if no leader was found.
async fn run_session(link: &Link) -> bool {
    let hello = discovery::Hello { cell: link.cell, entry: link.entry, revision: link.revision() };
    let Some(mut found) = discovery::find(&link.replicas, hello).await else { return false };
    event::entry::LEADER_FOUND.log(format_args!("addr={}", found.addr));
    let session = rc::Rc::new(session::Session::new(found.addr, found.sender));
    link.update_config(found.config);
    // The guard ends the session also when this future is dropped.
    let guard = SessionGuard { link, session: session.clone() };
    link.current.send_replace(Some(session.clone()));
    link.report();
    loop {
        let message = tokio::select! {
            message = found.receiver.receive() => message,
            () = session.ended() => None,
        };
        let Some(message) = message else { break };
        if !link.receive(&session, message) {
            break;
        }
    }
    event::entry::LEADER_LOST.log(format_args!("addr={}", found.addr));
    drop(guard);
    drop(found.connection);
    true
}

struct SessionGuard<'a> {
    link: &'a Link,
    session: rc::Rc<session::Session>,
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.link.current.send_replace(None);
        self.session.end();
    }
}

/// A random duration between half of `delay` and `delay`.
fn jitter(delay: time::Duration) -> time::Duration {
    let mut byte = [0];
    // Without random bytes the delay has no jitter, which is harmless.
    let _ = getrandom::fill(&mut byte);
    delay / 2 + delay / 512 * u32::from(byte[0])
}
