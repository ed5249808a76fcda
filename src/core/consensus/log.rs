//! The part of the log that is held in memory: all entries behind a base.

use std::collections::VecDeque;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::ids;

/// Consecutive entries behind a base entry of known term.
#[derive(Debug, Default)]
pub struct Log {
    base: ids::LogIndex,
    base_term: ids::Term,
    entries: VecDeque<entry::Entry>,
}

impl Log {
    /// A log that holds nothing but knows its base.
    pub fn new(base: ids::LogIndex, base_term: ids::Term) -> Self {
        Self { base, base_term, entries: VecDeque::new() }
    }

    /// The entry before the first one held.
    pub fn base(&self) -> ids::LogIndex {
        self.base
    }

    /// The last entry.
    pub fn last(&self) -> ids::LogIndex {
        ids::LogIndex(self.base.0 + self.entries.len() as u64)
    }

    /// The last entry's term.
    pub fn last_term(&self) -> ids::Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The term of an entry, if it is the base or held.
    pub fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, if held.
    pub fn get(&self, index: ids::LogIndex) -> Option<&entry::Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Appends the next entry.
    pub fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.index.0, self.last().0 + 1);
        self.entries.push_back(entry);
    }

    /// Drops entries from this one on.
    pub fn truncate(&mut self, from: ids::LogIndex) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops entries up to and with this one, which becomes the base.
    pub fn compact(&mut self, index: ids::LogIndex) {
        while self.base < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// The entry behind which entries are kept, for followers that lag a little, once a snapshot
    /// covers `index`.
    pub fn trail(&self, index: ids::LogIndex) -> ids::LogIndex {
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

    /// The entries after `prev` up to and with `last`, but no more than `bytes` of commands
    /// beyond the first entry.
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
