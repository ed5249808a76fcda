//! Numbered log events. `docs/EVENTS.md` is their catalogue; a test holds one against the other.
//!
//! Each role has a file of its own and a range of a hundred numbers: general 100, control 200,
//! store and consensus 300, entry 400, agent 500, placement 600.

use std::fmt;

pub mod agent;
pub mod control;
pub mod entry;
pub mod general;
pub mod store;

/// A numbered log event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Its number; never used again for another event.
    pub number: u16,
    /// Its level.
    pub level: log::Level,
    /// What happened, in a few words.
    pub title: &'static str,
}

impl Event {
    /// Declares an event.
    pub const fn new(number: u16, level: log::Level, title: &'static str) -> Self {
        Self { number, level, title }
    }

    /// Logs the event with details such as `worker=w3 epoch=7`.
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(target: "hemlockcleat", self.level, "E{} {}: {}", self.number, self.title, details);
    }
}

/// Every event, by range.
pub fn all() -> impl Iterator<Item = &'static Event> {
    let ranges = [general::ALL, control::ALL, store::ALL, entry::ALL, agent::ALL];
    ranges.into_iter().flatten()
}
