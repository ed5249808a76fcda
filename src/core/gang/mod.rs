//! The protocol by which a gang starts and stops, as a whole or not at all.
//!
//! The leading control replica has one [`coordinator::Coordinator`]. It orders every member of a
//! placed job to prepare; once all have answered, it proposes the release, and only when the
//! release is committed do the members start. A member lost before the release aborts the attempt;
//! one lost after the release stops the gang. The accelerators of the gang are free only when every
//! member has confirmed its stop or lost its lease. A replica that begins to lead creates a new
//! coordinator and recovers every attempt that the ledger still holds.

pub mod coordinator;
pub mod step;
