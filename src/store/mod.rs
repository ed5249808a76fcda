//! The data folder of a control replica: a segmented log, snapshots, and the folder's identity.
//!
//! A folder holds the file `store`, which identifies its store and replica, segments `log-N` and at
//! most one snapshot `snapshot-N` (two while a newer one replaces it). Every file starts with the
//! format's magic and version. Nothing is acknowledged before it is synced. After a failed write
//! or sync the store refuses further use, because the content of the file is then unknown.

use std::io;

use quick_error::quick_error;

pub mod disk;
pub mod folder;
pub mod format;
pub mod inspect;
mod replay;
mod segment;
pub mod snapshot;

/// The size in bytes from which on a segment is full and a new one is created.
pub const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

quick_error! {
    /// An error of a data folder.
    #[derive(Debug)]
    pub enum Error {
        /// Reading, writing or syncing failed.
        Io(file: String, source: io::Error) {
            display("{} failed: {}; check the disk, then start again", file, source)
            source(source)
        }
        /// The disk is full.
        Full(file: String, source: io::Error) {
            display("no space left to write {}: {}; free space, then start again", file, source)
            source(source)
        }
        /// Another process uses the folder.
        Locked(file: String) {
            display("{} is locked by another process; stop that one first", file)
        }
        /// Bytes of a file have changed since they were synced.
        Corrupt(file: String, offset: u64, detail: String) {
            display(
                "{} is corrupt at byte {}: {}; keep a copy, empty the folder and have the replica \
                 replaced",
                file, offset, detail
            )
        }
        /// The folder, or a file in it, belongs to another replica or store, or to no store.
        Foreign(detail: String) {
            display("not a data folder of this replica: {}", detail)
        }
        /// The folder has a newer format version than this program supports.
        UnsupportedVersion(found: u32) {
            display(
                "format version {} is newer than {}; start a newer program",
                found, format::VERSION
            )
        }
        /// An earlier write failed, so that the store can't be used any more.
        Poisoned {
            display("an earlier write failed; start again")
        }
    }
}

impl Error {
    /// The error for a failed operation on a file.
    pub fn io(file: &str, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Error::Full(file.to_owned(), source)
            }
            _ => Error::Io(file.to_owned(), source),
        }
    }

    fn corrupt(file: &str, offset: usize, detail: impl Into<String>) -> Self {
        Error::Corrupt(file.to_owned(), offset as u64, detail.into())
    }
}
