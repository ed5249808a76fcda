//! The data folder on a disk that is full, or fails, for a while: what was acknowledged is there
//! when there is room again, what is read at an opening lasts, and nothing is left behind.

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

/// Bytes of an entry that leaves little room in its segment.
const LARGE: usize = store::SEGMENT_BYTES as usize - 1000;

fn open(disk: &store_disk::Memory) -> Result<(folder::Store, folder::Recovered), store::Error> {
    folder::Store::open(sync::Arc::new(disk.clone()), REPLICA, STORE)
}

fn entry(index: u64, size: usize) -> entry::Entry {
    let payload = entry::Payload::Command(Bytes::from(vec![7; size]));
    entry::Entry { index: ids::LogIndex(index), term: ids::Term(1), payload }
}

/// An entry, with a term that tells the hard states apart.
fn batch(index: u64, size: usize) -> entry::Batch {
    let hard = entry::HardState { term: ids::Term(index), ..entry::HardState::default() };
    let entries = vec![entry(index, size)];
    entry::Batch { hard_state: Some(hard), entries, ..entry::Batch::default() }
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

fn full(room: usize) -> store_disk::Faults {
    store_disk::Faults { room: Some(room), ..Default::default() }
}

/// What an opening has found: the term, the snapshot and the last entry.
fn found(loaded: &folder::Recovered) -> (u64, Option<u64>, u64) {
    let base = loaded.snapshot.as_ref().map(|(snapshot, _)| snapshot.index.0);
    let last = loaded.entries.last().map(|entry| entry.index.0);
    (loaded.hard_state.term.0, base, last.or(base).unwrap_or(0))
}

/// Opens a disk that has room again, and returns what was found. That lasts though the power fails
/// right away, and nothing is left of what was not finished.
fn reopen(disk: &store_disk::Memory) -> (u64, Option<u64>, u64) {
    disk.fail(store_disk::Faults::default());
    let (_, loaded) = open(disk).expect("a full disk is no corruption");
    let first = found(&loaded);
    let files = disk.list().expect("the files");
    assert!(!files.iter().any(|file| file.ends_with(".new")), "{files:?}");
    assert!(files.iter().filter(|file| file.starts_with("snapshot")).count() <= 1, "{files:?}");
    disk.lose_power(0);
    let (mut store, loaded) = open(disk).expect("a sound store");
    assert_eq!(found(&loaded), first, "what was read has to last");
    let next = first.2 + 1;
    store.write(&[batch(next, 10)]).expect("there is room");
    disk.lose_power(0);
    let (_, loaded) = open(disk).expect("a sound store");
    assert_eq!(found(&loaded).2, next);
    first
}

/// A disk with some entries, each synced by itself.
fn some(entries: u64) -> store_disk::Memory {
    let disk = store_disk::Memory::default();
    let (mut store, _) = open(&disk).expect("a new store");
    for index in 1..=entries {
        store.write(&[batch(index, 10)]).expect("a write");
    }
    disk
}

#[test]
fn full_at_the_first_opening() {
    for room in 0..300 {
        let disk = store_disk::Memory::default();
        disk.fail(full(room));
        let (before, error) = match open(&disk) {
            Ok(_) => return assert!(room > format::SYNC_MARKER_BYTES, "{room}"),
            Err(error) => (disk.size(), error),
        };
        assert!(matches!(error, store::Error::Full(..)), "{room}: {error}");
        // What needs no write may open now.
        let again = open(&disk).err();
        assert!(matches!(again, None | Some(store::Error::Full(..))), "{room}: {again:?}");
        assert!(disk.size() <= before, "{room}: each try takes room");
        assert_eq!(reopen(&disk), (0, None, 0));
    }
    panic!("it never opens");
}

/// Full at every byte of a write, of hard state and entries.
#[test]
fn full_at_each_byte_of_a_write() {
    for room in 0..200 {
        let disk = some(3);
        let (mut store, _) = open(&disk).expect("a sound store");
        disk.fail(full(room));
        let written = store.write(&[batch(4, 10), batch(5, 10)]).is_ok();
        drop(store);
        let (term, _, last) = reopen(&disk);
        assert!(last >= if written { 5 } else { 3 }, "{room}: {last}");
        assert!(term >= last, "{room}: the hard state comes first");
    }
}

/// Full at bytes of the write that fills a segment, and of the beginning of the next one.
#[test]
fn full_while_a_segment_is_begun() {
    for room in (900..1300).step_by(7) {
        let disk = some(1);
        let (mut store, _) = open(&disk).expect("a sound store");
        store.write(&[batch(2, LARGE)]).expect("a write");
        disk.fail(full(room));
        let written = store.write(&[batch(3, 1000)]).is_ok();
        drop(store);
        let (_, _, last) = reopen(&disk);
        assert!(last == 3 || !written && last == 2, "{room}: {last}");
    }
}

/// Full at bytes of a snapshot, of the own state or one received.
#[rstest::rstest]
#[case::own(false)]
#[case::received(true)]
fn full_at_each_byte_of_a_snapshot(#[case] received: bool) {
    for room in 0..250 {
        let disk = some(3);
        let (mut store, _) = open(&disk).expect("a sound store");
        store.save_snapshot(&snapshot(1, b"old"), b"old").expect("a snapshot");
        disk.fail(full(room));
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

/// What a failed sync has left behind is read at the next opening, and counts from then on: the
/// power may fail right after.
#[rstest::rstest]
#[case::sync(store_disk::Faults { syncs: Some(0), ..Default::default() })]
#[case::snapshot(store_disk::Faults { syncs: Some(1), ..Default::default() })]
#[case::folder(store_disk::Faults { folder_syncs: Some(0), ..Default::default() })]
fn what_an_opening_reads_lasts(
    #[case] faults: store_disk::Faults,
    #[values(false, true)] received: bool,
) {
    let disk = some(3);
    let (mut store, _) = open(&disk).expect("a sound store");
    disk.fail(faults);
    let install = entry::Batch {
        snapshot: Some((snapshot(9, b"state"), Bytes::from_static(b"state"))),
        truncate: Some(ids::LogIndex(1)),
        ..entry::Batch::default()
    };
    match received {
        true => store.write(&[install]).expect_err("it fails"),
        false => store
            .write(&[batch(4, 10)])
            .and_then(|()| store.save_snapshot(&snapshot(4, b"state"), b"state"))
            .expect_err("it fails"),
    };
    drop(store);
    reopen(&disk);
}

/// A process that is killed before the sync leaves its write in the file.
#[test]
fn what_a_killed_process_wrote_lasts_once_read() {
    let disk = some(3);
    let (mut store, _) = open(&disk).expect("a sound store");
    disk.fail(store_disk::Faults { syncs: Some(0), ..Default::default() });
    store.write(&[batch(4, 10)]).expect_err("no sync");
    drop(store);
    assert_eq!(reopen(&disk), (4, None, 4));
}

/// The power fails right after a segment was begun: of the last seal of the one before, any part
/// may be missing.
#[test]
fn seal_torn_at_the_end_of_a_segment() {
    for keep in 0..=format::SYNC_MARKER_BYTES {
        let disk = some(1);
        let (mut store, _) = open(&disk).expect("a sound store");
        store.write(&[batch(2, LARGE)]).expect("a write");
        store.write(&[batch(3, 2000)]).expect("a write");
        assert_eq!(disk.list().expect("the files").len(), 3, "another segment has begun");
        disk.lose_power(keep);
        let (_, loaded) = open(&disk).unwrap_or_else(|error| panic!("{keep}: {error}"));
        assert_eq!(found(&loaded).2, 3);
    }
}

/// Snapshots that fail again and again take no more room than one does.
#[rstest::rstest]
#[case::written(store_disk::Faults { full: Some("snapshot"), ..Default::default() })]
#[case::named(store_disk::Faults { folder_syncs: Some(0), ..Default::default() })]
fn failed_snapshots_do_not_add_up(#[case] faults: store_disk::Faults) {
    let disk = some(1);
    let state = vec![1; 1_000_000];
    let mut most = 0;
    for round in 1..=12_u64 {
        disk.fail(store_disk::Faults::default());
        let (mut store, loaded) = open(&disk).expect("a sound store");
        most = most.max(disk.size());
        let next = found(&loaded).2 + 1;
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
    // What four rounds write, one snapshot, and a segment.
    assert!(most < 4 * 5_000_000 + 1_000_000 + store::SEGMENT_BYTES as usize, "{most}");
}
