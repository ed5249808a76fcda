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

/// Maximum number of founding members of a group.
const MAX_PEERS: usize = 7;

/// Highest number of a replica; an IPv4 address can serve as the number.
const MAX_REPLICA: u64 = u32::MAX as u64;

/// The least and the most memory of a host, in MB.
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 1 << 20;

/// Settings of `hemlockcleat-control`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This replica's number within its group, from 1.
    pub replica: u64,
    /// The number of the replica's cell.
    #[serde(default)]
    pub cell: u16,
    /// The replica's data centre.
    pub data_center: String,
    /// The folder for the log and snapshots.
    pub data_folder: path::PathBuf,
    /// The listen address for peers, entries and agents.
    pub listen: net::SocketAddr,
    /// The address at which other processes reach the replica, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<net::SocketAddr>,
    /// The listen address for metrics and health.
    pub http: net::SocketAddr,
    /// How long the agent of a workflow worker holds its lease on the worker after a report, in
    /// milliseconds.
    #[serde(default)]
    pub hold_ms: Option<u64>,
    /// The longest lease that any order can take on such a worker, in milliseconds; the default is
    /// the lease duration.
    #[serde(default)]
    pub max_hold_ms: Option<u64>,
    /// The memory of the host in MB, from which the bound on the memory of workflows is derived; give
    /// all replicas of a group the same.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The number of voters that the group maintains by adding new stores and candidates; if it is
    /// missing, only tickets change the group.
    #[serde(default)]
    pub voters: Option<u32>,
    /// The addresses at which the replica requests admission to a group; empty for a replica that
    /// waits.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// The founding members of the group.
    pub peers: Vec<Peer>,
    /// Settings of logs and traces.
    #[serde(default)]
    pub telemetry: telemetry::Telemetry,
}

/// A member of the control group.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The replica's number.
    pub replica: u64,
    /// The address at which the replica listens.
    pub addr: net::SocketAddr,
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        check::range("replica", self.replica, 1, MAX_REPLICA)?;
        check::name("data_center", &self.data_center)?;
        if self.data_folder.as_os_str().is_empty() {
            return Err(settings::value_error("data_folder", "must not be empty"));
        }
        if let Some(memory) = self.memory_mb {
            check::range("memory_mb", memory, MIN_MEMORY_MB, MAX_MEMORY_MB)?;
        }
        check::listeners(&[("listen", self.listen), ("http", self.http)])?;
        self.check_peers()
    }
}

impl Settings {
    /// Returns the duration and the maximum of leases on workflow workers.
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
        self.check_own_addr()
    }

    /// Checks that a founding member can be reached at the address that its peers use. A replica
    /// that replaces a lost one is not a founding member.
    fn check_own_addr(&self) -> Result<(), settings::Error> {
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
        let any_addr = self.listen.ip().is_unspecified() && self.listen.port() == own.addr.port();
        if !any_addr && self.listen != own.addr {
            return Err(settings::value_error("listen", detail));
        }
        Ok(())
    }
}
