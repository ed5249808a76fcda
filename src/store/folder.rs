//! The store: recovery of a data folder, appending to its log, and removal of covered files.

use std::sync;

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::store;
use crate::store::disk;
use crate::store::format;
use crate::store::replay;
use crate::store::segment;
use crate::store::snapshot;
use crate::wire;
use crate::wire::codec;

/// The file that identifies a data folder.
pub const IDENTITY_FILE: &str = "store";

const IDENTITY_TEMP_FILE: &str = "store.new";

/// The state recovered when a folder was opened.
#[derive(Debug)]
pub struct Recovered {
    /// The replica and the store that the folder belongs to.
    pub id: entry::Identity,
    /// The hard state.
    pub hard_state: entry::HardState,
    /// The newest snapshot, with its bytes.
    pub snapshot: Option<(entry::Snapshot, Bytes)>,
    /// The entries after the snapshot.
    pub entries: Vec<entry::Entry>,
    /// The length in bytes of a torn write that was removed from the end of the log.
    pub torn_bytes: u64,
}

/// A segment and the last entry that it may hold.
#[derive(Debug)]
struct Segment {
    number: u64,
    last: ids::LogIndex,
}

/// An open data folder.
pub struct Store {
    disk: sync::Arc<dyn disk::Disk>,
    id: entry::Identity,
    hard_state: entry::HardState,
    last: ids::LogIndex,
    /// Full segments, oldest first.
    segments: Vec<Segment>,
    /// The number of the segment that is written; `file` and `length`, in bytes, are its own.
    number: u64,
    file: Box<dyn disk::File>,
    length: u64,
    poisoned: bool,
}

impl Store {
    /// Opens the folder of `replica`; an empty one becomes the store `new_store`.
    pub fn open(
        disk: sync::Arc<dyn disk::Disk>,
        replica: ids::ReplicaKey,
        new_store: ids::StoreKey,
    ) -> Result<(Self, Recovered), store::Error> {
        let files = disk.list().map_err(|error| store::Error::io("the data folder", error))?;
        let id = match read_identity(disk.as_ref(), &files)? {
            Some(id) if id.replica != replica => {
                let detail = format!("it belongs to replica {}", id.replica);
                return Err(store::Error::Foreign(detail));
            }
            Some(id) => id,
            None => write_identity(disk.as_ref(), entry::Identity { replica, store: new_store })?,
        };
        remove_unfinished(disk.as_ref(), &files);
        let scanned = scan(disk.as_ref(), id.store, &files)?;
        Self::resume(disk, id, scanned)
    }

    /// Prepares the folder for writing, and makes durable what was read.
    fn resume(
        disk: sync::Arc<dyn disk::Disk>,
        id: entry::Identity,
        mut scanned: Scanned,
    ) -> Result<(Self, Recovered), store::Error> {
        let snapshot = scanned.snapshot.as_ref().map(|(snapshot, _)| snapshot);
        let discard_log = scanned.replay.discard_covered(snapshot)?;
        let base = snapshot.map_or(ids::LogIndex(0), |snapshot| snapshot.index);
        let last = scanned.replay.last().max(base);
        let (number, file, length) = match scanned.segments.pop() {
            Some((segment, valid_bytes)) if valid_bytes > 0 => {
                let name = segment::file_name(segment.number);
                if scanned.torn_bytes > 0 {
                    disk.truncate(&name, valid_bytes)
                        .map_err(|error| store::Error::io(&name, error))?;
                }
                let mut file =
                    disk.append(&name).map_err(|error| store::Error::io(&name, error))?;
                // The previous process may have ended or failed between a write and its sync.
                file.sync().map_err(|error| store::Error::io(&name, error))?;
                (segment.number, file, valid_bytes)
            }
            unfinished => {
                let number = unfinished.map_or(1, |(segment, _)| segment.number);
                let (file, length) =
                    create_segment(disk.as_ref(), id.store, number, &scanned.replay.hard_state)?;
                (number, file, length)
            }
        };
        sync_folder(disk.as_ref())?;
        let segments = scanned.segments.into_iter().map(|(segment, _)| segment).collect();
        let hard_state = scanned.replay.hard_state;
        let mut store =
            Self { disk, id, hard_state, last, segments, number, file, length, poisoned: false };
        if discard_log {
            store.write(&[entry::Batch {
                truncate: Some(ids::LogIndex(1)),
                ..entry::Batch::default()
            }])?;
            store.last = base;
        }
        if base > ids::LogIndex(0) {
            store.remove_covered(base)?;
        }
        let entries = scanned.replay.entries.into_iter().collect();
        let recovered = Recovered {
            id,
            hard_state,
            snapshot: scanned.snapshot,
            entries,
            torn_bytes: scanned.torn_bytes,
        };
        Ok((store, recovered))
    }

    /// Writes batches in order and syncs them together. After an error the store can't be used.
    pub fn write(&mut self, batches: &[entry::Batch]) -> Result<(), store::Error> {
        self.poison_on_error(|store| store.write_all(batches))
    }

    /// Writes a snapshot that covers entries written before, and removes the files it covers.
    pub fn save_snapshot(
        &mut self,
        snapshot: &entry::Snapshot,
        bytes: &[u8],
    ) -> Result<(), store::Error> {
        self.poison_on_error(|store| {
            snapshot::write(store.disk.as_ref(), store.id.store, snapshot, bytes)?;
            store.remove_covered(snapshot.index)
        })
    }

    fn poison_on_error(
        &mut self,
        act: impl FnOnce(&mut Self) -> Result<(), store::Error>,
    ) -> Result<(), store::Error> {
        if self.poisoned {
            return Err(store::Error::Poisoned);
        }
        let result = act(self);
        self.poisoned = result.is_err();
        result
    }

    fn write_all(&mut self, batches: &[entry::Batch]) -> Result<(), store::Error> {
        let mut bytes = Vec::new();
        let mut installed = None;
        for batch in batches {
            if let Some((snapshot, content)) = &batch.snapshot {
                // The entries of earlier batches must be in the log if the process ends after the
                // snapshot was written.
                self.append(&mut bytes)?;
                snapshot::write(self.disk.as_ref(), self.id.store, snapshot, content)?;
                installed = Some(snapshot.index);
            }
            self.encode(batch, &mut bytes);
        }
        self.append(&mut bytes)?;
        if let Some(index) = installed {
            self.remove_covered(index)?;
        }
        Ok(())
    }

    fn encode(&mut self, batch: &entry::Batch, bytes: &mut Vec<u8>) {
        let mut push = |record: wire::disk::Record| {
            format::push_frame(bytes, &codec::encode(&record));
        };
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = *hard_state;
            push(wire::disk::Record::HardState(hard_state.into()));
        }
        if let Some(from) = batch.truncate {
            self.last = ids::LogIndex(from.0 - 1);
            push(wire::disk::Record::Truncate(from.0));
        }
        if let Some((snapshot, _)) = &batch.snapshot {
            self.last = self.last.max(snapshot.index);
        }
        for entry in &batch.entries {
            self.last = entry.index;
            push(wire::disk::Record::Entry(entry.into()));
        }
    }

    /// Writes and syncs the bytes, then creates a new segment if the current one is full.
    fn append(&mut self, bytes: &mut Vec<u8>) -> Result<(), store::Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        let name = segment::file_name(self.number);
        let marker_offset = self.length + bytes.len() as u64;
        let mut attempt = || {
            self.file.write(bytes)?;
            self.file.sync()?;
            self.file.write(&format::sync_marker(marker_offset))
        };
        attempt().map_err(|error| store::Error::io(&name, error))?;
        self.length = marker_offset + format::SYNC_MARKER_BYTES as u64;
        bytes.clear();
        if self.length >= store::SEGMENT_BYTES {
            self.rotate()?;
        }
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), store::Error> {
        // Only the last segment may end in a torn write, and the last sync marker of this one is
        // not synced yet.
        let name = segment::file_name(self.number);
        self.file.sync().map_err(|error| store::Error::io(&name, error))?;
        let number = self.number + 1;
        let created = create_segment(self.disk.as_ref(), self.id.store, number, &self.hard_state)?;
        self.segments.push(Segment { number: self.number, last: self.last });
        self.number = number;
        (self.file, self.length) = created;
        Ok(())
    }

    /// Removes the segments and snapshots that a durable snapshot covers.
    fn remove_covered(&mut self, index: ids::LogIndex) -> Result<(), store::Error> {
        let disk = self.disk.as_ref();
        let remove = |name: &str| disk.remove(name).map_err(|e| store::Error::io(name, e));
        let files = disk.list().map_err(|error| store::Error::io("the data folder", error))?;
        for older in snapshot::indexes(&files) {
            if older < index {
                remove(&snapshot::file_name(older))?;
            }
        }
        let covered = self.segments.iter().take_while(|segment| segment.last <= index).count();
        for segment in self.segments.drain(..covered) {
            remove(&segment::file_name(segment.number))?;
        }
        sync_folder(disk)
    }
}

fn sync_folder(disk: &dyn disk::Disk) -> Result<(), store::Error> {
    disk.sync_folder().map_err(|error| store::Error::io("the data folder", error))
}

/// Removes incomplete files, which take disk space that the log may need.
fn remove_unfinished(disk: &dyn disk::Disk, files: &[String]) {
    for file in files
        .iter()
        .filter(|file| [IDENTITY_TEMP_FILE, snapshot::TEMP_FILE].contains(&file.as_str()))
    {
        // A file that can't be removed is overwritten by the next one of its kind.
        let _ = disk.remove(file);
    }
}

/// Creates a segment with its header, the hard state and a sync marker. Returns its file and its
/// length in bytes.
fn create_segment(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    number: u64,
    hard_state: &entry::HardState,
) -> Result<(Box<dyn disk::File>, u64), store::Error> {
    let name = segment::file_name(number);
    let kind = wire::disk::FileKind::Segment(number);
    let mut bytes = format::file_preamble(&wire::disk::FileHeader { store: store.0, kind });
    format::push_frame(
        &mut bytes,
        &codec::encode(&wire::disk::Record::HardState(hard_state.into())),
    );
    let attempt = || {
        let mut file = disk.create(&name)?;
        file.write(&bytes)?;
        file.sync()?;
        file.write(&format::sync_marker(bytes.len() as u64))?;
        disk.sync_folder()?;
        Ok(file)
    };
    let file = attempt().map_err(|error| store::Error::io(&name, error))?;
    Ok((file, (bytes.len() + format::SYNC_MARKER_BYTES) as u64))
}

/// Reads the identity of a folder; none if the folder is new.
pub(super) fn read_identity(
    disk: &dyn disk::Disk,
    files: &[String],
) -> Result<Option<entry::Identity>, store::Error> {
    if !files.iter().any(|file| file == IDENTITY_FILE) {
        let other = files.iter().find(|file| *file != IDENTITY_TEMP_FILE);
        return match other {
            Some(file) => {
                Err(store::Error::Foreign(format!("it holds {file} but no {IDENTITY_FILE}")))
            }
            None => Ok(None),
        };
    }
    let bytes = disk.read(IDENTITY_FILE).map_err(|error| store::Error::io(IDENTITY_FILE, error))?;
    let (header, _) = format::read_preamble(IDENTITY_FILE, &bytes)?;
    let wire::disk::FileKind::DataFolder(replica) = header.kind else {
        return Err(store::Error::corrupt(
            IDENTITY_FILE,
            format::PREAMBLE_BYTES,
            "it is another file renamed",
        ));
    };
    let replica = ids::ReplicaKey(replica);
    Ok(Some(entry::Identity { replica, store: ids::StoreKey(header.store) }))
}

fn write_identity(
    disk: &dyn disk::Disk,
    id: entry::Identity,
) -> Result<entry::Identity, store::Error> {
    let kind = wire::disk::FileKind::DataFolder(id.replica.0);
    let bytes = format::file_preamble(&wire::disk::FileHeader { store: id.store.0, kind });
    let attempt = || {
        let mut file = disk.create(IDENTITY_TEMP_FILE)?;
        file.write(&bytes)?;
        file.sync()?;
        disk.rename(IDENTITY_TEMP_FILE, IDENTITY_FILE)?;
        disk.sync_folder()
    };
    attempt().map_err(|error| store::Error::io(IDENTITY_FILE, error))?;
    Ok(id)
}

/// The state that the files of a folder hold.
pub(super) struct Scanned {
    pub(super) replay: replay::Replay,
    pub(super) snapshot: Option<(entry::Snapshot, Bytes)>,
    /// The segments, oldest first, each with the length of its valid part in bytes.
    segments: Vec<(Segment, u64)>,
    pub(super) torn_bytes: u64,
}

/// Reads all segments and the newest snapshot without changing a file.
pub(super) fn scan(
    disk: &dyn disk::Disk,
    store: ids::StoreKey,
    files: &[String],
) -> Result<Scanned, store::Error> {
    let newest = snapshot::indexes(files).last().copied();
    let snapshot = newest.map(|index| snapshot::read(disk, store, index)).transpose()?;
    let numbers = segment::numbers(files);
    let mut scanned = Scanned {
        replay: replay::Replay::default(),
        snapshot,
        segments: Vec::new(),
        torn_bytes: 0,
    };
    for (position, &number) in numbers.iter().enumerate() {
        if number != numbers[0] + position as u64 {
            let detail = "a segment before it is missing";
            return Err(store::Error::corrupt(&segment::file_name(number), 0, detail));
        }
        let last = position + 1 == numbers.len();
        let content = segment::read(disk, store, number, last)?;
        for record in content.records {
            scanned.replay.apply(number, record)?;
        }
        scanned.torn_bytes = content.torn_bytes;
        let segment = Segment { number, last: scanned.replay.last() };
        scanned.segments.push((segment, content.valid_bytes));
    }
    Ok(scanned)
}
