//! Keys: small `Copy` numbers that name objects.

use crate::macros;

macros::key_types! {
    /// A cell: one control group with the workers it owns.
    CellKey(u16);
    /// A worker known to the ledger; given at its first announcement and never reused.
    WorkerKey(u32);
    /// A job: the life of one accepted request. Equals the log index of its submission.
    JobKey(u64);
    /// A lease epoch of a worker; rises whenever the worker's tasks are known to be gone.
    Epoch(u64);
    /// A control replica's name within its group.
    ReplicaKey(u64);
    /// The random identity of one data folder.
    StoreKey(u128);
    /// The random identity of a control group.
    GroupKey(u128);
    /// A change ticket's number, chosen by operators.
    TicketNumber(u64);
    /// A revision of the configuration; rises by one with each ticket that changes it.
    Revision(u64);
    /// A position in the replicated log; the first entry has index 1.
    LogIndex(u64);
    /// A term of leadership.
    Term(u64);
}

macros::copy_types! {
    /// One try at running a job. Numbers rise with each placement and are never used twice, so
    /// that what is late of one try can't be taken for another.
    pub struct AttemptKey {
        /// The job that is tried.
        pub job: JobKey,
        /// Which try this is; 1 or more.
        pub number: u32,
    }
}

impl std::fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.job, self.number)
    }
}
