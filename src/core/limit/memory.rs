//! Admission of workflows by the memory that control replicas need for them.
//!
//! Callers may hand in jobs without end at a rate that is allowed, each of them small, while the jobs
//! wait or their ends are remembered. Beyond the bound the leader refuses a submission before it is
//! proposed. What is in the log is accepted by every replica, so that all hold the same jobs.

use std::collections::BTreeMap;

use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::registry;

/// The part of a host's memory that workflows may take. A replica holds them up to four times: as
/// state, as its copy and as encoded bytes while it writes a snapshot, and as the log entries that are
/// kept until they have the length of the last snapshot. Half of the memory remains for everything
/// else. Its disk holds two snapshots and such entries.
const MEMORY_DIVISOR: u64 = 8;

/// The least bound in bytes, which any host can bear.
const MIN_LIMIT: u64 = 4 * 1024 * 1024;

/// The memory of a host whose settings don't name it, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// The longest time after which a caller should try again: active jobs may end at any time.
const MAX_RETRY_AFTER: time::Millis = time::Millis::from_secs(30);

/// The shortest time after which a caller should try again.
const MIN_RETRY_AFTER: time::Millis = time::Millis::from_secs(1);

/// The address of a queue and the caller's identifier of a job.
type Name = (String, String);

/// A submission that may be proposed.
#[derive(Debug)]
#[must_use = "a reservation must be released once the proposal is decided"]
pub struct Reservation(Name);

/// The proposals of one job that are not decided.
#[derive(Debug)]
struct InFlight {
    bytes: u64,
    proposals: u32,
}

/// The memory that workflows may take, with what is reserved for proposals that are not decided.
#[derive(Debug)]
pub struct Memory {
    limit: u64,
    reserved: u64,
    in_flight: BTreeMap<Name, InFlight>,
}

impl Memory {
    /// Returns the bound for a host with this memory in MB, if it is known.
    pub fn of_host(memory_mb: Option<u64>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1024 * 1024);
        let limit = (memory / MEMORY_DIVISOR).max(MIN_LIMIT);
        Self { limit, reserved: 0, in_flight: BTreeMap::new() }
    }

    /// Returns the bound in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Reserves the memory of a submission, until the reservation is released. A job that is known or
    /// proposed already is always admitted, since it takes no more memory and may run.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be memory for the submission.
    pub fn reserve(
        &mut self,
        registry: &registry::Registry,
        submission: &command::Submission,
        now: time::Wall,
    ) -> Result<Reservation, time::Millis> {
        let name = (submission.queue.clone(), submission.id.clone());
        if let Some(known) = self.in_flight.get_mut(&name) {
            known.proposals += 1;
            return Ok(Reservation(name));
        }
        let known = registry.find(&submission.queue, &submission.id).is_some();
        let bytes = if known { 0 } else { job::submission_size(submission) };
        let taken = registry.size() + self.reserved + bytes;
        if bytes > 0 && taken > self.limit {
            let wait = registry.time_to_free(taken - self.limit, now);
            return Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.reserved += bytes;
        self.in_flight.insert(name.clone(), InFlight { bytes, proposals: 1 });
        Ok(Reservation(name))
    }

    /// Releases a reservation once its proposal is decided, or is another leader's to decide.
    pub fn release(&mut self, reservation: Reservation) {
        let Reservation(name) = reservation;
        let Some(known) = self.in_flight.get_mut(&name) else { return };
        known.proposals -= 1;
        if known.proposals == 0 {
            self.reserved -= known.bytes;
            self.in_flight.remove(&name);
        }
    }
}
