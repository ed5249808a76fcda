//! Where a replica is found, and where it looks for others.

use std::net;

use crate::net::seeds;
use crate::settings::control::Settings;

/// A replica's own address and its seeds.
pub(super) struct Place {
    own: net::SocketAddr,
    seeds: seeds::Seeds,
}

impl Place {
    pub(super) fn new(settings: &Settings, seeds: seeds::Seeds) -> Self {
        let own = settings.advertise.unwrap_or(settings.listen);
        Self { own, seeds }
    }

    /// The address at which others reach this replica.
    pub(super) fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// The addresses at which to look for replicas first.
    pub(super) fn seeds(&self) -> Vec<net::SocketAddr> {
        self.seeds.addrs()
    }
}
