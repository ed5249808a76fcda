//! The hours on the status page: a cache of the last received copy, and rows without missing hours.

use std::collections::BTreeMap;
use std::time;

use crate::core::time as core_time;
use crate::wire::entry as wire;

/// The age of a copy above which the page marks it as old.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_secs(15);

/// The number of hours before the current one that the page shows.
pub const HOURS_BACK: u64 = 24;

/// The number of hours after the current one that the page shows.
pub const HOURS_AHEAD: u64 = 12;

/// The longest span of a look-up, in hours.
pub const MAX_SPAN_HOURS: u64 = 24 * 31;

/// The reason shown for a span that control marks as not recorded.
pub const UNRECORDED: &str = "the system could not record this span";

/// The reason shown for an hour that control's reply lacks.
pub const MISSING: &str = "no record of this hour was received";

/// A cache of the last received copy of the hours.
#[derive(Debug, Default)]
pub struct Cache {
    copy: Option<(wire::Hours, time::Instant)>,
}

impl Cache {
    /// Replaces the copy, unless the new one is as of an earlier time.
    pub fn set(&mut self, hours: wire::Hours) {
        let current = self.copy.as_ref().map_or(0, |(copy, _)| copy.as_of);
        if hours.as_of >= current {
            self.copy = Some((hours, time::Instant::now()));
        }
    }

    /// Returns the copy and the time since it was received.
    pub fn get(&self) -> Option<(&wire::Hours, time::Duration)> {
        self.copy.as_ref().map(|(hours, at)| (hours, at.elapsed()))
    }
}

/// A span of whole hours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The start of the first hour.
    pub from: core_time::Wall,
    /// The end of the last hour.
    pub until: core_time::Wall,
}

impl Span {
    /// The span that the page shows by default.
    pub fn around(now: core_time::Wall) -> Self {
        let hour = now.start_of_hour().0;
        let from = hour.saturating_sub(HOURS_BACK * core_time::HOUR.0);
        let until = hour + (HOURS_AHEAD + 1) * core_time::HOUR.0;
        Self { from: core_time::Wall(from), until: core_time::Wall(until) }
    }

    /// Rounds a requested span, in milliseconds since 1970, to whole hours. Returns `None` if the
    /// span is empty or longer than [`MAX_SPAN_HOURS`].
    pub fn checked(from: u64, until: u64) -> Option<Self> {
        let from = core_time::Wall(from).start_of_hour();
        let until = core_time::Wall(until.checked_add(core_time::HOUR.0 - 1)?).start_of_hour();
        let hours = until.0.checked_sub(from.0)? / core_time::HOUR.0;
        (1..=MAX_SPAN_HOURS).contains(&hours).then_some(Self { from, until })
    }

    fn hours(self) -> impl Iterator<Item = u64> {
        (self.from.0..self.until.0).step_by(core_time::HOUR.0 as usize)
    }
}

/// One hour of a service as shown to readers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Row {
    /// The start of the hour, in milliseconds since 1970.
    pub hour: u64,
    /// The start of the hour in UTC, as text.
    pub start: String,
    /// The number of requests due in the hour.
    pub promised: u64,
    /// The number of requests done in time.
    pub done: u64,
    /// The number of late requests.
    pub late: u64,
    /// The number of requests refused with `not-run`.
    pub refused: u64,
    /// The number of requests that ended with `may-have-run`.
    pub may_have_run: u64,
    /// Spans within the hour that have no record.
    pub not_recorded: Vec<Gap>,
}

/// A span of time without a record.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Gap {
    /// The start of the span, in milliseconds since 1970.
    pub from: u64,
    /// The end of the span, in milliseconds since 1970.
    pub until: u64,
    /// The reason, as a text for readers.
    pub reason: &'static str,
}

/// Returns the rows of each service, sorted by hour. Between a service's first row in the copy and
/// the hour that the copy is as of, an hour that the copy lacks is shown as not recorded.
pub fn rows(hours: &wire::Hours, span: Span) -> BTreeMap<String, Vec<Row>> {
    let mut services: BTreeMap<String, BTreeMap<u64, Row>> = BTreeMap::new();
    for hour in &hours.hours {
        if hour.hour >= span.from.0 && hour.hour < span.until.0 {
            services.entry(hour.service.clone()).or_default().insert(hour.hour, row(hour));
        }
    }
    for rows in services.values_mut() {
        add_missing_hours(rows, hours.as_of, span);
    }
    let into_rows =
        |(name, rows): (String, BTreeMap<u64, Row>)| (name, rows.into_values().collect());
    services.into_iter().map(into_rows).collect()
}

fn add_missing_hours(rows: &mut BTreeMap<u64, Row>, as_of: u64, span: Span) {
    let Some((&first, _)) = rows.first_key_value() else { return };
    for hour in span.hours() {
        if hour > first && hour <= as_of {
            rows.entry(hour).or_insert_with(|| missing(hour, as_of));
        }
    }
}

fn row(hour: &wire::Hour) -> Row {
    let gap = |&(from, until): &(u64, u64)| Gap { from, until, reason: UNRECORDED };
    Row {
        hour: hour.hour,
        start: core_time::Wall(hour.hour).format_utc(),
        promised: hour.promised,
        done: hour.done,
        late: hour.late,
        refused: hour.refused,
        may_have_run: hour.uncertain,
        not_recorded: hour.gaps.iter().map(gap).collect(),
    }
}

fn missing(hour: u64, as_of: u64) -> Row {
    let until = as_of.min(hour + core_time::HOUR.0);
    let empty = wire::Hour {
        service: String::new(),
        hour,
        promised: 0,
        done: 0,
        late: 0,
        refused: 0,
        uncertain: 0,
        gaps: Vec::new(),
    };
    Row { not_recorded: vec![Gap { from: hour, until, reason: MISSING }], ..row(&empty) }
}
