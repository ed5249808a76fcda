//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod agent;
mod entry;
mod entry_faults;
mod gang;
mod lease;
mod ledger;
mod limit;
mod placement;
mod placement_random;
mod process;
mod process_kill;
mod process_partition;
mod process_replicas;
mod process_stop;
mod process_ticket;
mod replica;
mod replica_support;
mod settings;
mod settings_examples;
mod support;
mod telemetry;
mod verdict;
mod wire;
