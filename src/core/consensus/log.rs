//! The part of the log that is in memory: all entries after a base.

use std::collections::VecDeque;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::ids;

/// Consecutive entries after a base entry, of which only the index and the term are known.
#[derive(Debug, Default)]
pub struct Log {
    base: ids::LogIndex,
    base_term: ids::Term,
    entries: VecDeque<entry::Entry>,
}

impl Log {
    /// An empty log after this base.
    pub fn new(base: ids::LogIndex, base_term: ids::Term) -> Self {
        Self { base, base_term, entries: VecDeque::new() }
    }

    /// The index before the first entry in memory.
    pub fn base(&self) -> ids::LogIndex {
        self.base
    }

    /// The index of the last entry, or the base if there are no entries.
    pub fn last(&self) -> ids::LogIndex {
        ids::LogIndex(self.base.0 + self.entries.len() as u64)
    }

    /// The term of the last entry, or of the base if there are no entries.
    pub fn last_term(&self) -> ids::Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The term of an entry, if it is the base or in memory.
    pub fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, if it is in memory.
    pub fn get(&self, index: ids::LogIndex) -> Option<&entry::Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.index.0, self.last().0 + 1);
        self.entries.push_back(entry);
    }

    /// Removes this entry and all later ones.
    pub fn truncate(&mut self, from: ids::LogIndex) {
        let length = from.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(length as usize);
    }

    /// Removes all entries up to and including this one, which becomes the base.
    pub fn compact(&mut self, index: ids::LogIndex) {
        while self.base < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// The base to compact to once a snapshot covers `index`. Entries between the two stay in
    /// memory for followers that lag slightly.
    pub fn trailing_base(&self, index: ids::LogIndex) -> ids::LogIndex {
        let mut at = index;
        let mut bytes = 0;
        while let Some(entry) = self.get(at) {
            bytes += entry.size();
            if bytes > consensus::TRAILING_BYTES || index.0 - at.0 >= consensus::TRAILING_ENTRIES {
                break;
            }
            at.0 -= 1;
        }
        at
    }

    /// The entries after `prev` up to and including `last`, limited to `bytes` of commands; the
    /// first entry is returned even if it alone is longer.
    pub fn slice(
        &self,
        prev: ids::LogIndex,
        last: ids::LogIndex,
        bytes: usize,
    ) -> Vec<entry::Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = ids::LogIndex(prev.0 + 1);
        while index <= last {
            let Some(entry) = self.get(index) else { break };
            size += entry.size();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index.0 += 1;
        }
        taken
    }
}
