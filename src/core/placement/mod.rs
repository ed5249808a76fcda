//! Scheduling decisions: which job runs on which workers, and which jobs are preempted.
//!
//! The leading control replica feeds `planner::Planner` with [`plan::Input`]s in log order and
//! carries out the [`plan::Output`]s that it returns. A replica that becomes leader creates a new
//! planner and feeds it the configuration, the workers, the running attempts and the queue, in this
//! order.

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
