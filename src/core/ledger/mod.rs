//! The ledger: the replicated state, changed only by [`command::Command`]s in log order.
//!
//! [`state::Ledger::apply`] is a pure function of the state and the command, so that every replica
//! holds the same bytes. It answers each command with an [`outcome::Outcome`] for whoever proposed
//! it and a list of [`outcome::Event`]s that tell the leader's planner and the entries what changed.

pub mod command;
pub mod hourly;
pub mod job;
mod lifecycle;
pub mod outcome;
pub mod state;
pub mod table;
pub mod tickets;
pub mod workers;
