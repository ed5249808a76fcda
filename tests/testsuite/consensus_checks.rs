//! The invariants of a group of replicas, which hold under all faults.

use std::collections::BTreeMap;

use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::ids;

/// The history that the invariants are checked against.
#[derive(Default)]
pub struct Checks {
    /// Whether a clock has jumped, so that leases no longer exclude each other.
    jumped: bool,
    committed: BTreeMap<u64, entry::Entry>,
    states: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<ids::Term, entry::Identity>,
    /// The number of committed entries when each read was requested, by token.
    reads: BTreeMap<u64, u64>,
}

impl Checks {
    /// The number of committed entries.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }

    pub fn clocks_jumped(&mut self) {
        self.jumped = true;
    }

    /// Checks that at most one of the nodes holds a lease; these are the ones that do now.
    pub fn check_lease_holders(&self, nodes: &[usize]) -> Result<(), String> {
        match nodes.len() > 1 && !self.jumped {
            true => Err(format!("{nodes:?} lead at once")),
            false => Ok(()),
        }
    }

    /// Checks that only one store sends appends in a term.
    pub fn check_append(&mut self, term: ids::Term, from: entry::Identity) -> Result<(), String> {
        match *self.leaders.entry(term).or_insert(from) == from {
            true => Ok(()),
            false => Err(format!("two leaders of term {term}")),
        }
    }

    /// Checks that a new leader, whose commit index is `known`, has all committed entries and that
    /// no later term has a leader.
    pub fn check_new_leader(&self, term: ids::Term, known: u64) -> Result<(), String> {
        let superseded = self.leaders.keys().any(|&later| later > term);
        match known < self.committed.len() as u64 && !superseded {
            true => Err(format!("the leader of {term} lacks committed entries")),
            false => Ok(()),
        }
    }

    /// Checks an entry that a node applies against the one that others applied at its index.
    pub fn check_commit(&mut self, entry: &entry::Entry) -> Result<(), String> {
        let index = entry.index.0;
        match self.committed.entry(index).or_insert_with(|| entry.clone()) == entry {
            true => Ok(()),
            false => Err(format!("committed entry {index} has changed")),
        }
    }

    /// Checks a node's state after an entry against that of the others.
    pub fn check_state(&mut self, index: u64, state: &[u8]) -> Result<(), String> {
        match self.states.entry(index).or_insert_with(|| state.to_vec()) == state {
            true => Ok(()),
            false => Err(format!("states differ at entry {index}")),
        }
    }

    /// Records that a read is requested now.
    pub fn record_read(&mut self, token: u64) {
        self.reads.insert(token, self.committed.len() as u64);
    }

    /// Checks that a read, served as of `index`, sees all that was committed when it was requested.
    pub fn check_read(&self, token: u64, index: u64) -> Result<(), String> {
        let needed = self.reads.get(&token).copied().unwrap_or(0);
        match index < needed {
            true => Err(format!("a read sees {index}, but {needed} was committed")),
            false => Ok(()),
        }
    }
}
