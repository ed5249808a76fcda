//! Fakes and helpers shared by the test modules.

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

/// Number of the next loopback address to allocate.
static NEXT_HOST: atomic::AtomicU32 = atomic::AtomicU32::new(1);

/// Loopback addresses that one process may allocate.
const MAX_HOSTS: u32 = 1 << 10;

/// Allocates a loopback address that no other test uses, including tests of concurrent test runs. A
/// port on it can be closed and reopened: on the shared address, a connection of another test may
/// take the port in the meantime.
pub fn own_host() -> net::Ipv4Addr {
    let host = NEXT_HOST.fetch_add(1, atomic::Ordering::Relaxed);
    assert!(host < MAX_HOSTS, "no more addresses");
    // In 127.128.0.0/9, selected by 13 bits of the process ID.
    let process = std::process::id() % (1 << 13);
    net::Ipv4Addr::from_bits((127 << 24) | (1 << 23) | (process * MAX_HOSTS) | host)
}

/// Runs a test body on the runtime that the daemons use.
pub fn run<T>(body: impl future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(body)
}
