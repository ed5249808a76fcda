//! Settings of an agent.

use std::net;

use crate::settings;
use crate::settings::telemetry;

/// Settings of `hemlockcleat-agent`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The number of the agent's cell.
    #[serde(default)]
    pub cell: u16,
    /// The listen address for the backend server's announcements, metrics and health.
    pub listen: net::SocketAddr,
    /// The addresses of the control replicas.
    pub control: Vec<net::SocketAddr>,
    /// How long running tasks may continue after a planned stop begins, in seconds.
    #[serde(default = "default_drain")]
    pub drain_secs: u64,
    /// Settings of logs and traces.
    #[serde(default)]
    pub telemetry: telemetry::Telemetry,
}

/// Default of `drain_secs`.
const DEFAULT_DRAIN_SECS: u64 = 600;

/// Upper bound of `drain_secs`: seven days.
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
