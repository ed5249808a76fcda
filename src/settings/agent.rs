//! Settings of an agent.

use std::net;

use crate::settings;
use crate::settings::telemetry;

/// Settings of `hemlockcleat-agent`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The cell.
    #[serde(default)]
    pub cell: u16,
    /// The address where the backend server announces itself; also metrics and health.
    pub listen: net::SocketAddr,
    /// The control replicas' addresses.
    pub control: Vec<net::SocketAddr>,
    /// How long a planned stop lets running tasks go on, in seconds.
    #[serde(default = "default_drain")]
    pub drain_secs: u64,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: telemetry::Telemetry,
}

/// How long a planned stop lets tasks run where the settings don't say.
const DEFAULT_DRAIN_SECS: u64 = 600;

/// The longest time that a planned stop may be given.
const MAX_DRAIN_SECS: u64 = 7 * 24 * 3600;

fn default_drain() -> u64 {
    DEFAULT_DRAIN_SECS
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        if self.control.is_empty() {
            return Err(settings::value_error("control", "must name a control replica"));
        }
        if !(1..=MAX_DRAIN_SECS).contains(&self.drain_secs) {
            return Err(settings::value_error("drain_secs", "must be 1 to 604800"));
        }
        Ok(())
    }
}
