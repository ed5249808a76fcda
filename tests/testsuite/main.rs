//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod agent;
mod agent_faults;
mod agent_model;
mod agent_process;
mod agent_state;
mod entry;
mod entry_faults;
mod gang;
mod lease;
mod ledger;
mod limit;
mod placement;
mod placement_random;
mod replica;
mod replica_support;
mod settings;
mod settings_examples;
mod standin;
mod support;
mod telemetry;
mod verdict;
mod wire;
