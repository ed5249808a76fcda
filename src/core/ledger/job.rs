//! The parts of jobs: requests, announced workers, gang members and results.

use crate::core::ids;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// The longest idempotency key or name, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The longest payload of a request, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The longest answer that a kind of work may permit, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Length of one chunk of an answer, in bytes; only the last chunk may be shorter.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The most failed attempts at a repeatable request; the last one ends the job as failed.
pub const MAX_ATTEMPTS: u32 = 4;

macros::value_types! {
    /// A request as the caller submitted it.
    pub struct Spec {
        /// The client account that the request is charged to.
        pub account: String,
        /// Name of the service.
        pub service: String,
        /// Name of the kind of work.
        pub kind: String,
        /// The caller's idempotency key, unique within the account.
        pub key: String,
        /// The declared number of tasks, accelerators per task and adjacency.
        pub shape: shape::Shape,
        /// The run time that the caller declared; it is often wrong.
        pub run_time: time::Millis,
        /// The time by which the answer is due.
        pub deadline: time::Wall,
        /// The payload that is passed unchanged to the backend server.
        pub payload: Vec<u8>,
    }

    /// A worker as its backend server announced it.
    pub struct WorkerSpec {
        /// The worker's name, unique within the cell.
        pub name: String,
        /// Name of the data centre.
        pub data_center: String,
        /// Name of the rack within the data centre.
        pub rack: String,
        /// Names of the services that the backend server offers, sorted.
        pub services: Vec<String>,
        /// The number of tasks that may run at the same time.
        pub slots: u32,
        /// The number of connections that the backend server accepts at the same time.
        pub connections: u32,
        /// The number of accelerators.
        pub accelerators: u32,
        /// The number of processor cores.
        pub processors: u32,
        /// Memory, in MiB.
        pub memory: u64,
        /// Speed relative to a standard worker, in percent.
        pub speed: u32,
    }

    /// The length and checksum of a whole answer.
    pub struct AnswerMeta {
        /// Length of the answer in bytes.
        pub length: u64,
        /// SHA-256 digest of the answer.
        pub sha256: [u8; 32],
    }

    /// The result of a job that has ended.
    pub enum End {
        /// The job ended with its complete answer.
        Done(AnswerMeta),
        /// The job ended without an answer.
        Refused(verdict::Refusal),
    }
}

macros::copy_types! {
    /// The part of a gang that runs on one worker.
    pub struct Member {
        /// The worker that runs the tasks.
        pub worker: ids::WorkerKey,
        /// The worker's lease epoch under which the tasks run.
        pub epoch: ids::Epoch,
        /// The number of tasks on the worker.
        pub tasks: u32,
    }

    /// The phase of a job.
    pub enum Phase {
        /// The job waits for a placement.
        Queued,
        /// The job's last attempt was released; its tasks may be running.
        Released,
        /// The job ended, with or without an answer.
        Ended,
    }
}
