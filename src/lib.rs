//! hemlockcleat schedules multi-accelerator jobs under client account guarantees.
//!
//! Callers send requests to entries ([`entry`]); a few control replicas ([`control`]) make
//! the decisions and replicate their state; an agent ([`agent`]) beside each backend server runs
//! gangs under leases. The decision logic is in [`core`], which does no input or output. Types of
//! messages and of stored data are in [`wire`]. `docs/CONTRIBUTING.md` describes the source tree.

mod macros;

pub mod agent;
pub mod cli;
pub mod control;
pub mod core;
pub mod emulator;
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
