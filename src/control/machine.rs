//! Interfaces between the replicated log, the state machine it drives and the proposers.

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::core::ids;
use crate::core::time;
use crate::macros;

/// The state machine that a replica applies committed entries to, in log order, exactly once each.
pub trait Machine {
    /// Applies one entry and returns the encoded outcome for its proposer.
    fn apply(&mut self, index: ids::LogIndex, entry: &[u8]) -> Vec<u8>;

    /// Encodes the whole state; the bytes are equal on every replica at the same index.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by that of a snapshot.
    fn restore(&mut self, snapshot: &[u8]);

    /// Handles a change of this replica's role. For a leader it is called after every entry of
    /// earlier terms has been applied.
    fn role_changed(&mut self, role: Role);
}

macros::value_types! {
    /// The role of a replica in its group.
    pub enum Role {
        /// Leader of this term, with the leader lease.
        Leader(ids::Term),
        /// Follower, which may know the leader.
        Follower {
            /// The leader's number and address, if known.
            leader: Option<(ids::ReplicaKey, String)>,
        },
    }

    /// State of a replica as this replica observes it.
    pub struct PeerView {
        /// The replica's number.
        pub key: ids::ReplicaKey,
        /// The address on which it accepts streams.
        pub addr: String,
        /// Whether it is a voter.
        pub voter: bool,
        /// The last entry that it has confirmed to this leader.
        pub matched: ids::LogIndex,
        /// Whether a store with its number but another identity was found at its address.
        pub replaced: bool,
        /// Time since its last response to this leader; zero if unknown.
        pub silent_for: time::Millis,
    }

    /// State of the group as this replica observes it.
    pub struct GroupView {
        /// This replica's role.
        pub role: Role,
        /// This replica's current term.
        pub term: ids::Term,
        /// The last entry that this replica knows to be committed.
        pub committed: ids::LogIndex,
        /// The members; only a leader fills in confirmations.
        pub peers: Vec<PeerView>,
        /// Number and address of each replica that waits to be admitted.
        pub candidates: Vec<(ids::ReplicaKey, String)>,
    }
}

quick_error! {
    /// Reason why a proposal has no outcome.
    #[derive(Debug)]
    pub enum ProposeError {
        /// This replica isn't the leader; nothing was proposed.
        NotLeader {
            display("this replica isn't the leader")
        }
        /// Too many proposals are in flight; nothing was proposed.
        Busy {
            display("too many proposals are in flight")
        }
        /// Leadership was lost before the outcome was known; the entry may still be committed.
        Unknown {
            display("leadership was lost; the proposal may still be committed")
        }
    }
}

/// The replicated log.
pub trait Log {
    /// Proposes an entry; resolves to the encoded outcome once it is committed and applied here.
    fn propose(&self, entry: Vec<u8>) -> LocalBoxFuture<'static, Result<Vec<u8>, ProposeError>>;

    /// Resolves once every entry committed before the call is applied here and a quorum has
    /// confirmed that this replica is still the leader.
    fn barrier(&self) -> LocalBoxFuture<'static, Result<(), ProposeError>>;

    /// Whether this replica is the leader and its lease hasn't expired on the monotonic clock. Call
    /// it before each action that only a leader may perform.
    fn leads(&self) -> bool;

    /// Returns the state of the group.
    fn view(&self) -> GroupView;

    /// Returns the known addresses of replicas: the members while this replica is one of a group
    /// with a leader, otherwise also the addresses that other replicas have sent.
    fn replicas(&self) -> Vec<String>;

    /// Changes the membership by one step towards the given replicas.
    fn reconfigure(
        &self,
        replicas: Vec<(ids::ReplicaKey, String)>,
    ) -> LocalBoxFuture<'static, Result<(), ProposeError>>;

    /// Transfers leadership, if this replica is the leader, and stops accepting proposals.
    fn transfer_leadership(&self) -> LocalBoxFuture<'static, ()>;
}
