//! Fakes and helpers that several matters use.

use std::future;
use std::net;
use std::sync::atomic;

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

/// Loopback addresses given away.
static HOSTS: atomic::AtomicU16 = atomic::AtomicU16::new(1);

/// A loopback address that nothing else in this process uses. A port on it can be closed and
/// opened again: on the common address, a connection of another test may take it in between.
pub fn own_host() -> net::Ipv4Addr {
    let [high, low] = HOSTS.fetch_add(1, atomic::Ordering::Relaxed).to_be_bytes();
    net::Ipv4Addr::new(127, 64, high, low)
}

/// Runs a test body on the runtime that the daemons use.
pub fn run<T>(body: impl future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(body)
}
