//! The replicas that a group should have when it maintains a number of voters by itself.
//!
//! A replica whose disk was lost remains a member with its new store. A replica that has not
//! responded for [`REPLACEMENT_TIMEOUT`] is replaced by a candidate if there is one. A group never
//! shrinks by itself, so that a replica that was partitioned off for a while is still a member.

use crate::core::ids;
use crate::core::time;

/// How long a replica may be unresponsive before a candidate replaces it. Longer than a process
/// takes to restart; short, because the group may tolerate no further loss until then.
pub const REPLACEMENT_TIMEOUT: time::Millis = time::Millis(2500);

/// A member, as its leader observes it.
#[derive(Clone, Debug)]
pub struct ObservedMember {
    /// The replica's number.
    pub replica: ids::ReplicaKey,
    /// Its address.
    pub addr: String,
    /// Whether a store with the same replica number but another key was found at its address.
    pub replaced: bool,
    /// The time since its last response.
    pub silent_for: time::Millis,
}

/// The number and address of a replica.
pub type ReplicaAddr = (ids::ReplicaKey, String);

/// The replicas that the group should have: its members, with candidates in place of lost members
/// and added up to `voters`.
pub fn desired_replicas(
    members: &[ObservedMember],
    candidates: &[ReplicaAddr],
    voters: usize,
) -> Vec<ReplicaAddr> {
    let is_lost = |seen: &ObservedMember| seen.silent_for > REPLACEMENT_TIMEOUT && !seen.replaced;
    let mut kept: Vec<ReplicaAddr> = Vec::new();
    let mut lost: Vec<ReplicaAddr> = Vec::new();
    for seen in members {
        let list = if is_lost(seen) { &mut lost } else { &mut kept };
        if !list.iter().any(|(replica, _)| *replica == seen.replica) {
            list.push((seen.replica, seen.addr.clone()));
        }
    }
    // A replica with two stores is there if either of them is.
    lost.retain(|(replica, _)| !kept.iter().any(|(other, _)| other == replica));
    let known: Vec<_> = kept.iter().chain(&lost).map(|(replica, _)| *replica).collect();
    let fresh = candidates.iter().filter(|(replica, _)| !known.contains(replica));
    let free = voters.saturating_sub(kept.len());
    let taken: Vec<ReplicaAddr> = fresh.take(free).cloned().collect();
    let spared = voters.saturating_sub(kept.len() + taken.len());
    let mut wanted = kept;
    wanted.extend(taken);
    wanted.extend(lost.into_iter().take(spared));
    wanted.sort();
    wanted
}
