//! Keys: `Copy` numbers that identify objects.

use crate::macros;

macros::key_types! {
    /// The key of a cell: one control group with the workers that it owns.
    CellKey(u16);
    /// The key of a worker known to the ledger, assigned at its first announcement and never
    /// reused.
    WorkerKey(u32);
    /// The key of a job, which is one accepted request. It equals the log index of the submission.
    JobKey(u64);
    /// A lease epoch of a worker; it rises whenever the worker's tasks are known to have ended.
    Epoch(u64);
    /// The key of a control replica within its group.
    ReplicaKey(u64);
    /// The random identity of one data folder.
    StoreKey(u128);
    /// The random identity of a control group.
    GroupKey(u128);
    /// The number of a change ticket, which operators choose.
    TicketNumber(u64);
    /// A revision of the configuration; it rises by one with each ticket that changes it.
    Revision(u64);
    /// A position in the replicated log; the first entry has index 1.
    LogIndex(u64);
    /// A term of leadership.
    Term(u64);
}

macros::copy_types! {
    /// The key of one attempt to run a job. Numbers rise with each placement and are never used
    /// twice, so that a late message of one attempt can't be mistaken for one of another.
    pub struct AttemptKey {
        /// The job that the attempt runs.
        pub job: JobKey,
        /// The number of the attempt, at least 1.
        pub number: u32,
    }
}

impl std::fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.job, self.number)
    }
}
