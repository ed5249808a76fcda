//! Snapshots, which are written to a temporary file, synced and renamed.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::store;
use crate::store::disk;
use crate::store::format;
use crate::wire;

const PREFIX: &str = "snapshot-";

/// The file that a snapshot is written to before it is renamed.
pub(super) const TEMP_FILE: &str = "snapshot.new";

/// The file name of a snapshot.
pub fn file_name(index: ids::LogIndex) -> String {
    format!("{PREFIX}{:020}", index.0)
}

/// The indexes of the snapshots among these files, sorted.
pub(super) fn indexes(files: &[String]) -> Vec<ids::LogIndex> {
    let mut indexes: Vec<_> = files
        .iter()
        .filter_map(|file| file.strip_prefix(PREFIX)?.parse().ok().map(ids::LogIndex))
        .collect();
    indexes.sort_unstable();
    indexes
}

fn header(store: ids::StoreKey, snapshot: &entry::Snapshot) -> Vec<u8> {
    let kind = wire::disk::FileKind::Snapshot(snapshot.into());
    format::file_preamble(&wire::disk::FileHeader { store: store.0, kind })
}

/// Writes a snapshot atomically: after a failure it is either complete or absent.
pub(super) fn write(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    snapshot: &entry::Snapshot,
    bytes: &[u8],
) -> Result<(), store::Error> {
    let file = file_name(snapshot.index);
    let attempt = || {
        let mut temp = disk.create(TEMP_FILE)?;
        temp.write(&header(store, snapshot))?;
        temp.write(bytes)?;
        temp.sync()?;
        disk.rename(TEMP_FILE, &file)?;
        disk.sync_folder()
    };
    attempt().map_err(|error| store::Error::io(&file, error))
}

/// Reads a snapshot and verifies its header, length and checksum.
pub(super) fn read(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    index: ids::LogIndex,
) -> Result<(entry::Snapshot, Bytes), store::Error> {
    let file = file_name(index);
    let bytes = disk.read(&file).map_err(|error| store::Error::io(&file, error))?;
    let (header, start) = format::read_preamble(&file, &bytes)?;
    if header.store != store.0 {
        return Err(store::Error::Foreign(format!("{file} belongs to another store")));
    }
    let wire::disk::FileKind::Snapshot(snapshot) = header.kind else {
        return Err(store::Error::corrupt(&file, format::PREAMBLE_BYTES, "it is not a snapshot"));
    };
    let snapshot = entry::Snapshot::try_from(snapshot)
        .map_err(|error| store::Error::corrupt(&file, format::PREAMBLE_BYTES, error.to_string()))?;
    let bytes = Bytes::from(bytes).slice(start..);
    let valid = bytes.len() as u64 == snapshot.length
        && crc32fast::hash(&bytes) == snapshot.checksum
        && snapshot.index == index;
    if !valid {
        return Err(store::Error::corrupt(&file, start, "its bytes do not match its checksum"));
    }
    Ok((snapshot, bytes))
}

/// Reads at most `length` bytes of a snapshot from `offset` on, without verifying them.
pub fn read_chunk(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    snapshot: &entry::Snapshot,
    offset: u64,
    length: usize,
) -> Result<Bytes, store::Error> {
    let file = file_name(snapshot.index);
    let start = header(store, snapshot).len() as u64;
    let bytes = disk.read_at(&file, start + offset, length);
    bytes.map(Bytes::from).map_err(|error| store::Error::io(&file, error))
}
