//! The store's interface to the file system, which tests replace by a faulty disk.

use std::fs;
use std::io;
use std::io::Read as _;
use std::io::Seek as _;
use std::io::Write as _;
use std::path;

use crate::store;

/// The file that is locked while a folder is in use.
pub const LOCK: &str = "lock";

/// A folder of plain files.
pub trait Disk: Send + Sync {
    /// The names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// At most `length` bytes of a file from `offset` on; fewer at its end.
    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Creates a file, or truncates an existing one to nothing.
    fn create(&self, name: &str) -> io::Result<Box<dyn File>>;

    /// Opens an existing file for appending.
    fn append(&self, name: &str) -> io::Result<Box<dyn File>>;

    /// Truncates a file to a length and syncs it.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed files durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A file that is open for appending.
pub trait File: Send {
    /// Appends all bytes.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system, locked against other processes for the lifetime of this value.
#[derive(Debug)]
pub struct LockedFolder {
    path: path::PathBuf,
    lock: fs::File,
}

impl Drop for LockedFolder {
    fn drop(&mut self) {
        // Closing the file is not enough: a child process that has been forked and has not executed
        // its program yet has it open too. If this fails, the lock ends with that process.
        let _ = self.lock.unlock();
    }
}

impl LockedFolder {
    /// Opens and locks a folder, which is created if it is missing.
    pub fn create(path: impl Into<path::PathBuf>) -> Result<Self, store::Error> {
        let path = path.into();
        let name = path.display().to_string();
        fs::create_dir_all(&path).map_err(|error| store::Error::io(&name, error))?;
        Self::open(path)
    }

    /// Opens and locks an existing folder.
    pub fn open(path: impl Into<path::PathBuf>) -> Result<Self, store::Error> {
        let path = path.into();
        let file = path.join(LOCK);
        let name = file.display().to_string();
        let lock = fs::File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&file)
            .map_err(|error| store::Error::io(&name, error))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, lock }),
            Err(fs::TryLockError::WouldBlock) => Err(store::Error::Locked(name)),
            Err(fs::TryLockError::Error(error)) => Err(store::Error::io(&name, error)),
        }
    }
}

impl Disk for LockedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name != LOCK);
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn read_at(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut file = fs::File::open(self.path.join(name))?;
        file.seek(io::SeekFrom::Start(offset))?;
        let mut bytes = Vec::with_capacity(length);
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn File>> {
        Ok(Box::new(fs::File::create(self.path.join(name))?))
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        Ok(Box::new(fs::File::options().append(true).open(self.path.join(name))?))
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        let file = fs::File::options().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

impl File for fs::File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
