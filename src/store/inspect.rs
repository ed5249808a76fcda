//! Read-only inspection of a data folder.

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;
use crate::store;
use crate::store::disk;
use crate::store::folder;

macros::value_types! {
    /// The content of a data folder.
    pub struct Report {
        /// The replica and the store that the folder belongs to.
        pub id: entry::Identity,
        /// The hard state.
        pub hard_state: entry::HardState,
        /// The newest snapshot.
        pub snapshot: Option<entry::Snapshot>,
        /// The first entry after the snapshot, if there is any.
        pub first: Option<ids::LogIndex>,
        /// The last entry.
        pub last: ids::LogIndex,
        /// The length in bytes of a torn write, which the next start will remove.
        pub torn_bytes: u64,
        /// The files, with their lengths in bytes.
        pub files: Vec<(String, u64)>,
    }
}

/// Reads and verifies every file of a folder.
pub fn inspect(disk: &dyn disk::Disk) -> Result<Report, store::Error> {
    let files = disk.list().map_err(|error| store::Error::io("the data folder", error))?;
    let Some(id) = folder::read_identity(disk, &files)? else {
        return Err(store::Error::Foreign("it is empty".to_owned()));
    };
    let mut scanned = folder::scan(disk, id.store, &files)?;
    let snapshot = scanned.snapshot.map(|(snapshot, _)| snapshot);
    scanned.replay.discard_covered(snapshot.as_ref())?;
    let base = snapshot.as_ref().map_or(ids::LogIndex(0), |snapshot| snapshot.index);
    let mut lengths = Vec::new();
    for file in files {
        let bytes = disk.read(&file).map_err(|error| store::Error::io(&file, error))?;
        lengths.push((file, bytes.len() as u64));
    }
    Ok(Report {
        id,
        hard_state: scanned.replay.hard_state,
        snapshot,
        first: scanned.replay.entries.front().map(|entry| entry.index),
        last: scanned.replay.last().max(base),
        torn_bytes: scanned.torn_bytes,
        files: lengths,
    })
}
