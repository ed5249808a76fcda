//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Milliseconds since the record was opened.
pub fn now() -> u64 {
    RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

pub fn line(text: impl AsRef<str>) {
    let Some((_, file)) = RECORD.get() else { return };
    let at = now();
    let line = format!("{:>3}.{:03} {}\n", at / 1000, at % 1000, text.as_ref());
    let mut file = file.lock().unwrap();
    let _ = file.write_all(line.as_bytes());
    print!("{line}");
}
