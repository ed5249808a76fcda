//! Where a replica is found, and where it looks for others.

use std::cell;
use std::net;

use crate::net::known;
use crate::net::seeds;
use crate::settings::control::Settings;

/// A replica's own address, its seeds, and what it has heard of others.
pub(super) struct Place {
    own: net::SocketAddr,
    seeds: seeds::Seeds,
    heard: cell::RefCell<known::Known>,
}

impl Place {
    pub(super) fn new(settings: &Settings, seeds: seeds::Seeds) -> Self {
        let own = settings.advertise.unwrap_or(settings.listen);
        Self { own, seeds, heard: cell::RefCell::default() }
    }

    /// The address at which others reach this replica.
    pub(super) fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// The addresses at which to look for replicas first.
    pub(super) fn seeds(&self) -> Vec<net::SocketAddr> {
        self.seeds.addrs()
    }

    /// Takes note of replicas that somebody has named.
    pub(super) fn hear(&self, replicas: &[String]) {
        self.heard.borrow_mut().add(replicas);
    }

    /// The replicas that others have named.
    pub(super) fn heard(&self) -> Vec<net::SocketAddr> {
        self.heard.borrow().addrs().to_vec()
    }
}
