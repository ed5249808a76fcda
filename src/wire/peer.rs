//! What control replicas say to one another.
//!
//! A replica dials each member and sends `ClientMessage`; answers come back on the same stream as `ServerMessage`.
//! Both sides say hello first.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::ids;
use crate::macros;
use crate::wire::codec;
use crate::wire::disk;

macros::value_types! {
    /// Who speaks.
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct Hello {
        /// The version of the protocol, see [`codec::PROTOCOL_VERSION`].
        pub version: u16,
        /// The speaker.
        pub id: disk::Identity,
        /// The group that the speaker's store belongs to.
        pub group: Option<u128>,
    }

    /// From the replica that dialled.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// The first message.
        Hello(Hello),
        /// A founder asks the other to join its group for good.
        Join(u128),
        /// A message of the log.
        Envelope(Envelope),
        /// The speaker waits at this address to be admitted.
        RequestAdmission(String),
        /// The speaker is a member; these are the addresses of all members.
        Members(Vec<String>),
    }

    /// From the replica that was dialled.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// The answer to the hello.
        Hello(Hello),
        /// The answer to [`ClientMessage::Join`]: the group this store durably belongs to.
        Joined(u128),
        /// A message of the log.
        Envelope(Envelope),
        /// The answer to [`ClientMessage::RequestAdmission`] and [`ClientMessage::Members`]: the addresses of all members known.
        Members(Vec<String>),
    }

    /// A [`message::Envelope`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Envelope {
        /// The group.
        pub group: u128,
        /// The sender.
        pub from: disk::Identity,
        /// The receiver.
        pub to: disk::Identity,
        /// The term.
        pub term: u64,
        /// What is said.
        pub body: Body,
    }

    /// A [`message::Body`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Body {
        /// Could the sender win?
        PreVote(u64, u64),
        /// The answer.
        PreVoteResponse(bool),
        /// The last entry, its term, and whether leadership is being handed over.
        Vote(u64, u64, bool),
        /// The answer.
        VoteResponse(bool),
        /// Entries.
        Append {
            /// The entry before.
            prev: u64,
            /// Its term.
            prev_term: u64,
            /// The entries.
            entries: Vec<disk::Entry>,
            /// The last committed entry.
            commit: u64,
            /// The confirmation round.
            round: u64,
        },
        /// The answer.
        AppendResponse {
            /// The last durable equal entry.
            matched: u64,
            /// The confirmation round.
            round: u64,
            /// The index that did not match, and the last one that may match.
            mismatch: Option<(u64, u64)>,
        },
        /// A piece of a snapshot.
        SnapshotChunk {
            /// Which snapshot.
            snapshot: disk::Snapshot,
            /// Where the piece starts.
            offset: u64,
            /// The piece.
            bytes: Vec<u8>,
        },
        /// The snapshot's last entry, and where the next piece starts.
        SnapshotChunkResponse(u64, u64),
        /// Start an election now.
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
