//! Streams between replicas: one dialled to each member, and those that peers have opened.

use std::cell;
use std::net;
use std::rc;
use std::time;

use tokio::sync::mpsc;

use crate::control::replica::driver;
use crate::core::consensus::entry;
use crate::core::consensus::membership;
use crate::core::consensus::message;
use crate::core::ids;
use crate::net::stream;
use crate::telemetry::event;
use crate::wire::codec;
use crate::wire::peer;

/// The path of the streams between replicas.
pub const PATH: &str = "/peer";

/// Messages that may wait for a link; more are dropped, as a network would.
const QUEUE: usize = 1024;

/// How long the answer to a hello may take.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How long a replica may take to say which store it has: every step of a change of members waits
/// for the slowest of them, and a group bears no loss before the change is done.
const FIND_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How often an idle link says hello.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(5);

/// How long a link may go without an answer before it is dialled afresh.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// How long a stream that a peer has opened may be silent.
const IDLE: time::Duration = time::Duration::from_secs(15);

/// The first and the longest pause before a link is dialled again.
const BACK_OFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_millis(800));

/// Why a session with a peer could not begin.
pub(super) enum HelloError {
    /// The peer can't be reached, or does not answer.
    Unreachable(String),
    /// The peer is not who it should be.
    Wrong(String),
}

/// A session that a replica has opened with a peer.
pub(super) struct Session {
    pub(super) sender: stream::Sender<peer::ClientMessage>,
    pub(super) receiver: stream::Receiver<peer::ServerMessage>,
    /// What the peer has said of itself.
    pub(super) hello: peer::Hello,
    _connection: stream::Connection,
}

impl Session {
    /// Dials an address and exchanges hellos.
    pub(super) async fn open(
        driver: &driver::Driver,
        addr: net::SocketAddr,
    ) -> Result<Self, HelloError> {
        let unreachable = |detail: &str| HelloError::Unreachable(format!("{addr}: {detail}"));
        let opened = stream::connect::<peer::ClientMessage, peer::ServerMessage>(addr, PATH).await;
        let (sender, mut receiver, connection) =
            opened.map_err(|error| unreachable(&error.to_string()))?;
        sender.send(&peer::ClientMessage::Hello(hello(driver))).await;
        let answer = tokio::time::timeout(HELLO_TIMEOUT, receiver.receive()).await;
        let Ok(Some(peer::ServerMessage::Hello(hello))) = answer else {
            return Err(unreachable("no hello"));
        };
        if hello.version != codec::PROTOCOL_VERSION {
            let detail = format!("{addr} speaks version {}", hello.version);
            return Err(HelloError::Wrong(detail));
        }
        Ok(Self { sender, receiver, hello, _connection: connection })
    }
}

fn hello(driver: &driver::Driver) -> peer::Hello {
    let group = driver.group().map(|group| group.0);
    peer::Hello { version: codec::PROTOCOL_VERSION, id: driver.id().into(), group }
}

/// Whether a message answers another and so travels back on its stream.
pub(super) fn is_answer(body: &message::Body) -> bool {
    matches!(
        body,
        message::Body::PreVoteResponse { .. }
            | message::Body::VoteResponse { .. }
            | message::Body::AppendResponse { .. }
            | message::Body::SnapshotChunkResponse { .. }
    )
}

/// The way back along a stream that a peer has opened.
#[derive(Clone)]
pub(super) struct Route(rc::Rc<stream::Sender<peer::ServerMessage>>);

impl Route {
    /// Whether both are the same stream.
    pub(super) fn is(&self, other: &Route) -> bool {
        rc::Rc::ptr_eq(&self.0, &other.0)
    }

    /// Whether the stream has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// False if the stream has ended or has no room.
    pub(super) fn send(&self, envelope: message::Envelope) -> bool {
        !self.0.is_closed() && self.0.try_send(&peer::ServerMessage::Envelope(envelope.into()))
    }
}

/// The link that this replica dials to one member.
pub(super) struct Link {
    addr: String,
    /// None once the link is to end.
    queue: Option<mpsc::Sender<message::Envelope>>,
    /// Whether another store of the same replica was last found at the address.
    replaced: rc::Rc<cell::Cell<bool>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Starts to dial a member.
    pub(super) fn open(driver: rc::Rc<driver::Driver>, member: &entry::Member) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE);
        let addr = member.addr.clone();
        let replaced = rc::Rc::new(cell::Cell::new(false));
        let dialling = dial(driver, member.id, addr.clone(), messages, replaced.clone());
        Self { addr, queue: Some(queue), replaced, task: actix_rt::spawn(dialling) }
    }

    /// Whether the link leads to this address.
    pub(super) fn leads_to(&self, addr: &str) -> bool {
        self.addr == addr
    }

    /// Whether another store of the same replica was last found at the address.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced.get()
    }

    /// Sends a message, or drops it if too many wait.
    pub(super) fn send(&self, envelope: message::Envelope) {
        if let Some(queue) = &self.queue {
            let _ = queue.try_send(envelope);
        }
    }

    /// Lets the link end.
    pub(super) fn retire(self) -> Self {
        Self { queue: None, ..self }
    }

    /// Whether the link has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Ends the link and waits for it.
    pub(super) async fn stop(self) {
        let _ = self.retire().task.await;
    }
}

/// Keeps a session with one member until the link is dropped or the replica stops.
async fn dial(
    driver: rc::Rc<driver::Driver>,
    id: entry::Identity,
    addr: String,
    mut messages: mpsc::Receiver<message::Envelope>,
    replaced: rc::Rc<cell::Cell<bool>>,
) {
    let Ok(socket) = addr.parse::<net::SocketAddr>() else {
        event::store::PEER_REFUSED.log(format_args!("{addr} is not an address"));
        return;
    };
    let mut pause = BACK_OFF.0;
    let mut complaint = String::new();
    loop {
        let opened = tokio::select! {
            opened = Session::open(&driver, socket) => opened,
            () = driver.stopped() => return,
        };
        match opened {
            Ok(session) if entry::Identity::from(session.hello.id) == id => {
                pause = BACK_OFF.0;
                replaced.set(false);
                if !talk(&driver, session, &mut messages).await {
                    return;
                }
            }
            Ok(session) => {
                let found = entry::Identity::from(session.hello.id);
                replaced.set(found.replica == id.replica);
                complain(&mut complaint, format!("{addr}: expected {id:?}, found {found:?}"));
            }
            Err(HelloError::Wrong(detail)) => complain(&mut complaint, detail),
            Err(HelloError::Unreachable(detail)) => tracing::debug!(%detail, "peer unreachable"),
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => pause = BACK_OFF.1.min(pause * 2),
            () = driver.stopped() => return,
            () = dropped(&mut messages) => return,
        }
    }
}

/// Logs a complaint once.
fn complain(last: &mut String, detail: String) {
    if *last != detail {
        event::store::PEER_REFUSED.log(format_args!("{detail}"));
        *last = detail;
    }
}

/// Drops messages until the link is dropped.
async fn dropped(messages: &mut mpsc::Receiver<message::Envelope>) {
    while messages.recv().await.is_some() {}
}

/// Carries messages both ways. False once the link is dropped or the replica stops.
async fn talk(
    driver: &driver::Driver,
    mut session: Session,
    messages: &mut mpsc::Receiver<message::Envelope>,
) -> bool {
    // When the first message that has no answer yet was sent.
    let mut asked: Option<tokio::time::Instant> = None;
    loop {
        let now = tokio::time::Instant::now();
        let due = asked.map_or(now + KEEP_ALIVE, |asked| asked + SILENCE);
        tokio::select! {
            message = messages.recv() => {
                let Some(envelope) = message else { return false };
                let sent = session.sender.try_send(&peer::ClientMessage::Envelope(envelope.into()));
                if !sent && session.sender.is_closed() {
                    return true;
                }
                asked = asked.or(Some(now));
            }
            answer = session.receiver.receive() => {
                asked = None;
                match answer {
                    Some(peer::ServerMessage::Envelope(envelope)) => receive(driver, envelope),
                    Some(_) => {}
                    None => return true,
                }
            }
            () = tokio::time::sleep_until(due) => {
                if asked.is_some() {
                    return true;
                }
                session.sender.try_send(&peer::ClientMessage::Hello(hello(driver)));
                asked = Some(now);
            }
            () = driver.stopped() => return false,
        }
    }
}

fn receive(driver: &driver::Driver, envelope: peer::Envelope) {
    match message::Envelope::try_from(envelope) {
        Ok(envelope) => driver.push(message::Input::Receive(envelope)),
        Err(error) => event::store::PEER_REFUSED.log(format_args!("{error}")),
    }
}

/// Serves a stream that a peer has opened.
pub(super) async fn serve(driver: rc::Rc<driver::Driver>, incoming: stream::Incoming) {
    let addr = incoming.peer;
    let (sender, mut receiver) = incoming.split::<peer::ClientMessage, peer::ServerMessage>();
    let sender = rc::Rc::new(sender);
    let route = Route(sender.clone());
    let mut known = None;
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(IDLE, receiver.receive()) => message,
            () = driver.stopped() => return,
        };
        let Ok(Some(message)) = message else { return };
        match (message, known) {
            (peer::ClientMessage::Hello(said), _) => {
                sender.try_send(&peer::ServerMessage::Hello(hello(&driver)));
                if said.version != codec::PROTOCOL_VERSION {
                    let version = said.version;
                    event::store::PEER_REFUSED.log(format_args!("{addr} speaks {version}"));
                    return;
                }
                known = Some(said.id);
            }
            (peer::ClientMessage::Join(group), Some(_)) => {
                driver.push(message::Input::JoinGroup(ids::GroupKey(group)));
                driver.until(|driver| driver.group().is_some()).await;
                let Some(group) = driver.group() else { return };
                sender.try_send(&peer::ServerMessage::Joined(group.0));
            }
            (peer::ClientMessage::RequestAdmission(addr), Some(id)) => {
                driver.add_candidate(ids::ReplicaKey(id.replica), addr);
                sender.try_send(&peer::ServerMessage::Members(driver.known_addrs()));
            }
            (peer::ClientMessage::Members(members), Some(_)) => {
                driver.place().hear(&members);
                sender.try_send(&peer::ServerMessage::Members(driver.known_addrs()));
            }
            (peer::ClientMessage::Envelope(envelope), Some(id)) if envelope.from == id => {
                // A session that only asks who is here is no way to send answers.
                driver.add_route(id.into(), &route);
                receive(&driver, envelope);
            }
            (_, _) => {
                event::store::PEER_REFUSED.log(format_args!("{addr} spoke for another"));
                return;
            }
        }
    }
}

/// Finds the stores behind addresses.
pub(super) async fn find(
    driver: &driver::Driver,
    replicas: Vec<(ids::ReplicaKey, String)>,
) -> Vec<membership::Target> {
    let find = |(replica, addr): (ids::ReplicaKey, String)| async move {
        let store = match addr.parse() {
            _ if replica == driver.id().replica => Some(driver.id().store),
            Ok(socket) => {
                let opened = Session::open(driver, socket);
                match tokio::time::timeout(FIND_TIMEOUT, opened).await {
                    Ok(Ok(session)) if session.hello.id.replica == replica.0 => {
                        Some(ids::StoreKey(session.hello.id.store))
                    }
                    _ => None,
                }
            }
            Err(_) => None,
        };
        membership::Target { replica, addr, store }
    };
    futures_util::future::join_all(replicas.into_iter().map(find)).await
}
