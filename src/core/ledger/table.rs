//! The jobs, with the indices that the ledger's rules need.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sha2::Digest as _;

use crate::core::ids;
use crate::core::ledger::hourly;
use crate::core::ledger::job;
use crate::core::time;
use crate::macros;

/// How long an ended job and its answer are kept.
pub const JOB_RETENTION: time::Millis = time::Millis(24 * time::HOUR.0);

/// How long the key of a job that is no longer kept is remembered, counted from its end.
pub const KEY_RETENTION: time::Millis = time::Millis(30 * 24 * time::HOUR.0);

/// The most bytes of answers kept at once; beyond it no more requests are accepted.
pub const MAX_STORED_ANSWER_BYTES: u64 = 512 * 1024 * 1024;

macros::value_types! {
    /// A job.
    pub struct Job {
        /// The request.
        pub spec: job::Spec,
        /// The digest of what makes two requests the same.
        pub digest: [u8; 32],
        /// When it was accepted.
        pub submitted: time::Wall,
        /// Where it stands.
        pub phase: job::Phase,
        /// The number of its last attempt; 0 before the first.
        pub attempt: u32,
        /// How often it was released.
        pub releases: u32,
        /// Attempts that failed, were lost or never started; preempted ones do not count.
        pub failures: u32,
        /// Whether an earlier attempt may have run.
        pub may_have_run: bool,
        /// Whether the caller has cancelled it.
        pub cancelled: bool,
        /// Whether the last attempt has ended while its members still confirm their stop.
        pub stopping: bool,
        /// The workers of the last attempt, until they are cleared.
        pub members: Vec<job::Member>,
        /// The workers of the last attempt, for people to see.
        pub last_members: Vec<job::Member>,
        /// When the last attempt was released.
        pub released: time::Wall,
        /// The answer as far as it has come.
        pub answer: Vec<u8>,
        /// How it ended.
        pub end: Option<job::End>,
        /// When it ended.
        pub ended: time::Wall,
        /// Under which count of its hour it stands.
        pub category: hourly::Category,
    }

    /// The jobs and what is remembered of those no longer kept.
    #[derive(Default)]
    pub struct Table {
        /// Jobs by key.
        pub jobs: BTreeMap<ids::JobKey, Job>,
        /// Jobs by client account and idempotency key.
        pub keys: BTreeMap<(String, String), ids::JobKey>,
        /// Idempotency keys whose jobs are no longer kept, by digest, with the end of retention.
        pub expired_keys: BTreeMap<[u8; 16], time::Wall>,
        /// Ends of retention, in order: of jobs.
        pub job_expiries: BTreeSet<(time::Wall, ids::JobKey)>,
        /// Ends of retention, in order: of keys.
        pub key_expiries: BTreeSet<(time::Wall, [u8; 16])>,
        /// Jobs that have not ended, by deadline, until they are late.
        pub deadlines: BTreeSet<(time::Wall, ids::JobKey)>,
        /// Jobs waiting, by client account.
        pub waiting: BTreeMap<String, u32>,
        /// Bytes of answers kept.
        pub answer_bytes: u64,
    }
}

impl Job {
    /// The key of the last attempt.
    pub fn last_attempt(&self, key: ids::JobKey) -> ids::AttemptKey {
        ids::AttemptKey { job: key, number: self.attempt }
    }

    /// Whether this attempt is the last, released and not ended.
    pub fn is_running(&self, attempt: ids::AttemptKey) -> bool {
        self.phase == job::Phase::Released && !self.stopping && self.attempt == attempt.number
    }

    /// Whether the last attempt's accelerators are not yet free.
    pub fn holds_grants(&self) -> bool {
        !self.members.is_empty()
    }
}

impl Table {
    /// The job of this client account's key.
    pub fn find(&self, account: &str, key: &str) -> Option<ids::JobKey> {
        self.keys.get(&(account.to_owned(), key.to_owned())).copied()
    }

    /// Whether the key belonged to a job that is no longer kept.
    pub fn is_key_expired(&self, account: &str, key: &str) -> bool {
        self.expired_keys.contains_key(&key_digest(account, key))
    }

    /// Adds an accepted job.
    pub fn insert(&mut self, key: ids::JobKey, job: Job) {
        let name = (job.spec.account.clone(), job.spec.key.clone());
        self.keys.insert(name, key);
        self.deadlines.insert((job.spec.deadline, key));
        self.count_waiting(&job.spec.account, 1);
        self.jobs.insert(key, job);
    }

    /// Adds a job from a snapshot and rebuilds its indices.
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

    /// How many jobs of a client account wait.
    pub fn waiting(&self, account: &str) -> u32 {
        self.waiting.get(account).copied().unwrap_or(0)
    }

    /// Changes how many jobs of a client account wait.
    pub fn count_waiting(&mut self, account: &str, change: i32) {
        let count = self.waiting.entry(account.to_owned()).or_default();
        *count = count.saturating_add_signed(change);
    }

    /// Drops the answer that an attempt has left unfinished.
    pub fn drop_answer(&mut self, key: ids::JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            self.answer_bytes -= job.answer.len() as u64;
            job.answer = Vec::new();
        }
    }

    /// Notes that a job has ended, for its retention.
    pub fn schedule_expiry(&mut self, key: ids::JobKey, ended: time::Wall) {
        self.job_expiries.insert((ended + JOB_RETENTION, key));
    }

    /// Drops jobs and keys past their retention. A job whose accelerators are held stays.
    pub fn expire(&mut self, now: time::Wall) {
        let last = (now, ids::JobKey(u64::MAX));
        let due: Vec<_> = self.job_expiries.range(..=last).copied().collect();
        for (end, key) in due {
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
        }
    }

    fn expire_job(&mut self, key: ids::JobKey) -> bool {
        if self.jobs.get(&key).is_some_and(Job::holds_grants) {
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

/// The digest under which an idempotency key is remembered past its job.
pub fn key_digest(account: &str, key: &str) -> [u8; 16] {
    let mut hash = sha2::Sha256::new();
    hash.update((account.len() as u64).to_le_bytes());
    hash.update(account);
    hash.update(key);
    let digest: [u8; 32] = hash.finalize().into();
    let mut short = [0; 16];
    short.copy_from_slice(&digest[..16]);
    short
}

/// The digest of what makes two requests under one key the same. The deadline is left out: a
/// resend that states it relative to its own time is the same request.
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
