//! The durable data of a replica: log entries, membership, hard state and snapshots.

use bytes::Bytes;

use crate::core::ids;
use crate::macros;

macros::copy_types! {
    /// A replica together with the data folder it had when it was admitted to the group.
    pub struct Identity {
        /// The replica's number.
        pub replica: ids::ReplicaKey,
        /// The key of its data folder.
        pub store: ids::StoreKey,
    }
}

macros::value_types! {
    /// One member of a group.
    pub struct Member {
        /// The replica and its store.
        pub id: Identity,
        /// The address it listens on.
        pub addr: String,
        /// Whether it votes and counts towards a quorum; a learner only receives entries.
        pub voter: bool,
    }

    /// The members of a group, in the order of their identities.
    #[derive(Default)]
    pub struct Membership {
        /// The members.
        pub members: Vec<Member>,
    }

    /// The content of an entry.
    pub enum Payload {
        /// No content; the first entry of each leader's term.
        Noop,
        /// The membership in force from this entry on.
        Membership(Membership),
        /// A command for the state machine.
        Command(Bytes),
    }

    /// One entry of the log.
    pub struct Entry {
        /// Its position in the log.
        pub index: ids::LogIndex,
        /// The term of the leader that proposed it.
        pub term: ids::Term,
        /// Its content.
        pub payload: Payload,
    }

    /// The state that must be durable besides the entries.
    #[derive(Copy, Default)]
    pub struct HardState {
        /// The group that this store belongs to; set once.
        pub group: Option<ids::GroupKey>,
        /// The highest term seen.
        pub term: ids::Term,
        /// The candidate that this replica voted for in that term.
        pub vote: Option<Identity>,
    }

    /// The description of a snapshot, without its bytes.
    pub struct Snapshot {
        /// The index of the last entry that it covers.
        pub index: ids::LogIndex,
        /// The term of that entry.
        pub term: ids::Term,
        /// The members as of that entry.
        pub membership: Membership,
        /// The length of the snapshot, in bytes.
        pub length: u64,
        /// The CRC-32 of the snapshot's bytes.
        pub checksum: u32,
    }

    /// One write to disk. Its parts are written in the order of the fields.
    #[derive(Default)]
    pub struct Batch {
        /// Its number; batches are written in order.
        pub sequence: u64,
        /// A received snapshot, which replaces any earlier snapshot and the whole log.
        pub snapshot: Option<(Snapshot, Bytes)>,
        /// The new hard state.
        pub hard_state: Option<HardState>,
        /// The first of the entries to remove from the end of the log.
        pub truncate: Option<ids::LogIndex>,
        /// Entries to append.
        pub entries: Vec<Entry>,
    }
}

impl Entry {
    /// The length of its command in bytes; 0 for other payloads.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Noop | Payload::Membership(_) => 0,
        }
    }
}

impl Membership {
    /// A membership of these members, sorted by identity.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| member.id);
        Self { members }
    }

    /// The member with this identity.
    pub fn get(&self, id: Identity) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this identity is a voter.
    pub fn is_voter(&self, id: Identity) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = Identity> {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// The number of voters that make a quorum.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a quorum of voters has reached; none if there are no voters.
    pub fn quorum_value(&self, value: impl Fn(Identity) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum_size() - 1).copied()
    }

    /// The number of voters that only one of the two memberships has.
    pub fn voter_changes(&self, other: &Membership) -> usize {
        let removed = self.voters().filter(|&id| !other.is_voter(id)).count();
        let added = other.voters().filter(|&id| !self.is_voter(id)).count();
        removed + added
    }
}
