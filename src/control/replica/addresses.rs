//! The addresses that a replica knows: its own, its seeds and other replicas'.

use std::cell;
use std::net;

use crate::net::known_addrs;
use crate::net::seeds;
use crate::settings::control::Settings;

/// A replica's own address, its seeds, and the replicas that other processes have reported.
pub(super) struct Addresses {
    own: net::SocketAddr,
    seeds: seeds::Seeds,
    reported: cell::RefCell<known_addrs::KnownAddrs>,
}

impl Addresses {
    pub(super) fn new(settings: &Settings, seeds: seeds::Seeds) -> Self {
        let own = settings.advertise.unwrap_or(settings.listen);
        Self { own, seeds, reported: cell::RefCell::default() }
    }

    /// The address at which others reach this replica.
    pub(super) fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// The addresses from which to discover replicas.
    pub(super) fn seeds(&self) -> Vec<net::SocketAddr> {
        self.seeds.addrs()
    }

    /// Adds replicas that another process has reported.
    pub(super) fn add_reported(&self, replicas: &[String]) {
        self.reported.borrow_mut().add(replicas);
    }

    /// The replicas that other processes have reported.
    pub(super) fn reported(&self) -> Vec<net::SocketAddr> {
        self.reported.borrow().addrs().to_vec()
    }
}
