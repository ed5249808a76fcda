//! Events of the store and the replicated log.

use crate::telemetry::event::Event;

/// Every event of this range.
pub const ALL: &[Event] = &[];
