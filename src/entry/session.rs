//! One stream to the leading control replica, with the calls that wait on it.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::core::ledger::job;
use crate::net::stream;
use crate::wire::common;
use crate::wire::entry as wire;

/// Bytes of replies that one call may have waiting to be read.
const MAX_CALL_BYTES: usize = job::MAX_ANSWER_BYTES as usize + job::CHUNK_BYTES;

/// Bytes of replies that all calls together may have pending; beyond it each has
/// [`MIN_CALL_BYTES`].
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of replies that a call may have pending however many there are.
const MIN_CALL_BYTES: usize = 4 * job::CHUNK_BYTES;

/// A stream to a replica that has proved to lead.
pub struct Session {
    /// The replica's address.
    pub addr: net::SocketAddr,
    sender: stream::Sender<wire::ClientMessage>,
    next_id: cell::Cell<u64>,
    pending: cell::RefCell<BTreeMap<u64, PendingCall>>,
    queued_bytes: cell::Cell<usize>,
    open: watch::Sender<bool>,
}

/// A call that waits for replies.
struct PendingCall {
    replies: mpsc::UnboundedSender<wire::Reply>,
    /// Bytes that wait to be read; shared with the reader.
    queued_bytes: rc::Rc<cell::Cell<usize>>,
}

impl Session {
    /// A session over an open stream.
    pub fn new(addr: net::SocketAddr, sender: stream::Sender<wire::ClientMessage>) -> Self {
        Self {
            addr,
            sender,
            next_id: cell::Cell::new(1),
            pending: cell::RefCell::default(),
            queued_bytes: cell::Cell::new(0),
            open: watch::Sender::new(true),
        }
    }

    /// Sends a call. None once the session has ended.
    pub async fn call(
        self: &rc::Rc<Self>,
        trace: common::TraceContext,
        body: wire::Call,
    ) -> Option<Exchange> {
        if !self.is_open() {
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, replies) = mpsc::unbounded_channel();
        let queued_bytes = rc::Rc::new(cell::Cell::new(0));
        let pending = PendingCall { replies: sender, queued_bytes: queued_bytes.clone() };
        self.pending.borrow_mut().insert(id, pending);
        let exchange = Exchange { session: self.clone(), id, replies, queued_bytes };
        let sent = self.sender.send(&wire::ClientMessage::Call { id, trace, body }).await;
        sent.then_some(exchange)
    }

    /// Hands a reply to its call. Replies to calls that nobody waits for are dropped; a call whose
    /// reader is too slow is cut off, and asks again from where it stands.
    pub fn deliver(&self, id: u64, reply: wire::Reply) {
        let mut pending = self.pending.borrow_mut();
        let Some(call) = pending.get(&id) else { return };
        let size = reply_bytes(&reply);
        let more = matches!(reply, wire::Reply::Chunk { last: false, .. });
        let fits = self.has_capacity(call.queued_bytes.get() + size, size);
        if fits && call.replies.send(reply).is_ok() {
            call.queued_bytes.set(call.queued_bytes.get() + size);
            self.queued_bytes.set(self.queued_bytes.get() + size);
        }
        if !fits || !more {
            pending.remove(&id);
        }
        if !fits {
            self.sender.try_send(&wire::ClientMessage::CancelCall { id });
        }
    }

    fn has_capacity(&self, call_bytes: usize, size: usize) -> bool {
        let total_exceeded = self.queued_bytes.get() + size > MAX_TOTAL_BYTES;
        let limit = if total_exceeded { MIN_CALL_BYTES } else { MAX_CALL_BYTES };
        call_bytes <= limit
    }

    /// Sends a message that is no call, if there is room.
    pub fn send_message(&self, message: &wire::ClientMessage) -> bool {
        self.sender.try_send(message)
    }

    /// Ends the session: whoever waits on it learns so at once.
    pub fn end(&self) {
        self.open.send_replace(false);
        self.pending.borrow_mut().clear();
    }

    /// Whether calls can be sent.
    pub fn is_open(&self) -> bool {
        *self.open.borrow()
    }

    /// Resolves once the session has ended.
    pub async fn ended(&self) {
        let mut open = self.open.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = open.wait_for(|open| !open).await;
    }

    fn cancel(&self, id: u64) {
        if self.pending.borrow_mut().remove(&id).is_some() {
            self.sender.try_send(&wire::ClientMessage::CancelCall { id });
        }
    }
}

/// What a reply counts for while it waits; only answers are long.
fn reply_bytes(reply: &wire::Reply) -> usize {
    match reply {
        wire::Reply::Chunk { bytes, .. } => bytes.len(),
        _ => 0,
    }
}

/// A call on its way. Dropping it tells control that no reply is wanted any more.
pub struct Exchange {
    session: rc::Rc<Session>,
    id: u64,
    replies: mpsc::UnboundedReceiver<wire::Reply>,
    queued_bytes: rc::Rc<cell::Cell<usize>>,
}

impl Exchange {
    /// The next reply; none once the session has ended, the last reply was read, or this reader
    /// was too slow.
    pub async fn reply(&mut self) -> Option<wire::Reply> {
        let reply = self.replies.recv().await?;
        self.release(reply_bytes(&reply));
        Some(reply)
    }

    fn release(&self, size: usize) {
        self.queued_bytes.set(self.queued_bytes.get() - size);
        self.session.queued_bytes.set(self.session.queued_bytes.get() - size);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.session.cancel(self.id);
        let unread = self.queued_bytes.get();
        self.release(unread);
    }
}
