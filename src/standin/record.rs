//! Record of the tasks that a stand-in ran, against which tests check the system's guarantees.

use crate::macros;

macros::value_types! {
    /// One run of a task.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Run {
        /// The task's key, as `JOB.ATTEMPT.INDEX`.
        pub task: String,
        /// The worker's name.
        pub worker: String,
        /// The requested service.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The number of tasks of the whole gang.
        pub gang: u32,
        /// The number of accelerators that it used.
        pub accelerators: u32,
        /// When it started, in milliseconds of wall-clock time.
        pub started: u64,
        /// When it ended, in milliseconds of wall-clock time; none while it runs.
        pub ended: Option<u64>,
        /// How it ended; none while it runs.
        pub end: Option<End>,
    }

    /// The way in which a run ended.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum End {
        /// It completed its work.
        Done,
        /// It failed as the switches required.
        Failed,
        /// The agent ordered it to stop.
        Stopped,
        /// The agent ordered a checkpoint, after which it stopped.
        Checkpointed,
        /// The lease ended.
        LeaseEnded,
        /// The stand-in died or was stopped.
        Died,
    }
}
