//! Events of the store and the replicated log.

use crate::telemetry::event::Event;

/// The data folder is open.
pub const OPENED: Event = Event::new(300, log::Level::Info, "data folder opened");
/// The bytes of an incomplete write were truncated from the log.
pub const TORN_WRITE_REMOVED: Event = Event::new(301, log::Level::Warn, "torn write cut off");
/// The data folder can't be used.
pub const REFUSED: Event = Event::new(302, log::Level::Error, "data folder refused");
/// Writing or syncing failed; the replica is reopened.
pub const WRITE_FAILED: Event = Event::new(303, log::Level::Error, "write failed");
/// The disk is full; the replica is reopened until there is free space.
pub const DISK_FULL: Event = Event::new(304, log::Level::Error, "disk full");
/// A snapshot is durable, and the log entries that it covers are deleted.
pub const SNAPSHOT_SAVED: Event = Event::new(305, log::Level::Info, "snapshot saved");
/// A snapshot from the leader replaces this replica's state.
pub const SNAPSHOT_RECEIVED: Event = Event::new(306, log::Level::Info, "snapshot received");
/// This replica's role has changed.
pub const ROLE_CHANGED: Event = Event::new(310, log::Level::Info, "role changed");
/// The group has been bootstrapped.
pub const BOOTSTRAPPED: Event = Event::new(311, log::Level::Info, "group founded");
/// The bootstrap of the group waits for one of the founding members.
pub const BOOTSTRAP_WAITING: Event = Event::new(312, log::Level::Warn, "founding waits");
/// The peers belong to a group of which this store is not a member.
pub const NOT_MEMBER: Event = Event::new(313, log::Level::Warn, "waits to be admitted");
/// The members of the group have changed.
pub const MEMBERSHIP_CHANGED: Event = Event::new(314, log::Level::Info, "membership changed");
/// A peer does not have the expected identity.
pub const PEER_REFUSED: Event = Event::new(315, log::Level::Warn, "peer refused");
/// A replica that failed is stopped, and reopened after a delay.
pub const REPLICA_RESTARTING: Event =
    Event::new(316, log::Level::Warn, "replica to be opened afresh");

/// All events of this module.
pub const ALL: &[Event] = &[
    OPENED,
    TORN_WRITE_REMOVED,
    REFUSED,
    WRITE_FAILED,
    DISK_FULL,
    SNAPSHOT_SAVED,
    SNAPSHOT_RECEIVED,
    ROLE_CHANGED,
    BOOTSTRAPPED,
    BOOTSTRAP_WAITING,
    NOT_MEMBER,
    MEMBERSHIP_CHANGED,
    PEER_REFUSED,
    REPLICA_RESTARTING,
];
