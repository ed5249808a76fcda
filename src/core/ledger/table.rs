//! The table of jobs and its indices.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sha2::Digest as _;

use crate::core::ids;
use crate::core::ledger::hourly;
use crate::core::ledger::job;
use crate::core::time;
use crate::macros;

/// How long an ended job and its answer are retained: 24 hours after its end.
pub const JOB_RETENTION: time::Millis = time::Millis(24 * time::HOUR.0);

/// How long an idempotency key is retained: 30 days after the end of its job.
pub const KEY_RETENTION: time::Millis = time::Millis(30 * 24 * time::HOUR.0);

/// Stored bytes of answers from which on no more requests are accepted.
pub const MAX_STORED_ANSWER_BYTES: u64 = 512 * 1024 * 1024;

macros::value_types! {
    /// A job and the state of its last attempt.
    pub struct Job {
        /// The request that the job runs.
        pub spec: job::Spec,
        /// The digest from [`request_digest`]; two requests with the same key and digest are the
        /// same.
        pub digest: [u8; 32],
        /// The time at which the request was accepted.
        pub submitted: time::Wall,
        /// The job's phase.
        pub phase: job::Phase,
        /// The number of the last attempt; 0 before the first.
        pub attempt: u32,
        /// The number of attempts that were released.
        pub releases: u32,
        /// The number of attempts that failed, were lost or never started, without preempted ones.
        pub failures: u32,
        /// Whether an attempt that has ended may have run.
        pub may_have_run: bool,
        /// Whether the caller cancelled the job while an attempt was released.
        pub cancelled: bool,
        /// Whether the last attempt ended and some members have yet to confirm that their tasks
        /// stopped.
        pub stopping: bool,
        /// The members of the last attempt, until their workers are freed.
        pub members: Vec<job::Member>,
        /// The members of the last attempt, retained for display.
        pub last_members: Vec<job::Member>,
        /// The time at which the last attempt was released; 0 before the first.
        pub released: time::Wall,
        /// The bytes of the answer received so far.
        pub answer: Vec<u8>,
        /// The job's result, once it has ended.
        pub end: Option<job::End>,
        /// The time at which the job ended; 0 before.
        pub ended: time::Wall,
        /// The count of its hour that includes the job.
        pub category: hourly::Category,
    }

    /// The retained jobs, and the idempotency keys of jobs that are no longer retained.
    #[derive(Default)]
    pub struct Table {
        /// The retained jobs.
        pub jobs: BTreeMap<ids::JobKey, Job>,
        /// The retained jobs by client account and idempotency key.
        pub keys: BTreeMap<(String, String), ids::JobKey>,
        /// Idempotency keys whose jobs are no longer retained, by [`key_digest`], with the end of
        /// the key's retention.
        pub expired_keys: BTreeMap<[u8; 16], time::Wall>,
        /// Idempotency keys that were cancelled before a request used them, by [`key_digest`], with
        /// the end of the key's retention.
        pub cancelled_keys: BTreeMap<[u8; 16], time::Wall>,
        /// Ended jobs by the end of their retention.
        pub job_expiries: BTreeSet<(time::Wall, ids::JobKey)>,
        /// Expired and cancelled idempotency keys by the end of their retention.
        pub key_expiries: BTreeSet<(time::Wall, [u8; 16])>,
        /// Jobs that have not ended and are not late, by deadline.
        pub deadlines: BTreeSet<(time::Wall, ids::JobKey)>,
        /// The number of queued jobs, by client account.
        pub waiting: BTreeMap<String, u32>,
        /// Total length of the stored answers, in bytes.
        pub answer_bytes: u64,
    }
}

impl Job {
    /// Returns the key of the last attempt of this job, whose key is `key`.
    pub fn last_attempt(&self, key: ids::JobKey) -> ids::AttemptKey {
        ids::AttemptKey { job: key, number: self.attempt }
    }

    /// Returns whether this attempt is the last one, was released and has not ended.
    pub fn is_running(&self, attempt: ids::AttemptKey) -> bool {
        self.phase == job::Phase::Released && !self.stopping && self.attempt == attempt.number
    }

    /// Returns whether the last attempt still has tasks and accelerators allocated.
    pub fn holds_allocation(&self) -> bool {
        !self.members.is_empty()
    }
}

impl Table {
    /// Returns the retained job of a client account's idempotency key.
    pub fn find(&self, account: &str, key: &str) -> Option<ids::JobKey> {
        self.keys.get(&(account.to_owned(), key.to_owned())).copied()
    }

    /// Returns whether the idempotency key belonged to a job that is no longer retained.
    pub fn is_key_expired(&self, account: &str, key: &str) -> bool {
        self.expired_keys.contains_key(&key_digest(account, key))
    }

    /// Returns whether the idempotency key was cancelled before a request used it.
    pub fn is_key_cancelled(&self, account: &str, key: &str) -> bool {
        self.cancelled_keys.contains_key(&key_digest(account, key))
    }

    /// Cancels an idempotency key that no request has used yet: the request may still be on its way.
    pub fn cancel_key(&mut self, account: &str, key: &str, now: time::Wall) {
        let digest = key_digest(account, key);
        let end = now + JOB_RETENTION;
        if let Some(earlier) = self.cancelled_keys.insert(digest, end) {
            self.key_expiries.remove(&(earlier, digest));
        }
        self.key_expiries.insert((end, digest));
    }

    /// Inserts an accepted job.
    pub fn insert(&mut self, key: ids::JobKey, job: Job) {
        let name = (job.spec.account.clone(), job.spec.key.clone());
        self.keys.insert(name, key);
        self.deadlines.insert((job.spec.deadline, key));
        self.count_waiting(&job.spec.account, 1);
        self.jobs.insert(key, job);
    }

    /// Inserts a job from a snapshot and rebuilds its indices.
    pub fn restore(&mut self, key: ids::JobKey, job: Job) {
        let name = (job.spec.account.clone(), job.spec.key.clone());
        self.keys.insert(name, key);
        self.answer_bytes += job.answer.len() as u64;
        if job.phase == job::Phase::Queued {
            self.count_waiting(&job.spec.account, 1);
        }
        if job.phase == job::Phase::Ended {
            self.schedule_expiry(key, job.ended);
        } else if job.category == hourly::Category::Open {
            self.deadlines.insert((job.spec.deadline, key));
        }
        self.jobs.insert(key, job);
    }

    /// Returns the number of queued jobs of a client account.
    pub fn waiting(&self, account: &str) -> u32 {
        self.waiting.get(account).copied().unwrap_or(0)
    }

    /// Adds `change` to the number of queued jobs of a client account.
    pub fn count_waiting(&mut self, account: &str, change: i32) {
        let count = self.waiting.entry(account.to_owned()).or_default();
        *count = count.saturating_add_signed(change);
    }

    /// Discards the incomplete answer of an attempt that has ended.
    pub fn drop_answer(&mut self, key: ids::JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            self.answer_bytes -= job.answer.len() as u64;
            job.answer = Vec::new();
        }
    }

    /// Schedules the removal of a job that ended at `ended`.
    pub fn schedule_expiry(&mut self, key: ids::JobKey, ended: time::Wall) {
        self.job_expiries.insert((ended + JOB_RETENTION, key));
    }

    /// Removes jobs and idempotency keys whose retention is over. A job is retained while it still
    /// has workers allocated.
    pub fn expire(&mut self, now: time::Wall) {
        let last = (now, ids::JobKey(u64::MAX));
        let expiring: Vec<_> = self.job_expiries.range(..=last).copied().collect();
        for (end, key) in expiring {
            if self.expire_job(key) {
                self.job_expiries.remove(&(end, key));
            }
        }
        while let Some((end, digest)) = self.key_expiries.first().copied() {
            if end > now {
                break;
            }
            self.key_expiries.pop_first();
            self.expired_keys.remove(&digest);
            self.cancelled_keys.remove(&digest);
        }
    }

    fn expire_job(&mut self, key: ids::JobKey) -> bool {
        if self.jobs.get(&key).is_some_and(Job::holds_allocation) {
            return false;
        }
        let Some(job) = self.jobs.remove(&key) else { return true };
        self.answer_bytes -= job.answer.len() as u64;
        let digest = key_digest(&job.spec.account, &job.spec.key);
        let end = job.ended + KEY_RETENTION;
        self.keys.remove(&(job.spec.account, job.spec.key));
        self.expired_keys.insert(digest, end);
        self.key_expiries.insert((end, digest));
        true
    }
}

/// Returns the digest that identifies an idempotency key after its job is removed.
pub fn key_digest(account: &str, key: &str) -> [u8; 16] {
    let mut hash = sha2::Sha256::new();
    hash.update((account.len() as u64).to_le_bytes());
    hash.update(account);
    hash.update(key);
    let digest: [u8; 32] = hash.finalize().into();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&digest[..16]);
    truncated
}

/// Returns the digest that decides whether two requests with one key are the same request.
///
/// The deadline isn't part of it: a resend may state its deadline relative to its own time.
pub fn request_digest(spec: &job::Spec) -> [u8; 32] {
    let mut hash = sha2::Sha256::new();
    for part in [spec.service.as_bytes(), spec.kind.as_bytes(), &spec.payload] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(spec.shape.tasks.to_le_bytes());
    hash.update(spec.shape.accelerators.to_le_bytes());
    hash.update(spec.shape.adjacency.as_str());
    hash.update(spec.run_time.0.to_le_bytes());
    hash.finalize().into()
}
