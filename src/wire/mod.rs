//! Types that travel between processes or lie on disk, and their encoding.
//!
//! Each wire type stands for itself: the core's types are never encoded. Conversions are `From`
//! where nothing can go wrong and `TryFrom` where a peer's bytes may be out of range.

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
