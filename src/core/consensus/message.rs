//! What replicas say to one another, and what the shell and the core say to each other.

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
        /// The sender's term; for [`Body::PreVote`] the term it would start.
        pub term: ids::Term,
        /// What is said.
        pub body: Body,
    }

    /// What is said.
    pub enum Body {
        /// Could the sender win an election?
        PreVote {
            /// The sender's last entry.
            last: ids::LogIndex,
            /// That entry's term.
            last_term: ids::Term,
        },
        /// The answer to [`Body::PreVote`].
        PreVoteResponse {
            /// Whether the answerer would vote for the asker.
            granted: bool,
        },
        /// The sender asks for a vote.
        Vote {
            /// The sender's last entry.
            last: ids::LogIndex,
            /// That entry's term.
            last_term: ids::Term,
            /// Whether the leader has given up its lease and asked for this election.
            transfer: bool,
        },
        /// The answer to [`Body::Vote`].
        VoteResponse {
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries, or none for a heartbeat.
        Append {
            /// The entry before the first one sent.
            prev: ids::LogIndex,
            /// That entry's term.
            prev_term: ids::Term,
            /// The entries.
            entries: Vec<entry::Entry>,
            /// The leader's last committed entry.
            commit: ids::LogIndex,
            /// The leader's latest confirmation round.
            round: u64,
        },
        /// The answer to [`Body::Append`], or news that more entries are durable.
        AppendResponse {
            /// The last entry that is durable here and equal to the leader's.
            matched: ids::LogIndex,
            /// The round that was answered.
            round: u64,
            /// Set when the entry before the first one sent is not here.
            mismatch: Option<Mismatch>,
        },
        /// A piece of a snapshot.
        SnapshotChunk {
            /// Which snapshot.
            snapshot: entry::Snapshot,
            /// Where the piece starts.
            offset: u64,
            /// The piece; the shell fills it in when it sends.
            bytes: Bytes,
        },
        /// The answer to [`Body::SnapshotChunk`].
        SnapshotChunkResponse {
            /// The last entry of the snapshot.
            index: ids::LogIndex,
            /// Where the next piece starts.
            offset: u64,
        },
        /// The leader has given up its lease: start an election now.
        TimeoutNow,
    }

    /// Where a follower's log parts from the leader's.
    #[derive(Copy)]
    pub struct Mismatch {
        /// The entry that is not here.
        pub prev: ids::LogIndex,
        /// The last entry that may be equal.
        pub hint: ids::LogIndex,
    }

    /// What the shell tells the core.
    pub enum Input {
        /// Time has passed.
        Tick,
        /// A message has come in.
        Receive(Envelope),
        /// Batches up to this number are durable.
        Persisted(u64),
        /// Commands to append, each with a token for its answer.
        Propose(Vec<(u64, Bytes)>),
        /// Reads to confirm, each with a token for its answer.
        Read(Vec<u64>),
        /// A membership one step from the present one.
        Reconfigure {
            /// A token for the answer.
            token: u64,
            /// The members.
            membership: entry::Membership,
        },
        /// Hand leadership over and take no more proposals.
        TransferLeadership,
        /// A snapshot made here is durable; older entries may go.
        Compact(entry::Snapshot),
        /// Belong to this group, unless another has been joined already.
        JoinGroup(ids::GroupKey),
        /// Found the group: write its first entry.
        Bootstrap(entry::Membership),
    }

    /// What the core asks of the shell, in order.
    pub enum Output {
        /// Send a message; it may be lost.
        Send(Envelope),
        /// Write and sync, then report [`Input::Persisted`].
        Persist(entry::Batch),
        /// Apply these committed entries.
        Commit(Vec<entry::Entry>),
        /// Replace the machine's state.
        Restore(entry::Snapshot, Bytes),
        /// A proposal has this place in the log.
        Accepted {
            /// The token of the proposal.
            token: u64,
            /// Its place.
            index: ids::LogIndex,
            /// The term it was proposed in.
            term: ids::Term,
        },
        /// A proposal, a read or a change of membership is refused; nothing was done.
        Refused {
            /// Its token.
            token: u64,
            /// Why.
            reason: Refusal,
        },
        /// A read is confirmed: the state as of this entry or later answers it.
        ReadReady {
            /// The token of the read.
            token: u64,
            /// The entry.
            index: ids::LogIndex,
        },
        /// This replica has ceased to lead: accepted proposals and reads get no answer any more.
        SteppedDown,
        /// The role has changed.
        RoleChanged(Role),
    }
}

macros::copy_types! {
    /// Why the core refuses.
    pub enum Refusal {
        /// This replica does not lead.
        NotLeader,
        /// Too much waits already, or another change is on its way.
        Busy,
    }

    /// A replica's role, as far as others need to know.
    pub enum Role {
        /// It leads this term, has applied every earlier entry and holds the lease.
        Leader(ids::Term),
        /// It follows the named leader, if any.
        Follower(Option<entry::Identity>),
    }
}
