//! Addresses of control replicas that others have named.

use std::net;

/// The most addresses that are remembered.
const MOST: usize = 16;

/// What others have named, the latest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known(Vec<net::SocketAddr>);

impl Known {
    /// The addresses.
    pub fn addrs(&self) -> &[net::SocketAddr] {
        &self.0
    }

    /// Adds addresses in front of those known before, which make room if they are too many. Changes
    /// nothing if all are known.
    pub fn add(&mut self, named: &[String]) {
        let mut addrs = parse(named);
        if addrs.iter().all(|addr| self.0.contains(addr)) {
            return;
        }
        let before = self.0.iter().filter(|addr| !addrs.contains(addr));
        let before: Vec<_> = before.copied().collect();
        addrs.extend(before);
        addrs.truncate(MOST);
        self.0 = addrs;
    }

    /// Replaces what was known, unless nothing is named.
    pub fn replace(&mut self, named: &[String]) {
        let addrs = parse(named);
        if !addrs.is_empty() {
            self.0 = addrs;
        }
    }
}

/// The addresses among what was named, each once.
fn parse(named: &[String]) -> Vec<net::SocketAddr> {
    let mut addrs = Vec::new();
    for addr in named.iter().filter_map(|addr| addr.parse().ok()) {
        if !addrs.contains(&addr) && addrs.len() < MOST {
            addrs.push(addr);
        }
    }
    addrs
}
