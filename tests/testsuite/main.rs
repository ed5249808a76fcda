//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod agent;
mod consensus;
mod consensus_wire;
mod consensus_world;
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
mod store;
mod store_disk;
mod support;
mod telemetry;
mod verdict;
mod wire;
