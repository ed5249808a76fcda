//! Messages between replicas, and the inputs and outputs of a replica's core.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;

macros::value_types! {
    /// A message between two stores of one group.
    pub struct Envelope {
        /// The group.
        pub group: ids::GroupKey,
        /// The sender.
        pub from: entry::Identity,
        /// The receiver.
        pub to: entry::Identity,
        /// The sender's term; for [`Body::PreVote`], the term that an election would start.
        pub term: ids::Term,
        /// The content.
        pub body: Body,
    }

    /// The content of a message.
    pub enum Body {
        /// Asks whether the receiver would vote for the sender.
        PreVote {
            /// The sender's last entry.
            last: ids::LogIndex,
            /// That entry's term.
            last_term: ids::Term,
        },
        /// The response to [`Body::PreVote`].
        PreVoteResponse {
            /// Whether the receiver would grant its vote.
            granted: bool,
        },
        /// Requests a vote.
        Vote {
            /// The sender's last entry.
            last: ids::LogIndex,
            /// That entry's term.
            last_term: ids::Term,
            /// Whether the leader gave up its lease and requested this election.
            transfer: bool,
        },
        /// The response to [`Body::Vote`].
        VoteResponse {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Replicates entries; without entries, a heartbeat.
        Append {
            /// The index before the first entry sent.
            prev: ids::LogIndex,
            /// That entry's term.
            prev_term: ids::Term,
            /// The entries.
            entries: Vec<entry::Entry>,
            /// The index of the leader's last committed entry.
            commit: ids::LogIndex,
            /// The leader's latest confirmation round.
            round: u64,
        },
        /// The response to [`Body::Append`], or a later report that more entries are durable.
        AppendResponse {
            /// The last index up to which the follower's durable log matches the leader's.
            matched: ids::LogIndex,
            /// The latest confirmation round that the follower has received.
            round: u64,
            /// Set if the follower's log does not hold the entry before the first one sent.
            mismatch: Option<Mismatch>,
        },
        /// A chunk of a snapshot.
        SnapshotChunk {
            /// The description of the snapshot.
            snapshot: entry::Snapshot,
            /// The offset of the chunk within the snapshot, in bytes.
            offset: u64,
            /// The bytes of the chunk, which the core's caller fills in on sending.
            bytes: Bytes,
        },
        /// The response to [`Body::SnapshotChunk`].
        SnapshotChunkResponse {
            /// The index of the last entry that the snapshot covers.
            index: ids::LogIndex,
            /// The offset of the next chunk that the follower needs, in bytes.
            offset: u64,
        },
        /// Tells a voter to start an election now; the leader has given up its lease.
        TimeoutNow,
    }

    /// The point at which a follower's log differs from the leader's.
    #[derive(Copy)]
    pub struct Mismatch {
        /// The index of the entry that the follower's log does not hold.
        pub prev: ids::LogIndex,
        /// The last index at which the logs may match.
        pub hint: ids::LogIndex,
    }

    /// An input of the core.
    pub enum Input {
        /// Time has passed.
        Tick,
        /// A message has arrived.
        Receive(Envelope),
        /// Batches up to this number are durable.
        Persisted(u64),
        /// Commands to append, each with a token that identifies its outcome.
        Propose(Vec<(u64, Bytes)>),
        /// Reads to confirm, each with a token that identifies its outcome.
        Read(Vec<u64>),
        /// A change to a membership that differs from the current one by at most one voter.
        Reconfigure {
            /// A token that identifies the outcome.
            token: u64,
            /// The new membership.
            membership: entry::Membership,
        },
        /// Transfer leadership to another voter and accept no more proposals.
        TransferLeadership,
        /// A locally made snapshot is durable; entries that it covers may be dropped.
        Compact(entry::Snapshot),
        /// Join this group, unless the store belongs to a group already.
        JoinGroup(ids::GroupKey),
        /// Bootstrap a new group with this membership by writing its first entry.
        Bootstrap(entry::Membership),
    }

    /// A request of the core to its caller; outputs are handled in order.
    pub enum Output {
        /// Send a message; it may get lost.
        Send(Envelope),
        /// Write and sync, then report [`Input::Persisted`].
        Persist(entry::Batch),
        /// Apply these committed entries.
        Commit(Vec<entry::Entry>),
        /// Replace the state machine's state by this snapshot.
        Restore(entry::Snapshot, Bytes),
        /// A proposal was appended to the leader's log; it is not committed yet.
        Accepted {
            /// The token of the proposal.
            token: u64,
            /// Its index in the log.
            index: ids::LogIndex,
            /// The term it was proposed in.
            term: ids::Term,
        },
        /// A proposal, a read or a membership change was refused and had no effect.
        Refused {
            /// The token of the request.
            token: u64,
            /// The reason.
            reason: Refusal,
        },
        /// A read is confirmed: it may be served from the state as of this entry or later.
        ReadReady {
            /// The token of the read.
            token: u64,
            /// The index of the entry.
            index: ids::LogIndex,
        },
        /// This replica no longer leads; pending proposals and reads get no outcome.
        SteppedDown,
        /// The role has changed.
        RoleChanged(Role),
    }
}

macros::copy_types! {
    /// The reason why the core refuses a request.
    pub enum Refusal {
        /// This replica is not the leader.
        NotLeader,
        /// A limit on commands is exceeded, or a membership change is not possible now.
        Busy,
    }

    /// A replica's role, as reported to the core's caller.
    pub enum Role {
        /// It leads this term, has committed all entries of earlier terms and holds the lease.
        Leader(ids::Term),
        /// It follows this leader, if one is known.
        Follower(Option<entry::Identity>),
    }
}
