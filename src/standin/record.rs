//! What a stand-in really ran, for those who check the system's promises.

use crate::macros;

macros::value_types! {
    /// One start of a task.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Run {
        /// The task, as `JOB.ATTEMPT.INDEX`.
        pub task: String,
        /// The worker.
        pub worker: String,
        /// The service.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The number of tasks of the whole gang.
        pub gang: u32,
        /// Accelerators it held.
        pub accelerators: u32,
        /// When it started, in milliseconds of civil time.
        pub started: u64,
        /// When it ended; none while it runs.
        pub ended: Option<u64>,
        /// How it ended.
        pub end: Option<End>,
    }

    /// How a task ended.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum End {
        /// Well.
        Done,
        /// Badly, as the switches had it.
        Failed,
        /// By order.
        Stopped,
        /// By order, after a checkpoint.
        Checkpointed,
        /// Because the lease ended.
        LeaseEnded,
        /// Because the stand-in died.
        Died,
    }
}
