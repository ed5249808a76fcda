//! A disk in memory that loses what was not synced, and fails when told.

use std::collections::BTreeMap;
use std::io;
use std::sync;

use hemlockcleat::store::disk;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    written: Vec<u8>,
}

/// When the disk fails.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Bytes that may yet be written before the disk is full.
    pub room: Option<usize>,
    /// Syncs that may yet succeed.
    pub syncs: Option<usize>,
    /// Syncs of the folder that may yet succeed.
    pub folder_syncs: Option<usize>,
    /// How the names of files begin that take no more bytes.
    pub full: Option<&'static str>,
}

/// Counts one use, or fails if none is left.
fn spend(left: &mut Option<usize>) -> io::Result<()> {
    match left {
        Some(0) => Err(io::Error::other("the disk is gone")),
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
    /// The names as of the last sync of the folder.
    names: BTreeMap<String, Content>,
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

    /// The power fails: of what was written but not synced, `keep` bytes of each file remain.
    pub fn lose_power(&self, keep: usize) {
        let state = &mut *self.state();
        state.faults = Faults::default();
        state.files = state.names.clone();
        for content in state.files.values_mut() {
            let synced = content.synced.len();
            let written = content.written.len().max(synced);
            content.written.truncate(written.min(synced.saturating_add(keep)));
            content.synced = content.written.clone();
        }
        state.names = state.files.clone();
    }

    /// Changes the bytes of a file.
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
        if let (Some(content), Some(named)) = (state.files.get(name), state.names.get_mut(name)) {
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
        spend(&mut state.faults.folder_syncs)?;
        state.names = state.files.clone();
        Ok(())
    }
}

impl disk::File for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.disk.state();
        let full = state.faults.full.is_some_and(|prefix| self.name.starts_with(prefix));
        let room = if full { 0 } else { state.faults.room.unwrap_or(usize::MAX) };
        let fits = bytes.len().min(room);
        let content = state.files.get_mut(&self.name).ok_or_else(missing)?;
        content.written.extend_from_slice(&bytes[..fits]);
        if let Some(named) = state.names.get_mut(&self.name) {
            named.written = content.written.clone();
        }
        if let Some(room) = &mut state.faults.room {
            *room -= fits;
        }
        match fits == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let state = &mut *self.disk.state();
        spend(&mut state.faults.syncs)?;
        let content = state.files.get_mut(&self.name).ok_or_else(missing)?;
        content.synced = content.written.clone();
        if let Some(named) = state.names.get_mut(&self.name) {
            *named = content.clone();
        }
        Ok(())
    }
}
