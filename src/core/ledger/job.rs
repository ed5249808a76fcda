//! Jobs, their attempts and the workers that carry them, as the ledger knows them.

use crate::core::ids;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The longest payload of a request, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The longest answer that a kind of work may permit, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// The length of one chunk of an answer, in bytes; only the last chunk may be shorter.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The most attempts at a repeatable request before it ends as failed.
pub const MAX_ATTEMPTS: u32 = 4;

macros::value_types! {
    /// A request as the caller declared it.
    pub struct Spec {
        /// The client account that pays for it.
        pub account: String,
        /// The service asked.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's idempotency key; unique within the account.
        pub key: String,
        /// The declared resources.
        pub shape: shape::Shape,
        /// The declared run time; often wrong.
        pub run_time: time::Millis,
        /// When the answer is due.
        pub deadline: time::Wall,
        /// What the backend server gets, as it is.
        pub payload: Vec<u8>,
    }

    /// A worker as its backend server announced it.
    pub struct WorkerSpec {
        /// The worker's name; unique within the cell.
        pub name: String,
        /// Its data centre.
        pub data_center: String,
        /// Its rack within the data centre.
        pub rack: String,
        /// The services its backend server offers, sorted.
        pub services: Vec<String>,
        /// Tasks it may run at once.
        pub slots: u32,
        /// Connections its backend server accepts at once.
        pub connections: u32,
        /// Accelerators it has.
        pub accelerators: u32,
        /// Processor cores it has.
        pub processors: u32,
        /// Memory, in MiB.
        pub memory: u64,
        /// Speed relative to the common worker, in percent.
        pub speed: u32,
    }

    /// The length and checksum of a whole answer.
    pub struct AnswerMeta {
        /// Length in bytes.
        pub length: u64,
        /// SHA-256 of all bytes.
        pub sha256: [u8; 32],
    }

    /// How a job ended.
    pub enum End {
        /// With its whole answer.
        Done(AnswerMeta),
        /// Without one.
        Refused(verdict::Refusal),
    }
}

macros::copy_types! {
    /// The part of a gang that runs on one worker.
    pub struct Member {
        /// The worker.
        pub worker: ids::WorkerKey,
        /// The lease epoch under which the tasks run there.
        pub epoch: ids::Epoch,
        /// The number of tasks there.
        pub tasks: u32,
    }

    /// Where a job stands.
    pub enum Phase {
        /// Waiting for a place.
        Queued,
        /// Released to its workers; its tasks may be running.
        Released,
        /// Ended, with or without an answer.
        Ended,
    }
}
