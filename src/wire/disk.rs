//! What lies on disk: entries, hard state, snapshot heads.

use bytes::Bytes;

use crate::core::consensus::entry;
use crate::core::ids;
use crate::macros;
use crate::wire::codec;

macros::value_types! {
    /// An [`entry::Identity`].
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct Identity {
        /// The replica's number.
        pub replica: u64,
        /// Its store.
        pub store: u128,
    }

    /// An [`entry::Member`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Member {
        /// Who it is.
        pub id: Identity,
        /// Its address.
        pub addr: String,
        /// Whether it votes.
        pub voter: bool,
    }

    /// An [`entry::Payload`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Payload {
        /// Nothing.
        Noop,
        /// The members.
        Membership(Vec<Member>),
        /// A command.
        Command(Vec<u8>),
    }

    /// An [`entry::Entry`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Entry {
        /// Its position.
        pub index: u64,
        /// Its term.
        pub term: u64,
        /// What it holds.
        pub payload: Payload,
    }

    /// An [`entry::HardState`].
    #[derive(Copy, bincode::Encode, bincode::Decode)]
    pub struct HardState {
        /// The group.
        pub group: Option<u128>,
        /// The highest term seen.
        pub term: u64,
        /// The vote in that term.
        pub vote: Option<Identity>,
    }

    /// An [`entry::Snapshot`].
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Snapshot {
        /// The last entry it covers.
        pub index: u64,
        /// That entry's term.
        pub term: u64,
        /// The members.
        pub members: Vec<Member>,
        /// Length of the bytes.
        pub length: u64,
        /// CRC-32 of the bytes.
        pub checksum: u32,
    }

    /// One record of a segment.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Record {
        /// The hard state from here on.
        HardState(HardState),
        /// Entries from this one on are void.
        Truncate(u64),
        /// One entry.
        Entry(Entry),
    }

    /// The first record of each file.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct FileHeader {
        /// The store that the file belongs to.
        pub store: u128,
        /// What the file is.
        pub kind: FileKind,
    }

    /// What a file is.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum FileKind {
        /// The mark of a data folder, with the number of its replica.
        DataFolder(u64),
        /// A segment of the log, by number.
        Segment(u64),
        /// A snapshot; its bytes follow the head.
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
