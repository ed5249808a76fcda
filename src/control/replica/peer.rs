//! Streams between replicas: those that this replica opens to the members, and those that it accepts.

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

/// Maximum number of messages queued on a link; further ones are dropped, as by a network.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Time that a peer may take to respond to a hello.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time that a replica may take to report its store. Each step of a membership change waits for the
/// slowest replica, and the group tolerates no loss until the change is complete.
const STORE_LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time after which an idle link sends a hello.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Time that a link may wait for a response before it is dialled again.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time after which an accepted stream without messages is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// The shortest and the longest delay before a link is dialled again.
const REDIAL_BACK_OFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_millis(800));

/// Why a session with a peer could not be opened.
pub(super) enum HelloError {
    /// The peer can't be reached or does not respond.
    Unreachable(String),
    /// The peer uses another protocol version.
    Rejected(String),
}

/// A session that a replica has opened with a peer.
pub(super) struct Session {
    pub(super) sender: stream::Sender<peer::ClientMessage>,
    pub(super) receiver: stream::Receiver<peer::ServerMessage>,
    /// The peer's hello.
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
        sender.send(&peer::ClientMessage::Hello(own_hello(driver))).await;
        let response = tokio::time::timeout(HELLO_TIMEOUT, receiver.receive()).await;
        let Ok(Some(peer::ServerMessage::Hello(hello))) = response else {
            return Err(unreachable("no hello"));
        };
        if hello.version != codec::PROTOCOL_VERSION {
            let detail = format!("{addr} uses protocol version {}", hello.version);
            return Err(HelloError::Rejected(detail));
        }
        Ok(Self { sender, receiver, hello, _connection: connection })
    }
}

fn own_hello(driver: &driver::Driver) -> peer::Hello {
    let group = driver.group().map(|group| group.0);
    peer::Hello { version: codec::PROTOCOL_VERSION, id: driver.id().into(), group }
}

/// Whether a message is a response, which is sent on the stream of its request.
pub(super) fn is_response(body: &message::Body) -> bool {
    matches!(
        body,
        message::Body::PreVoteResponse { .. }
            | message::Body::VoteResponse { .. }
            | message::Body::AppendResponse { .. }
            | message::Body::SnapshotChunkResponse { .. }
    )
}

/// The sending half of an accepted stream, which carries responses.
#[derive(Clone)]
pub(super) struct ReplyStream(rc::Rc<stream::Sender<peer::ServerMessage>>);

impl ReplyStream {
    /// Whether both are the same stream.
    pub(super) fn is_same(&self, other: &ReplyStream) -> bool {
        rc::Rc::ptr_eq(&self.0, &other.0)
    }

    /// Whether the stream has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Queues a message. False if the stream has ended or its queue is full.
    pub(super) fn send(&self, envelope: message::Envelope) -> bool {
        !self.0.is_closed() && self.0.try_send(&peer::ServerMessage::Envelope(envelope.into()))
    }
}

/// An outgoing link to one member, dialled again whenever it fails.
pub(super) struct Link {
    addr: String,
    /// None once the link is retired.
    queue: Option<mpsc::Sender<message::Envelope>>,
    /// Whether another store of the same replica was last found at the address.
    replaced: rc::Rc<cell::Cell<bool>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Starts dialling a member.
    pub(super) fn open(driver: rc::Rc<driver::Driver>, member: &entry::Member) -> Self {
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let addr = member.addr.clone();
        let replaced = rc::Rc::new(cell::Cell::new(false));
        let dialling = dial(driver, member.id, addr.clone(), messages, replaced.clone());
        Self { addr, queue: Some(queue), replaced, task: actix_rt::spawn(dialling) }
    }

    /// Whether the link dials this address.
    pub(super) fn dials(&self, addr: &str) -> bool {
        self.addr == addr
    }

    /// Whether another store of the same replica was last found at the address.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced.get()
    }

    /// Queues a message, or drops it if the queue is full.
    pub(super) fn send(&self, envelope: message::Envelope) {
        if let Some(queue) = &self.queue {
            let _ = queue.try_send(envelope);
        }
    }

    /// Closes the queue, which ends the link.
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

/// Maintains a session with one member until the link is retired or the replica stops.
async fn dial(
    driver: rc::Rc<driver::Driver>,
    id: entry::Identity,
    addr: String,
    mut messages: mpsc::Receiver<message::Envelope>,
    replaced: rc::Rc<cell::Cell<bool>>,
) {
    let Ok(socket_addr) = addr.parse::<net::SocketAddr>() else {
        event::store::PEER_REFUSED.log(format_args!("{addr} is not an address"));
        return;
    };
    let mut back_off = REDIAL_BACK_OFF.0;
    let mut last_error = String::new();
    loop {
        let opened = tokio::select! {
            opened = Session::open(&driver, socket_addr) => opened,
            () = driver.stopped() => return,
        };
        match opened {
            Ok(session) if entry::Identity::from(session.hello.id) == id => {
                back_off = REDIAL_BACK_OFF.0;
                replaced.set(false);
                if !exchange_messages(&driver, session, &mut messages).await {
                    return;
                }
            }
            Ok(session) => {
                let found = entry::Identity::from(session.hello.id);
                replaced.set(found.replica == id.replica);
                log_once(&mut last_error, format!("{addr}: expected {id:?}, found {found:?}"));
            }
            Err(HelloError::Rejected(detail)) => log_once(&mut last_error, detail),
            Err(HelloError::Unreachable(detail)) => tracing::debug!(%detail, "peer unreachable"),
        }
        tokio::select! {
            () = tokio::time::sleep(back_off) => back_off = REDIAL_BACK_OFF.1.min(back_off * 2),
            () = driver.stopped() => return,
            () = discard_until_closed(&mut messages) => return,
        }
    }
}

/// Logs an error unless the last one logged was the same.
fn log_once(last: &mut String, detail: String) {
    if *last != detail {
        event::store::PEER_REFUSED.log(format_args!("{detail}"));
        *last = detail;
    }
}

/// Drops messages until the link is retired.
async fn discard_until_closed(messages: &mut mpsc::Receiver<message::Envelope>) {
    while messages.recv().await.is_some() {}
}

/// Exchanges messages over a session until it fails. False once the link is retired or the replica
/// stops.
async fn exchange_messages(
    driver: &driver::Driver,
    mut session: Session,
    messages: &mut mpsc::Receiver<message::Envelope>,
) -> bool {
    // When the first message without a response was sent.
    let mut waiting_since: Option<tokio::time::Instant> = None;
    loop {
        let now = tokio::time::Instant::now();
        let deadline =
            waiting_since.map_or(now + KEEP_ALIVE_INTERVAL, |since| since + RESPONSE_TIMEOUT);
        tokio::select! {
            message = messages.recv() => {
                let Some(envelope) = message else { return false };
                let sent = session.sender.try_send(&peer::ClientMessage::Envelope(envelope.into()));
                if !sent && session.sender.is_closed() {
                    return true;
                }
                waiting_since = waiting_since.or(Some(now));
            }
            response = session.receiver.receive() => {
                waiting_since = None;
                match response {
                    Some(peer::ServerMessage::Envelope(envelope)) => receive(driver, envelope),
                    Some(_) => {}
                    None => return true,
                }
            }
            () = tokio::time::sleep_until(deadline) => {
                if waiting_since.is_some() {
                    return true;
                }
                session.sender.try_send(&peer::ClientMessage::Hello(own_hello(driver)));
                waiting_since = Some(now);
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

/// Serves a stream that a peer has opened, until either side ends it.
pub(super) async fn serve(driver: rc::Rc<driver::Driver>, incoming: stream::Incoming) {
    let addr = incoming.peer;
    let (sender, mut receiver) = incoming.split::<peer::ClientMessage, peer::ServerMessage>();
    let sender = rc::Rc::new(sender);
    let reply_stream = ReplyStream(sender.clone());
    let mut peer_id = None;
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, receiver.receive()) => message,
            () = driver.stopped() => return,
        };
        let Ok(Some(message)) = message else { return };
        match (message, peer_id) {
            (peer::ClientMessage::Hello(hello), _) => {
                sender.try_send(&peer::ServerMessage::Hello(own_hello(&driver)));
                if hello.version != codec::PROTOCOL_VERSION {
                    let version = hello.version;
                    event::store::PEER_REFUSED
                        .log(format_args!("{addr} uses protocol version {version}"));
                    return;
                }
                peer_id = Some(hello.id);
            }
            (peer::ClientMessage::Join(group), Some(_)) => {
                driver.push(message::Input::JoinGroup(ids::GroupKey(group)));
                driver.wait_until(|driver| driver.group().is_some()).await;
                let Some(group) = driver.group() else { return };
                sender.try_send(&peer::ServerMessage::Joined(group.0));
            }
            (peer::ClientMessage::RequestAdmission(addr), Some(id)) => {
                driver.add_candidate(ids::ReplicaKey(id.replica), addr);
                sender.try_send(&peer::ServerMessage::Members(driver.known_addrs()));
            }
            (peer::ClientMessage::Members(members), Some(_)) => {
                driver.addresses().add_reported(&members);
                sender.try_send(&peer::ServerMessage::Members(driver.known_addrs()));
            }
            (peer::ClientMessage::Envelope(envelope), Some(id)) if envelope.from == id => {
                // Sessions without envelopes, such as lookups of the store, carry no responses.
                driver.add_reply_stream(id.into(), &reply_stream);
                receive(&driver, envelope);
            }
            (_, _) => {
                event::store::PEER_REFUSED.log(format_args!(
                    "{addr} sent a message before its hello or in another replica's name"
                ));
                return;
            }
        }
    }
}

/// Asks the replicas at the addresses for their stores; those that don't respond in time have none.
pub(super) async fn resolve_stores(
    driver: &driver::Driver,
    replicas: Vec<(ids::ReplicaKey, String)>,
) -> Vec<membership::Target> {
    let resolve_store = |(replica, addr): (ids::ReplicaKey, String)| async move {
        let store = match addr.parse() {
            _ if replica == driver.id().replica => Some(driver.id().store),
            Ok(socket_addr) => {
                let opened = Session::open(driver, socket_addr);
                match tokio::time::timeout(STORE_LOOKUP_TIMEOUT, opened).await {
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
    futures_util::future::join_all(replicas.into_iter().map(resolve_store)).await
}
