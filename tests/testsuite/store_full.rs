//! The data folder on a disk that is full or fails for a while. Once the disk works again,
//! acknowledged data is recovered, recovered data is durable, and no temporary files are left.

use std::sync;

use bytes::Bytes;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::ids;
use hemlockcleat::store;
use hemlockcleat::store::disk::Disk as _;
use hemlockcleat::store::folder;
use hemlockcleat::store::format;

use crate::store_disk;

const REPLICA: ids::ReplicaKey = ids::ReplicaKey(1);
const STORE: ids::StoreKey = ids::StoreKey(0x1122_3344);

/// The length of an entry that nearly fills its segment.
const NEARLY_FULL: usize = store::SEGMENT_BYTES as usize - 1000;

fn open(disk: &store_disk::Memory) -> Result<(folder::Store, folder::Recovered), store::Error> {
    folder::Store::open(sync::Arc::new(disk.clone()), REPLICA, STORE)
}

fn entry(index: u64, size: usize) -> entry::Entry {
    let payload = entry::Payload::Command(Bytes::from(vec![7; size]));
    entry::Entry { index: ids::LogIndex(index), term: ids::Term(1), payload }
}

/// A batch of an entry and a hard state, whose term equals the entry's index.
fn batch(index: u64, size: usize) -> entry::Batch {
    let hard_state = entry::HardState { term: ids::Term(index), ..entry::HardState::default() };
    let entries = vec![entry(index, size)];
    entry::Batch { hard_state: Some(hard_state), entries, ..entry::Batch::default() }
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

fn full(free_bytes: usize) -> store_disk::Faults {
    store_disk::Faults { free_bytes: Some(free_bytes), ..Default::default() }
}

/// The term, the index of the snapshot and the last index of a recovered state.
fn summary(recovered: &folder::Recovered) -> (u64, Option<u64>, u64) {
    let base = recovered.snapshot.as_ref().map(|(snapshot, _)| snapshot.index.0);
    let last = recovered.entries.last().map(|entry| entry.index.0);
    (recovered.hard_state.term.0, base, last.or(base).unwrap_or(0))
}

/// Opens a disk after its faults have ended, and returns the summary of the recovered state. Checks
/// that this state survives an immediate power failure and that no temporary file is left.
fn reopen(disk: &store_disk::Memory) -> (u64, Option<u64>, u64) {
    disk.fail(store_disk::Faults::default());
    let (_, recovered) = open(disk).expect("a full disk is no corruption");
    let first = summary(&recovered);
    let files = disk.list().expect("the files");
    assert!(!files.iter().any(|file| file.ends_with(".new")), "{files:?}");
    assert!(files.iter().filter(|file| file.starts_with("snapshot")).count() <= 1, "{files:?}");
    disk.lose_power(0);
    let (mut store, recovered) = open(disk).expect("a valid store");
    assert_eq!(summary(&recovered), first, "the recovered state is not durable");
    let next = first.2 + 1;
    store.write(&[batch(next, 10)]).expect("the disk has free space");
    disk.lose_power(0);
    let (_, recovered) = open(disk).expect("a valid store");
    assert_eq!(summary(&recovered).2, next);
    first
}

/// A disk with some entries, each written and synced separately.
fn disk_with_entries(entries: u64) -> store_disk::Memory {
    let disk = store_disk::Memory::default();
    let (mut store, _) = open(&disk).expect("a new store");
    for index in 1..=entries {
        store.write(&[batch(index, 10)]).expect("a write");
    }
    disk
}

#[test]
fn full_at_the_first_opening() {
    for free_bytes in 0..300 {
        let disk = store_disk::Memory::default();
        disk.fail(full(free_bytes));
        let (before, error) = match open(&disk) {
            Ok(_) => return assert!(free_bytes > format::SYNC_MARKER_BYTES, "{free_bytes}"),
            Err(error) => (disk.size(), error),
        };
        assert!(matches!(error, store::Error::Full(..)), "{free_bytes}: {error}");
        // A second attempt may succeed if it needs no write.
        let again = open(&disk).err();
        assert!(matches!(again, None | Some(store::Error::Full(..))), "{free_bytes}: {again:?}");
        assert!(disk.size() <= before, "{free_bytes}: each attempt uses disk space");
        assert_eq!(reopen(&disk), (0, None, 0));
    }
    panic!("the store never opens");
}

/// The disk is full at each byte of a write of hard states and entries.
#[test]
fn full_at_each_byte_of_a_write() {
    for free_bytes in 0..200 {
        let disk = disk_with_entries(3);
        let (mut store, _) = open(&disk).expect("a valid store");
        disk.fail(full(free_bytes));
        let written = store.write(&[batch(4, 10), batch(5, 10)]).is_ok();
        drop(store);
        let (term, _, last) = reopen(&disk);
        assert!(last >= if written { 5 } else { 3 }, "{free_bytes}: {last}");
        assert!(term >= last, "{free_bytes}: the hard state comes first");
    }
}

/// The disk is full at bytes of the write that fills a segment, and of the start of the next one.
#[test]
fn full_while_a_segment_is_created() {
    for free_bytes in (900..1300).step_by(7) {
        let disk = disk_with_entries(1);
        let (mut store, _) = open(&disk).expect("a valid store");
        store.write(&[batch(2, NEARLY_FULL)]).expect("a write");
        disk.fail(full(free_bytes));
        let written = store.write(&[batch(3, 1000)]).is_ok();
        drop(store);
        let (_, _, last) = reopen(&disk);
        assert!(last == 3 || !written && last == 2, "{free_bytes}: {last}");
    }
}

/// The disk is full at each byte of a locally made or received snapshot.
#[rstest::rstest]
#[case::own(false)]
#[case::received(true)]
fn full_at_each_byte_of_a_snapshot(#[case] received: bool) {
    for free_bytes in 0..250 {
        let disk = disk_with_entries(3);
        let (mut store, _) = open(&disk).expect("a valid store");
        store.save_snapshot(&snapshot(1, b"old"), b"old").expect("a snapshot");
        disk.fail(full(free_bytes));
        let index = if received { 9 } else { 2 };
        let saved = match received {
            true => store.write(&[entry::Batch {
                snapshot: Some((snapshot(index, b"state"), Bytes::from_static(b"state"))),
                truncate: Some(ids::LogIndex(1)),
                ..entry::Batch::default()
            }]),
            false => store.save_snapshot(&snapshot(index, b"state"), b"state"),
        };
        drop(store);
        let (_, base, last) = reopen(&disk);
        match base {
            Some(base) if base == index => assert_eq!(last, if received { 9 } else { 3 }),
            _ => assert!(saved.is_err() && (base, last) == (Some(1), 3), "{base:?} {last}"),
        }
    }
}

/// Data that a failed sync left in the files is recovered at the next opening. It has to be durable
/// from then on, even if the power fails immediately afterwards.
#[rstest::rstest]
#[case::sync(store_disk::Faults { syncs: Some(0), ..Default::default() })]
#[case::snapshot(store_disk::Faults { syncs: Some(1), ..Default::default() })]
#[case::folder(store_disk::Faults { folder_syncs: Some(0), ..Default::default() })]
fn recovered_state_is_durable(
    #[case] faults: store_disk::Faults,
    #[values(false, true)] received: bool,
) {
    let disk = disk_with_entries(3);
    let (mut store, _) = open(&disk).expect("a valid store");
    disk.fail(faults);
    let install = entry::Batch {
        snapshot: Some((snapshot(9, b"state"), Bytes::from_static(b"state"))),
        truncate: Some(ids::LogIndex(1)),
        ..entry::Batch::default()
    };
    match received {
        true => store.write(&[install]).expect_err("the write fails"),
        false => store
            .write(&[batch(4, 10)])
            .and_then(|()| store.save_snapshot(&snapshot(4, b"state"), b"state"))
            .expect_err("the write fails"),
    };
    drop(store);
    reopen(&disk);
}

/// A process that is killed before the sync leaves its write in the file. Once recovered, that
/// write has to be durable.
#[test]
fn unsynced_write_is_durable_once_recovered() {
    let disk = disk_with_entries(3);
    let (mut store, _) = open(&disk).expect("a valid store");
    disk.fail(store_disk::Faults { syncs: Some(0), ..Default::default() });
    store.write(&[batch(4, 10)]).expect_err("the sync fails");
    drop(store);
    assert_eq!(reopen(&disk), (4, None, 4));
}

/// The power fails right after a segment was created: any part of the last sync marker of the
/// previous segment may be missing, which must not be taken for corruption.
#[test]
fn sync_marker_torn_at_the_end_of_a_segment() {
    for unsynced_bytes in 0..=format::SYNC_MARKER_BYTES {
        let disk = disk_with_entries(1);
        let (mut store, _) = open(&disk).expect("a valid store");
        store.write(&[batch(2, NEARLY_FULL)]).expect("a write");
        store.write(&[batch(3, 2000)]).expect("a write");
        assert_eq!(disk.list().expect("the files").len(), 3, "another segment exists");
        disk.lose_power(unsynced_bytes);
        let (_, recovered) =
            open(&disk).unwrap_or_else(|error| panic!("{unsynced_bytes}: {error}"));
        assert_eq!(summary(&recovered).2, 3);
    }
}

/// Repeatedly failing snapshots take no more disk space than a single one.
#[rstest::rstest]
#[case::written(store_disk::Faults { full_prefix: Some("snapshot"), ..Default::default() })]
#[case::named(store_disk::Faults { folder_syncs: Some(0), ..Default::default() })]
fn failed_snapshots_do_not_accumulate(#[case] faults: store_disk::Faults) {
    let disk = disk_with_entries(1);
    let state = vec![1; 1_000_000];
    let mut peak = 0;
    for round in 1..=12_u64 {
        disk.fail(store_disk::Faults::default());
        let (mut store, recovered) = open(&disk).expect("a valid store");
        peak = peak.max(disk.size());
        let next = summary(&recovered).2 + 1;
        for index in next..next + 5 {
            store.write(&[batch(index, 1_000_000)]).expect("a write");
        }
        if round % 4 == 0 {
            store.save_snapshot(&snapshot(next + 4, &state), &state).expect("a snapshot");
        }
        disk.fail(faults);
        let failed = store.save_snapshot(&snapshot(next + 4, &state), &state);
        failed.expect_err("the snapshot fails");
    }
    // The entries of four rounds, one snapshot and one segment.
    assert!(peak < 4 * 5_000_000 + 1_000_000 + store::SEGMENT_BYTES as usize, "{peak}");
}
