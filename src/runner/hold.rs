//! The lease on the worker, and the worker's clock.

use std::collections::VecDeque;

use crate::core::time;

/// Reports whose grants may still be useful.
const OUTSTANDING: usize = 16;

/// The slowest a worker's clock may run, in thousandths of the agent's.
const SLOWEST: u64 = 980;

/// The lease that an agent has of its leader, on the agent's steady clock.
#[derive(Debug, Default)]
pub struct Hold {
    sequence: u64,
    sent: VecDeque<(u64, time::Tick)>,
    expires: Option<time::Tick>,
    /// The worker's clock and when it was read.
    clock: Option<(u64, time::Tick)>,
}

impl Hold {
    /// Numbers a report that is about to be sent. Numbers never repeat within a process.
    pub fn report(&mut self, now: time::Tick) -> u64 {
        self.sequence += 1;
        if self.sent.len() == OUTSTANDING {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        self.sequence
    }

    /// Takes the grant for a report: it counts from when that was sent.
    pub fn granted(&mut self, sequence: u64, length: time::Millis) {
        let Some(index) = self.sent.iter().position(|(sent, _)| *sent == sequence) else { return };
        let (_, at) = self.sent[index];
        self.sent.drain(..=index);
        self.expires = self.expires.max(Some(at + length));
    }

    /// Drops reports of an earlier session, which no grant can answer any more.
    pub fn session_ended(&mut self) {
        self.sent.clear();
    }

    /// Whether the worker may be given work at this moment.
    pub fn is_valid(&self, now: time::Tick) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// Takes note of the worker's clock, read no later than `now`.
    pub fn clock(&mut self, clock: u64, now: time::Tick) {
        self.clock = Some((clock, now));
    }

    /// Another incarnation of the worker has another clock.
    pub fn reborn(&mut self) {
        self.clock = None;
    }

    /// Until when the worker may run, on its own clock, so that it has stopped when the lease ends
    /// even if its clock is slow.
    pub fn until(&self) -> Option<u64> {
        let (expires, (clock, read)) = (self.expires?, self.clock?);
        Some(clock.saturating_add((expires - read).0.saturating_mul(SLOWEST) / 1000))
    }
}
