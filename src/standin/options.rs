//! What a stand-in is told to be and how it is told to behave.

use std::net;
use std::time;

use crate::agent::contract;

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address it listens on; port 0 lets the system pick.
    pub listen: net::SocketAddr,
    /// The agent it announces itself to.
    pub agent: net::SocketAddr,
    /// What it announces; its address and use are filled in.
    pub announcement: contract::Announcement,
    /// How long a task runs unless its payload says otherwise.
    pub run_time: time::Duration,
    /// How it behaves at first.
    pub switches: Switches,
}

impl Options {
    /// A stand-in of the common shape on a port that the system picks.
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

/// How a stand-in behaves; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Tasks take so many times as long; 0 counts as 1.
    pub slow: u32,
    /// Every so many-th task is a straggler; 0 for none.
    pub straggler_every: u32,
    /// A straggler takes so many times as long.
    pub straggler_factor: u32,
    /// Every task fails at once.
    pub fails: bool,
    /// Every start is refused.
    pub refuses: bool,
    /// So many starts happen without being answered.
    pub mute_starts: u32,
    /// So many statuses and answers name another task.
    pub crossed: u32,
    /// So many answers differ from their checksum.
    pub corrupt: u32,
    /// Answers begin so late, in milliseconds.
    pub late_ms: u64,
    /// Answers have at least so many bytes.
    pub answer_bytes: usize,
    /// It dies at the so many-th start from now: drops its connections and its tasks; 0 for never.
    pub dies_at: u32,
    /// It does not announce itself, so that its agent hears nothing.
    pub silent: bool,
    /// It goes on running tasks whose lease has ended.
    pub ignores_lease: bool,
}
