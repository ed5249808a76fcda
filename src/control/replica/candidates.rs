//! Replicas that wait to be admitted.

use std::collections::BTreeMap;

use crate::core::consensus::repair;
use crate::core::ids;
use crate::core::time::Millis;
use crate::core::time::Tick;

/// How long a replica counts as waiting after it has said so; it says so every second.
const LIFE: Millis = Millis(4000);

/// The most replicas that may wait.
const MOST: usize = 64;

/// The replicas that wait: their addresses, and when they last said so.
#[derive(Default)]
pub(super) struct Candidates(BTreeMap<ids::ReplicaKey, (String, Tick)>);

impl Candidates {
    /// Takes note of a replica that says that it waits.
    pub(super) fn add(&mut self, replica: ids::ReplicaKey, addr: String, now: Tick) {
        if self.0.len() < MOST || self.0.contains_key(&replica) {
            self.0.insert(replica, (addr, now));
        }
    }

    /// Those that have said so lately.
    pub(super) fn present(&mut self, now: Tick) -> Vec<repair::ReplicaAddr> {
        self.0.retain(|_, (_, said)| *said + LIFE > now);
        self.0.iter().map(|(replica, (addr, _))| (*replica, addr.clone())).collect()
    }
}
