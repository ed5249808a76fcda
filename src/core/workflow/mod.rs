//! Workflows: jobs of several steps, each of many independent tasks or one gang.
//!
//! [`registry::Registry`] is the replicated state. It doesn't decide placement: the leader's
//! [`crate::core::dispatch`] proposes placements and ends of runs, and the registry checks each of
//! them against the state it holds, so that a task has one run at a time whatever a leader assumes.
//!
//! - [`model`]: jobs as callers submit them, and the identifiers of tasks and runs
//! - [`directory`]: the versioned configuration: queues, pools, client accounts, credentials
//! - [`command`]: changes to the state, their outcomes and events
//! - [`job`]: the state of one job
//! - [`registry`]: all jobs, and the rules by which each command changes them
//! - [`spans`]: sets of numbers, held as ranges

pub mod command;
pub mod directory;
pub mod job;
pub mod model;
pub mod registry;
pub mod spans;
