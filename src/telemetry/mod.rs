//! Logs, metrics and traces.

pub mod event;
