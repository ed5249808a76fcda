//! Refusals the entry made on its own, counted until control has stored them.

use std::collections::BTreeMap;

use crate::core::time;
use crate::wire::entry as wire;

/// Counts by service and hour that one report holds at most.
const MAX_REPORT_COUNTS: usize = 256;

/// Counts not stored yet: those of the report on its way, and those since.
#[derive(Debug, Default)]
pub struct RefusalCounts {
    sequence: u64,
    in_flight: Vec<(String, u64, u64)>,
    pending: BTreeMap<(String, time::Wall), u64>,
}

impl RefusalCounts {
    /// Counts one refusal.
    pub fn count(&mut self, service: &str, now: time::Wall) {
        *self.pending.entry((service.to_owned(), now.start_of_hour())).or_default() += 1;
    }

    /// The report to send: the one on its way again, or a new one. None if nothing is counted.
    pub fn report(&mut self) -> Option<wire::ClientMessage> {
        if self.in_flight.is_empty() {
            self.start_report();
        }
        if self.in_flight.is_empty() {
            return None;
        }
        Some(wire::ClientMessage::Refusals {
            sequence: self.sequence,
            counts: self.in_flight.clone(),
        })
    }

    /// Control has stored a report. An answer to an earlier one changes nothing.
    pub fn mark_stored(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.in_flight.clear();
        }
    }

    /// Whether everything counted is stored.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.pending.is_empty()
    }

    fn start_report(&mut self) {
        while self.in_flight.len() < MAX_REPORT_COUNTS {
            let Some(((service, hour), count)) = self.pending.pop_first() else { break };
            self.in_flight.push((service, hour.0, count));
        }
        if !self.in_flight.is_empty() {
            self.sequence += 1;
        }
    }
}
