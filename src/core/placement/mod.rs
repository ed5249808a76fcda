//! The decisions: which job runs where, and what gives way.
//!
//! `planner::Planner` is fed with [`plan::Input`]s in log order by the leading control replica and
//! answers with [`plan::Output`]s. A replica that begins to lead makes a new planner and feeds it
//! the configuration, the workers, the running attempts and the queue, in this order.

mod allocation;
mod backfill;
pub mod capacity;
mod catalog;
mod decide;
mod estimate;
pub mod feasible;
pub mod fit;
pub mod fleet;
mod guarantee;
mod health;
mod job_state;
pub mod plan;
pub mod planner;
mod preempt;
mod queue;
mod restore;
