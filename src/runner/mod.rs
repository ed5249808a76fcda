//! The agent beside a worker that runs the tasks of workflows.
//!
//! The agent controls its worker under a lease from the leading control replica, carries out that
//! replica's orders and reports the worker's lists of runs. It stores nothing on disk: after a
//! restart it takes over the runs that the worker lists, and the leader repeats the orders that are
//! missing.
//!
//! - [`backend`]: the interface to the worker, implemented by the client of its protocol
//! - [`closing`]: the runs whose stop was answered, until the worker's lists show their ends
//! - [`fence`]: the token by which the worker refuses calls for an earlier term or incarnation
//! - [`lease`]: the lease on the worker, and the worker's clock
//! - [`probe`]: probing whether an announced incarnation is running
//! - [`launch`]: starting and stopping runs until the outcome is certain
//! - [`agent`]: the event loop, which connects these to the session with the leader

pub mod agent;
pub mod backend;
pub mod closing;
pub mod fence;
pub mod launch;
pub mod lease;
pub mod probe;

pub use agent::Runner;
