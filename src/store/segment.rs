//! Segments, the files of the log.

use crate::core::ids;
use crate::store;
use crate::store::disk;
use crate::store::format;
use crate::wire;
use crate::wire::codec;

const PREFIX: &str = "log-";

/// The file name of a segment.
pub(super) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:010}")
}

/// The numbers of the segments among these files, sorted.
pub(super) fn numbers(files: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        files.iter().filter_map(|file| file.strip_prefix(PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

/// The content of a segment.
pub(super) struct Content {
    /// The valid records.
    pub(super) records: Vec<wire::disk::Record>,
    /// The length of the file's valid part in bytes.
    pub(super) valid_bytes: u64,
    /// The length in bytes of a torn write after the valid part.
    pub(super) torn_bytes: u64,
}

/// Reads a segment. Only the last one may end in a torn write.
pub(super) fn read(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    number: u64,
    last: bool,
) -> Result<Content, store::Error> {
    let file = file_name(number);
    let bytes = disk.read(&file).map_err(|error| store::Error::io(&file, error))?;
    let unfinished = last && !format::has_marker_after(&bytes, 0);
    let (header, start) = match format::read_preamble(&file, &bytes) {
        Ok(begin) => begin,
        Err(store::Error::Corrupt(..)) if unfinished => {
            // The process ended while it was creating this segment.
            let torn_bytes = bytes.len() as u64;
            return Ok(Content { records: Vec::new(), valid_bytes: 0, torn_bytes });
        }
        Err(error) => return Err(error),
    };
    if header.store != store.0 {
        return Err(store::Error::Foreign(format!("{file} belongs to another store")));
    }
    if header.kind != wire::disk::FileKind::Segment(number) {
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
    let torn_bytes = (bytes.len() - scan.offset) as u64;
    Ok(Content { records, valid_bytes: scan.offset as u64, torn_bytes })
}
