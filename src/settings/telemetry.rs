//! Settings of logs and traces, a block that every program's settings may hold.

use serde::Deserialize;

/// The block `telemetry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// The log.
    pub log: Log,
    /// Whether each finished span of a request is logged.
    pub spans: bool,
}

impl Default for Telemetry {
    fn default() -> Self {
        Self { log: Log::default(), spans: true }
    }
}

/// The block `telemetry.log`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The lowest level that is written.
    pub level: Level,
    /// How a line looks.
    pub format: Format,
}

/// A log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// What needs a person.
    Error,
    /// What may need one.
    Warn,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
    /// Everything.
    Trace,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text for a person.
    Plain,
    /// One JSON object a line.
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
