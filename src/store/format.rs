//! The bytes of files: magic and version, framed records, seals.
//!
//! A file starts with [`MAGIC`] and the version (4 bytes, little-endian). A frame is its kind
//! (1 byte, [`FRAME`]), the length of its record (4 bytes), a CRC-32 over both and the record
//! (4 bytes), and the record. A seal is its kind ([`SEAL`]), its own offset in the file (8 bytes)
//! and a CRC-32 over both (4 bytes). A seal is written once everything before it has been synced:
//! a bad frame behind the last seal is a torn write, a bad frame before it is corruption.

use crate::store;
use crate::wire::codec;
use crate::wire::disk;

/// The first bytes of each file.
pub const MAGIC: &[u8; 8] = b"hmlkclt\n";

/// The version of the format.
pub const VERSION: u32 = 1;

/// Bytes of magic and version.
pub const PREFIX: usize = 12;

/// The kind of a frame.
pub const FRAME: u8 = 1;

/// The kind of a seal.
pub const SEAL: u8 = 2;

/// Bytes of a frame ahead of its record.
pub const FRAME_HEAD: usize = 9;

/// Bytes of a seal.
pub const SEAL_BYTES: usize = 13;

/// Magic, version and head: how each file starts.
pub fn begin(head: &disk::Head) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    push_frame(&mut bytes, &codec::encode(head));
    bytes
}

/// Appends one frame.
pub fn push_frame(bytes: &mut Vec<u8>, record: &[u8]) {
    let length = (record.len() as u32).to_le_bytes();
    bytes.push(FRAME);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&frame_checksum(&length, record).to_le_bytes());
    bytes.extend_from_slice(record);
}

/// The seal that stands at `offset`.
pub fn seal(offset: u64) -> Vec<u8> {
    let mut bytes = vec![SEAL];
    bytes.extend_from_slice(&offset.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn frame_checksum(length: &[u8], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[FRAME]);
    hasher.update(length);
    hasher.update(record);
    hasher.finalize()
}

fn number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Whether a whole seal stands at `offset`.
fn is_seal(bytes: &[u8], offset: usize) -> bool {
    bytes.get(offset..offset + SEAL_BYTES).is_some_and(|found| found == seal(offset as u64))
}

/// Whether a seal stands anywhere from `offset` on.
pub fn sealed_after(bytes: &[u8], offset: usize) -> bool {
    (offset..bytes.len()).any(|at| bytes[at] == SEAL && is_seal(bytes, at))
}

/// The record of the frame at `offset`, if it is whole.
fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let head = bytes.get(offset..offset + FRAME_HEAD)?;
    let length = number(&head[1..])? as usize;
    let start = offset + FRAME_HEAD;
    let record = bytes.get(start..start.checked_add(length)?)?;
    let sound = head[0] == FRAME && number(&head[5..])? == frame_checksum(&head[1..5], record);
    sound.then_some(record)
}

/// Reads magic, version and head. Returns the head and where the rest starts.
pub fn read_begin(file: &str, bytes: &[u8]) -> Result<(disk::Head, usize), store::Error> {
    if bytes.get(..MAGIC.len()) != Some(MAGIC) {
        return Err(store::Error::corrupt(file, 0, "it does not start with the format's magic"));
    }
    let version = number(&bytes[MAGIC.len()..])
        .ok_or_else(|| store::Error::corrupt(file, MAGIC.len(), "the version is missing"))?;
    if version > VERSION {
        return Err(store::Error::Newer(version));
    }
    let record = frame_at(bytes, PREFIX)
        .ok_or_else(|| store::Error::corrupt(file, PREFIX, "the head is damaged"))?;
    let head = codec::decode(record)
        .map_err(|error| store::Error::corrupt(file, PREFIX, error.to_string()))?;
    Ok((head, PREFIX + FRAME_HEAD + record.len()))
}

/// The whole records of a file from `start` on.
pub struct Scan<'a> {
    bytes: &'a [u8],
    /// Where the next frame or seal stands, or the first bad byte.
    pub offset: usize,
}

impl<'a> Scan<'a> {
    /// Scans `bytes` from `start` on.
    pub fn new(bytes: &'a [u8], start: usize) -> Self {
        Self { bytes, offset: start }
    }

    /// Whether the scan has come to the end without a bad byte.
    pub fn complete(&self) -> bool {
        self.offset == self.bytes.len()
    }
}

impl<'a> Iterator for Scan<'a> {
    type Item = (usize, &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        while is_seal(self.bytes, self.offset) {
            self.offset += SEAL_BYTES;
        }
        let record = frame_at(self.bytes, self.offset)?;
        let at = self.offset;
        self.offset += FRAME_HEAD + record.len();
        Some((at, record))
    }
}
