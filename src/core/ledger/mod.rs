//! The ledger: the replicated state machine, changed only by [`command::Command`]s in log order.
//!
//! [`state::Ledger::apply`] is a pure function of the state and the command, so that every replica
//! holds the same bytes. It returns an [`outcome::Outcome`] for the proposer of the command and
//! appends [`outcome::Event`]s, which tell the leader's planner and the entries about the changes.

pub mod command;
pub mod hourly;
pub mod job;
mod lifecycle;
pub mod outcome;
pub mod state;
pub mod table;
pub mod tickets;
pub mod workers;
