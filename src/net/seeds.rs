//! The addresses at which a process looks for control replicas first.

use std::cell;
use std::net;
use std::rc;

/// Seeds that may be exchanged while the process runs; clones share them.
#[derive(Clone, Default)]
pub struct Seeds(rc::Rc<cell::RefCell<Vec<net::SocketAddr>>>);

impl Seeds {
    /// The present seeds.
    pub fn addrs(&self) -> Vec<net::SocketAddr> {
        self.0.borrow().clone()
    }

    /// Exchanges the seeds; what was learnt from earlier ones is kept.
    pub fn set(&self, addrs: Vec<net::SocketAddr>) {
        self.0.replace(addrs);
    }
}

impl From<Vec<net::SocketAddr>> for Seeds {
    fn from(addrs: Vec<net::SocketAddr>) -> Self {
        Self(rc::Rc::new(cell::RefCell::new(addrs)))
    }
}
