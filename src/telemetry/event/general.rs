//! Events of every program.

use crate::telemetry::event::Event;

/// All events of this module.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPING,
    STOPPED,
    HOP_ENDED,
    CONNECTION_ERROR,
    SETTINGS_REJECTED,
    FAILED,
    RELOADED,
    LINES_DROPPED,
    NO_LEADER,
    REPLICAS_REPORTED,
];

/// The program has checked its settings and opened its ports.
pub const STARTED: Event = Event::new(100, log::Level::Info, "started");
/// The program begins a planned stop.
pub const STOPPING: Event = Event::new(101, log::Level::Info, "stopping");
/// The program has joined its threads and tasks and exits.
pub const STOPPED: Event = Event::new(102, log::Level::Info, "stopped");
/// A hop of a request has ended; each hop is a span of the trace.
pub const HOP_ENDED: Event = Event::new(103, log::Level::Info, "hop ended");
/// A connection was refused, or closed because of the data received on it.
pub const CONNECTION_ERROR: Event = Event::new(104, log::Level::Warn, "connection trouble");
/// The settings can't be used; the program exits.
pub const SETTINGS_REJECTED: Event = Event::new(105, log::Level::Error, "settings refused");
/// The program hit an unrecoverable error and exits.
pub const FAILED: Event = Event::new(106, log::Level::Error, "failed");
/// Changed settings were applied without a restart.
pub const RELOADED: Event = Event::new(107, log::Level::Info, "settings reloaded");
/// Log lines were dropped: an event exceeded its rate limit, or the log's reader was too slow.
pub const LINES_DROPPED: Event = Event::new(108, log::Level::Warn, "lines left out");
/// A search for the leader found none, and its outcome differs from the previous search's.
pub const NO_LEADER: Event = Event::new(109, log::Level::Warn, "no leader found");
/// The replicas that were reported differ from those known so far.
pub const REPLICAS_REPORTED: Event = Event::new(110, log::Level::Info, "replicas learnt");
