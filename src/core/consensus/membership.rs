//! The memberships that the log held in memory may still fall back to.

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;

/// A replica that a group should have.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its number.
    pub replica: ids::ReplicaKey,
    /// Its address.
    pub addr: String,
    /// The store found at that address; none if it can't be reached.
    pub store: Option<ids::StoreKey>,
}

macros::copy_types! {
    /// How far a member is, as its leader sees it.
    pub enum MemberState {
        /// It does not answer at present.
        Unresponsive,
        /// It has not caught up.
        Lagging,
        /// It has everything that a voter needs.
        CaughtUp,
    }
}

/// The next single step from a membership towards the targets; none once there.
///
/// A new store is a learner first. Once it is ready, the store that it replaces is removed, or a
/// silent voter that is no target: with both counted, the group could not bear the loss of the new
/// one. Then it becomes a voter. What is not a target goes last.
pub fn next_step(
    current: &entry::Membership,
    targets: &[Target],
    state_of: impl Fn(entry::Identity) -> MemberState,
) -> Option<entry::Membership> {
    let mut members = current.members.clone();
    for target in targets {
        let Some(store) = target.store else { continue };
        let id = entry::Identity { replica: target.replica, store };
        match members.iter_mut().find(|member| member.id == id) {
            Some(member) => member.addr = target.addr.clone(),
            None => members.push(entry::Member { id, addr: target.addr.clone(), voter: false }),
        }
    }
    let known = entry::Membership::new(members);
    if known != *current {
        return Some(known);
    }
    let mut members = known.members;
    let wanted = |id: entry::Identity| {
        let same = |target: &Target| target.replica == id.replica;
        targets.iter().any(|target| same(target) && target.store.is_none_or(|s| s == id.store))
    };
    let is_ready = |m: &entry::Member| state_of(m.id) == MemberState::CaughtUp;
    let learner = members.iter().position(|m| !m.voter && wanted(m.id) && is_ready(m));
    if let Some(position) = learner {
        let id = members[position].id;
        let replaced = |m: &entry::Member| m.voter && m.id.replica == id.replica;
        let lost = |m: &entry::Member| {
            m.voter && !wanted(m.id) && state_of(m.id) == MemberState::Unresponsive
        };
        match members.iter().position(|m| replaced(m) || lost(m)) {
            Some(old) => {
                members.remove(old);
            }
            None => members[position].voter = true,
        }
        return Some(entry::Membership::new(members));
    }
    let replaced = |m: &entry::Member| {
        members.iter().any(|other| !other.voter && other.id.replica == m.id.replica)
    };
    let kept = |m: &entry::Member| wanted(m.id) || (m.voter && replaced(m));
    let gone = members.iter().position(|m| !kept(m))?;
    members.remove(gone);
    Some(entry::Membership::new(members))
}

/// The membership at the base of the log and each one appended since.
#[derive(Debug, Default)]
pub(super) struct History {
    steps: Vec<(ids::LogIndex, entry::Membership)>,
}

impl History {
    pub(super) fn new(index: ids::LogIndex, membership: entry::Membership) -> Self {
        Self { steps: vec![(index, membership)] }
    }

    /// The membership in force: the last one appended, committed or not.
    pub(super) fn current(&self) -> &entry::Membership {
        &self.steps[self.steps.len() - 1].1
    }

    /// The entry that set the membership in force.
    pub(super) fn since(&self) -> ids::LogIndex {
        self.steps[self.steps.len() - 1].0
    }

    /// The membership as of an entry.
    pub(super) fn at(&self, index: ids::LogIndex) -> &entry::Membership {
        let found = self.steps.iter().rev().find(|(since, _)| *since <= index);
        &found.unwrap_or(&self.steps[0]).1
    }

    pub(super) fn push(&mut self, index: ids::LogIndex, membership: entry::Membership) {
        self.steps.push((index, membership));
    }

    /// Takes back memberships set from this entry on.
    pub(super) fn truncate(&mut self, from: ids::LogIndex) {
        while self.steps.len() > 1 && self.since() >= from {
            self.steps.pop();
        }
    }

    /// Forgets memberships that were replaced at or before this entry.
    pub(super) fn compact(&mut self, index: ids::LogIndex) {
        let replaced = self.steps.iter().skip(1).take_while(|(since, _)| *since <= index).count();
        self.steps.drain(..replaced);
    }
}
