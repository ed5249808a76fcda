//! Inspection of the data folder of a stopped replica.

use std::fmt::Write as _;
use std::io;
use std::path;

use crate::store;
use crate::store::disk;
use crate::store::folder;
use crate::store::inspect;

/// Reads and checks every file of a data folder without changing any. Fails if the folder is in
/// use, isn't a data folder, or is damaged.
pub fn inspect(dir: &path::Path) -> Result<inspect::Report, store::Error> {
    let identity_file = dir.join(folder::IDENTITY_FILE);
    if !identity_file.is_file() {
        // Locking writes to the folder, so a folder without a store isn't locked.
        let missing = io::Error::new(io::ErrorKind::NotFound, "no data folder is here");
        return Err(store::Error::io(&identity_file.display().to_string(), missing));
    }
    inspect::inspect(&disk::LockedFolder::open(dir)?)
}

/// Formats the report as text.
pub fn to_text(report: &inspect::Report) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<10} {value}");
    };
    line("replica", report.id.replica.to_string());
    line("store", format!("{:032x}", report.id.store.0));
    line("group", report.hard_state.group.map_or("none".to_owned(), |g| format!("{:032x}", g.0)));
    line("term", report.hard_state.term.to_string());
    line("vote", report.hard_state.vote.map_or("none".to_owned(), |id| id.replica.to_string()));
    line("snapshot", report.snapshot.as_ref().map_or("none".to_owned(), |s| s.index.to_string()));
    line("entries", report.first.map_or("none".to_owned(), |f| format!("{f} to {}", report.last)));
    line("torn", format!("{} bytes", report.torn_bytes));
    for (file, length) in &report.files {
        line("file", format!("{file} {length} bytes"));
    }
    text.trim_end().to_owned()
}

/// Summarizes a successful check in one line.
pub fn verdict(report: &inspect::Report) -> String {
    match report.torn_bytes {
        0 => "sound".to_owned(),
        torn => format!("sound; the next start cuts {torn} bytes of a torn write"),
    }
}

/// Formats the report as JSON.
pub fn to_json(report: &inspect::Report) -> serde_json::Value {
    let file = |(name, length): &(String, u64)| serde_json::json!({"name": name, "bytes": length});
    serde_json::json!({
        "replica": report.id.replica.0,
        "store": format!("{:032x}", report.id.store.0),
        "group": report.hard_state.group.map(|group| format!("{:032x}", group.0)),
        "term": report.hard_state.term.0,
        "vote": report.hard_state.vote.map(|id| id.replica.0),
        "snapshot": report.snapshot.as_ref().map(|snapshot| snapshot.index.0),
        "first": report.first.map(|first| first.0),
        "last": report.last.0,
        "torn": report.torn_bytes,
        "files": report.files.iter().map(file).collect::<Vec<_>>(),
    })
}
