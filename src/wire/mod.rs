//! Types that travel between processes or lie on disk, and their encoding.
//!
//! Each wire type stands for itself. Conversions are `From` where nothing can go wrong and `TryFrom`
//! where a peer's bytes may be out of range. Only the values of workflows are encoded as the core
//! holds them (docs/DESIGN.md says why).

pub mod agent;
pub mod codec;
pub mod command;
pub mod common;
pub mod disk;
pub mod entry;
pub mod gate;
pub mod peer;
pub mod runner;
pub mod snapshot;
pub mod workflow;
