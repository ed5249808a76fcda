//! hemlockcleat schedules multi-accelerator jobs under client account guarantees.
//!
//! Callers send requests to thin entries ([`entry`]); a few control replicas ([`control`]) decide
//! and remember; an agent ([`agent`]) beside each backend server runs gangs under leases.
//! Decisions live in [`core`], which does no input or output. Types that travel or lie on disk
//! live in [`wire`]. `docs/CONTRIBUTING.md` maps where a thing lives.

mod macros;

pub mod agent;
pub mod cli;
pub mod control;
pub mod core;
pub mod entry;
pub mod gate;
pub mod net;
pub mod ops;
pub mod runner;
pub mod settings;
pub mod standin;
pub mod store;
pub mod telemetry;
pub mod wire;
