//! Messages between control replicas.
//!
//! A replica dials each member and sends [`ClientMessage`]s; [`ServerMessage`]s return on the same
//! stream. The first message in each direction is a [`Hello`].

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::ids;
use crate::macros;
use crate::wire::codec;
use crate::wire::disk;

macros::value_types! {
    /// The identity and protocol version of a sender.
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct Hello {
        /// The sender's [`codec::PROTOCOL_VERSION`].
        pub version: u16,
        /// Identity of the sender.
        pub id: disk::Identity,
        /// The group that the sender's store belongs to, if any.
        pub group: Option<u128>,
    }

    /// A message from the replica that dialled.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// Opens the session; always the first message.
        Hello(Hello),
        /// Asks the receiver to bind its store permanently to the sender's new group.
        Join(u128),
        /// A message of the consensus protocol.
        Envelope(Envelope),
        /// Asks for admission to the group; the sender listens on this address.
        RequestAdmission(String),
        /// Sent by a member: the addresses of all members it knows.
        Members(Vec<String>),
    }

    /// A message from the replica that was dialled.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// Answers [`ClientMessage::Hello`].
        Hello(Hello),
        /// Answers [`ClientMessage::Join`]: the group that the sender's store durably belongs to.
        Joined(u128),
        /// A message of the consensus protocol.
        Envelope(Envelope),
        /// Answers [`ClientMessage::RequestAdmission`] and [`ClientMessage::Members`]: the
        /// addresses of all members that the sender knows.
        Members(Vec<String>),
    }

    /// The wire form of a [`message::Envelope`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Envelope {
        /// The group that sender and receiver belong to.
        pub group: u128,
        /// Identity of the sender.
        pub from: disk::Identity,
        /// Identity of the receiver.
        pub to: disk::Identity,
        /// The sender's term.
        pub term: u64,
        /// Content of the message.
        pub body: Body,
    }

    /// The wire form of a [`message::Body`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Body {
        /// Asks whether the receiver would vote for the sender: index and term of its last entry.
        PreVote(u64, u64),
        /// Answers a pre-vote: whether the vote would be granted.
        PreVoteResponse(bool),
        /// Asks for a vote: index and term of the sender's last entry, and whether the election is
        /// part of a leadership transfer.
        Vote(u64, u64, bool),
        /// Answers a vote request: whether the vote is granted.
        VoteResponse(bool),
        /// Replicates entries to a follower.
        Append {
            /// Index of the entry before the first.
            prev: u64,
            /// Term of that entry.
            prev_term: u64,
            /// The entries to append.
            entries: Vec<disk::Entry>,
            /// Index of the last committed entry.
            commit: u64,
            /// Number of the round that confirms the leadership.
            round: u64,
        },
        /// Answers the replication of entries.
        AppendResponse {
            /// Index of the last durable entry that matches the leader's log.
            matched: u64,
            /// Number of the round that confirms the leadership.
            round: u64,
            /// The index that did not match, and the last one that may match.
            mismatch: Option<(u64, u64)>,
        },
        /// A chunk of a snapshot.
        SnapshotChunk {
            /// Metadata of the snapshot.
            snapshot: disk::Snapshot,
            /// Offset of the chunk in the snapshot, in bytes.
            offset: u64,
            /// Content of the chunk.
            bytes: Vec<u8>,
        },
        /// Answers a chunk: index of the snapshot's last entry, and offset of the next chunk in
        /// bytes.
        SnapshotChunkResponse(u64, u64),
        /// Asks the receiver to start an election immediately.
        TimeoutNow,
    }
}

impl From<message::Envelope> for Envelope {
    fn from(envelope: message::Envelope) -> Self {
        Self {
            group: envelope.group.0,
            from: envelope.from.into(),
            to: envelope.to.into(),
            term: envelope.term.0,
            body: envelope.body.into(),
        }
    }
}

impl TryFrom<Envelope> for message::Envelope {
    type Error = codec::Error;

    fn try_from(envelope: Envelope) -> Result<Self, codec::Error> {
        Ok(Self {
            group: ids::GroupKey(envelope.group),
            from: envelope.from.into(),
            to: envelope.to.into(),
            term: ids::Term(envelope.term),
            body: envelope.body.try_into()?,
        })
    }
}

impl From<message::Body> for Body {
    fn from(body: message::Body) -> Self {
        match body {
            message::Body::PreVote { last, last_term } => Body::PreVote(last.0, last_term.0),
            message::Body::PreVoteResponse { granted } => Body::PreVoteResponse(granted),
            message::Body::Vote { last, last_term, transfer } => {
                Body::Vote(last.0, last_term.0, transfer)
            }
            message::Body::VoteResponse { granted } => Body::VoteResponse(granted),
            message::Body::Append { prev, prev_term, entries, commit, round } => Body::Append {
                prev: prev.0,
                prev_term: prev_term.0,
                entries: entries.iter().map(disk::Entry::from).collect(),
                commit: commit.0,
                round,
            },
            message::Body::AppendResponse { matched, round, mismatch } => Body::AppendResponse {
                matched: matched.0,
                round,
                mismatch: mismatch.map(|mismatch| (mismatch.prev.0, mismatch.hint.0)),
            },
            message::Body::SnapshotChunk { snapshot, offset, bytes } => {
                Body::SnapshotChunk { snapshot: (&snapshot).into(), offset, bytes: bytes.to_vec() }
            }
            message::Body::SnapshotChunkResponse { index, offset } => {
                Body::SnapshotChunkResponse(index.0, offset)
            }
            message::Body::TimeoutNow => Body::TimeoutNow,
        }
    }
}

impl TryFrom<Body> for message::Body {
    type Error = codec::Error;

    fn try_from(body: Body) -> Result<Self, codec::Error> {
        Ok(match body {
            Body::PreVote(last, last_term) => message::Body::PreVote {
                last: ids::LogIndex(last),
                last_term: ids::Term(last_term),
            },
            Body::PreVoteResponse(granted) => message::Body::PreVoteResponse { granted },
            Body::Vote(last, last_term, transfer) => message::Body::Vote {
                last: ids::LogIndex(last),
                last_term: ids::Term(last_term),
                transfer,
            },
            Body::VoteResponse(granted) => message::Body::VoteResponse { granted },
            Body::Append { prev, prev_term, entries, commit, round } => message::Body::Append {
                prev: ids::LogIndex(prev),
                prev_term: ids::Term(prev_term),
                entries: entries
                    .into_iter()
                    .map(entry::Entry::try_from)
                    .collect::<Result<_, _>>()?,
                commit: ids::LogIndex(commit),
                round,
            },
            Body::AppendResponse { matched, round, mismatch } => message::Body::AppendResponse {
                matched: ids::LogIndex(matched),
                round,
                mismatch: mismatch.map(|(prev, hint)| message::Mismatch {
                    prev: ids::LogIndex(prev),
                    hint: ids::LogIndex(hint),
                }),
            },
            Body::SnapshotChunk { snapshot, offset, bytes } => message::Body::SnapshotChunk {
                snapshot: snapshot.try_into()?,
                offset,
                bytes: Bytes::from(bytes),
            },
            Body::SnapshotChunkResponse(index, offset) => {
                message::Body::SnapshotChunkResponse { index: ids::LogIndex(index), offset }
            }
            Body::TimeoutNow => message::Body::TimeoutNow,
        })
    }
}
