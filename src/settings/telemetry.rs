//! Settings of logs and traces, an optional section in the settings of every program.

use serde::Deserialize;

/// The section `telemetry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Settings of the log.
    pub log: Log,
    /// Whether each finished span of a request is logged.
    pub spans: bool,
}

impl Default for Telemetry {
    fn default() -> Self {
        Self { log: Log::default(), spans: true }
    }
}

/// The section `telemetry.log`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
    /// The format of a line.
    pub format: Format,
}

/// A log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// No lines are written.
    Off,
    /// Faults that need an operator's attention.
    Error,
    /// Conditions that may need an operator's attention.
    Warn,
    /// Information for operators.
    #[default]
    Info,
    /// Information for developers.
    Debug,
    /// All lines.
    Trace,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    Plain,
    /// One JSON object per line.
    #[default]
    Json,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => log::LevelFilter::Off,
            Level::Error => log::LevelFilter::Error,
            Level::Warn => log::LevelFilter::Warn,
            Level::Info => log::LevelFilter::Info,
            Level::Debug => log::LevelFilter::Debug,
            Level::Trace => log::LevelFilter::Trace,
        }
    }
}
