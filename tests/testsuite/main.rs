//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod agent;
mod agent_model;
mod agent_state;
mod lease;
mod limit;
mod placement;
mod settings;
mod support;
mod telemetry;
mod verdict;
mod wire;
