//! One stream to the leading control replica, with the calls that wait on it.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::net::stream;
use crate::wire::common;
use crate::wire::entry as wire;

/// Replies of one call that may wait to be read; a slower reader is cut off and asks again.
const REPLY_QUEUE: usize = 16;

/// A stream to a replica that has welcomed this entry.
pub struct Session {
    /// The replica's address.
    pub addr: net::SocketAddr,
    sender: stream::Sender<wire::Up>,
    next: cell::Cell<u64>,
    waiting: cell::RefCell<BTreeMap<u64, mpsc::Sender<wire::Reply>>>,
    open: watch::Sender<bool>,
}

impl Session {
    /// A session over an open stream.
    pub fn new(addr: net::SocketAddr, sender: stream::Sender<wire::Up>) -> Self {
        Self {
            addr,
            sender,
            next: cell::Cell::new(1),
            waiting: cell::RefCell::default(),
            open: watch::Sender::new(true),
        }
    }

    /// Sends a call. None once the session has ended.
    pub async fn call(
        self: &rc::Rc<Self>,
        trace: common::Trace,
        body: wire::Call,
    ) -> Option<Exchange> {
        if !self.is_open() {
            return None;
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let (sender, replies) = mpsc::channel(REPLY_QUEUE);
        self.waiting.borrow_mut().insert(id, sender);
        let exchange = Exchange { session: self.clone(), id, replies };
        let sent = self.sender.send(&wire::Up::Call { id, trace, body }).await;
        sent.then_some(exchange)
    }

    /// Hands a reply to its call. Replies to calls that nobody waits for are dropped.
    pub fn deliver(&self, id: u64, reply: wire::Reply) {
        let more = matches!(reply, wire::Reply::Chunk { last: false, .. });
        let mut waiting = self.waiting.borrow_mut();
        let Some(sender) = waiting.get(&id) else { return };
        let full = sender.try_send(reply).is_err();
        if full || !more {
            waiting.remove(&id);
        }
        if full {
            self.sender.try_send(&wire::Up::Forget { id });
        }
    }

    /// Sends a message that is no call, if there is room.
    pub fn tell(&self, message: &wire::Up) -> bool {
        self.sender.try_send(message)
    }

    /// Ends the session: whoever waits on it learns so at once.
    pub fn end(&self) {
        self.open.send_replace(false);
        self.waiting.borrow_mut().clear();
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

    fn forget(&self, id: u64) {
        if self.waiting.borrow_mut().remove(&id).is_some() {
            self.sender.try_send(&wire::Up::Forget { id });
        }
    }
}

/// A call on its way. Dropping it tells control that no reply is wanted any more.
pub struct Exchange {
    session: rc::Rc<Session>,
    id: u64,
    replies: mpsc::Receiver<wire::Reply>,
}

impl Exchange {
    /// The next reply; none once the session has ended, the last reply was read, or this reader
    /// was too slow.
    pub async fn reply(&mut self) -> Option<wire::Reply> {
        self.replies.recv().await
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.session.forget(self.id);
    }
}
