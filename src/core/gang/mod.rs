//! The steps by which a gang starts and stops, whole or not at all.
//!
//! The leading control replica keeps one [`coordinator::Coordinator`]. A placed job is prepared on every
//! member; once all have answered, its release is proposed; only when the release is committed do
//! the members start. Whatever is lost before the release aborts the gang, whatever is lost after
//! it stops the gang, and its accelerators are free only when every member has confirmed its stop
//! or has lost its lease. A replica that begins to lead makes a new runner and recovers every
//! attempt that the ledger still holds.

pub mod coordinator;
pub mod step;
