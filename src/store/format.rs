//! The file format: magic and version, framed records and sync markers.
//!
//! A file starts with [`MAGIC`] and the version (4 bytes, little-endian). A frame is its kind
//! (1 byte, [`FRAME_KIND`]), the length of its record (4 bytes), a CRC-32 over both and the record
//! (4 bytes), and the record. A sync marker is its kind ([`SYNC_MARKER_KIND`]), its own offset in
//! the file (8 bytes) and a CRC-32 over both (4 bytes). It is written once everything before it has
//! been synced: a bad frame after the last marker is a torn write, a bad frame before it is
//! corruption.

use crate::store;
use crate::wire::codec;
use crate::wire::disk;

/// The first bytes of each file.
pub const MAGIC: &[u8; 8] = b"hmlkclt\n";

/// The version of the format.
pub const VERSION: u32 = 1;

/// The length of magic and version in bytes.
pub const PREAMBLE_BYTES: usize = 12;

/// The kind byte of a frame.
pub const FRAME_KIND: u8 = 1;

/// The kind byte of a sync marker.
pub const SYNC_MARKER_KIND: u8 = 2;

/// The length in bytes of a frame's header, which its record follows.
pub const FRAME_HEADER_BYTES: usize = 9;

/// The length of a sync marker in bytes.
pub const SYNC_MARKER_BYTES: usize = 13;

/// The magic, the version and the header record with which each file starts.
pub fn file_preamble(header: &disk::FileHeader) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    push_frame(&mut bytes, &codec::encode(header));
    bytes
}

/// Appends a frame with this record.
pub fn push_frame(bytes: &mut Vec<u8>, record: &[u8]) {
    let length = (record.len() as u32).to_le_bytes();
    bytes.push(FRAME_KIND);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&frame_checksum(&length, record).to_le_bytes());
    bytes.extend_from_slice(record);
}

/// The sync marker for this offset in a file.
pub fn sync_marker(offset: u64) -> Vec<u8> {
    let mut bytes = vec![SYNC_MARKER_KIND];
    bytes.extend_from_slice(&offset.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn frame_checksum(length: &[u8], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[FRAME_KIND]);
    hasher.update(length);
    hasher.update(record);
    hasher.finalize()
}

fn number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Whether there is a complete sync marker at `offset`.
fn is_sync_marker(bytes: &[u8], offset: usize) -> bool {
    bytes
        .get(offset..offset + SYNC_MARKER_BYTES)
        .is_some_and(|found| found == sync_marker(offset as u64))
}

/// Whether there is a complete sync marker anywhere from `offset` on.
pub fn has_marker_after(bytes: &[u8], offset: usize) -> bool {
    (offset..bytes.len()).any(|at| bytes[at] == SYNC_MARKER_KIND && is_sync_marker(bytes, at))
}

/// The record of the frame at `offset`, if the frame is complete and its checksum is right.
fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + FRAME_HEADER_BYTES)?;
    let length = number(&header[1..])? as usize;
    let start = offset + FRAME_HEADER_BYTES;
    let record = bytes.get(start..start.checked_add(length)?)?;
    let valid =
        header[0] == FRAME_KIND && number(&header[5..])? == frame_checksum(&header[1..5], record);
    valid.then_some(record)
}

/// Reads magic, version and header record. Returns the header and the offset of what follows.
pub fn read_preamble(file: &str, bytes: &[u8]) -> Result<(disk::FileHeader, usize), store::Error> {
    if bytes.get(..MAGIC.len()) != Some(MAGIC) {
        return Err(store::Error::corrupt(file, 0, "it does not start with the format's magic"));
    }
    let version = number(&bytes[MAGIC.len()..])
        .ok_or_else(|| store::Error::corrupt(file, MAGIC.len(), "the version is missing"))?;
    if version > VERSION {
        return Err(store::Error::UnsupportedVersion(version));
    }
    let record = frame_at(bytes, PREAMBLE_BYTES)
        .ok_or_else(|| store::Error::corrupt(file, PREAMBLE_BYTES, "the head is damaged"))?;
    let header = codec::decode(record)
        .map_err(|error| store::Error::corrupt(file, PREAMBLE_BYTES, error.to_string()))?;
    Ok((header, PREAMBLE_BYTES + FRAME_HEADER_BYTES + record.len()))
}

/// An iterator over the valid records of a file, each with its offset.
pub struct Scan<'a> {
    bytes: &'a [u8],
    /// The offset of the next frame or sync marker, or of the first bytes that are neither.
    pub offset: usize,
}

impl<'a> Scan<'a> {
    /// A scan of `bytes` from `start` on.
    pub fn new(bytes: &'a [u8], start: usize) -> Self {
        Self { bytes, offset: start }
    }

    /// Whether the scan has reached the end without an invalid byte.
    pub fn complete(&self) -> bool {
        self.offset == self.bytes.len()
    }
}

impl<'a> Iterator for Scan<'a> {
    type Item = (usize, &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        while is_sync_marker(self.bytes, self.offset) {
            self.offset += SYNC_MARKER_BYTES;
        }
        let record = frame_at(self.bytes, self.offset)?;
        let at = self.offset;
        self.offset += FRAME_HEADER_BYTES + record.len();
        Some((at, record))
    }
}
