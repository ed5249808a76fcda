//! The data folder: the state that survives each fault, and the folders that are refused.

use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use bytes::Bytes;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::ids;
use hemlockcleat::ops;
use hemlockcleat::store;
use hemlockcleat::store::disk;
use hemlockcleat::store::disk::Disk as _;
use hemlockcleat::store::folder;
use hemlockcleat::store::format;
use hemlockcleat::store::inspect;

use crate::store_disk;

const REPLICA: ids::ReplicaKey = ids::ReplicaKey(1);
const STORE: ids::StoreKey = ids::StoreKey(0x1122_3344);
const SEGMENT: &str = "log-0000000001";

fn open(disk: &store_disk::Memory) -> Result<(folder::Store, folder::Recovered), store::Error> {
    folder::Store::open(sync::Arc::new(disk.clone()), REPLICA, STORE)
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64, size: usize) -> Vec<entry::Entry> {
    let command = Bytes::from(vec![7; size]);
    let entry = |index| entry::Entry {
        index: ids::LogIndex(index),
        term: ids::Term(term),
        payload: entry::Payload::Command(command.clone()),
    };
    indexes.map(entry).collect()
}

fn batch(entries: Vec<entry::Entry>) -> entry::Batch {
    entry::Batch { entries, ..entry::Batch::default() }
}

fn snapshot(index: u64, bytes: &[u8]) -> entry::Snapshot {
    entry::Snapshot {
        index: ids::LogIndex(index),
        term: ids::Term(1),
        membership: entry::Membership::default(),
        length: bytes.len() as u64,
        checksum: crc32fast::hash(bytes),
    }
}

fn indexes(recovered: &folder::Recovered) -> Vec<u64> {
    recovered.entries.iter().map(|entry| entry.index.0).collect()
}

/// A disk with entries 1 to 3, each written and synced separately.
fn disk_with_three_entries() -> store_disk::Memory {
    let disk = store_disk::Memory::default();
    let (mut store, _) = open(&disk).expect("a new store");
    for index in 1..=3 {
        store.write(&[batch(entries(index..=index, 1, 10))]).expect("a write");
    }
    disk
}

#[test]
fn hard_state_survives() {
    let disk = store_disk::Memory::default();
    let (mut store, recovered) = open(&disk).expect("a new store");
    let hard_state = entry::HardState {
        group: Some(ids::GroupKey(5)),
        term: ids::Term(9),
        vote: Some(recovered.id),
    };
    let change = entry::Batch { hard_state: Some(hard_state), ..entry::Batch::default() };
    store.write(&[change]).expect("a write");
    disk.lose_power(0);
    let (_, recovered) = open(&disk).expect("a valid store");
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.id, entry::Identity { replica: REPLICA, store: STORE });
}

#[test]
fn truncation_survives() {
    let disk = disk_with_three_entries();
    let (mut store, _) = open(&disk).expect("a valid store");
    let change = entry::Batch {
        truncate: Some(ids::LogIndex(2)),
        entries: entries(2..=4, 2, 5),
        ..entry::Batch::default()
    };
    store.write(&[change]).expect("a write");
    disk.lose_power(0);
    let (_, recovered) = open(&disk).expect("a valid store");
    let found: Vec<_> = recovered.entries.iter().map(|e| (e.index.0, e.term.0)).collect();
    assert_eq!(found, [(1, 1), (2, 2), (3, 2), (4, 2)]);
}

/// Recovers from each length that a torn write can leave in the file.
#[test]
fn torn_write_is_removed() {
    for unsynced_bytes in 0..200 {
        let disk = disk_with_three_entries();
        let (mut store, _) = open(&disk).expect("a valid store");
        disk.fail(store_disk::Faults { syncs: Some(0), ..Default::default() });
        store.write(&[batch(entries(4..=6, 1, 30))]).expect_err("the sync fails");
        store.write(&[batch(entries(4..=4, 1, 1))]).expect_err("the store refuses further use");
        disk.lose_power(unsynced_bytes);
        let (mut store, recovered) = open(&disk).expect("a torn write is not corruption");
        let found = indexes(&recovered);
        assert!(found.len() >= 3 && found == (1..=found.len() as u64).collect::<Vec<_>>());
        let next = found.len() as u64 + 1;
        store.write(&[batch(entries(next..=next, 1, 10))]).expect("a write");
        disk.lose_power(0);
        let (_, recovered) = open(&disk).expect("a valid store");
        assert_eq!(recovered.entries.len() as u64, next);
    }
}

/// A changed byte of the synced data is always detected, also in the last record, where it must not
/// be taken for a torn write.
#[test]
fn changed_byte_is_reported() {
    let length = disk_with_three_entries().read(SEGMENT).expect("the segment").len();
    let synced = length - format::SYNC_MARKER_BYTES;
    for position in 0..synced {
        let disk = disk_with_three_entries();
        disk.edit(SEGMENT, |bytes| bytes[position] ^= 0x40);
        let error = open(&disk).err();
        let reported = matches!(
            error,
            Some(
                store::Error::Corrupt(..)
                    | store::Error::UnsupportedVersion(_)
                    | store::Error::Foreign(_)
            )
        );
        assert!(reported, "byte {position}: {error:?}");
    }
}

#[test]
fn full_disk_ends_the_store() {
    let disk = disk_with_three_entries();
    let (mut store, _) = open(&disk).expect("a valid store");
    disk.fail(store_disk::Faults { free_bytes: Some(20), ..Default::default() });
    let error = store.write(&[batch(entries(4..=4, 1, 100))]).expect_err("the disk is full");
    assert!(matches!(error, store::Error::Full(..)), "{error}");
    let again =
        store.write(&[batch(entries(4..=4, 1, 1))]).expect_err("the store refuses further use");
    assert!(matches!(again, store::Error::Poisoned));
    disk.lose_power(usize::MAX);
    let (_, recovered) = open(&disk).expect("a valid store");
    assert_eq!(indexes(&recovered), [1, 2, 3]);
}

/// Crashes after each number of syncs while a snapshot is saved.
#[test]
fn snapshot_is_whole_or_absent() {
    for syncs in 0..3 {
        let disk = disk_with_three_entries();
        let (mut store, _) = open(&disk).expect("a valid store");
        disk.fail(store_disk::Faults { syncs: Some(syncs), ..Default::default() });
        let saved = store.save_snapshot(&snapshot(2, b"state"), b"state").is_ok();
        disk.lose_power(3);
        let (_, recovered) = open(&disk).expect("a valid store");
        match recovered.snapshot {
            Some((found, bytes)) => {
                assert_eq!((found.index.0, bytes.as_ref()), (2, b"state".as_slice()));
                assert_eq!(recovered.entries.last().map(|entry| entry.index.0), Some(3));
            }
            None => {
                assert!(!saved);
                assert_eq!(recovered.entries.len(), 3);
            }
        }
    }
}

#[test]
fn received_snapshot_replaces_the_log() {
    let disk = disk_with_three_entries();
    let (mut store, _) = open(&disk).expect("a valid store");
    let install = entry::Batch {
        snapshot: Some((snapshot(9, b"state"), Bytes::from_static(b"state"))),
        truncate: Some(ids::LogIndex(1)),
        ..entry::Batch::default()
    };
    store.write(&[install, batch(entries(10..=11, 1, 1))]).expect("a write");
    disk.lose_power(0);
    let (_, recovered) = open(&disk).expect("a valid store");
    assert_eq!(indexes(&recovered), [10, 11]);
}

/// Crashes at each sync while a received snapshot replaces the log.
#[rstest::rstest]
fn received_snapshot_is_whole_or_absent(
    #[values(0, 1, 2, 9)] syncs: usize,
    #[values(0, 1, 2, 9)] folder_syncs: usize,
) {
    let disk = disk_with_three_entries();
    let (mut store, _) = open(&disk).expect("a valid store");
    let (syncs, folder_syncs) = (Some(syncs), Some(folder_syncs));
    disk.fail(store_disk::Faults { syncs, folder_syncs, ..Default::default() });
    let install = entry::Batch {
        snapshot: Some((snapshot(9, b"state"), Bytes::from_static(b"state"))),
        truncate: Some(ids::LogIndex(1)),
        ..entry::Batch::default()
    };
    let written = store.write(&[install]).is_ok();
    disk.lose_power(0);
    let (_, recovered) = open(&disk).expect("a valid store");
    match recovered.snapshot.is_some() {
        true => assert_eq!(indexes(&recovered), [0_u64; 0]),
        false => assert!(!written && indexes(&recovered) == [1, 2, 3]),
    }
}

/// The process ends after the snapshot was written and before the record that truncates the log,
/// so that the log still holds entries before the snapshot.
#[test]
fn received_snapshot_alone_replaces_the_log() {
    let disk = disk_with_three_entries();
    let (mut store, _) = open(&disk).expect("a valid store");
    store.save_snapshot(&snapshot(9, b"state"), b"state").expect("a snapshot");
    disk.lose_power(0);
    let (mut store, recovered) = open(&disk).expect("a valid store");
    assert_eq!(indexes(&recovered), [0_u64; 0]);
    store.write(&[batch(entries(10..=10, 1, 1))]).expect("a write");
    let (_, recovered) = open(&disk).expect("a valid store");
    assert_eq!(indexes(&recovered), [10]);
}

#[test]
fn folder_size_is_bounded() {
    let disk = store_disk::Memory::default();
    let (mut store, _) = open(&disk).expect("a new store");
    for round in 0..40_u64 {
        let first = round * 10 + 1;
        store.write(&[batch(entries(first..=first + 9, 1, 100_000))]).expect("a write");
        if round % 10 == 9 {
            store.save_snapshot(&snapshot(first + 9, b"state"), b"state").expect("a snapshot");
        }
        assert!(disk.size() as u64 <= 10_000_000 + 2 * store::SEGMENT_BYTES, "{}", disk.size());
    }
    let (_, recovered) = open(&disk).expect("a valid store");
    assert!(recovered.snapshot.is_some_and(|(snapshot, _)| snapshot.index.0 == 400));
}

#[rstest::rstest]
#[case::other_replica(|disk: &store_disk::Memory| {
    let other = store_disk::Memory::default();
    let opened = folder::Store::open(sync::Arc::new(other.clone()), ids::ReplicaKey(2), STORE);
    opened.expect("a store of replica 2");
    disk.put("store", &other.read("store").expect("an identity file"));
})]
#[case::other_store(|disk: &store_disk::Memory| {
    let other = store_disk::Memory::default();
    let opened = folder::Store::open(sync::Arc::new(other.clone()), REPLICA, ids::StoreKey(9));
    opened.expect("another store");
    disk.put(SEGMENT, &other.read(SEGMENT).expect("a segment"));
})]
#[case::no_identity_file(|disk: &store_disk::Memory| disk.remove("store").expect("a file"))]
#[case::unrelated_file(|disk: &store_disk::Memory| {
    disk.remove("store").expect("an identity file");
    disk.remove(SEGMENT).expect("a segment");
    disk.put("holiday.jpg", b"...");
})]
fn foreign_folder_is_refused(#[case] change: fn(&store_disk::Memory)) {
    let disk = disk_with_three_entries();
    change(&disk);
    let error = open(&disk).err().expect("a refusal");
    assert!(matches!(error, store::Error::Foreign(_)), "{error}");
}

#[test]
fn newer_format_is_refused() {
    for file in ["store", SEGMENT] {
        let disk = disk_with_three_entries();
        disk.edit(file, |bytes| bytes[8] = 2);
        let error = open(&disk).err().expect("a refusal");
        assert!(matches!(error, store::Error::UnsupportedVersion(2)), "{error}");
    }
}

#[test]
fn missing_segment_is_reported() {
    let disk = store_disk::Memory::default();
    let (mut store, _) = open(&disk).expect("a new store");
    for index in 1..=12 {
        store.write(&[batch(entries(index..=index, 1, 1_000_000))]).expect("a write");
    }
    disk.remove("log-0000000002").expect("a segment");
    let error = open(&disk).err().expect("a refusal");
    assert!(matches!(error, store::Error::Corrupt(..)), "{error}");
}

#[test]
fn folder_is_locked() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = disk::LockedFolder::create(folder.path()).expect("a lock");
    let error = disk::LockedFolder::create(folder.path()).expect_err("it is in use");
    assert!(matches!(error, store::Error::Locked(_)), "{error}");
    drop(first);
    disk::LockedFolder::create(folder.path()).expect("a lock");
}

#[test]
fn inspect_reports_without_change() {
    let disk = disk_with_three_entries();
    let before = disk.size();
    let report = inspect::inspect(&disk).expect("a valid store");
    assert_eq!((report.first, report.last.0), (Some(ids::LogIndex(1)), 3));
    assert_eq!(disk.size(), before);
}

#[test]
fn command_reads_a_stopped_folder_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let missing = folder.path().join("missing");
    ops::store::inspect(&missing).expect_err("nothing is there");
    assert!(!missing.exists() && !folder.path().join(disk::LOCK).exists());
    let disk = sync::Arc::new(disk::LockedFolder::create(folder.path()).expect("a lock"));
    let (mut store, _) = folder::Store::open(disk.clone(), REPLICA, STORE).expect("a new store");
    store.write(&[batch(entries(1..=1, 1, 10))]).expect("a write");
    let error = ops::store::inspect(folder.path()).expect_err("it is in use");
    assert!(matches!(error, store::Error::Locked(_)), "{error}");
    drop((store, disk));
    let report = ops::store::inspect(folder.path()).expect("a valid store");
    assert_eq!(ops::store::verdict(&report), "sound");
    assert_eq!(ops::store::to_json(&report)["last"], 1);
    assert!(ops::store::to_text(&report).contains("1 to 1"));
}

/// The encoding of a folder of format version 1.
#[test]
fn format_bytes_are_pinned() {
    let disk = store_disk::Memory::default();
    let (mut store, recovered) = open(&disk).expect("a new store");
    let member = entry::Member { id: recovered.id, addr: "127.0.0.1:7000".to_owned(), voter: true };
    let mut entries = entries(2..=2, 1, 3);
    entries.insert(
        0,
        entry::Entry {
            index: ids::LogIndex(1),
            term: ids::Term(1),
            payload: entry::Payload::Membership(entry::Membership::new(vec![member])),
        },
    );
    let hard_state = entry::HardState {
        group: Some(ids::GroupKey(6)),
        term: ids::Term(1),
        vote: Some(recovered.id),
    };
    let truncate = Some(ids::LogIndex(2));
    let first = entry::Batch { hard_state: Some(hard_state), entries, ..entry::Batch::default() };
    let second = entry::Batch { truncate, ..entry::Batch::default() };
    store.write(&[first, second]).expect("a write");
    store.save_snapshot(&snapshot(1, b"state"), b"state").expect("a snapshot");
    for file in ["store", SEGMENT, "snapshot-00000000000000000001"] {
        let bytes = disk.read(file).expect("the file");
        let name = format!("{}/tests/samples/{file}", env!("CARGO_MANIFEST_DIR"));
        if std::env::var_os("WRITE_SAMPLES").is_some() {
            std::fs::write(&name, &bytes).expect("a sample");
        }
        assert_eq!(bytes, std::fs::read(&name).expect("a committed sample"), "{file}");
    }
}

/// A child process that another part of the process forks has the lock's descriptor too, until it
/// executes its program. The folder must be free all the same once it is no longer used.
#[test]
fn folder_is_free_while_other_processes_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(atomic::Ordering::Relaxed) {
                    let child = process::Command::new("true").status();
                    assert!(child.expect("a process").success());
                }
            });
        }
        let opened = (0..5000).find_map(|_| disk::LockedFolder::create(folder.path()).err());
        done.store(true, atomic::Ordering::Relaxed);
        assert!(opened.is_none(), "{opened:?}");
    });
}
