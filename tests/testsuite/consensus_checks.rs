//! What must always be true of a group of replicas, whatever happens to it.

use std::collections::BTreeMap;

use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::ids;

/// Everything that was seen so far.
#[derive(Default)]
pub struct Checks {
    /// Clocks have jumped, so leases prove nothing any more.
    jumped: bool,
    committed: BTreeMap<u64, entry::Entry>,
    states: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<ids::Term, entry::Identity>,
    /// What was committed when each read was asked.
    reads: BTreeMap<u64, u64>,
}

impl Checks {
    /// How many entries are committed.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }

    pub fn jumped(&mut self) {
        self.jumped = true;
    }

    /// These nodes hold a lease at one moment.
    pub fn leading(&self, nodes: &[usize]) -> Result<(), String> {
        match nodes.len() > 1 && !self.jumped {
            true => Err(format!("{nodes:?} lead at once")),
            false => Ok(()),
        }
    }

    /// A store acts as the leader of a term.
    pub fn appends(&mut self, term: ids::Term, from: entry::Identity) -> Result<(), String> {
        match *self.leaders.entry(term).or_insert(from) == from {
            true => Ok(()),
            false => Err(format!("two leaders of term {term}")),
        }
    }

    /// A leader that knows this much to be committed begins to act.
    pub fn leads(&self, term: ids::Term, known: u64) -> Result<(), String> {
        let superseded = self.leaders.keys().any(|&later| later > term);
        match known < self.committed.len() as u64 && !superseded {
            true => Err(format!("the leader of {term} lacks committed entries")),
            false => Ok(()),
        }
    }

    /// A node applies an entry.
    pub fn commits(&mut self, entry: &entry::Entry) -> Result<(), String> {
        let index = entry.index.0;
        match self.committed.entry(index).or_insert_with(|| entry.clone()) == entry {
            true => Ok(()),
            false => Err(format!("committed entry {index} has changed")),
        }
    }

    /// A node has this state once it has applied this entry.
    pub fn state(&mut self, index: u64, state: &[u8]) -> Result<(), String> {
        match self.states.entry(index).or_insert_with(|| state.to_vec()) == state {
            true => Ok(()),
            false => Err(format!("states differ at entry {index}")),
        }
    }

    /// A read is asked.
    pub fn asked(&mut self, token: u64) {
        self.reads.insert(token, self.committed.len() as u64);
    }

    /// A read is answered from the state as of an entry.
    pub fn answered(&self, token: u64, index: u64) -> Result<(), String> {
        let needed = self.reads.get(&token).copied().unwrap_or(0);
        match index < needed {
            true => Err(format!("a read sees {index}, but {needed} was committed")),
            false => Ok(()),
        }
    }
}
