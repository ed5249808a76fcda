//! Settings of a control replica.

use std::collections::BTreeSet;
use std::net;
use std::path;

use crate::core::dispatch;
use crate::core::dispatch::fleet;
use crate::core::time;
use crate::settings;
use crate::settings::check;
use crate::settings::telemetry;

/// The most founding members of a group.
const MAX_PEERS: usize = 7;

/// The highest number of a replica; an IPv4 address is one.
const MAX_REPLICA: u64 = u32::MAX as u64;

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
    /// The address at which others reach it, where that is not the one it listens on.
    #[serde(default)]
    pub advertise: Option<net::SocketAddr>,
    /// The address for metrics and health.
    pub http: net::SocketAddr,
    /// How long the agent of a worker of workflows may hold it after a report, in milliseconds.
    #[serde(default)]
    pub hold_ms: Option<u64>,
    /// The longest time for which such a worker lets itself be held by any order, in milliseconds;
    /// without it, as long as its agent may hold it.
    #[serde(default)]
    pub max_hold_ms: Option<u64>,
    /// How many voters the group keeps itself at, by new stores and candidates; without it, only
    /// tickets change the group.
    #[serde(default)]
    pub voters: Option<u32>,
    /// The addresses at which to ask to be admitted to a group; none for a replica that waits.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// The founding members of the group.
    pub peers: Vec<Peer>,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: telemetry::Telemetry,
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
        check::range("replica", self.replica, 1, MAX_REPLICA)?;
        check::name("data_center", &self.data_center)?;
        if self.data_folder.as_os_str().is_empty() {
            return Err(settings::value_error("data_folder", "must not be empty"));
        }
        check::listeners(&[("listen", self.listen), ("http", self.http)])?;
        self.check_peers()
    }
}

impl Settings {
    /// How long workers of workflows may be held.
    pub fn lease_limits(&self) -> fleet::LeaseLimits {
        let duration = self.hold_ms.map_or(dispatch::DEFAULT_LEASE, time::Millis);
        let maximum = self.max_hold_ms.map_or(duration, time::Millis).max(duration);
        fleet::LeaseLimits { duration, maximum }
    }

    fn check_peers(&self) -> Result<(), settings::Error> {
        if self.peers.len() > MAX_PEERS {
            let detail = format!("must hold at most {MAX_PEERS} members");
            return Err(settings::value_error("peers", detail));
        }
        let addrs: Vec<_> = self.peers.iter().map(|peer| peer.addr).collect();
        check::endpoints("peers", &addrs)?;
        let mut numbers = BTreeSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let field = format!("peers[{index}].replica");
            check::range(&field, peer.replica, 1, MAX_REPLICA)?;
            if !numbers.insert(peer.replica) {
                let detail = format!("replica {} stands here twice", peer.replica);
                return Err(settings::value_error(field, detail));
            }
        }
        self.check_own()
    }

    /// A replica that is a founding member has to be reached where its peers look for it. One
    /// that replaces a lost replica is not a founding member.
    fn check_own(&self) -> Result<(), settings::Error> {
        let Some(own) = self.peers.iter().find(|peer| peer.replica == self.replica) else {
            return Ok(());
        };
        let detail = format!("must be {}, where peers look for this replica", own.addr);
        if let Some(advertise) = self.advertise {
            if advertise != own.addr {
                return Err(settings::value_error("advertise", detail));
            }
            return Ok(());
        }
        let everywhere = self.listen.ip().is_unspecified() && self.listen.port() == own.addr.port();
        if !everywhere && self.listen != own.addr {
            return Err(settings::value_error("listen", detail));
        }
        Ok(())
    }
}
