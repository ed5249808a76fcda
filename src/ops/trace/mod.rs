//! Report on one request, assembled from the logs of all processes.
//!
//! - [`line`](mod@line): a parsed line of a log
//! - [`select`]: selection of the lines that belong to a request
//! - [`sequence`]: causal order of lines from hosts whose clocks differ
//! - [`run`]: the runs of the request's tasks
//! - [`finding`]: problems that the request met
//! - [`story`]: the complete report, as text or JSON

pub mod finding;
pub mod line;
pub mod run;
pub mod select;
pub mod sequence;
pub mod story;
