//! The agent beside a worker of workflows.
//!
//! It holds its worker under a lease from the leading control replica, carries out that replica's
//! orders and reports what the worker lists. It keeps nothing on disk: after a restart it adopts
//! what the worker runs, and the leader orders again what is missing.
//!
//! - [`backend`]: the worker as the agent sees it, implemented by whoever speaks its protocol
//! - [`fence`]: the token that shuts out calls for an earlier term or incarnation
//! - [`hold`]: the lease and the worker's clock
//! - [`meet`]: asking an incarnation that was announced whether it is there
//! - [`launch`]: starting and stopping runs, to a certain end
//! - [`agent`]: the loop that ties these to the session with the leader

pub mod agent;
pub mod backend;
pub mod fence;
pub mod hold;
pub mod launch;
pub mod meet;

pub use agent::Runner;
