//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod entry;
mod entry_faults;
mod gang;
mod agent;
mod agent_model;
mod agent_state;
mod lease;
mod ledger;
mod limit;
mod placement;
mod settings;
mod placement_random;
mod settings_examples;
mod support;
mod telemetry;
mod verdict;
mod wire;
