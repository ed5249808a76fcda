//! Hourly request counts of each service, shown on the status page.
//!
//! Every hour since a service was created has a record: an hour without requests is all zeros, and
//! an interval in which no log entry was committed is recorded as a gap.

use std::collections::BTreeMap;

use crate::core::ledger::outcome;
use crate::core::time;
use crate::macros;

/// The longest interval between two log entries that does not count as a gap. A leader without
/// other entries proposes the time far more often.
pub const MAX_ENTRY_INTERVAL: time::Millis = time::Millis::from_secs(30);

/// How long hours are retained: 400 days.
pub const RETENTION: time::Millis = time::Millis(400 * 24 * time::HOUR.0);

macros::copy_types! {
    /// The count of its hour in which an accepted request is included.
    pub enum Category {
        /// The request has not ended and its deadline has not passed; no count includes it yet.
        Open,
        /// The request ended with its answer by its deadline.
        Done,
        /// The request had not ended by its deadline, or ended with its answer after it.
        Late,
        /// The request ended without an answer and did not run.
        Refused,
        /// The request ended without an answer and may have run.
        Uncertain,
    }
}

/// Hourly counts by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// The time at which each service was created, by service name.
    pub created: BTreeMap<String, time::Wall>,
    /// The hours that are not all zeros, by service name and start of the hour.
    pub hours: BTreeMap<(String, time::Wall), outcome::Hour>,
}

impl Stats {
    /// Starts the records of a service, unless it exists already.
    pub fn add_service(&mut self, service: &str, now: time::Wall) {
        self.created.entry(service.to_owned()).or_insert(now);
    }

    /// Records a gap for every service if more than [`MAX_ENTRY_INTERVAL`] lies between two log
    /// entries, at `from` and `until`. A time of 0 means that there was no earlier entry.
    pub fn record_outage(&mut self, from: time::Wall, until: time::Wall) {
        if from == time::Wall(0) || until - from <= MAX_ENTRY_INTERVAL {
            return;
        }
        let services: Vec<String> = self.created.keys().cloned().collect();
        for service in services {
            self.record_gap(&service, from, until);
        }
    }

    fn record_gap(&mut self, service: &str, from: time::Wall, until: time::Wall) {
        let oldest = time::Wall(until.0.saturating_sub(RETENTION.0));
        let mut start = from.max(oldest);
        while start < until {
            let hour = start.start_of_hour();
            let end = until.min(hour + time::HOUR);
            self.hour(service, hour).gaps.push(outcome::Gap { from: start, until: end });
            start = end;
        }
    }

    /// Counts an accepted request in the hour of its deadline `due`.
    pub fn count_promised(&mut self, service: &str, due: time::Wall) {
        self.hour(service, due.start_of_hour()).promised += 1;
    }

    /// Moves an accepted request from one count of its hour to another.
    pub fn reclassify(&mut self, service: &str, due: time::Wall, from: Category, to: Category) {
        let hour = self.hour(service, due.start_of_hour());
        if let Some(count) = count(hour, from) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = count(hour, to) {
            *count += 1;
        }
    }

    /// Counts requests that were refused without being accepted; ignores unknown services.
    pub fn count_refused(&mut self, service: &str, at: time::Wall, count: u64) {
        if self.created.contains_key(service) {
            self.hour(service, at.start_of_hour()).refused += count;
        }
    }

    /// Drops hours older than [`RETENTION`].
    pub fn expire(&mut self, now: time::Wall) {
        let oldest = time::Wall(now.0.saturating_sub(RETENTION.0));
        self.hours.retain(|(_, start), _| *start >= oldest);
    }

    /// Returns the hours of all services that overlap the interval: every hour up to that of `now`,
    /// and later hours only if a request is due in them.
    pub fn view(
        &self,
        from: time::Wall,
        until: time::Wall,
        now: time::Wall,
    ) -> Vec<(String, time::Wall, outcome::Hour)> {
        let mut view = Vec::new();
        let until = until.min(now + RETENTION);
        let oldest = time::Wall(now.0.saturating_sub(RETENTION.0));
        for (service, created) in &self.created {
            let mut start = from.max(*created).max(oldest).start_of_hour();
            while start < until {
                let hour = self.hours.get(&(service.clone(), start)).cloned();
                if start <= now || hour.is_some() {
                    view.push((service.clone(), start, hour.unwrap_or_default()));
                }
                start = start + time::HOUR;
            }
        }
        view
    }

    fn hour(&mut self, service: &str, start: time::Wall) -> &mut outcome::Hour {
        self.hours.entry((service.to_owned(), start)).or_default()
    }
}

fn count(hour: &mut outcome::Hour, category: Category) -> Option<&mut u64> {
    match category {
        Category::Open => None,
        Category::Done => Some(&mut hour.done),
        Category::Late => Some(&mut hour.late),
        Category::Refused => Some(&mut hour.refused),
        Category::Uncertain => Some(&mut hour.uncertain),
    }
}
