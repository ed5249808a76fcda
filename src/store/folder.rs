//! The store: one data folder, opened, appended to and kept bounded.

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

/// The file that marks a data folder.
pub const IDENTITY_FILE: &str = "store";

const IDENTITY_TEMP_FILE: &str = "store.new";

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Whose folder it is.
    pub id: entry::Identity,
    /// The hard state.
    pub hard_state: entry::HardState,
    /// The newest snapshot with its bytes.
    pub snapshot: Option<(entry::Snapshot, Bytes)>,
    /// The entries behind the snapshot.
    pub entries: Vec<entry::Entry>,
    /// Bytes of a torn write that were cut off.
    pub torn_bytes: u64,
}

/// A segment and the last entry it may hold.
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
    /// The number, file and length of the segment that is written.
    number: u64,
    file: Box<dyn disk::File>,
    length: u64,
    broken: bool,
}

impl Store {
    /// Opens the folder of `replica`, or makes it with the identity `fresh` if it is empty.
    pub fn open(
        disk: sync::Arc<dyn disk::Disk>,
        replica: ids::ReplicaKey,
        fresh: ids::StoreKey,
    ) -> Result<(Self, Recovered), store::Error> {
        let files = disk.list().map_err(|error| store::Error::io("the data folder", error))?;
        let id = match read_identity(disk.as_ref(), &files)? {
            Some(id) if id.replica != replica => {
                let detail = format!("it belongs to replica {}", id.replica);
                return Err(store::Error::Foreign(detail));
            }
            Some(id) => id,
            None => write_identity(disk.as_ref(), entry::Identity { replica, store: fresh })?,
        };
        remove_unfinished(disk.as_ref(), &files);
        let scanned = scan(disk.as_ref(), id.store, &files)?;
        Self::resume(disk, id, scanned)
    }

    /// Makes the folder fit for writing again, and makes what was read last.
    fn resume(
        disk: sync::Arc<dyn disk::Disk>,
        id: entry::Identity,
        mut scanned: Scanned,
    ) -> Result<(Self, Recovered), store::Error> {
        let snapshot = scanned.snapshot.as_ref().map(|(snapshot, _)| snapshot);
        let void = scanned.replay.behind(snapshot)?;
        let base = snapshot.map_or(ids::LogIndex(0), |snapshot| snapshot.index);
        let last = scanned.replay.last().max(base);
        let (number, file, length) = match scanned.segments.pop() {
            Some((segment, sound)) if sound > 0 => {
                let name = segment::file_name(segment.number);
                if scanned.torn_bytes > 0 {
                    disk.truncate(&name, sound).map_err(|error| store::Error::io(&name, error))?;
                }
                let mut file =
                    disk.append(&name).map_err(|error| store::Error::io(&name, error))?;
                // Whoever wrote it may have ended, or failed, between the write and the sync.
                file.sync().map_err(|error| store::Error::io(&name, error))?;
                (segment.number, file, sound)
            }
            unfinished => {
                let number = unfinished.map_or(1, |(segment, _)| segment.number);
                let (file, length) =
                    begin(disk.as_ref(), id.store, number, &scanned.replay.hard_state)?;
                (number, file, length)
            }
        };
        sync_folder(disk.as_ref())?;
        let segments = scanned.segments.into_iter().map(|(segment, _)| segment).collect();
        let hard_state = scanned.replay.hard_state;
        let mut store =
            Self { disk, id, hard_state, last, segments, number, file, length, broken: false };
        if void {
            store.write(&[entry::Batch {
                truncate: Some(ids::LogIndex(1)),
                ..entry::Batch::default()
            }])?;
            store.last = base;
        }
        if base > ids::LogIndex(0) {
            store.drop_covered(base)?;
        }
        let entries = scanned.replay.entries.into_iter().collect();
        let loaded = Recovered {
            id,
            hard_state,
            snapshot: scanned.snapshot,
            entries,
            torn_bytes: scanned.torn_bytes,
        };
        Ok((store, loaded))
    }

    /// Writes batches in order and syncs them together. After an error the store is of no use.
    pub fn write(&mut self, batches: &[entry::Batch]) -> Result<(), store::Error> {
        self.guarded(|store| store.write_all(batches))
    }

    /// Writes a snapshot that covers entries written before, and drops what it covers.
    pub fn save_snapshot(
        &mut self,
        snapshot: &entry::Snapshot,
        bytes: &[u8],
    ) -> Result<(), store::Error> {
        self.guarded(|store| {
            snapshot::write(store.disk.as_ref(), store.id.store, snapshot, bytes)?;
            store.drop_covered(snapshot.index)
        })
    }

    fn guarded(
        &mut self,
        act: impl FnOnce(&mut Self) -> Result<(), store::Error>,
    ) -> Result<(), store::Error> {
        if self.broken {
            return Err(store::Error::Poisoned);
        }
        let result = act(self);
        self.broken = result.is_err();
        result
    }

    fn write_all(&mut self, batches: &[entry::Batch]) -> Result<(), store::Error> {
        let mut bytes = Vec::new();
        let mut installed = None;
        for batch in batches {
            if let Some((snapshot, content)) = &batch.snapshot {
                // Entries before the snapshot must not be missing if the process ends here.
                self.append(&mut bytes)?;
                snapshot::write(self.disk.as_ref(), self.id.store, snapshot, content)?;
                installed = Some(snapshot.index);
            }
            self.encode(batch, &mut bytes);
        }
        self.append(&mut bytes)?;
        if let Some(index) = installed {
            self.drop_covered(index)?;
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

    /// Writes and syncs, then begins a new segment if this one is full.
    fn append(&mut self, bytes: &mut Vec<u8>) -> Result<(), store::Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        let name = segment::file_name(self.number);
        let sealed = self.length + bytes.len() as u64;
        let mut attempt = || {
            self.file.write(bytes)?;
            self.file.sync()?;
            self.file.write(&format::sync_marker(sealed))
        };
        attempt().map_err(|error| store::Error::io(&name, error))?;
        self.length = sealed + format::SYNC_MARKER_BYTES as u64;
        bytes.clear();
        if self.length >= store::SEGMENT_BYTES {
            self.rotate()?;
        }
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), store::Error> {
        // Only the last segment may end in a torn write, and its seal is not synced yet.
        let name = segment::file_name(self.number);
        self.file.sync().map_err(|error| store::Error::io(&name, error))?;
        let number = self.number + 1;
        let begun = begin(self.disk.as_ref(), self.id.store, number, &self.hard_state)?;
        self.segments.push(Segment { number: self.number, last: self.last });
        self.number = number;
        (self.file, self.length) = begun;
        Ok(())
    }

    /// Removes segments and snapshots that a durable snapshot replaces.
    fn drop_covered(&mut self, index: ids::LogIndex) -> Result<(), store::Error> {
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

/// Removes what was never finished: it takes room that the log may need.
fn remove_unfinished(disk: &dyn disk::Disk, files: &[String]) {
    for file in files
        .iter()
        .filter(|file| [IDENTITY_TEMP_FILE, snapshot::TEMP_FILE].contains(&file.as_str()))
    {
        // What can't be removed is written over by the next one.
        let _ = disk.remove(file);
    }
}

/// Begins a segment: its head and the hard state, synced and sealed.
fn begin(
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

/// Reads the mark. None if the folder is new.
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
    let (head, _) = format::read_preamble(IDENTITY_FILE, &bytes)?;
    let wire::disk::FileKind::DataFolder(replica) = head.kind else {
        return Err(store::Error::corrupt(
            IDENTITY_FILE,
            format::PREAMBLE_BYTES,
            "it is another file renamed",
        ));
    };
    let replica = ids::ReplicaKey(replica);
    Ok(Some(entry::Identity { replica, store: ids::StoreKey(head.store) }))
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

/// What the files of a folder hold.
pub(super) struct Scanned {
    pub(super) replay: replay::Replay,
    pub(super) snapshot: Option<(entry::Snapshot, Bytes)>,
    /// Segments, oldest first, each with its sound bytes.
    segments: Vec<(Segment, u64)>,
    pub(super) torn_bytes: u64,
}

/// Reads all segments and the newest snapshot, changing nothing.
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
        scanned.torn_bytes = content.torn;
        let segment = Segment { number, last: scanned.replay.last() };
        scanned.segments.push((segment, content.sound));
    }
    Ok(scanned)
}
