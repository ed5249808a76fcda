//! Settings of an agent.

use std::net;

use crate::settings;

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
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        if self.control.is_empty() {
            return Err(settings::value_error("control", "must name a control replica"));
        }
        Ok(())
    }
}
