//! Counts of the refusals that an entry made itself, held until control has stored them.

use std::collections::BTreeMap;

use crate::core::time;
use crate::wire::entry as wire;

/// The most counts, by service and hour, in one report.
const MAX_REPORT_COUNTS: usize = 256;

/// Counts that control has not stored yet: those of the report in flight, and later ones.
#[derive(Debug, Default)]
pub struct RefusalCounts {
    sequence: u64,
    in_flight: Vec<(String, u64, u64)>,
    pending: BTreeMap<(String, time::Wall), u64>,
}

impl RefusalCounts {
    /// Counts a refusal.
    pub fn count(&mut self, service: &str, now: time::Wall) {
        *self.pending.entry((service.to_owned(), now.start_of_hour())).or_default() += 1;
    }

    /// Returns the report to send: the one in flight, or else a new one. Returns `None` if there is
    /// nothing to report.
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

    /// Handles the confirmation that control has stored a report. Ignores stale confirmations.
    pub fn mark_stored(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.in_flight.clear();
        }
    }

    /// Whether control has stored all counts.
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
