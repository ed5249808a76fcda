//! The replicated log: election, replication, membership and snapshot rules, without I/O.
//!
//! [`replica::Core`] is one replica. Its caller drives it with `step(now, input, out)`, sends its
//! messages, writes its batches to disk and applies its committed entries. `docs/LOG.md` describes
//! the algorithm and the reasons for it.

use crate::core::time;
use crate::macros;

mod election;
pub mod entry;
mod follower;
mod leader;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod repair;
pub mod replica;

/// The interval at which a leader sends heartbeats to its followers.
pub const HEARTBEAT_INTERVAL: time::Millis = time::Millis(100);

/// The shortest election timeout, and the time for which a follower grants no vote after a message
/// from a leader.
pub const ELECTION_TIMEOUT: time::Millis = time::Millis(400);

/// The upper limit of the random part of an election timeout, added to [`ELECTION_TIMEOUT`].
pub const ELECTION_JITTER: time::Millis = time::Millis(300);

/// How long a leader may act on one confirmation by a quorum, counted from when the confirmation
/// was requested. Shorter than [`ELECTION_TIMEOUT`] by the clock drift that is tolerated.
pub const LEADER_LEASE: time::Millis = time::Millis(350);

/// How long a leadership transfer may wait for a voter to catch up.
pub const LEADERSHIP_TRANSFER_TIMEOUT: time::Millis = time::Millis(1000);

/// How long a leader waits for the response to a snapshot chunk before it sends the chunk again.
pub const CHUNK_RETRY_INTERVAL: time::Millis = time::Millis(500);

/// The most bytes of entries in one append, unless a single entry is longer.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Bytes in one snapshot chunk; the last chunk may be shorter.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// The most bytes in one command.
pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;

/// The most appends in flight to one follower.
pub const MAX_INFLIGHT_APPENDS: usize = 64;

/// The most bytes of entries in flight to one follower.
pub const MAX_INFLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// The most entries that a leader holds uncommitted.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 8192;

/// The most bytes of commands that a leader holds uncommitted.
pub const MAX_UNCOMMITTED_BYTES: usize = 16 * 1024 * 1024;

/// The most entries covered by a snapshot that stay in memory, for followers that lag slightly.
pub const TRAILING_ENTRIES: u64 = 1024;

/// The most bytes of commands covered by a snapshot that stay in memory.
pub const TRAILING_BYTES: usize = 2 * 1024 * 1024;

/// The most entries that a learner may lack when it is promoted to a voter.
pub const MAX_PROMOTION_LAG: u64 = 256;

macros::copy_types! {
    /// The safety rules. Programs run with all of them; a test may disable one to show that it is
    /// needed.
    pub struct SafetyRules {
        /// Messages are accepted only between the exact stores that the membership names.
        pub store_identity: bool,
        /// A replica asks whether it could win an election before it raises the term.
        pub pre_vote: bool,
        /// No vote is granted while a leader's lease may be valid, including after a restart.
        pub withhold_votes: bool,
        /// Nothing is acknowledged or counted before it is synced.
        pub sync: bool,
        /// A leader acts only while its lease is valid.
        pub lease: bool,
        /// A read waits until a quorum has confirmed the leader.
        pub confirm_reads: bool,
    }
}

impl SafetyRules {
    /// All rules enabled.
    pub const ALL: SafetyRules = SafetyRules {
        store_identity: true,
        pre_vote: true,
        withhold_votes: true,
        sync: true,
        lease: true,
        confirm_reads: true,
    };
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self::ALL
    }
}
