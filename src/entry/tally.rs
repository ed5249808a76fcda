//! Refusals the entry made on its own, counted until control has stored them.

use std::collections::BTreeMap;

use crate::core::time;
use crate::wire::entry as wire;

/// Counts by service and hour that one report holds at most.
const REPORT_LIMIT: usize = 256;

/// Counts not stored yet: those of the report on its way, and those since.
#[derive(Debug, Default)]
pub struct Tally {
    sequence: u64,
    report: Vec<(String, u64, u64)>,
    fresh: BTreeMap<(String, time::Wall), u64>,
}

impl Tally {
    /// Counts one refusal.
    pub fn count(&mut self, service: &str, now: time::Wall) {
        *self.fresh.entry((service.to_owned(), now.start_of_hour())).or_default() += 1;
    }

    /// The report to send: the one on its way again, or a new one. None if nothing is counted.
    pub fn report(&mut self) -> Option<wire::ClientMessage> {
        if self.report.is_empty() {
            self.start();
        }
        if self.report.is_empty() {
            return None;
        }
        Some(wire::ClientMessage::Refusals { sequence: self.sequence, counts: self.report.clone() })
    }

    /// Control has stored a report. An answer to an earlier one changes nothing.
    pub fn stored(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.report.clear();
        }
    }

    /// Whether everything counted is stored.
    pub fn is_empty(&self) -> bool {
        self.report.is_empty() && self.fresh.is_empty()
    }

    fn start(&mut self) {
        while self.report.len() < REPORT_LIMIT {
            let Some(((service, hour), count)) = self.fresh.pop_first() else { break };
            self.report.push((service, hour.0, count));
        }
        if !self.report.is_empty() {
            self.sequence += 1;
        }
    }
}
