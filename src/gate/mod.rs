//! A gate's link to the leading control replica: calls on workflows, each with a timeout.
//!
//! The processes that serve callers and operators hold one link each. A call is retried with the
//! same identifiers until it is decided or times out. Every call is idempotent, since the registry
//! holds one job per caller's identifier and one configuration per version.
//!
//! A refusal by the configuration, or for want of memory, holds for the send that it replies to. An
//! earlier send of the same call may have been decided at another moment, so the call remains without
//! an answer.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::net::leader;
use crate::net::seeds;
use crate::net::stream;
use crate::telemetry::event;
use crate::telemetry::metrics as names;
use crate::wire::codec;
use crate::wire::gate as wire;

/// Idle time of a session after which the link pings the leader.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long the leader may stay silent after a call or ping; then the session ends.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// The first and the longest delay between two searches for the leader.
const DISCOVERY_BACK_OFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(30), time::Duration::from_millis(300));

/// The delay before an undecided call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(40);

/// The error of a call that was not decided before its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unanswered {
    /// Whether the call may have taken effect, or may still do so.
    pub sent: bool,
}

/// A call that waits to be sent over the session.
struct Request {
    body: wire::Call,
    reply: oneshot::Sender<wire::Reply>,
}

type Requests = mpsc::Sender<Request>;

/// A link to the leading control replica. One task maintains the session; [`Link::stop`] joins
/// that task.
pub struct Link {
    finder: leader::Finder,
    cell: u16,
    /// The leader of the current session, or of the last one.
    leader: cell::Cell<Option<net::SocketAddr>>,
    /// The queue of calls to the current session; `None` while there is no session.
    current: watch::Sender<Option<Requests>>,
    stop: watch::Sender<bool>,
    task: cell::RefCell<Option<actix_rt::task::JoinHandle<()>>>,
}

impl Link {
    /// Starts a link to the control group of `cell`, whose replicas are found from `seeds`.
    pub fn start(seeds: impl Into<seeds::Seeds>, cell: u16) -> rc::Rc<Self> {
        let link = rc::Rc::new(Self {
            finder: leader::Finder::new(seeds),
            cell,
            leader: cell::Cell::new(None),
            current: watch::Sender::new(None),
            stop: watch::Sender::new(false),
            task: cell::RefCell::default(),
        });
        link.task.replace(Some(actix_rt::spawn(maintain(link.clone()))));
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

    /// Whether there is a session with the leader.
    pub fn is_up(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// The leader of the current or last session, and the replica addresses that replicas reported.
    pub fn replicas(&self) -> (Option<net::SocketAddr>, Vec<net::SocketAddr>) {
        (self.leader.get(), self.finder.learnt())
    }

    /// Records replica addresses that the process at `from` reported.
    pub fn learn(&self, from: net::SocketAddr, replicas: &[String]) {
        self.finder.learn(from, replicas);
    }

    /// Calls the leader and retries until the call is decided. `timeout` covers all retries.
    ///
    /// # Errors
    ///
    /// Returns [`Unanswered`] after the timeout, and if a retry is refused for a reason of the moment
    /// while an earlier send may have taken effect.
    pub async fn call(
        &self,
        body: wire::Call,
        timeout: time::Duration,
    ) -> Result<wire::Reply, Unanswered> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut unanswered = Unanswered { sent: false };
        loop {
            let in_doubt = unanswered.sent && !body.is_read();
            let attempt =
                tokio::time::timeout_at(deadline, self.exchange(body.clone(), &mut unanswered));
            match attempt.await {
                Ok(Some(wire::Reply::Undecided(false))) => {}
                Ok(Some(wire::Reply::Undecided(true))) => unanswered.sent = true,
                Ok(Some(reply)) if in_doubt && reply.depends_on_moment() => {
                    log_withheld(&body, &reply);
                    return Err(unanswered);
                }
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(_) => return Err(unanswered),
            }
            if tokio::time::timeout_at(deadline, tokio::time::sleep(RETRY_DELAY)).await.is_err() {
                return Err(unanswered);
            }
        }
    }

    /// Sends a call once there is a session. Returns `None` if the session ends before the reply.
    async fn exchange(&self, body: wire::Call, unanswered: &mut Unanswered) -> Option<wire::Reply> {
        let requests = {
            let mut current = self.current.subscribe();
            let session = current.wait_for(Option::is_some).await.ok()?;
            session.clone()?
        };
        let (reply, receiver) = oneshot::channel();
        let before = *unanswered;
        unanswered.sent = true;
        if requests.send(Request { body, reply }).await.is_err() {
            *unanswered = before;
            return None;
        }
        let reply = receiver.await.ok()?;
        if reply == wire::Reply::Undecided(false) {
            *unanswered = before;
        }
        Some(reply)
    }
}

/// Logs that a call remains without an answer because its refusal may not hold for an earlier send.
fn log_withheld(body: &wire::Call, refusal: &wire::Reply) {
    let (host, path) =
        body.target().map_or(("", ""), |target| (target.host.as_str(), target.path.as_str()));
    let why = refusal.label();
    event::entry::REFUSAL_WITHHELD.log(format_args!("host={host} path={path} why=\"{why}\""));
}

/// Finds the leader and serves a session, repeatedly, until the link stops.
async fn maintain(link: rc::Rc<Link>) {
    let mut delay = DISCOVERY_BACK_OFF.0;
    let mut stop = link.stop.subscribe();
    loop {
        let had_session = tokio::select! {
            had_session = run_session(&link) => had_session,
            _ = stop.wait_for(|stop| *stop) => false,
        };
        // `run_session` may have been cancelled before it could clear the session.
        link.current.send_replace(None);
        if *link.stop.borrow() {
            return;
        }
        delay =
            if had_session { DISCOVERY_BACK_OFF.0 } else { DISCOVERY_BACK_OFF.1.min(delay * 2) };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Finds the leader and serves a session until it ends. Returns false if no leader was found.
async fn run_session(link: &Link) -> bool {
    let hello = wire::ClientMessage::Hello { version: codec::PROTOCOL_VERSION, cell: link.cell };
    let Some(session) =
        link.finder.find::<wire::ClientMessage, wire::ServerMessage>("/gate", &hello).await
    else {
        return false;
    };
    event::entry::LEADER_FOUND.log(format_args!("addr={}", session.addr));
    let addr = session.addr;
    link.leader.set(Some(addr));
    let (requests, incoming) = mpsc::channel(64);
    link.current.send_replace(Some(requests));
    metrics::gauge!(names::CONTROL_REACHABLE).set(1);
    serve(session, incoming).await;
    link.current.send_replace(None);
    metrics::gauge!(names::CONTROL_REACHABLE).set(0);
    event::entry::LEADER_LOST.log(format_args!("addr={addr}"));
    true
}

/// Forwards calls and replies until either side closes or the leader stays silent too long.
async fn serve(
    mut session: leader::Session<wire::ClientMessage, wire::ServerMessage>,
    mut incoming: mpsc::Receiver<Request>,
) {
    let mut pending: BTreeMap<u64, oneshot::Sender<wire::Reply>> = BTreeMap::new();
    let mut last_id = 0;
    // When the earliest message that the leader has not responded to was sent.
    let mut unanswered_since: Option<tokio::time::Instant> = None;
    loop {
        let now = tokio::time::Instant::now();
        let deadline = unanswered_since.map_or(now + PING_INTERVAL, |since| since + REPLY_TIMEOUT);
        tokio::select! {
            request = incoming.recv() => {
                let Some(request) = request else { return };
                last_id += 1;
                pending.insert(last_id, request.reply);
                if !send(
                    &session.sender,
                    &wire::ClientMessage::Call { id: last_id, body: request.body },
                ) {
                    return;
                }
                unanswered_since = unanswered_since.or(Some(now));
            }
            message = session.receiver.receive() => {
                let Some(message) = message else { return };
                unanswered_since = None;
                if let wire::ServerMessage::Reply { id, body } = message
                    && let Some(reply) = pending.remove(&id)
                {
                    // The receiver is gone if the caller has timed out.
                    let _ = reply.send(body);
                }
            }
            () = tokio::time::sleep_until(deadline) => {
                if unanswered_since.is_some()
                    || !send(&session.sender, &wire::ClientMessage::Ping)
                {
                    event::entry::LEADER_SILENT.log(format_args!("addr={}", session.addr));
                    return;
                }
                unanswered_since = Some(now);
            }
        }
    }
}

fn send(sender: &stream::Sender<wire::ClientMessage>, message: &wire::ClientMessage) -> bool {
    sender.try_send(message)
}
