//! The decisions: which job runs where, and what gives way.
//!
//! `planner::Planner` is fed with [`plan::Input`]s in log order by the leading control replica and
//! answers with [`plan::Output`]s. A replica that begins to lead makes a new planner and feeds it
//! the configuration, the workers, the running attempts and the queue, in this order.

pub mod feasible;
pub mod fit;
pub mod fleet;
pub mod plan;
pub mod planner;
