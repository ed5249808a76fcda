//! Segments: the files of the log.

use crate::core::ids;
use crate::store;
use crate::store::disk;
use crate::store::format;
use crate::wire;
use crate::wire::codec;

const PREFIX: &str = "log-";

/// The name of a segment's file.
pub(super) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:010}")
}

/// The numbers of the segments among the files, in order.
pub(super) fn numbers(files: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        files.iter().filter_map(|file| file.strip_prefix(PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

/// What one segment holds.
pub(super) struct Content {
    /// The whole records.
    pub(super) records: Vec<wire::disk::Record>,
    /// How many bytes of the file are sound.
    pub(super) sound: u64,
    /// Bytes behind them that a torn write has left.
    pub(super) torn: u64,
}

/// Reads one segment. Only the last one may end in a torn write.
pub(super) fn read(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    number: u64,
    last: bool,
) -> Result<Content, store::Error> {
    let file = file_name(number);
    let bytes = disk.read(&file).map_err(|error| store::Error::io(&file, error))?;
    let unfinished = last && !format::has_marker_after(&bytes, 0);
    let (head, start) = match format::read_preamble(&file, &bytes) {
        Ok(begin) => begin,
        Err(store::Error::Corrupt(..)) if unfinished => {
            // The process ended while it began this segment.
            let torn = bytes.len() as u64;
            return Ok(Content { records: Vec::new(), sound: 0, torn });
        }
        Err(error) => return Err(error),
    };
    if head.store != store.0 {
        return Err(store::Error::Foreign(format!("{file} belongs to another store")));
    }
    if head.kind != wire::disk::FileKind::Segment(number) {
        return Err(store::Error::corrupt(
            &file,
            format::PREAMBLE_BYTES,
            "it is another file renamed",
        ));
    }
    let mut scan = format::Scan::new(&bytes, start);
    let mut records = Vec::new();
    for (at, record) in &mut scan {
        let record = codec::decode(record)
            .map_err(|error| store::Error::corrupt(&file, at, error.to_string()))?;
        records.push(record);
    }
    if !scan.complete() && (!last || format::has_marker_after(&bytes, scan.offset)) {
        return Err(store::Error::corrupt(&file, scan.offset, "a synced record is damaged"));
    }
    let torn = (bytes.len() - scan.offset) as u64;
    Ok(Content { records, sound: scan.offset as u64, torn })
}
