//! What the replicated log drives, and how proposals come back.

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::core::ids;
use crate::core::time;
use crate::macros;

/// The state machine that a replica applies committed entries to, in log order, exactly once each.
pub trait Machine {
    /// Applies one entry and returns the answer for its proposer, encoded.
    fn apply(&mut self, index: ids::LogIndex, entry: &[u8]) -> Vec<u8>;

    /// The whole state, encoded; equal bytes on every replica at the same index.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by a snapshot's.
    fn restore(&mut self, snapshot: &[u8]);

    /// This replica's role has changed. A leader is told after it has applied every entry of
    /// earlier terms.
    fn role_changed(&mut self, role: Role);
}

macros::value_types! {
    /// What a replica is in its group.
    pub enum Role {
        /// It leads this term and holds the leader lease.
        Leader(ids::Term),
        /// It follows; the leader's address is known or not.
        Follower {
            /// The leader and its address.
            leader: Option<(ids::ReplicaKey, String)>,
        },
    }

    /// A replica as the leader sees it.
    pub struct PeerView {
        /// The replica.
        pub key: ids::ReplicaKey,
        /// The address it listens on.
        pub addr: String,
        /// Whether it votes.
        pub voter: bool,
        /// The last entry it has confirmed.
        pub matched: ids::LogIndex,
        /// Whether another store of its number was found at its address.
        pub replaced: bool,
        /// How long it has not answered this leader; zero where that is not known.
        pub silent_for: time::Millis,
    }

    /// The group as this replica sees it.
    pub struct GroupView {
        /// This replica's role.
        pub role: Role,
        /// The term it is in.
        pub term: ids::Term,
        /// The last committed entry it knows.
        pub committed: ids::LogIndex,
        /// The replicas; confirmations are filled in by a leader only.
        pub peers: Vec<PeerView>,
        /// Replicas that wait to be admitted, by number and address.
        pub candidates: Vec<(ids::ReplicaKey, String)>,
    }
}

quick_error! {
    /// Why a proposal has no answer.
    #[derive(Debug)]
    pub enum ProposeError {
        /// This replica does not lead; nothing was proposed.
        NotLeader {
            display("this replica does not lead")
        }
        /// Too many proposals wait; nothing was proposed.
        Busy {
            display("too many proposals wait")
        }
        /// Leadership was lost on the way: the entry may yet be committed.
        Unknown {
            display("leadership was lost; the proposal may still be committed")
        }
    }
}

/// The replicated log as the rest of control sees it.
pub trait Log {
    /// Proposes an entry; resolves to the machine's answer once it is committed and applied here.
    fn propose(&self, entry: Vec<u8>) -> LocalBoxFuture<'static, Result<Vec<u8>, ProposeError>>;

    /// Resolves once everything committed before the call is applied here and this replica has
    /// proved that it still leads.
    fn barrier(&self) -> LocalBoxFuture<'static, Result<(), ProposeError>>;

    /// Whether this replica leads at this very moment: its leader lease, on the monotonic clock,
    /// has not run out. To be asked before each act that only a leader may do.
    fn leads(&self) -> bool;

    /// The group.
    fn view(&self) -> GroupView;

    /// The addresses of the replicas, as far as this one knows: all members while a leader counts
    /// it in, otherwise also those that others have named.
    fn replicas(&self) -> Vec<String>;

    /// Changes the membership by one step towards the given replicas.
    fn reconfigure(
        &self,
        replicas: Vec<(ids::ReplicaKey, String)>,
    ) -> LocalBoxFuture<'static, Result<(), ProposeError>>;

    /// Hands leadership over, if this replica leads, and stops taking proposals.
    fn transfer_leadership(&self) -> LocalBoxFuture<'static, ()>;
}
