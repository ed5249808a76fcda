//! Settings of a control replica.

use std::net;
use std::path;

use crate::settings;

/// Settings of `hemlockcleat-control`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This replica's number within its group, from 1.
    pub replica: u64,
    /// The cell.
    #[serde(default)]
    pub cell: u16,
    /// Its data centre.
    pub data_center: String,
    /// The data folder.
    pub data_folder: path::PathBuf,
    /// The address for peers, entries and agents.
    pub listen: net::SocketAddr,
    /// The address for metrics and health.
    pub http: net::SocketAddr,
    /// The founding members of the group.
    pub peers: Vec<Peer>,
}

/// A member of the control group.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number.
    pub replica: u64,
    /// The address where it listens.
    pub addr: net::SocketAddr,
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        if self.replica == 0 {
            return Err(settings::value_error("replica", "must be 1 or more"));
        }
        if self.peers.is_empty() {
            return Err(settings::value_error("peers", "must name the founding members"));
        }
        Ok(())
    }
}
