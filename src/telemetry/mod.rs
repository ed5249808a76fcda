//! Logs, metrics and traces.

use crate::settings::telemetry;

pub mod event;
pub mod log;
pub mod metrics;
pub mod sink;
pub mod trace;

/// Starts the log, the metrics recorder and the trace layer. Only the first call in a process has
/// an effect, so that several roles can share a process.
pub fn start(settings: &telemetry::Telemetry) {
    log::start(&settings.log);
    metrics::start();
    trace::start(settings.spans);
}
