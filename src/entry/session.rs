//! A stream to the leading control replica, with its pending calls.

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

/// The most unread bytes of replies to one call.
const MAX_CALL_BYTES: usize = job::MAX_ANSWER_BYTES as usize + job::CHUNK_BYTES;

/// The unread bytes of replies to all calls above which each call is limited to
/// [`MIN_CALL_BYTES`].
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// The unread bytes of replies that each call may have regardless of the total.
const MIN_CALL_BYTES: usize = 4 * job::CHUNK_BYTES;

/// A stream to a replica that is confirmed as leader.
pub struct Session {
    /// The replica's address.
    pub addr: net::SocketAddr,
    sender: stream::Sender<wire::ClientMessage>,
    next_id: cell::Cell<u64>,
    pending: cell::RefCell<BTreeMap<u64, PendingCall>>,
    queued_bytes: cell::Cell<usize>,
    open: watch::Sender<bool>,
}

/// The sending half of a call that waits for replies.
struct PendingCall {
    replies: mpsc::UnboundedSender<wire::Reply>,
    /// Unread bytes of replies, shared with the [`Exchange`].
    queued_bytes: rc::Rc<cell::Cell<usize>>,
}

impl Session {
    /// Creates a session over an open stream.
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

    /// Sends a call. Returns `None` once the session has ended.
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

    /// Delivers a reply to its call. Replies to unknown calls are dropped. A call whose reader is
    /// too slow is cancelled; its reader resumes with a new call.
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

    /// Sends a message other than a call. Returns false if the send queue is full.
    pub fn send_message(&self, message: &wire::ClientMessage) -> bool {
        self.sender.try_send(message)
    }

    /// Ends the session and wakes all readers of its calls.
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
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = open.wait_for(|open| !open).await;
    }

    fn cancel(&self, id: u64) {
        if self.pending.borrow_mut().remove(&id).is_some() {
            self.sender.try_send(&wire::ClientMessage::CancelCall { id });
        }
    }
}

/// The bytes that an unread reply counts for. Only chunks of answers are large enough to count.
fn reply_bytes(reply: &wire::Reply) -> usize {
    match reply {
        wire::Reply::Chunk { bytes, .. } => bytes.len(),
        _ => 0,
    }
}

/// The receiving half of a call. Dropping it before the last reply cancels the call at control.
pub struct Exchange {
    session: rc::Rc<Session>,
    id: u64,
    replies: mpsc::UnboundedReceiver<wire::Reply>,
    queued_bytes: rc::Rc<cell::Cell<usize>>,
}

impl Exchange {
    /// Returns the next reply, or `None` once the session has ended, the last reply was read, or
    /// the call was cancelled because its reader was too slow.
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
