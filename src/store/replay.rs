//! Replay of the records of a data folder.

use std::collections::VecDeque;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::store;
use crate::store::segment;
use crate::wire;

/// The state that results from the records applied so far.
#[derive(Default)]
pub(super) struct Replay {
    pub(super) hard_state: entry::HardState,
    pub(super) entries: VecDeque<entry::Entry>,
}

impl Replay {
    /// The index of the last entry; 0 if there is none.
    pub(super) fn last(&self) -> ids::LogIndex {
        self.entries.back().map_or(ids::LogIndex(0), |entry| entry.index)
    }

    /// Applies a record of the segment `number`.
    pub(super) fn apply(
        &mut self,
        number: u64,
        record: wire::disk::Record,
    ) -> Result<(), store::Error> {
        let corrupt = |detail: String| store::Error::Corrupt(segment::file_name(number), 0, detail);
        match record {
            wire::disk::Record::HardState(hard_state) => self.hard_state = hard_state.into(),
            wire::disk::Record::Truncate(from) => {
                while self.last().0 >= from {
                    self.entries.pop_back();
                }
            }
            wire::disk::Record::Entry(entry) => {
                let entry = entry::Entry::try_from(entry).map_err(|e| corrupt(e.to_string()))?;
                let last = self.last();
                if !self.entries.is_empty() && entry.index.0 != last.0 + 1 {
                    let detail = format!("entry {} follows entry {last}", entry.index);
                    return Err(corrupt(detail));
                }
                self.entries.push_back(entry);
            }
        }
        Ok(())
    }

    /// Removes the entries that the snapshot covers. Returns whether the files hold entries that do
    /// not continue the snapshot, so that the log has to be truncated to nothing.
    pub(super) fn discard_covered(
        &mut self,
        snapshot: Option<&entry::Snapshot>,
    ) -> Result<bool, store::Error> {
        let base = snapshot.map_or(ids::LogIndex(0), |snapshot| snapshot.index);
        let Some(first) = self.entries.front().map(|entry| entry.index) else { return Ok(false) };
        if first.0 > base.0 + 1 {
            let detail = format!("entries {} to {} are missing", base.0 + 1, first.0 - 1);
            return Err(store::Error::Corrupt("the log".to_owned(), 0, detail));
        }
        let at_base = self.entries.iter().find(|entry| entry.index == base);
        let continues = first.0 == base.0 + 1
            || at_base.is_some_and(|entry| snapshot.is_some_and(|s| s.term == entry.term));
        if continues {
            self.entries.retain(|entry| entry.index > base);
        } else {
            self.entries.clear();
        }
        Ok(!continues)
    }
}
