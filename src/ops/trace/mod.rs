//! The story of one request, told from the logs of all processes.
//!
//! - [`line`](mod@line): a line of a log, taken apart
//! - [`select`]: which lines belong to a request
//! - [`sequence`]: their order by cause, where clocks differ
//! - [`run`]: the runs of its tasks
//! - [`finding`]: what went against it
//! - [`story`]: all of that, as text or JSON

pub mod finding;
pub mod line;
pub mod run;
pub mod select;
pub mod sequence;
pub mod story;
