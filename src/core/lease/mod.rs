//! Leases: one for each worker, with fencing tokens.
//!
//! An agent holds the lease of its worker ([`Holder`]); the leading control replica grants it
//! ([`Grantor`]). The fencing token is the worker's epoch. Neither side compares its clock with
//! the other's: the agent counts the lease from the moment it *sent* the heartbeat that asked for
//! it, control counts from the moment it *received* that heartbeat and waits
//! [`CLOCK_DRIFT_MARGIN`] longer. So the agent's lease has ended before control may give the
//! worker's capacity to other work, as long as the two monotonic clocks run at rates that differ by
//! less than [`CLOCK_DRIFT_MARGIN`] in [`DURATION`].

use crate::core::time;

mod grantor;
mod holder;

pub use grantor::Grantor;
pub use grantor::Reply;
pub use holder::Holder;

/// The interval between the heartbeats by which an agent asks for its lease to be renewed.
pub const HEARTBEAT_INTERVAL: time::Millis = time::Millis::from_secs(1);

/// The time that a lease runs from the moment the agent sent its heartbeat.
pub const DURATION: time::Millis = time::Millis::from_secs(4);

/// The additional time that control waits before it considers the lease as ended.
pub const CLOCK_DRIFT_MARGIN: time::Millis = time::Millis::from_secs(1);
