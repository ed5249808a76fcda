//! Settings of an entry.

use std::net;

use crate::settings;

/// Settings of `hemlockcleat-entry`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name.
    pub name: String,
    /// The cell.
    #[serde(default)]
    pub cell: u16,
    /// Its data centre.
    pub data_center: String,
    /// The address for callers, operators and readers of the status page.
    pub listen: net::SocketAddr,
    /// The control replicas' addresses.
    pub control: Vec<net::SocketAddr>,
    /// SHA-256 digests, in hexadecimal, of the tokens that prove an operator.
    pub operators: Vec<String>,
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        if self.control.is_empty() {
            return Err(settings::value_error("control", "must name a control replica"));
        }
        Ok(())
    }
}
