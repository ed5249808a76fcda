//! A small deployment of real daemons on loopback, with what strikes it and what checks it.

pub mod checker;
pub mod client;
pub mod cluster;
pub mod daemon;
pub mod relay;
