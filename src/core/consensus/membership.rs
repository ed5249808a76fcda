//! Membership changes, and the memberships that a truncation of the log may restore.

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;

/// A replica that the group should have.
#[derive(Clone, Debug)]
pub struct Target {
    /// The replica's number.
    pub replica: ids::ReplicaKey,
    /// Its address.
    pub addr: String,
    /// The store found at that address; none if the address can't be reached.
    pub store: Option<ids::StoreKey>,
}

macros::copy_types! {
    /// The replication state of a member, as its leader observes it.
    pub enum MemberState {
        /// It has not responded within an election timeout.
        Unresponsive,
        /// It lacks more entries than a new voter may, or nothing is known of its log.
        Lagging,
        /// It lacks no more entries than a new voter may.
        CaughtUp,
    }
}

/// The next single change from a membership towards the targets; none once it is reached.
///
/// A new store is added as a learner. Once the learner has caught up, the voter that it replaces
/// is removed, or an unresponsive voter that is not a target: if both counted as voters, the
/// group could not tolerate the loss of the new one. Then the learner is promoted to a voter.
/// Other members that are not targets are removed last.
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
    let updated = entry::Membership::new(members);
    if updated != *current {
        return Some(updated);
    }
    let mut members = updated.members;
    let is_target = |id: entry::Identity| {
        let same = |target: &Target| target.replica == id.replica;
        targets.iter().any(|target| same(target) && target.store.is_none_or(|s| s == id.store))
    };
    let caught_up = |m: &entry::Member| state_of(m.id) == MemberState::CaughtUp;
    let learner = members.iter().position(|m| !m.voter && is_target(m.id) && caught_up(m));
    if let Some(position) = learner {
        let id = members[position].id;
        let replaced = |m: &entry::Member| m.voter && m.id.replica == id.replica;
        let lost = |m: &entry::Member| {
            m.voter && !is_target(m.id) && state_of(m.id) == MemberState::Unresponsive
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
    let needed = |m: &entry::Member| is_target(m.id) || (m.voter && replaced(m));
    let removed = members.iter().position(|m| !needed(m))?;
    members.remove(removed);
    Some(entry::Membership::new(members))
}

/// The membership at the base of the log, and each later one with the index of its entry.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: Vec<(ids::LogIndex, entry::Membership)>,
}

impl History {
    pub(super) fn new(index: ids::LogIndex, membership: entry::Membership) -> Self {
        Self { changes: vec![(index, membership)] }
    }

    /// The membership in force: the last one in the log, committed or not.
    pub(super) fn current(&self) -> &entry::Membership {
        &self.changes[self.changes.len() - 1].1
    }

    /// The index of the entry that set the membership in force.
    pub(super) fn current_index(&self) -> ids::LogIndex {
        self.changes[self.changes.len() - 1].0
    }

    /// The membership as of an entry.
    pub(super) fn at(&self, index: ids::LogIndex) -> &entry::Membership {
        let found = self.changes.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.changes[0]).1
    }

    pub(super) fn push(&mut self, index: ids::LogIndex, membership: entry::Membership) {
        self.changes.push((index, membership));
    }

    /// Removes the memberships set by this entry and later ones.
    pub(super) fn truncate(&mut self, from: ids::LogIndex) {
        while self.changes.len() > 1 && self.current_index() >= from {
            self.changes.pop();
        }
    }

    /// Removes memberships that were replaced at or before this entry.
    pub(super) fn compact(&mut self, index: ids::LogIndex) {
        let replaced = self.changes.iter().skip(1).take_while(|(from, _)| *from <= index).count();
        self.changes.drain(..replaced);
    }
}
