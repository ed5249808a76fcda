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
static HOSTS: atomic::AtomicU32 = atomic::AtomicU32::new(1);

/// How many addresses one process may give away.
const MAX_HOSTS: u32 = 1 << 10;

/// A loopback address that no other test uses, nor another test run beside this one. A port on it
/// can be closed and opened again: on the common address, a connection of another test may take it
/// in between.
pub fn own_host() -> net::Ipv4Addr {
    let host = HOSTS.fetch_add(1, atomic::Ordering::Relaxed);
    assert!(host < MAX_HOSTS, "no more addresses");
    // 127.128.0.0/9, by 13 bits of the process's number.
    let process = std::process::id() % (1 << 13);
    net::Ipv4Addr::from_bits((127 << 24) | (1 << 23) | (process * MAX_HOSTS) | host)
}

/// Runs a test body on the runtime that the daemons use.
pub fn run<T>(body: impl future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(body)
}
