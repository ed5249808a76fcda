//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod agent;
mod cli;
mod entry;
mod entry_contract;
mod entry_faults;
mod entry_page;
mod gang;
mod lease;
mod ledger;
mod limit;
mod placement;
mod placement_random;
mod settings;
mod settings_examples;
mod support;
mod telemetry;
mod verdict;
mod wire;
