//! Events of every program.

use crate::telemetry::event::Event;

/// Every event of this range.
pub const ALL: &[Event] = &[STARTED, STOPPING, STOPPED];

/// A program has checked its settings and opened its ports.
pub const STARTED: Event = Event::new(100, log::Level::Info, "started");
/// A program begins a planned stop.
pub const STOPPING: Event = Event::new(101, log::Level::Info, "stopping");
/// A program has joined all it spawned and ends.
pub const STOPPED: Event = Event::new(102, log::Level::Info, "stopped");
