//! Fakes and helpers that several matters use.

use std::future;

pub mod agent_bed;
pub mod agent_control;
pub mod agents;
pub mod daemon;
pub mod deployment;
pub mod fake_control;
pub mod flow;
pub mod http_client;
pub mod ledger;
pub mod plans;
pub mod relay;
pub mod worker;
pub mod world;

/// Runs a test body on the runtime that the daemons use.
pub fn run<T>(body: impl future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(body)
}
