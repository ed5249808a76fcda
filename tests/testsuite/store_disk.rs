//! A disk in memory that loses unsynced data on a power failure, and injects faults.

use std::collections::BTreeMap;
use std::io;
use std::sync;

use hemlockcleat::store::disk;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    written: Vec<u8>,
}

/// The faults to inject.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Bytes that can be written before the disk is full; unlimited if not set.
    pub free_bytes: Option<usize>,
    /// Syncs of files that succeed before one fails; unlimited if not set.
    pub syncs: Option<usize>,
    /// Syncs of the folder that succeed before one fails; unlimited if not set.
    pub folder_syncs: Option<usize>,
    /// The prefix of names of files to which no byte can be written.
    pub full_prefix: Option<&'static str>,
}

/// Uses one of the remaining operations, or fails if none is left.
fn use_one(left: &mut Option<usize>) -> io::Result<()> {
    match left {
        Some(0) => Err(io::Error::other("the disk has failed")),
        Some(left) => {
            *left -= 1;
            Ok(())
        }
        None => Ok(()),
    }
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Content>,
    /// The files under the names that they had at the last sync of the folder.
    durable_names: BTreeMap<String, Content>,
    faults: Faults,
}

/// A disk in memory.
#[derive(Clone, Default)]
pub struct Memory {
    state: sync::Arc<sync::Mutex<State>>,
}

struct File {
    name: String,
    disk: Memory,
}

impl Memory {
    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test thread has panicked")
    }

    pub fn fail(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Simulates a power failure and ends all faults. Of the unsynced data of each file, the first
    /// `unsynced_bytes` bytes remain.
    pub fn lose_power(&self, unsynced_bytes: usize) {
        let state = &mut *self.state();
        state.faults = Faults::default();
        state.files = state.durable_names.clone();
        for content in state.files.values_mut() {
            let synced = content.synced.len();
            let written = content.written.len().max(synced);
            content.written.truncate(written.min(synced.saturating_add(unsynced_bytes)));
            content.synced = content.written.clone();
        }
        state.durable_names = state.files.clone();
    }

    /// Changes the bytes of a file, which count as synced.
    pub fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let state = &mut *self.state();
        let content = state.files.get_mut(name).expect("the file");
        edit(&mut content.written);
        content.synced = content.written.clone();
    }

    pub fn put(&self, name: &str, bytes: &[u8]) {
        let content = Content { synced: bytes.to_vec(), written: bytes.to_vec() };
        self.state().files.insert(name.to_owned(), content);
    }

    pub fn size(&self) -> usize {
        self.state().files.values().map(|content| content.written.len()).sum()
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl disk::Disk for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        Ok(state.files.get(name).ok_or_else(missing)?.written.clone())
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let bytes = self.read(name)?;
        Ok(bytes.into_iter().skip(offset as usize).take(length).collect())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn disk::File>> {
        self.state().files.insert(name.to_owned(), Content::default());
        self.append(name)
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn disk::File>> {
        Ok(Box::new(File { name: name.to_owned(), disk: self.clone() }))
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        self.edit(name, |bytes| bytes.truncate(length as usize));
        let state = &mut *self.state();
        if let (Some(content), Some(named)) =
            (state.files.get(name), state.durable_names.get_mut(name))
        {
            *named = content.clone();
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let state = &mut *self.state();
        let content = state.files.remove(from).ok_or_else(missing)?;
        state.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.state().files.remove(name).map(|_| ()).ok_or_else(missing)
    }

    fn sync_folder(&self) -> io::Result<()> {
        let state = &mut *self.state();
        use_one(&mut state.faults.folder_syncs)?;
        state.durable_names = state.files.clone();
        Ok(())
    }
}

impl disk::File for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.disk.state();
        let is_full = state.faults.full_prefix.is_some_and(|prefix| self.name.starts_with(prefix));
        let free_bytes = if is_full { 0 } else { state.faults.free_bytes.unwrap_or(usize::MAX) };
        let length = bytes.len().min(free_bytes);
        let content = state.files.get_mut(&self.name).ok_or_else(missing)?;
        content.written.extend_from_slice(&bytes[..length]);
        if let Some(named) = state.durable_names.get_mut(&self.name) {
            named.written = content.written.clone();
        }
        if let Some(free_bytes) = &mut state.faults.free_bytes {
            *free_bytes -= length;
        }
        match length == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let state = &mut *self.disk.state();
        use_one(&mut state.faults.syncs)?;
        let content = state.files.get_mut(&self.name).ok_or_else(missing)?;
        content.synced = content.written.clone();
        if let Some(named) = state.durable_names.get_mut(&self.name) {
            *named = content.clone();
        }
        Ok(())
    }
}
