//! Which replicas a group should have, when it keeps itself at a number of voters.
//!
//! A replica whose disk was lost keeps its place with its new store. One that has been silent for
//! long gives its place to a candidate, if there is one: a group never shrinks by itself, so that
//! what is cut off for a while finds its place again.

use crate::core::ids;
use crate::core::time;

/// How long a replica may be silent before a candidate takes its place. Longer than a process
/// takes to restart; short, because the group bears no further loss until it is whole again.
pub const REPLACEMENT_TIMEOUT: time::Millis = time::Millis(2500);

/// A member as its leader sees it.
#[derive(Clone, Debug)]
pub struct ObservedMember {
    /// Its number.
    pub replica: ids::ReplicaKey,
    /// Its address.
    pub addr: String,
    /// Whether another store of the same number was found at its address.
    pub replaced: bool,
    /// How long it has not answered.
    pub silent_for: time::Millis,
}

/// A replica by its number and address.
pub type ReplicaAddr = (ids::ReplicaKey, String);

/// The replicas that the group should have: its members, with candidates in the place of those
/// that are lost or missing to `voters`.
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
