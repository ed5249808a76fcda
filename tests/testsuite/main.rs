//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod consensus;
mod consensus_wire;
mod consensus_world;
mod entry;
mod entry_faults;
mod gang;
mod agent;
mod lease;
mod ledger;
mod limit;
mod placement;
mod settings;
mod placement_random;
mod settings_examples;
mod replica;
mod replica_support;
mod store;
mod store_disk;
mod support;
mod telemetry;
mod verdict;
mod wire;
