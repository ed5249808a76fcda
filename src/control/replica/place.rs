//! Where a replica is found, and where it looks for others.

use std::net;

use crate::settings::control::Settings;

/// A replica's own address and its seeds.
pub(super) struct Place {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
}

impl Place {
    pub(super) fn of(settings: &Settings) -> Self {
        let own = settings.advertise.unwrap_or(settings.listen);
        Self { own, seeds: settings.seeds.clone() }
    }

    /// The address at which others reach this replica.
    pub(super) fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// The addresses at which to look for replicas first.
    pub(super) fn seeds(&self) -> Vec<net::SocketAddr> {
        self.seeds.clone()
    }
}
