//! Emulation of the dispatcher under load, in virtual time and without sockets.
//!
//! The registry and the leader's decisions are the ones that control runs; callers, the log, agents
//! and workers are emulated. A [`load::Load`] describes the stream of jobs and the workers, a seed
//! selects one stream, and [`world::run`] plays it and returns its [`outcome::Outcome`].
//!
//! - [`load`]: descriptions of loads, and the jobs generated from them
//! - [`fleet`]: workers and the runs on them
//! - [`world`]: the sequence of events
//! - [`outcome`]: measures of a run, and the bound that no schedule exceeds

pub mod fleet;
pub mod load;
pub mod outcome;
pub mod world;
