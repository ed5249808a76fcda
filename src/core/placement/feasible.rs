//! Whether guarantees can all be packed onto workers.

use std::fmt;

use crate::core::account;
use crate::core::ledger::job;

/// A guarantee that can't be packed.
#[derive(Debug)]
pub struct Shortfall;

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("")
    }
}

/// Checks.
pub fn check(_: &account::Config, _: &[&job::WorkerSpec]) -> Result<(), Shortfall> {
    Ok(())
}
