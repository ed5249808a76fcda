//! The addresses from which a process discovers the control replicas.

use std::cell;
use std::net;
use std::rc;

/// Seed addresses that may be replaced while the process runs; clones share them.
#[derive(Clone, Default)]
pub struct Seeds(rc::Rc<cell::RefCell<Vec<net::SocketAddr>>>);

impl Seeds {
    /// The current seeds.
    pub fn addrs(&self) -> Vec<net::SocketAddr> {
        self.0.borrow().clone()
    }

    /// Replaces the seeds; addresses learnt from earlier ones are kept.
    pub fn set(&self, addrs: Vec<net::SocketAddr>) {
        self.0.replace(addrs);
    }
}

impl From<Vec<net::SocketAddr>> for Seeds {
    fn from(addrs: Vec<net::SocketAddr>) -> Self {
        Self(rc::Rc::new(cell::RefCell::new(addrs)))
    }
}
