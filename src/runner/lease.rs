//! The lease on the worker, and the worker's clock.

use std::collections::VecDeque;

use crate::core::time;

/// The most reports whose grants are awaited; the grant of an older one is ignored.
const MAX_OUTSTANDING_REPORTS: usize = 16;

/// The slowest rate of a worker's clock, in thousandths of the rate of the agent's clock.
const SLOWEST_CLOCK_PERMILLE: u64 = 980;

/// The lease on the worker that the leader grants the agent, on the agent's monotonic clock.
#[derive(Debug, Default)]
pub struct Lease {
    sequence: u64,
    outstanding: VecDeque<(u64, time::Tick)>,
    expires: Option<time::Tick>,
    /// The worker's clock, and when the agent read it.
    clock: Option<(u64, time::Tick)>,
}

impl Lease {
    /// Returns the number of a report that is about to be sent. Numbers never repeat within a
    /// process.
    pub fn next_report(&mut self, now: time::Tick) -> u64 {
        self.sequence += 1;
        if self.outstanding.len() == MAX_OUTSTANDING_REPORTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((self.sequence, now));
        self.sequence
    }

    /// Applies the grant that answers a report; its duration counts from when the report was sent.
    pub fn grant(&mut self, sequence: u64, duration: time::Millis) {
        let Some(index) = self.outstanding.iter().position(|(sent, _)| *sent == sequence) else {
            return;
        };
        let (_, sent_at) = self.outstanding[index];
        self.outstanding.drain(..=index);
        self.expires = self.expires.max(Some(sent_at + duration));
    }

    /// Discards the reports of a session that has ended, since no grant can answer them any more.
    pub fn session_ended(&mut self) {
        self.outstanding.clear();
    }

    /// Returns whether the worker may be given work now.
    pub fn is_valid(&self, now: time::Tick) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// Records the worker's clock, which was read no later than `now`.
    pub fn set_clock(&mut self, clock: u64, now: time::Tick) {
        self.clock = Some((clock, now));
    }

    /// Discards the worker's clock, since another incarnation of the worker has another one.
    pub fn clear_clock(&mut self) {
        self.clock = None;
    }

    /// Returns the time on the worker's clock until which the worker may run, so that it has
    /// stopped when the lease ends even if its clock is slow.
    pub fn deadline(&self) -> Option<u64> {
        let (expires, (clock, read_at)) = (self.expires?, self.clock?);
        Some(
            clock.saturating_add(
                (expires - read_at).0.saturating_mul(SLOWEST_CLOCK_PERMILLE) / 1000,
            ),
        )
    }
}
