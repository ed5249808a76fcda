//! Replicas that ask to be admitted to the group.

use std::collections::BTreeMap;

use crate::core::consensus::repair;
use crate::core::ids;
use crate::core::time::Millis;
use crate::core::time::Tick;

/// Time that a replica remains a candidate after a request; it sends one every second.
const CANDIDATE_TIMEOUT: Millis = Millis(4000);

/// Maximum number of candidates.
const MAX_CANDIDATES: usize = 64;

/// The addresses of the candidates and the times of their last requests.
#[derive(Default)]
pub(super) struct Candidates(BTreeMap<ids::ReplicaKey, (String, Tick)>);

impl Candidates {
    /// Records a request of a replica, unless there are too many candidates.
    pub(super) fn add(&mut self, replica: ids::ReplicaKey, addr: String, now: Tick) {
        if self.0.len() < MAX_CANDIDATES || self.0.contains_key(&replica) {
            self.0.insert(replica, (addr, now));
        }
    }

    /// The candidates whose last request has not timed out.
    pub(super) fn active(&mut self, now: Tick) -> Vec<repair::ReplicaAddr> {
        self.0.retain(|_, (_, last_request)| *last_request + CANDIDATE_TIMEOUT > now);
        self.0.iter().map(|(replica, (addr, _))| (*replica, addr.clone())).collect()
    }
}
