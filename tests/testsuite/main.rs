//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod settings;
mod settings_examples;
mod support;
mod telemetry;
mod verdict;
mod wire;
