//! Addresses of control replicas that other processes have reported.

use std::net;

/// Maximum number of addresses kept.
const MAX_ADDRS: usize = 16;

/// The reported addresses, the most recent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownAddrs(Vec<net::SocketAddr>);

impl KnownAddrs {
    /// The addresses.
    pub fn addrs(&self) -> &[net::SocketAddr] {
        &self.0
    }

    /// Adds addresses in front of the known ones and drops the oldest beyond the maximum. Changes
    /// nothing if all are known already.
    pub fn add(&mut self, reported: &[String]) {
        let mut addrs = parse(reported);
        if addrs.iter().all(|addr| self.0.contains(addr)) {
            return;
        }
        let older = self.0.iter().filter(|addr| !addrs.contains(addr));
        let older: Vec<_> = older.copied().collect();
        addrs.extend(older);
        addrs.truncate(MAX_ADDRS);
        self.0 = addrs;
    }

    /// Replaces the known addresses, unless `reported` has no valid address.
    pub fn replace(&mut self, reported: &[String]) {
        let addrs = parse(reported);
        if !addrs.is_empty() {
            self.0 = addrs;
        }
    }
}

/// The valid addresses among the reported ones, without duplicates.
fn parse(reported: &[String]) -> Vec<net::SocketAddr> {
    let mut addrs = Vec::new();
    for addr in reported.iter().filter_map(|addr| addr.parse().ok()) {
        if !addrs.contains(&addr) && addrs.len() < MAX_ADDRS {
            addrs.push(addr);
        }
    }
    addrs
}
