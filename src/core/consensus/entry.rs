//! What a replica keeps: entries, membership, and what must be durable besides.

use bytes::Bytes;

use crate::core::ids;
use crate::macros;

macros::copy_types! {
    /// A replica with the data folder it had when it was admitted.
    pub struct Identity {
        /// The replica's number.
        pub replica: ids::ReplicaKey,
        /// Its data folder.
        pub store: ids::StoreKey,
    }
}

macros::value_types! {
    /// One member of a group.
    pub struct Member {
        /// Who it is.
        pub id: Identity,
        /// The address it listens on.
        pub addr: String,
        /// Whether it votes and counts; a learner only receives.
        pub voter: bool,
    }

    /// The members of a group, in the order of their identities.
    #[derive(Default)]
    pub struct Membership {
        /// The members.
        pub members: Vec<Member>,
    }

    /// What an entry holds.
    pub enum Payload {
        /// Nothing; a leader starts its term with it.
        Noop,
        /// The members from here on.
        Membership(Membership),
        /// A command for the state machine.
        Command(Bytes),
    }

    /// One entry of the log.
    pub struct Entry {
        /// Its position.
        pub index: ids::LogIndex,
        /// The term of the leader that proposed it.
        pub term: ids::Term,
        /// What it holds.
        pub payload: Payload,
    }

    /// What must be durable besides the entries.
    #[derive(Copy, Default)]
    pub struct HardState {
        /// The group this store belongs to; set once.
        pub group: Option<ids::GroupKey>,
        /// The highest term seen.
        pub term: ids::Term,
        /// Whom this replica voted for in that term.
        pub vote: Option<Identity>,
    }

    /// A snapshot without its bytes.
    pub struct Snapshot {
        /// The last entry it covers.
        pub index: ids::LogIndex,
        /// That entry's term.
        pub term: ids::Term,
        /// The members as of that entry.
        pub membership: Membership,
        /// Length of the bytes.
        pub length: u64,
        /// CRC-32 of the bytes.
        pub checksum: u32,
    }

    /// One write to disk. Its parts are written in the order of the fields.
    #[derive(Default)]
    pub struct Batch {
        /// Its number; batches are written in order.
        pub sequence: u64,
        /// A received snapshot that replaces everything before it and the whole log.
        pub snapshot: Option<(Snapshot, Bytes)>,
        /// The new hard state.
        pub hard_state: Option<HardState>,
        /// Entries from this one on are void.
        pub truncate: Option<ids::LogIndex>,
        /// Entries to append.
        pub entries: Vec<Entry>,
    }
}

impl Entry {
    /// Bytes of its command.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Noop | Payload::Membership(_) => 0,
        }
    }
}

impl Membership {
    /// Orders the members.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| member.id);
        Self { members }
    }

    /// The member with this identity.
    pub fn get(&self, id: Identity) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this identity votes.
    pub fn is_voter(&self, id: Identity) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = Identity> {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// How many voters make a quorum.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a quorum of voters has reached; none without voters.
    pub fn quorum_value(&self, value: impl Fn(Identity) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum_size() - 1).copied()
    }

    /// How many voters differ between two memberships.
    pub fn voter_changes(&self, other: &Membership) -> usize {
        let gone = self.voters().filter(|&id| !other.is_voter(id)).count();
        let new = other.voters().filter(|&id| !self.is_voter(id)).count();
        gone + new
    }
}
