//! The replicated log: election, append, membership and snapshot rules, without input or output.
//!
//! [`replica::Core`] is one replica. It is driven by `step(now, input, out)`; the shell sends its
//! messages, writes its batches to disk and applies its commits. `docs/LOG.md` tells which
//! algorithm this is and why.

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

/// How often a leader shows itself to its followers.
pub const HEARTBEAT_INTERVAL: time::Millis = time::Millis(100);

/// How long a follower that has heard from a leader grants no vote, and the shortest election
/// timeout.
pub const ELECTION_TIMEOUT: time::Millis = time::Millis(400);

/// The random part of an election timeout, on top of [`ELECTION_TIMEOUT`].
pub const ELECTION_JITTER: time::Millis = time::Millis(300);

/// How long a leader may act on one confirmation by a quorum, counted from its request. Shorter
/// than [`ELECTION_TIMEOUT`] by the clock drift that is allowed for.
pub const LEADER_LEASE: time::Millis = time::Millis(350);

/// How long a hand-over may wait for its target to catch up.
pub const LEADERSHIP_TRANSFER_TIMEOUT: time::Millis = time::Millis(1000);

/// How long a leader waits for the answer to a snapshot chunk before it sends it again.
pub const CHUNK_RETRY_INTERVAL: time::Millis = time::Millis(500);

/// Bytes of entries in one append, unless a single entry is longer.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Bytes of one snapshot chunk.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// The longest command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;

/// Appends that may be unconfirmed for one follower.
pub const MAX_INFLIGHT_APPENDS: usize = 64;

/// Bytes that may be unconfirmed for one follower.
pub const MAX_INFLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// Entries that may wait for their commit at a leader.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 8192;

/// Bytes of commands that may wait for their commit at a leader.
pub const MAX_UNCOMMITTED_BYTES: usize = 16 * 1024 * 1024;

/// Entries kept in memory behind a snapshot, for followers that lag a little.
pub const TRAILING_ENTRIES: u64 = 1024;

/// Bytes of commands kept in memory behind a snapshot.
pub const TRAILING_BYTES: usize = 2 * 1024 * 1024;

/// How many entries a learner may lack to be made a voter.
pub const MAX_PROMOTION_LAG: u64 = 256;

macros::copy_types! {
    /// The safety rules, each of which a test may take out to show that it is needed. Programs
    /// run with all of them.
    pub struct SafetyRules {
        /// Messages count only between the exact stores that the membership names.
        pub store_identity: bool,
        /// A replica asks whether it could win before it raises the term.
        pub pre_vote: bool,
        /// No vote while a leader's lease may hold, also after a restart.
        pub withhold_votes: bool,
        /// Nothing is answered or counted before it is synced.
        pub sync: bool,
        /// A leader acts only within its lease.
        pub lease: bool,
        /// A read waits for a quorum to confirm the leader.
        pub confirm_reads: bool,
    }
}

impl SafetyRules {
    /// Every rule in force.
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
