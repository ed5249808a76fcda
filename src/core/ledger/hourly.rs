//! The hours of the status page.
//!
//! Every hour since a service was created has a record: an hour in which nothing happened is all
//! zeros, and a span in which the log stood still is named as a gap.

use std::collections::BTreeMap;

use crate::core::ledger::outcome;
use crate::core::time;
use crate::macros;

/// The longest span between two entries of the log that does not count as a gap. The leader logs
/// the time far more often.
pub const MAX_ENTRY_INTERVAL: time::Millis = time::Millis::from_secs(30);

/// How long hours are kept.
pub const RETENTION: time::Millis = time::Millis(400 * 24 * time::HOUR.0);

macros::copy_types! {
    /// Under which count of its hour a promised request stands.
    pub enum Category {
        /// Not ended, and not yet due.
        Open,
        /// Ended with its answer in time.
        Done,
        /// Not ended by its deadline, or ended with its answer after it.
        Late,
        /// Ended without having run.
        Refused,
        /// Ended, and may have run.
        Uncertain,
    }
}

/// Hours by service and start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// When each service was created.
    pub created: BTreeMap<String, time::Wall>,
    /// The hours that differ from all zeros.
    pub hours: BTreeMap<(String, time::Wall), outcome::Hour>,
}

impl Stats {
    /// Notes that a service exists from now on.
    pub fn add_service(&mut self, service: &str, now: time::Wall) {
        self.created.entry(service.to_owned()).or_insert(now);
    }

    /// Notes that the log's time went on, and records a gap where it stood still for too long.
    pub fn advance(&mut self, from: time::Wall, until: time::Wall) {
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

    /// Counts a request that is due at `due`.
    pub fn count_promised(&mut self, service: &str, due: time::Wall) {
        self.hour(service, due.start_of_hour()).promised += 1;
    }

    /// Moves a promised request from one count of its hour to another.
    pub fn reclassify(&mut self, service: &str, due: time::Wall, from: Category, to: Category) {
        let hour = self.hour(service, due.start_of_hour());
        if let Some(count) = count(hour, from) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = count(hour, to) {
            *count += 1;
        }
    }

    /// Counts requests that were refused before they were promised.
    pub fn count_refused(&mut self, service: &str, at: time::Wall, count: u64) {
        if self.created.contains_key(service) {
            self.hour(service, at.start_of_hour()).refused += count;
        }
    }

    /// Drops hours past their retention.
    pub fn expire(&mut self, now: time::Wall) {
        let oldest = time::Wall(now.0.saturating_sub(RETENTION.0));
        self.hours.retain(|(_, start), _| *start >= oldest);
    }

    /// Every hour of every service that overlaps the span, up to the hour of `now`, and later hours
    /// in which something is due.
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
