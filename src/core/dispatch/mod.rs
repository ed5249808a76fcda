//! Scheduling decisions of the leader for workflows: where tasks run and which runs to stop.
//!
//! A replica creates [`Dispatch`] from the [`registry::Registry`] when it becomes leader and drops
//! it when it steps down. [`Dispatch`] takes the reports of agents and the events of the registry,
//! and returns [`order::Effect`]s. Safety does not depend on its state: the registry validates
//! every placement and every end of a run.
//!
//! - [`order`]: reports from agents and orders to them
//! - [`fleet`]: workers, their leases and their allocations
//! - [`runs`]: runs that may be active
//! - [`progress`]: progress and remaining time of a run
//! - [`health`]: speed and reliability of workers
//! - [`queue`]: order in which waiting steps are served
//! - [`ranks`]: ranks of jobs by the guarantees of their accounts
//! - [`window`]: the part of the queue that a pass looks at
//! - [`pending`]: numbers of pending jobs
//! - [`wait`]: wait times of steps, and placements made during the wait
//! - [`fit`]: choice of workers for the tasks of a step
//! - [`preempt`]: choice of runs to preempt for urgent steps
//! - [`history`]: health of workers as derived from the log
//! - [`leader`]: state of the leader and its handling of registry events; its other rules are in
//!   `report` (reports of agents), `pass` and `plan` (placement) and `migrate` (stopping runs that should
//!   restart elsewhere)

pub mod fit;
pub mod fleet;
pub mod health;
pub mod history;
pub mod leader;
mod migrate;
pub mod order;
mod pass;
pub mod pending;
mod plan;
pub mod preempt;
pub mod progress;
pub mod queue;
pub mod ranks;
mod report;
pub mod runs;
pub mod wait;
pub mod window;

pub use leader::Dispatch;

use crate::core::time;

/// Default time for which an agent may hold its worker after a report. Work survives network cuts
/// of up to six seconds, and the tasks of a worker that is permanently lost restart soon after.
pub const DEFAULT_LEASE: time::Millis = time::Millis(6500);
