//! Numbered log events. `docs/EVENTS.md` is their catalogue; a test compares the two.
//!
//! Each role has its own module and a range of a hundred numbers: general 100, control 200,
//! store and consensus 300, entry 400, agent 500, placement 600.

use std::fmt;

use log::kv;

pub mod agent;
pub mod control;
pub mod entry;
pub mod general;
pub mod store;

/// A numbered log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's number, which is never reused for another event.
    pub number: u16,
    /// The level at which the event is logged.
    pub level: log::Level,
    /// A short description of the event.
    pub title: &'static str,
}

impl Event {
    /// Declares an event.
    pub const fn new(number: u16, level: log::Level, title: &'static str) -> Self {
        Self { number, level, title }
    }

    /// Logs the event with details such as `worker=w3 epoch=7`.
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(
            target: "hemlockcleat",
            self.level,
            event = self.number;
            "E{} {}: {details}", self.number, self.title,
        );
    }

    /// Logs the event with fields that a JSON line carries separately.
    pub fn log_pairs(&self, pairs: &[(&str, kv::Value<'_>)]) {
        if self.level > log::max_level() {
            return;
        }
        let fields = Fields { number: self.number, pairs };
        log::logger().log(
            &log::Record::builder()
                .target("hemlockcleat")
                .level(self.level)
                .key_values(&fields)
                .args(format_args!("E{} {}: {}", self.number, self.title, Pairs(pairs)))
                .build(),
        );
    }
}

/// The event's number, followed by its other fields.
struct Fields<'a> {
    number: u16,
    pairs: &'a [(&'a str, kv::Value<'a>)],
}

impl kv::Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn kv::VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(kv::Key::from_str("event"), kv::Value::from(self.number))?;
        self.pairs.visit(visitor)
    }
}

/// Fields formatted as `key=value` text.
struct Pairs<'a>(&'a [(&'a str, kv::Value<'a>)]);

impl fmt::Display for Pairs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.0.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{key}={value}")?;
        }
        Ok(())
    }
}

/// All events, by range.
pub fn all() -> impl Iterator<Item = &'static Event> {
    let ranges = [general::ALL, control::ALL, store::ALL, entry::ALL, agent::ALL];
    ranges.into_iter().flatten()
}
