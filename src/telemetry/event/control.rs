//! Events of control.

use crate::telemetry::event::Event;

/// Every event of this range.
pub const ALL: &[Event] = &[];
