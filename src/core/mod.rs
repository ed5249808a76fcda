//! The decisions of the system, without input or output.
//!
//! Nothing below this module opens a socket or a file, reads a clock or draws a random number.
//! Time and randomness come in as arguments, effects go out as values, and iteration order never
//! comes from a hash map: the same inputs give the same outputs on every replica.

pub mod account;
pub mod consensus;
pub mod dispatch;
pub mod gang;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod placement;
pub mod shape;
pub mod time;
pub mod verdict;
pub mod workflow;
