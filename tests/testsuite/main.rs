//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod entry;
mod entry_faults;
mod lease;
mod limit;
mod placement;
mod settings;
mod support;
mod telemetry;
mod verdict;
mod wire;
