//! The leader's decisions on workflows: which task runs where, and what to stop for it.
//!
//! [`Dispatch`] is made from the [`registry::Registry`] each time a replica begins to lead and is dropped
//! when it no longer leads. It learns of workers from reports of their agents and of changes from
//! the registry's events; it answers with [`order::Effect`]s. Nothing it believes is needed for
//! safety: the registry checks every placement and end.
//!
//! - [`order`]: what agents report and are ordered
//! - [`fleet`]: workers, their leases and what occupies them
//! - [`runs`]: the runs that may be going on
//! - [`pace`]: how a run gets on
//! - [`health`]: how fast workers are, and which can be trusted
//! - [`queue`]: which steps wait, and which of them goes first
//! - [`wait`]: how long steps have waited, and what was placed meanwhile
//! - [`fit`]: where the tasks of a step fit
//! - [`reclaim`]: what to stop so that urgent work fits
//! - [`record`]: what the log tells of the workers
//! - [`lead`]: the leader's state, and changes of the registry; its rules stand in `report` (what
//!   agents say), `plan` (placing) and `migrate` (moving)

pub mod fit;
pub mod fleet;
pub mod health;
pub mod history;
pub mod leader;
mod migrate;
pub mod order;
mod plan;
pub mod preempt;
pub mod progress;
pub mod queue;
mod report;
pub mod runs;
pub mod wait;

pub use leader::Dispatch;

use crate::core::time;

/// How long an agent may hold its worker after a report, unless the settings say otherwise. Work
/// outlasts cuts of six seconds; what a worker that is gone for good ran starts anew soon after.
pub const DEFAULT_LEASE: time::Millis = time::Millis(6500);
