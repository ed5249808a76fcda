//! A small deployment of real daemons on loopback, with fault injection and result checks.

pub mod checker;
pub mod client;
pub mod cluster;
pub mod daemon;
pub mod relay;
