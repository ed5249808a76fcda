//! Types that are sent between processes or stored on disk, and their encoding.
//!
//! Wire types are separate from the core types. Conversions are `From` where they can't fail and
//! `TryFrom` where a value from a peer may be out of range. Only workflow values are encoded
//! directly from the core types (docs/DESIGN.md gives the reason).

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
pub mod stored_job;
pub mod workflow;
