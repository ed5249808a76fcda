//! The decision logic of the system, without input or output.
//!
//! No code below this module opens a socket or a file, reads a clock or draws a random number.
//! Time and randomness are arguments, effects are return values, and no iteration order depends on
//! a hash map, so that the same inputs give the same outputs on every replica.

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
