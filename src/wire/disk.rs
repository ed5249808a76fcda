//! Records of the files on disk: log entries, hard state, snapshot metadata and file headers.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;
use crate::wire::codec;

macros::value_types! {
    /// The wire form of an [`entry::Identity`].
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct Identity {
        /// The replica's number.
        pub replica: u64,
        /// The random identity of the replica's data folder.
        pub store: u128,
    }

    /// The wire form of an [`entry::Member`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Member {
        /// The member's identity.
        pub id: Identity,
        /// The member's address.
        pub addr: String,
        /// Whether the member is a voter.
        pub voter: bool,
    }

    /// The wire form of an [`entry::Payload`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Payload {
        /// No operation.
        Noop,
        /// The members of the group from this entry on.
        Membership(Vec<Member>),
        /// An encoded command.
        Command(Vec<u8>),
    }

    /// The wire form of an [`entry::Entry`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Entry {
        /// The entry's position in the log.
        pub index: u64,
        /// The term in which the entry was proposed.
        pub term: u64,
        /// The entry's content.
        pub payload: Payload,
    }

    /// The wire form of an [`entry::HardState`].
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct HardState {
        /// The group that the replica belongs to, if any.
        pub group: Option<u128>,
        /// The highest known term.
        pub term: u64,
        /// The replica that got the vote in that term, if any.
        pub vote: Option<Identity>,
    }

    /// The wire form of an [`entry::Snapshot`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Snapshot {
        /// The index of the last entry that the snapshot covers.
        pub index: u64,
        /// The term of that entry.
        pub term: u64,
        /// The members of the group as of that entry.
        pub members: Vec<Member>,
        /// Length of the snapshot, in bytes.
        pub length: u64,
        /// CRC-32 checksum of the snapshot.
        pub checksum: u32,
    }

    /// A record of a log segment.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Record {
        /// The hard state that replaces the previous one.
        HardState(HardState),
        /// Removes all entries from this index on.
        Truncate(u64),
        /// Appends an entry.
        Entry(Entry),
    }

    /// The first record of each file: its owner and its kind.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct FileHeader {
        /// The random identity of the data folder that the file belongs to.
        pub store: u128,
        /// The kind of the file.
        pub kind: FileKind,
    }

    /// The kind of a file.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum FileKind {
        /// The identity file of a data folder, with the number of its replica.
        DataFolder(u64),
        /// A log segment, with its number.
        Segment(u64),
        /// A snapshot; its bytes follow the header.
        Snapshot(Snapshot),
    }
}

impl From<entry::Identity> for Identity {
    fn from(id: entry::Identity) -> Self {
        Self { replica: id.replica.0, store: id.store.0 }
    }
}

impl From<Identity> for entry::Identity {
    fn from(id: Identity) -> Self {
        Self { replica: ids::ReplicaKey(id.replica), store: ids::StoreKey(id.store) }
    }
}

impl From<&entry::Member> for Member {
    fn from(member: &entry::Member) -> Self {
        Self { id: member.id.into(), addr: member.addr.clone(), voter: member.voter }
    }
}

impl From<Member> for entry::Member {
    fn from(member: Member) -> Self {
        Self { id: member.id.into(), addr: member.addr, voter: member.voter }
    }
}

fn members(membership: &entry::Membership) -> Vec<Member> {
    membership.members.iter().map(Member::from).collect()
}

fn membership(members: Vec<Member>) -> Result<entry::Membership, codec::Error> {
    if !members.is_sorted_by(|a, b| entry::Identity::from(a.id) < entry::Identity::from(b.id)) {
        return Err(codec::Error::OutOfRange("members"));
    }
    Ok(entry::Membership { members: members.into_iter().map(entry::Member::from).collect() })
}

impl From<&entry::Entry> for Entry {
    fn from(entry: &entry::Entry) -> Self {
        let payload = match &entry.payload {
            entry::Payload::Noop => Payload::Noop,
            entry::Payload::Membership(membership) => Payload::Membership(members(membership)),
            entry::Payload::Command(bytes) => Payload::Command(bytes.to_vec()),
        };
        Self { index: entry.index.0, term: entry.term.0, payload }
    }
}

impl TryFrom<Entry> for entry::Entry {
    type Error = codec::Error;

    fn try_from(entry: Entry) -> Result<Self, codec::Error> {
        if entry.index == 0 {
            return Err(codec::Error::OutOfRange("index"));
        }
        let payload = match entry.payload {
            Payload::Noop => entry::Payload::Noop,
            Payload::Membership(members) => entry::Payload::Membership(membership(members)?),
            Payload::Command(bytes) => entry::Payload::Command(Bytes::from(bytes)),
        };
        Ok(Self { index: ids::LogIndex(entry.index), term: ids::Term(entry.term), payload })
    }
}

impl From<&entry::HardState> for HardState {
    fn from(hard_state: &entry::HardState) -> Self {
        Self {
            group: hard_state.group.map(|group| group.0),
            term: hard_state.term.0,
            vote: hard_state.vote.map(Identity::from),
        }
    }
}

impl From<HardState> for entry::HardState {
    fn from(hard_state: HardState) -> Self {
        Self {
            group: hard_state.group.map(ids::GroupKey),
            term: ids::Term(hard_state.term),
            vote: hard_state.vote.map(entry::Identity::from),
        }
    }
}

impl From<&entry::Snapshot> for Snapshot {
    fn from(snapshot: &entry::Snapshot) -> Self {
        Self {
            index: snapshot.index.0,
            term: snapshot.term.0,
            members: members(&snapshot.membership),
            length: snapshot.length,
            checksum: snapshot.checksum,
        }
    }
}

impl TryFrom<Snapshot> for entry::Snapshot {
    type Error = codec::Error;

    fn try_from(snapshot: Snapshot) -> Result<Self, codec::Error> {
        Ok(Self {
            index: ids::LogIndex(snapshot.index),
            term: ids::Term(snapshot.term),
            membership: membership(snapshot.members)?,
            length: snapshot.length,
            checksum: snapshot.checksum,
        })
    }
}
