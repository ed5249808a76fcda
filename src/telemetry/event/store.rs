//! Events of the store and the replicated log.

use crate::telemetry::event::Event;

/// The data folder is open.
pub const OPENED: Event = Event::new(300, log::Level::Info, "data folder opened");
/// The bytes of a write that never ended were cut off the log.
pub const TAIL_CUT: Event = Event::new(301, log::Level::Warn, "torn write cut off");
/// The data folder can't be used.
pub const REFUSED: Event = Event::new(302, log::Level::Error, "data folder refused");
/// Writing or syncing failed; the replica is opened afresh.
pub const WRITE_FAILED: Event = Event::new(303, log::Level::Error, "write failed");
/// The disk is full; the replica is opened afresh until there is room.
pub const DISK_FULL: Event = Event::new(304, log::Level::Error, "disk full");
/// A snapshot is durable, and what it covers is gone.
pub const SNAPSHOT_SAVED: Event = Event::new(305, log::Level::Info, "snapshot saved");
/// A snapshot from the leader replaces this replica's state.
pub const SNAPSHOT_TAKEN: Event = Event::new(306, log::Level::Info, "snapshot received");
/// This replica's role has changed.
pub const ROLE: Event = Event::new(310, log::Level::Info, "role changed");
/// The group is founded.
pub const FOUNDED: Event = Event::new(311, log::Level::Info, "group founded");
/// Founding waits for a founding member.
pub const FOUNDING_WAITS: Event = Event::new(312, log::Level::Warn, "founding waits");
/// Peers belong to a group that does not know this store.
pub const NOT_MEMBER: Event = Event::new(313, log::Level::Warn, "waits to be admitted");
/// The members have changed.
pub const MEMBERSHIP: Event = Event::new(314, log::Level::Info, "membership changed");
/// A peer is not who it should be.
pub const PEER_REFUSED: Event = Event::new(315, log::Level::Warn, "peer refused");
/// A replica that can't go on is stopped, and opened afresh after a pause.
pub const REOPENS: Event = Event::new(316, log::Level::Warn, "replica to be opened afresh");

/// Every event of this range.
pub const ALL: &[Event] = &[
    OPENED,
    TAIL_CUT,
    REFUSED,
    WRITE_FAILED,
    DISK_FULL,
    SNAPSHOT_SAVED,
    SNAPSHOT_TAKEN,
    ROLE,
    FOUNDED,
    FOUNDING_WAITS,
    NOT_MEMBER,
    MEMBERSHIP,
    PEER_REFUSED,
    REOPENS,
];
