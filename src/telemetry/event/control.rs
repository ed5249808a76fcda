//! Events of control.

use crate::telemetry::event::Event;

/// Every event of this range.
pub const ALL: &[Event] = &[
    ENTRY_UNREADABLE,
    LEADING,
    NOT_LEADING,
    WORKER_REGISTERED,
    WORKER_LOST,
    SESSION_REFUSED,
    REPLICAS_CHANGING,
    TICKET_ACCEPTED,
    TICKET_REFUSED,
];

/// A committed entry can't be decoded; it was written by another version.
pub const ENTRY_UNREADABLE: Event = Event::new(200, log::Level::Error, "log entry unreadable");
/// This replica begins to lead.
pub const LEADING: Event = Event::new(201, log::Level::Info, "leading");
/// This replica no longer leads.
pub const NOT_LEADING: Event = Event::new(202, log::Level::Warn, "no longer leading");
/// A worker has a lease epoch and may get work.
pub const WORKER_REGISTERED: Event = Event::new(203, log::Level::Info, "worker registered");
/// A worker's lease has run out.
pub const WORKER_LOST: Event = Event::new(204, log::Level::Warn, "worker lost");
/// A process of another version or cell was turned away.
pub const SESSION_REFUSED: Event = Event::new(205, log::Level::Warn, "session refused");
/// The members of the control group are being changed.
pub const REPLICAS_CHANGING: Event = Event::new(206, log::Level::Info, "replicas changing");
/// A ticket was accepted.
pub const TICKET_ACCEPTED: Event = Event::new(207, log::Level::Info, "ticket accepted");
/// A ticket was refused.
pub const TICKET_REFUSED: Event = Event::new(208, log::Level::Warn, "ticket refused");
