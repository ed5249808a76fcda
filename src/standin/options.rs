//! Configuration of a stand-in, and switches of its behaviour.

use std::net;
use std::time;

use crate::agent::contract;

/// Configuration of a stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on; port 0 lets the system choose.
    pub listen: net::SocketAddr,
    /// Address of the agent that it announces itself to.
    pub agent: net::SocketAddr,
    /// The announcement; the stand-in sets its URL, its usage and whether it is leaving.
    pub announcement: contract::Announcement,
    /// Run time of a task whose payload gives none.
    pub run_time: time::Duration,
    /// The initial switches.
    pub switches: Switches,
}

impl Options {
    /// Options of a worker with default capacity, on a loopback port that the system chooses.
    pub fn new(agent: net::SocketAddr, name: &str, rack: &str) -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            agent,
            announcement: contract::Announcement {
                name: name.to_owned(),
                data_center: "local".to_owned(),
                rack: rack.to_owned(),
                services: vec!["booking".to_owned()],
                slots: 8,
                connections: 64,
                accelerators: 8,
                processors: 32,
                memory_mib: 128 * 1024,
                speed_percent: 100,
                url: String::new(),
                leaving: false,
                usage: contract::Usage::default(),
            },
            run_time: time::Duration::from_millis(20),
            switches: Switches::default(),
        }
    }
}

/// Switches of a stand-in's behaviour; all are off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Factor of the run time of all tasks; 0 counts as 1.
    pub slow: u32,
    /// Every task whose start number is a multiple of this is a straggler; 0 for none.
    pub straggler_every: u32,
    /// Factor of the run time of stragglers; 0 counts as 1.
    pub straggler_factor: u32,
    /// Whether every task fails immediately.
    pub fails: bool,
    /// Whether every start is refused.
    pub refuses: bool,
    /// Number of next starts that take effect without a reply.
    pub mute_starts: u32,
    /// Number of next statuses and answers that name another task.
    pub crossed: u32,
    /// Number of next answers that don't match their checksum.
    pub corrupt: u32,
    /// Delay of answers, in milliseconds.
    pub late_ms: u64,
    /// Minimum length of answers, in bytes.
    pub answer_bytes: usize,
    /// Number of the start, counted from now, at which it crashes and drops its connections and
    /// tasks; 0 for never.
    pub dies_at: u32,
    /// Whether it sends no announcements.
    pub silent: bool,
    /// Whether it continues to run tasks after its lease has ended.
    pub ignores_lease: bool,
}
